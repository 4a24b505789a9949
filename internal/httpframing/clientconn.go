package httpframing

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ClientConn is the connection of a client. Its reads return io.EOF only if the peer has
// ended its side in order. The kernel reports a reset once, to the reader or the writer:
// after a write that failed, reads of a net.Conn return what had arrived and then io.EOF,
// as if the peer had ended its response. Reads also fail at folded lines; see ExpectHead.
// One goroutine at a time may read.
type ClientConn struct {
	net.Conn
	// writing is held during a write. It guards broken.
	writing sync.Mutex
	// broken is the error of a write by which the connection has ended.
	broken error
	// scanning guards folded, and foundFolded, which is set once a folded line was found.
	scanning    sync.Mutex
	folded      foldedLineFinder
	foundFolded bool
}

// NewClientConn returns c as a ClientConn.
func NewClientConn(c net.Conn) *ClientConn { return &ClientConn{Conn: c} }

// NetConn returns the connection that c wraps.
func (c *ClientConn) NetConn() net.Conn { return c.Conn }

// ExpectHead must be called before a request is written in HTTP/1. If a line in the head of
// its response begins with a blank, reads return what is before that line and then fail.
func (c *ClientConn) ExpectHead() {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	c.folded = foldedLineFinder{inHead: true}
}

// Write implements io.Writer.
func (c *ClientConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	// EPIPE comes first only if the peer had ended its side before the reset, and so
	// all that it sent has arrived.
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE && c.broken == nil {
		c.broken = err
	}
	return n, err
}

// Read implements io.Reader.
func (c *ClientConn) Read(p []byte) (int, error) {
	if _, folded := c.scan(nil); folded {
		return 0, errFoldedLine // net/http ignores the first error at the end of a line
	}
	n, err := c.Conn.Read(p)
	if n, folded := c.scan(p[:n]); folded {
		return n, errFoldedLine
	}
	if err == io.EOF {
		if broken := c.brokenWrite(); broken != nil {
			err = broken
		}
	}
	return n, err
}

// scan reports whether a folded line was found up to the end of p, and how many bytes of p
// are before it.
func (c *ClientConn) scan(p []byte) (n int, folded bool) {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	if i := c.folded.find(p); i >= 0 {
		c.foundFolded = true
		return i, true
	}
	return len(p), c.foundFolded
}

// brokenWrite returns the error of a write by which the connection has ended; nil if there
// is none. A write that is under way may be about to return one, so it is ended: the rest
// of a request is of no use once its response has ended.
func (c *ClientConn) brokenWrite() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Now())
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.broken
}
