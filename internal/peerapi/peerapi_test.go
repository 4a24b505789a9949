package peerapi

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

type pools struct {
	peerv1connect.UnimplementedPeerHandler
}

func (pools) PoolStatus(context.Context, *connect.Request[peerv1.PoolStatusRequest]) (*connect.Response[peerv1.PoolStatusResponse], error) {
	return connect.NewResponse(&peerv1.PoolStatusResponse{Capacity: 7}), nil
}

// Forward sends until the other side is gone.
func (pools) Forward(_ context.Context, _ *connect.Request[peerv1.ForwardRequest], s *connect.ServerStream[peerv1.ForwardResponse]) error {
	piece := &peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Data{Data: make([]byte, 16<<10)}}
	for {
		if err := s.Send(piece); err != nil {
			return err
		}
	}
}

// Guards the other calls to a peer against streams that nobody reads: they must
// not use up the flow control window of the connection they share.
func TestUnreadStreamsDoNotBlockCalls(t *testing.T) {
	srv, err := NewServer(settings.Peers{Insecure: true}, pools{})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	clients, err := NewClients(settings.Peers{Insecure: true})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	client := clients.Client(l.Addr().String())
	for range 400 {
		s, err := client.Forward(ctx, connect.NewRequest(&peerv1.ForwardRequest{}))
		if err != nil || !s.Receive() {
			t.Fatal(err, s.Err())
		}
	}
	for range 20 {
		if _, err := client.PoolStatus(ctx, connect.NewRequest(&peerv1.PoolStatusRequest{})); err != nil {
			t.Fatal(err)
		}
	}
}

// authority signs certificates of instances.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(der)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// peers returns settings with a certificate of this authority that trust trusted.
func (a *authority) peers(trusted *authority) settings.Peers {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, _ := x509.MarshalECPrivateKey(key)
	return settings.Peers{CertFile: a.write("cert.pem", "CERTIFICATE", der), KeyFile: a.write("key.pem", "EC PRIVATE KEY", keyDER),
		AuthorityFile: filepath.Join(trusted.dir, "ca.pem")}
}

// Guards the inner protocol against strangers: only plain text on both sides,
// or certificates of one authority on both sides, get an answer.
func TestPeersAuthenticate(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	plain := settings.Peers{Insecure: true}
	for name, c := range map[string]struct {
		server, client settings.Peers
		ok             bool
	}{
		"plain text":               {plain, plain, true},
		"one authority":            {ours.peers(ours), ours.peers(ours), true},
		"stranger as client":       {ours.peers(ours), others.peers(ours), false},
		"stranger as server":       {others.peers(ours), ours.peers(ours), false},
		"plain client, TLS server": {ours.peers(ours), plain, false},
		"TLS client, plain server": {plain, ours.peers(ours), false},
	} {
		srv, err := NewServer(c.server, pools{})
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if c.server.Insecure {
				_ = srv.Serve(l)
			} else {
				_ = srv.ServeTLS(l, "", "")
			}
		}()
		clients, err := NewClients(c.client)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		resp, err := clients.Client(l.Addr().String()).PoolStatus(ctx, connect.NewRequest(&peerv1.PoolStatusRequest{}))
		if (err == nil) != c.ok || c.ok && resp.Msg.GetCapacity() != 7 {
			t.Errorf("%s: %v %v", name, resp, err)
		}
		cancel()
		clients.Close()
		_ = srv.Close()
		<-ended
	}
}
