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
// as if the peer had ended its response.
type ClientConn struct {
	net.Conn
	// writing is held during a write. It guards broken.
	writing sync.Mutex
	// broken is the error of a write by which the connection has ended.
	broken error
}

// NewClientConn returns c as a ClientConn.
func NewClientConn(c net.Conn) *ClientConn { return &ClientConn{Conn: c} }

// NetConn returns the connection that c wraps.
func (c *ClientConn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *ClientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("a %T has no descriptor", c.Conn)
	}
	return sc.SyscallConn()
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
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if broken := c.brokenWrite(); broken != nil {
			err = broken
		}
	}
	return n, err
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
