package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Phases of a connection; phaseNames are their names in the log.
const (
	phaseHead    int32 = iota // a request head is arriving, or the first is waited for
	phaseBody                 // the body of a request is arriving
	phaseServing              // a request is being served
	phaseIdle
	phaseClosed // closed, or about to be; no request may begin
)

var phaseNames = [...]string{"head", "body", "serving", "idle", "closed"}

const (
	// headSlack is what is read of a connection beyond a head before the request
	// begins: net/http reads 4 KiB at a time.
	headSlack = 4 << 10
	// A parsed head takes headByteCost bytes for each byte and headLineCost for each
	// line; the latter is the cost of an entry in the map of headers. Up to
	// freeHeadCost nothing is reserved; ordinary heads stay below it.
	headByteCost, headLineCost = 2, 200
	freeHeadCost               = 16 << 10

	headTooLongResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// headDrainTime is how long the rest of a head that is too long is read, up to
	// drainStep: closing a connection with unread bytes would lose the response.
	headDrainTime = 100 * time.Millisecond
)

// conn is a connection of a port.
type conn struct {
	*net.TCPConn
	port *Port
	raw  syscall.RawConn
	// takeNow calls take with the buffer of the read in progress and keeps what it
	// returns. Reads of a connection do not overlap.
	takeNow func(fd uintptr) bool
	buffer  []byte
	taken   int
	takeErr error
	// closeMu is held while bytes are taken from the socket and while the connection is
	// marked as closed, so that no byte of a request is read and then dropped.
	closeMu sync.Mutex
	// waiting is set while the reader waits for bytes, which also means that all earlier
	// ones have been handled, and headBegun while a part of a head has been read. Both
	// are guarded by closeMu.
	waiting, headBegun bool
	phase              atomic.Int32
	// since is the time since the start of the port at which the phase began.
	since atomic.Int64
	// body is the body that is arriving, if any.
	body atomic.Pointer[trackedBody]
	// headBytes and headLines count what has arrived of a head, and reserved is what
	// is reserved for it. They are used by the goroutine that reads.
	headBytes, headLines int
	reserved             int64
}

// newConn returns the connection of a port for tcp.
func newConn(tcp *net.TCPConn, p *Port) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: tcp, port: p, raw: raw}
	c.takeNow = func(fd uintptr) bool {
		c.taken, c.takeErr = c.take(int(fd), c.buffer)
		return c.takeErr != syscall.EAGAIN
	}
	c.since.Store(int64(time.Since(p.start)))
	return c, nil
}

// Read implements net.Conn. It counts the bytes of heads.
func (c *conn) Read(q []byte) (int, error) {
	if len(q) == 0 {
		return 0, nil
	}
	c.buffer = q
	waitErr := c.raw.Read(c.takeNow)
	c.buffer = nil
	n := c.taken
	switch {
	case waitErr != nil:
		return 0, c.readError(waitErr)
	case c.takeErr != nil:
		return 0, c.readError(c.takeErr)
	case n == 0:
		return 0, io.EOF
	}
	if c.phase.Load() == phaseHead && !c.port.http2Only {
		if headErr := c.countHead(q[:n]); headErr != nil {
			return 0, headErr
		}
	}
	return n, nil
}

// take reads from the socket what has arrived, unless the connection is closed.
func (c *conn) take(fd int, q []byte) (n int, err error) {
	c.closeMu.Lock()
	defer c.closeMu.Unlock()
	if c.phase.Load() == phaseClosed {
		return 0, net.ErrClosed
	}
	for {
		if n, err = syscall.Read(fd, q); err != syscall.EINTR {
			break
		}
	}
	c.waiting = err == syscall.EAGAIN
	if n <= 0 || err != nil || c.port.http2Only {
		return max(n, 0), err
	}
	if c.phase.CompareAndSwap(phaseIdle, phaseHead) {
		c.since.Store(c.port.now())
	}
	c.headBegun = c.phase.Load() == phaseHead
	return n, nil
}

