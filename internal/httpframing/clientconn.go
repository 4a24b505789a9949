package httpframing

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ClientConn is a connection of a client that reports its reset to the reader also if
// the writer has seen it first. The kernel reports a reset once, to whoever asks next:
// after a write that failed, reading returns what had arrived and then io.EOF, as if the
// peer had ended its response.
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

// brokenWrite returns the error of a write by which the connection has ended. It ends a
// write that is under way and may be about to return that error. The peer has ended its
// response, so nothing depends on the rest of the request.
func (c *ClientConn) brokenWrite() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Now())
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.broken
}
