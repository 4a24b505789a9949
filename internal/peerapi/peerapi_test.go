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
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/intake"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

type fakePeer struct {
	peerv1connect.UnimplementedPeerHandler
}

func (fakePeer) PoolStatus(context.Context, *connect.Request[peerv1.PoolStatusRequest]) (*connect.Response[peerv1.PoolStatusResponse], error) {
	return connect.NewResponse(&peerv1.PoolStatusResponse{Capacity: 7}), nil
}

// Forward sends chunks until sending fails.
func (fakePeer) Forward(_ context.Context, _ *connect.Request[peerv1.ForwardRequest], s *connect.ServerStream[peerv1.ForwardResponse]) error {
	chunk := &peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Data{Data: make([]byte, 16<<10)}}
	for {
		if err := s.Send(chunk); err != nil {
			return err
		}
	}
}

// Guards against streams that nobody reads blocking the other calls to a peer:
// the unread bytes would use up the flow-control window of the shared connection.
func TestUnreadStreamsDoNotBlockCalls(t *testing.T) {
	srv, err := NewServer(settings.Peers{Insecure: true}, fakePeer{})
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

// testCA is a certificate authority that signs certificates of instances.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{t: t, dir: t.TempDir()}
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

func (a *testCA) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// peers returns settings with a certificate signed by a and with trusted as the
// trusted CA.
func (a *testCA) peers(trusted *testCA) settings.Peers {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, _ := x509.MarshalECPrivateKey(key)
	return settings.Peers{CertFile: a.write("cert.pem", "CERTIFICATE", der), KeyFile: a.write("key.pem", "EC PRIVATE KEY", keyDER),
		CAFile: filepath.Join(trusted.dir, "ca.pem")}
}

// Guards the peer protocol against unauthenticated peers: a call succeeds only
// with plain text on both sides, or with certificates of one CA on both sides.
func TestPeersAuthenticate(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	plain := settings.Peers{Insecure: true}
	for name, c := range map[string]struct {
		server, client settings.Peers
		ok             bool
	}{
		"plain text":               {plain, plain, true},
		"one CA":                   {ca.peers(ca), ca.peers(ca), true},
		"client of another CA":     {ca.peers(ca), otherCA.peers(ca), false},
		"server of another CA":     {otherCA.peers(ca), ca.peers(ca), false},
		"plain client, TLS server": {ca.peers(ca), plain, false},
		"TLS client, plain server": {plain, ca.peers(ca), false},
	} {
		srv, err := NewServer(c.server, fakePeer{})
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan struct{})
		go func() {
			defer close(served)
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
		<-served
	}
}

// Guards against a refusal for lack of memory that the sender takes for a request that
// may have run, and against one that leaves memory reserved.
func TestMessageWithoutMemoryIsReportedAsNotRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var calls atomic.Int64
	budget := intake.NewBudget(1 << 20)
	srv, err := NewServer(settings.Peers{Insecure: true}, countingHandler{calls: &calls, budget: budget})
	if err != nil {
		t.Fatal(err)
	}
	port := intake.NewPort("peers", func() intake.Limits { return intake.Limits{} }, budget, event.Nop())
	port.ReserveMessages(1<<10, 2)
	port.Configure(srv)
	go func() { _ = srv.Serve(port.Listen(l)) }()
	t.Cleanup(func() { _ = srv.Close() })
	client := NewFastFailClients().Client(l.Addr().String())
	for _, size := range []int{100 << 10, 2 << 20, 100 << 10} {
		before := calls.Load()
		s, err := client.Forward(t.Context(), connect.NewRequest(&peerv1.ForwardRequest{Body: make([]byte, size)}))
		for err == nil && s.Receive() {
		}
		if err == nil {
			err = s.Err()
		}
		waitForRelease(t, budget)
		// A unary call has no prefix whose bytes could be taken for a length.
		if _, err := client.Probe(t.Context(), connect.NewRequest(&peerv1.ProbeRequest{From: &peerv1.Identity{Instance: "zzzzzzzz"}})); connect.CodeOf(err) != connect.CodeUnimplemented {
			t.Errorf("unary call: %v", err)
		}
		if refused := size > 1<<20; err != nil != refused || NotRead(err) != refused || (calls.Load() == before) != refused {
			t.Errorf("%d bytes: %v, %d calls", size, err, calls.Load()-before)
		}
	}
}

func waitForRelease(t *testing.T, budget *intake.Budget) {
	t.Helper()
	for n := 0; budget.Used() != 0; n++ {
		if time.Sleep(5 * time.Millisecond); n > 2000 {
			t.Fatalf("%d bytes are still reserved", budget.Used())
		}
	}
}

type countingHandler struct {
	peerv1connect.UnimplementedPeerHandler
	calls  *atomic.Int64
	budget *intake.Budget
}

func (h countingHandler) Forward(_ context.Context, req *connect.Request[peerv1.ForwardRequest], s *connect.ServerStream[peerv1.ForwardResponse]) error {
	h.calls.Add(1)
	// From here on the call holds its message only; see CallBytes.
	if n, size := h.budget.Used(), int64(len(req.Msg.GetBody())); n < size || n > size+size/8 {
		return connect.NewError(connect.CodeInternal, errors.Newf("%d bytes are reserved for a message of %d", n, size))
	}
	return s.Send(&peerv1.ForwardResponse{})
}
