package intake

import (
	"context"
	"time"
)

const (
	// drainPollInterval is the interval at which AwaitNone checks what is left, and
	// drainIdlePolls the number of checks in a row that must find nothing: a connection
	// that was just accepted, or a request that was just read, is not counted yet.
	drainPollInterval = 20 * time.Millisecond
	drainIdlePolls    = 5
	// maxAcceptTime bounds how long a port that is drained accepts connections while more
	// of them arrive.
	maxAcceptTime = time.Second
)

// AwaitNone waits until left, which it calls again and again, has returned 0 several times
// in a row. It returns the error of ctx if ctx ends first.
func AwaitNone(ctx context.Context, left func() int) error {
	for idlePolls := 0; idlePolls < drainIdlePolls; {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(drainPollInterval)
		if idlePolls++; left() > 0 {
			idlePolls = 0
		}
	}
	return nil
}

// Drain is called again and again while the process stops. It stops accepting connections
// once none waits to be accepted, at the latest after maxAcceptTime, and closes those on
// which no request is arriving; a client that has just connected gets stallTime to send
// one. It returns the number of connections that are left. The server must not be shut down
// meanwhile: net/http drops requests that it reads from then on.
func (p *Port) Drain() (left int) {
	now, waiting := time.Since(p.start), 0
	p.drainBegan.CompareAndSwap(0, int64(now))
	if l := p.listener.Load(); l != nil && !l.closed.Load() {
		if waiting = l.waiting(); waiting == 0 || now-time.Duration(p.drainBegan.Load()) > maxAcceptTime {
			waiting = 0
			_ = l.Close() // fails only if it is closed already
		}
	}
	var quiet []*conn
	p.connMu.Lock()
	for c := range p.conns {
		if c.markUnused(now) {
			delete(p.conns, c)
			quiet = append(quiet, c)
		}
	}
	left = len(p.conns) + waiting
	p.connMu.Unlock()
	for _, c := range quiet {
		_ = c.TCPConn.Close()
	}
	return left
}

// Unread returns the number of connections with bytes that were not read.
func (p *Port) Unread() (n int) {
	p.connMu.Lock()
	defer p.connMu.Unlock()
	for c := range p.conns {
		if c.hasUnread() {
			n++
		}
	}
	return n
}
