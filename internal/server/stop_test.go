package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// halvingTransport sends the second half of each request body once release is closed.
type halvingTransport struct {
	*http.Transport
	release <-chan struct{}
}

func (h halvingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r = r.Clone(r.Context())
	r.GetBody = nil
	r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b[:len(b)/2]), blockedReader(h.release), bytes.NewReader(b[len(b)/2:])))
	return h.Transport.RoundTrip(r)
}

// blockedReader is empty and ends once it is closed.
type blockedReader <-chan struct{}

func (b blockedReader) Read([]byte) (int, error) {
	<-b
	return 0, io.EOF
}

// Guards against a forwarded request that ends without an answer because the instance
// that it was sent to stops: the caller would not know whether it has run.
func TestStopAnswersForwardedRequestThatHasArrived(t *testing.T) {
	begun := make(chan struct{}, 1)
	c := newClusterWithHook(t, 2000, map[string]int{"north": 1}, settings.Peers{Insecure: true}, func(srv *Server) {
		next := srv.peersServer.Handler
		srv.peersServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == peerv1connect.PeerForwardProcedure {
				begun <- struct{}{}
			}
			next.ServeHTTP(w, r)
		})
	})
	c.waitReady()
	srv := c.instances["north-1"]
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	release := make(chan struct{})
	transport := halvingTransport{&http.Transport{Protocols: protocols}, release}
	defer transport.CloseIdleConnections()
	client := peerv1connect.NewPeerClient(&http.Client{Transport: transport}, "http://"+srv.settings.Listen.Peers)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() {
		<-begun
		c.stop["north-1"]()
		c.eventually("requests are refused", srv.gate.Draining)
		// Longer than the checks at the end of a drain take together.
		time.Sleep(500 * time.Millisecond)
		close(release)
	}()
	stream, err := client.Forward(ctx, connect.NewRequest(&peerv1.ForwardRequest{RequestId: "r-1", Hop: 1, Method: http.MethodGet, Path: "/orders/1"}))
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if !stream.Receive() {
		t.Fatalf("no answer: %v", stream.Err())
	}
	tail := stream.Msg().GetTail()
	if result.Code(tail.GetCode()) != result.ShuttingDown || tail.GetMayHaveRun() {
		t.Fatalf("%+v", stream.Msg())
	}
}