// readError returns err as an error of net for a read.
func (c *conn) readError(err error) error {
	var e *net.OpError
	if errors.As(err, &e) {
		err = e.Err
	} else if no, ok := err.(syscall.Errno); ok {
		err = os.NewSyscallError("read", no)
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// markClosed marks a connection in the given phase as closed, unless bytes have arrived on
// it that were not handled yet.
func (c *conn) markClosed(phase int32) bool {
	c.closeMu.Lock()
	defer c.closeMu.Unlock()
	return c.waiting && !c.hasUnread() && c.phase.CompareAndSwap(phase, phaseClosed)
}

// markUnused is markClosed for a connection on which no request is arriving: one that is
// idle, or on which nothing has arrived for stallTime since it was opened.
func (c *conn) markUnused(now time.Duration) bool {
	phase := c.phase.Load()
	if phase == phaseHead {
		c.closeMu.Lock()
		arriving := c.headBegun || now-time.Duration(c.since.Load()) <= stallTime
		c.closeMu.Unlock()
		return !arriving && c.markClosed(phase)
	}
	return phase == phaseIdle && c.markClosed(phase)
}

// countHead counts a part of a head and reserves memory for it.
func (c *conn) countHead(part []byte) error {
	c.headBytes += len(part)
	c.headLines += bytes.Count(part, []byte{'\n'})
	cost := int64(headByteCost*c.headBytes + headLineCost*c.headLines)
	if cost <= freeHeadCost {
		return nil
	}
	if limit := c.port.limits().MaxHeadBytes; limit > 0 && c.headBytes > limit+headSlack {
		c.port.count(refusedTooLong)
		// The response to an earlier request is complete while a head arrives.
		_ = c.SetWriteDeadline(time.Now().Add(stallTime))
		// These fail only if the client has closed the connection.
		_, _ = io.WriteString(c.TCPConn, headTooLongResponse)
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(headDrainTime))
		_, _ = io.CopyN(io.Discard, c.TCPConn, drainStep)
		return net.ErrClosed
	}
	if more := cost - c.reserved; more > 0 {
		if !c.port.budget.take(more, more) {
			c.port.count(refusedMemory)
			return net.ErrClosed
		}
		c.reserved = cost
	}
	return nil
}

func (c *conn) forgetHead() {
	c.headBytes, c.headLines = 0, 0
	if c.reserved > 0 {
		c.port.budget.put(c.reserved)
		c.reserved = 0
	}
}

// begin marks the start of a request. It reports false if the connection was closed in
// the meantime.
func (c *conn) begin(hasBody bool) bool {
	phase := phaseServing
	if hasBody {
		phase = phaseBody
	}
	return c.phase.CompareAndSwap(phaseServing, phase)
}

// stalled reports whether nothing of the body has arrived for stallTime.
func (c *conn) stalled(now time.Duration) bool {
	b := c.body.Load()
	return b != nil && now-time.Duration(b.progress.Load()) > stallTime
}

// onState is called by the server when the state of the connection changes.
func (c *conn) onState(state http.ConnState) {
	switch state {
	case http.StateActive:
		// HTTP/1.1 connections become active after a head was read; see begin.
		if !c.phase.CompareAndSwap(phaseIdle, phaseServing) {
			c.phase.CompareAndSwap(phaseHead, phaseServing)
		}
	case http.StateIdle:
		c.closeMu.Lock()
		c.headBegun = false
		// The reader of an HTTP/2 connection goes on waiting; that of others may find the
		// next request in its buffer.
		c.waiting = c.waiting && c.port.http2Only
		c.closeMu.Unlock()
		c.forgetHead()
		c.since.Store(c.port.now())
		if c.phase.Load() != phaseClosed {
			c.phase.CompareAndSwap(phaseServing, phaseIdle)
			c.phase.CompareAndSwap(phaseBody, phaseIdle)
		}
	case http.StateClosed, http.StateHijacked:
		c.forgetHead()
		c.port.remove(c)
	case http.StateNew:
	}
}
