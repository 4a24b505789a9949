package dispatch

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

const (
	targetDialTimeout  = 2 * time.Second
	maxIdlePerTarget   = 64
	maxResponseHeader  = 64 << 10
	targetReadBuffer   = 4 << 10
	defaultIdleTimeout = 90 * time.Second
)

// countingConn knows whether a byte may have been written.
type countingConn struct {
	net.Conn
	mu struct {
		sync.Mutex
		writes int64
		sealed bool
	}
}

var errSealed = errors.New("the request was given up before its first byte was written")

// Write counts before it writes: while a write is in progress, bytes may be on
// their way. Only a write that returns 0 is taken back.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.mu.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.mu.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.mu.writes--
		c.mu.Unlock()
	}
	return n, err
}

func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.writes
}

// seal reports whether nothing was written since base, and if so forbids all
// further writes: after a cancelled RoundTrip, net/http may still be about to
// write the request on another goroutine.
func (c *countingConn) seal(base int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.writes != base {
		return false
	}
	c.mu.sealed = true
	return true
}

// sent tells whether a byte of one request may have reached a target.
type sent struct {
	conn  atomic.Pointer[countingConn]
	base  atomic.Int64
	other atomic.Bool // a connection of unknown kind was used
	// reused is set for a kept connection, which the target may have closed
	// for being idle.
	reused atomic.Bool
}

func (s *sent) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.reused.Store(info.Reused)
			c, ok := info.Conn.(*countingConn)
			// A second connection for the same request means that net/http
			// has repeated it; the first one is then no longer known.
			if !ok || s.conn.Load() != nil {
				s.other.Store(true)
				return
			}
			s.base.Store(c.count())
			s.conn.Store(c)
		},
	})
}

// mayHave reports, after a failed RoundTrip, whether a byte may have been sent.
// Without a connection none was. If it returns false, none will be.
func (s *sent) mayHave() bool {
	if s.other.Load() {
		return true
	}
	c := s.conn.Load()
	return c != nil && !c.seal(s.base.Load())
}

// transports are the connections to targets.
type transports struct {
	// shared keeps idle connections; it serves idempotent requests to plain
	// services.
	shared *http.Transport
	// fresh uses a new connection for each request. net/http repeats a request
	// with an Idempotency-Key header, a booking too, when a kept connection
	// breaks; a kept connection that the target has just closed would leave the
	// outcome of a booking unknown for no reason, and on an engine it would look
	// like a crash.
	fresh *http.Transport
}

func newTransports(b settings.Bounds) *transports {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
	idle := b.IdleTimeout
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	make := func(fresh bool) *http.Transport {
		return &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      fresh,
			DisableCompression:     true, // the answer is passed on as it is
			MaxIdleConnsPerHost:    maxIdlePerTarget,
			IdleConnTimeout:        idle,
			MaxResponseHeaderBytes: maxResponseHeader,
			ReadBufferSize:         targetReadBuffer,
		}
	}
	return &transports{shared: make(false), fresh: make(true)}
}

func (t *transports) pick(p auth.Permit) *http.Transport {
	if p.Idempotent && p.Model == "" {
		return t.shared
	}
	return t.fresh
}
