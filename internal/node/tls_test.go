package node

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

// mutualTLS writes a certificate with its key and authority and returns the
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
	return settings.Peers{CertFile: certFile, KeyFile: write("key.pem", "EC PRIVATE KEY", private), AuthorityFile: certFile}
}

// Guards against whole instances that cannot work with mutual TLS between them:
// the election of a grantor, grants, probes and a hop all go over it.
func TestInstancesOverMutualTLS(t *testing.T) {
	w := newWorldWith(t, 2000, map[string]int{"north": 3, "south": 1}, mutualTLS(t))
	w.ready()
	for _, name := range w.names {
		if status, body := w.ask(name, "one question"); status != http.StatusOK {
			t.Errorf("%s: %d %s", name, status, body)
		}
		w.eventually(name+" sees all members", func() bool { return len(w.nodes[name].members.Live("")) == len(w.names) })
	}
	// Without its region's majority, north-3 is served over the hop.
	w.net.isolate("lost", "north-1", "north-2")
	w.eventually("a request goes over the hop", func() bool {
		status, _ := w.ask("north-3", "one question")
		return status == http.StatusOK && w.runsIn("south") > 1
	})
}

func (w *world) runsIn(region string) int {
	for _, e := range w.engines {
		if r := w.record(e); r.Region == region {
			return len(r.Runs)
		}
	}
	return 0
}
