package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// keptCase is a request that has arrived on a connection while its goroutine does not run.
type keptCase struct {
	name   string
	limits Limits
	// first is sent before the goroutine stops, second meanwhile.
	first, second string
	// inHandler is set if it stops in the handler, not before it reads a second request.
	inHandler bool
	// before is set if it stops before the handler of the port.
	before bool
	// meanwhile is what happens until it goes on.
	meanwhile func(t *testing.T, p *Port, address string)
}

const post = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"

var keptCases = []keptCase{
	{name: "over its idle time", limits: Limits{IdleTimeout: 100 * time.Millisecond}, first: get, second: get, meanwhile: waitForSweeps},
	{name: "idle at the bound of connections", limits: Limits{MaxConns: 1}, first: get, second: get, meanwhile: connectAnother},
	{name: "idle while the port is drained", first: get, second: get, meanwhile: drainPort},
	{name: "pipelined while the port is drained", first: get + get, meanwhile: drainPort},
	{name: "head with bare line feeds over its time", limits: Limits{HeadTimeout: 100 * time.Millisecond}, first: strings.ReplaceAll(get, "\r\n", "\n"), before: true, meanwhile: waitForSweeps},
	{name: "body at the bound of connections", limits: Limits{MaxConns: 1}, first: post, second: "body", inHandler: true, meanwhile: connectAnother},
	{name: "body read ahead at the bound of connections", limits: Limits{MaxConns: 1}, first: post + "body", inHandler: true, meanwhile: connectAnother},
}

func waitForSweeps(_ *testing.T, _ *Port, _ string) { time.Sleep(4 * sweepInterval) }

func drainPort(_ *testing.T, p *Port, _ string) { p.Drain() }

// connectAnother connects another client once stallTime has passed.
func connectAnother(t *testing.T, _ *Port, address string) {
	time.Sleep(stallTime + 2*sweepInterval)
	other, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	_ = other.SetDeadline(time.Now().Add(4 * sweepInterval))
	_, _ = bufio.NewReader(other).ReadByte() // fails when the connection is refused
}

// Guards against a request that has arrived on a connection that is closed because the
// server has not handled it yet.
func TestConnectionWithRequestThatWaitsIsNotClosed(t *testing.T) {
	for _, c := range keptCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			stopped, release := make(chan struct{}), make(chan struct{})
			var once sync.Once
			stop := func() { once.Do(func() { close(stopped); <-release }) }
			p := NewPort("test", func() Limits { return c.limits }, nil, nil)
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if c.inHandler {
					stop()
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}))
			p.Configure(s.Config)
			handler, onState := s.Config.Handler, s.Config.ConnState
			s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.before {
					stop()
				}
				handler.ServeHTTP(w, r)
			})
			s.Config.ConnState = func(nc net.Conn, state http.ConnState) {
				if onState(nc, state); state == http.StateIdle && !c.inHandler && !c.before {
					stop()
				}
			}
			s.Listener = p.Listen(s.Listener)
			s.Start()
			defer s.Close()
			conn, r := dial(t, s.Listener.Addr().String(), c.first)
			if !c.inHandler && !c.before {
				expectStatus(t, r, http.StatusOK)
			}
			<-stopped
			if _, err := io.WriteString(conn, c.second); err != nil {
				t.Fatal(err)
			}
			c.meanwhile(t, p, s.Listener.Addr().String())
			close(release)
			expectStatus(t, r, http.StatusOK)
		})
	}
}

// Guards against a head that escapes its time because blank lines come before it.
func TestHeadAfterBlankLinesIsBoundedInTime(t *testing.T) {
	p, address := testServer(t, Limits{HeadTimeout: 100 * time.Millisecond}, nil, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	conn, r := dial(t, address, post+"body")
	expectStatus(t, r, http.StatusOK)
	waitForPhases(t, p, 0, 1)
	if _, err := io.WriteString(conn, "\r\n\r\nGET / HT"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return p.Connections() == 0 })
}

// Guards against a client that has just connected and is taken for one that has been
// silent since the last sweep, which is late.
func TestNewConnectionIsNotOlderThanItIs(t *testing.T) {
	p := NewPort("test", func() Limits { return Limits{} }, nil, nil)
	p.start = p.start.Add(-2 * stallTime)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	p.Configure(s.Config)
	s.Listener = p.Listen(s.Listener)
	s.Start()
	defer s.Close()
	conn, r := dial(t, s.Listener.Addr().String(), "")
	waitFor(t, func() bool { return p.Connections() == 1 })
	p.Drain()
	if _, err := io.WriteString(conn, get); err != nil {
		t.Fatal(err)
	}
	expectStatus(t, r, http.StatusOK)
}

// Guards against a request that runs and loses its answer because the last bytes of its
// body arrive as the body is refused.
func TestBodyThatEndsAsItIsRefusedDoesNotRun(t *testing.T) {
	p := NewPort("test", func() Limits { return Limits{} }, nil, nil)
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
	b := p.track(httptest.NewRecorder(), r, nil)
	b.refusal.Store(int32(refusedSlow) + 1)
	if body, err := ReadBody(b, r.ContentLength, 100, NewBudget(0)); !errors.Is(err, ErrTooSlow) || len(body.Bytes) > 0 {
		t.Errorf("%q, %v", body.Bytes, err)
	}
}

// unacceptingListener accepts nothing until it is closed.
type unacceptingListener struct {
	*net.TCPListener
	closed chan struct{}
}

func (l *unacceptingListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *unacceptingListener) Close() error {
	close(l.closed)
	return l.TCPListener.Close()
}

// Guards against a drain that lasts as long as clients connect.
func TestDrainStopsAcceptingWhileClientsConnect(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := NewPort("test", func() Limits { return Limits{} }, nil, nil)
	l := p.Listen(&unacceptingListener{inner.(*net.TCPListener), make(chan struct{})})
	go func() { _, _ = l.Accept() }()
	dial(t, inner.Addr().String(), get)
	if p.Drain() == 0 {
		t.Error("a connection that waits to be accepted is not counted")
	}
	waitFor(t, func() bool { return p.Drain() == 0 })
}
