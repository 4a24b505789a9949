package server

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// mutualTLS writes a self-signed certificate and its key to files and returns peer
// settings that use them.
func mutualTLS(t *testing.T) settings.Peers {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	certFile := write("cert.pem", "CERTIFICATE", cert)
	return settings.Peers{CertFile: certFile, KeyFile: write("key.pem", "EC PRIVATE KEY", private), CAFile: certFile}
}

// Guards against instances that fail with mutual TLS between them, in any of the
// calls that use it: leader election, lease renewals, probes and hops.
func TestInstancesOverMutualTLS(t *testing.T) {
	c := newClusterWithPeers(t, 2000, map[string]int{"north": 3, "south": 1}, mutualTLS(t))
	c.waitReady()
	for _, name := range c.names {
		if status, body := c.sendChat(name, "one question"); status != http.StatusOK {
			t.Errorf("%s: %d %s", name, status, body)
		}
		c.eventually(name+" sees all members", func() bool { return len(c.instances[name].members.Live("")) == len(c.names) })
	}
	// Without a majority in its region, north-3 forwards requests to south.
	c.net.isolate("lost", "north-1", "north-2")
	c.eventually("a request from north-3 runs in south", func() bool {
		status, _ := c.sendChat("north-3", "one question")
		return status == http.StatusOK && c.runCountIn("south") > 1
	})
}

func (c *cluster) runCountIn(region string) int {
	for _, e := range c.engines {
		if r := c.engineRecord(e); r.Region == region {
			return len(r.Runs)
		}
	}
	return 0
}
