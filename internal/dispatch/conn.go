package dispatch

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/httpframing"
)

const (
	targetDialTimeout = 2 * time.Second
	// maxTargetHeadBytes bounds the head of a target's response.
	maxTargetHeadBytes = 16 << 10
)

// countingConn counts writes, to tell whether any byte may have been sent.
type countingConn struct {
	net.Conn
	mu struct {
		sync.Mutex
		writes int64
		sealed bool
	}
}

var errSealed = errors.New("the request was abandoned before its first byte was written")

// Write increments the count before it writes: while a write is in progress,
// bytes may be in transit. Only a write that returns 0 bytes is uncounted.
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

// seal reports whether nothing was written, and if so forbids all writes: after a
// cancelled RoundTrip, net/http may still be about to write the request on another
// goroutine.
func (c *countingConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.writes != 0 {
		return false
	}
	c.mu.sealed = true
	return true
}

// sendTracker reports whether a byte of one request may have reached a target.
type sendTracker struct {
	conn      atomic.Pointer[countingConn]
	untracked atomic.Bool // a connection of another type was used
}

func (s *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn
			if wrapped, ok := conn.(*httpframing.ClientConn); ok {
				conn = wrapped.NetConn()
			}
			c, ok := conn.(*countingConn)
			// A second connection for the same request means that net/http has
			// retried it; the state of the first one is then unknown.
			if !ok || s.conn.Load() != nil {
				s.untracked.Store(true)
				return
			}
			s.conn.Store(c)
		},
	})
}

// mayHaveSent reports, after a failed RoundTrip, whether a byte may have been
// sent. Without a connection none was. If it returns false, none will be.
func (s *sendTracker) mayHaveSent() bool {
	if s.untracked.Load() {
		return true
	}
	c := s.conn.Load()
	return c != nil && !c.seal()
}

// newTransport returns a transport that opens a connection for each request.
//
// On a connection that is kept, a target that writes an earlier response once more
// would answer the next request with it. One that the target has just closed would
// leave the outcome of a booking unknown for no reason, and on an engine it would
// look like a crash; and net/http would send a booking that has an Idempotency-Key
// header again by itself.
func newTransport() *httpclient.Transport {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	t := httpclient.NewTransport(httpclient.Config{
		ConnectTimeout: targetDialTimeout,
		MaxHead:        maxTargetHeadBytes,
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
	})
	// No connection is kept, and the target is not told so: the header Connection
	// would be part of the request.
	t.DisableKeepAlives, t.MaxIdleConnsPerHost = false, -1
	return t
}
