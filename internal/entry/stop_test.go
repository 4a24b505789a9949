package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// slowListener accepts connections only once accept is closed.
type slowListener struct {
	*net.TCPListener
	accept <-chan struct{}
}

func (l slowListener) Accept() (net.Conn, error) {
	<-l.accept
	return l.TCPListener.Accept()
}

// stopCase is a request that an instance has not begun to serve when its drain refuses
// requests. Until the test closes release, no connection is accepted, or none goes on that
// has reached a state.
type stopCase struct {
	name       string
	slowAccept bool
	slowState  http.ConnState
	// kept is set if a response has been received on the connection before.
	kept bool
	// early is the part of the request that is sent before the instance stops.
	early float64
}

var stopCases = []stopCase{
	{name: "part of the head has arrived on a new connection", early: 0.5},
	{name: "part of the head has arrived on a kept connection", kept: true, early: 0.5},
	{name: "not accepted", slowAccept: true, early: 1},
	{name: "unread on a kept connection", slowState: http.StateIdle, kept: true, early: 1},
	{name: "read, but not begun", slowState: http.StateActive, early: 1},
}

// Guards against requests that end without an answer because their instance stops
// before it has begun to serve them.
func TestDrainAnswersRequestsThatHaveArrived(t *testing.T) {
	for _, c := range stopCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			cluster.startTarget("t1", "north", config.PlainService, func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "seven") })
			release := make(chan struct{})
			if c.slowAccept {
				cluster.callersListener = func(l net.Listener) net.Listener { return slowListener{l.(*net.TCPListener), release} }
			}
			if c.slowState != http.StateNew {
				cluster.onConnState = func(state http.ConnState) {
					if state == c.slowState {
						<-release
					}
				}
			}
			n := cluster.startInstance("n", "north")
			releaseOnce := sync.OnceFunc(func() { close(release) })
			t.Cleanup(releaseOnce)
			conn, responses := n.dial(t)
			if c.kept {
				writeText(t, conn, rawRequest("/orders/stock/1"))
				if r, _ := readRaw(t, responses); r.status != http.StatusOK {
					t.Fatalf("%+v", r)
				}
			}
			request := rawRequest("/orders/stock/2")
			early := int(c.early * float64(len(request)))
			writeText(t, conn, request[:early])
			drained := make(chan error, 1)
			go func() { drained <- n.server.Drain(t.Context()) }()
			await(t, n.gate.Draining)
			// Longer than the checks at the end of a drain take together.
			time.Sleep(300 * time.Millisecond)
			writeText(t, conn, request[early:])
			releaseOnce()
			r, _ := readRaw(t, responses)
			n.expectError(t, r, result.ShuttingDown, "not_run")
			check(t, recv(t, drained))
		})
	}
}

// Guards against a drain that waits for a request that never arrives whole, beyond its
// timeout.
func TestDrainEndsWithItsContext(t *testing.T) {
	n := newTestCluster(t).startInstance("n", "north")
	conn, _ := n.dial(t)
	writeText(t, conn, "GET /")
	await(t, func() bool { return n.server.Port().Connections() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- n.server.Drain(ctx) }()
	if err := recv(t, drained); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("%v", err)
	}
}

// Guards against a drain that lasts as long as a caller sends requests that the gate does
// not refuse.
func TestResponsesCloseConnectionsDuringDrain(t *testing.T) {
	n := newTestCluster(t).startInstance("n", "north")
	for _, path := range []string{"/v1/directory", "/v1/models", "/unknown"} {
		conn, responses := n.dial(t)
		writeText(t, conn, rawRequest(path))
		if r, closes := readRaw(t, responses); closes {
			t.Fatalf("before the drain, the response closes the connection: %+v", r)
		}
	}
	check(t, n.gate.Drain(t.Context()))
	for _, path := range []string{"/v1/directory", "/v1/models", "/unknown"} {
		conn, responses := n.dial(t)
		writeText(t, conn, rawRequest(path))
		if r, closes := readRaw(t, responses); !closes {
			t.Errorf("%s: the response keeps the connection open: %+v", path, r)
		}
	}
}

func (n *testInstance) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	check(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	check(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn, bufio.NewReader(conn)
}

func rawRequest(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: orders.example\r\nAuthorization: Bearer %s\r\n\r\n", path, apiKey)
}

func writeText(t *testing.T, w io.Writer, text string) {
	t.Helper()
	_, err := io.WriteString(w, text)
	check(t, err)
}

// readRaw reads a response that must be complete, and whether it closes the connection.
func readRaw(t *testing.T, r *bufio.Reader) (reply, bool) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	closes := res.Close
	got := readResponse(res)
	check(t, got.err)
	return got, closes
}
