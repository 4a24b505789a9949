package intake

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a request that has arrived on a connection that is closed since the
// server has not read it yet: the connection looks idle.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits Limits
		// other is set if another client connects meanwhile.
		other bool
	}{
		{"over its idle time", Limits{IdleTimeout: 100 * time.Millisecond}, false},
		{"at the bound of connections", Limits{MaxConns: 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, idle, release := NewPort("test", func() Limits { return c.limits }, nil, nil), make(chan struct{}), make(chan struct{})
			var once sync.Once
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			p.Configure(s.Config)
			next := s.Config.ConnState
			s.Config.ConnState = func(nc net.Conn, state http.ConnState) {
				if next(nc, state); state == http.StateIdle {
					once.Do(func() { close(idle); <-release })
				}
			}
			s.Listener = p.Listen(s.Listener)
			s.Start()
			defer s.Close()
			conn, r := dial(t, s.Listener.Addr().String(), get)
			expectStatus(t, r, http.StatusOK)
			<-idle
			if _, err := conn.Write([]byte(get)); err != nil {
				t.Fatal(err)
			}
			if c.other {
				other, err := net.Dial("tcp", s.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer other.Close()
				_ = other.SetDeadline(time.Now().Add(4 * sweepInterval))
				_, _ = bufio.NewReader(other).ReadByte() // fails when the connection is refused
			} else {
				time.Sleep(4 * sweepInterval)
			}
			close(release)
			expectStatus(t, r, http.StatusOK)
		})
	}
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
