package intake

import (
	"bytes"
	"net/textproto"
	"strings"
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

// maxPeek bounds the part of an unread request that is searched for its id, in bytes.
const maxPeek = 4 << 10

// closeCause says why a connection was closed on which a request was not answered.
type closeCause int

const (
	closedByServer   closeCause = iota // the server closed it
	closedByEnd                        // the process ended
	closedUnaccepted                   // the listener was closed before it was accepted
	closeCauses
)

var closeCauseNames = [closeCauses]string{"server", "process_end", "not_accepted"}

// String returns the name in the log and the metrics.
func (c closeCause) String() string { return closeCauseNames[c] }

// NameRequests makes the port name requests in its log by the header with their id.
func (p *Port) NameRequests(idHeader string) { p.idHeader = idHeader }

// LogUnanswered logs the requests that are lost because the process ends now: those that
// are unread, and those that were read and have no complete response.
func (p *Port) LogUnanswered() (lost int) {
	p.connMu.Lock()
	defer p.connMu.Unlock()
	for c := range p.conns {
		if c.logUnanswered(closedByEnd) {
			lost++
		}
	}
	return lost
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if phase := c.phase.Load(); phase == phaseIdle || phase == phaseHead {
		c.logUnanswered(closedByServer)
	}
	return c.TCPConn.Close()
}

// logUnanswered logs a request that is lost if the connection is closed now, and reports
// whether there is one.
func (c *conn) logUnanswered(cause closeCause) bool {
	phase := c.phase.Load()
	inProgress := cause == closedByEnd && (phase == phaseBody || phase == phaseServing)
	if c.port.http2Only || !inProgress && !c.hasUnread() {
		return false
	}
	head := c.unread()
	c.port.unanswered[cause].Add(1)
	c.port.log.Emit(event.IntakeRequestUnanswered, zap.String("port", c.port.name), zap.Stringer("cause", cause), zap.String("phase", phaseNames[phase]),
		zap.Int("unread", len(head)), zap.String("request", headerValue(head, c.port.idHeader)), zap.String("client", c.RemoteAddr().String()))
	return true
}

// unread returns the beginning of what has arrived on the connection and was not read.
func (c *conn) unread() []byte {
	buf := make([]byte, maxPeek)
	n := 0
	control(c.TCPConn, func(fd int) {
		var err error
		if n, _, err = unix.Recvfrom(fd, buf, unix.MSG_PEEK|unix.MSG_DONTWAIT); err != nil {
			n = 0
		}
	})
	return buf[:n]
}

// hasUnread reports whether bytes have arrived on the connection that were not read.
func (c *conn) hasUnread() bool {
	n := 0
	control(c.TCPConn, func(fd int) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n > 0
}

// waiting returns the number of connections that wait to be accepted, at least 1 if there
// are any.
func (l *listener) waiting() (n int) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return 0
	}
	control(sc, func(fd int) {
		// In the state LISTEN, this field is the length of the queue.
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == unix.BPF_TCP_LISTEN {
			n = int(info.Unacked)
		}
		if ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0); err == nil {
			n = max(n, ready)
		}
	})
	return n
}

// control calls f with the descriptor of c. It does not if c is closed.
func control(c syscall.Conn, f func(fd int)) {
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// headerValue returns the value of a field in a request head, of which the end may be
// missing; empty if there is none.
func headerValue(head []byte, name string) string {
	if name == "" {
		return ""
	}
	for line := range bytes.Lines(head) {
		if field, value, ok := strings.Cut(string(line), ":"); ok && textproto.CanonicalMIMEHeaderKey(field) == textproto.CanonicalMIMEHeaderKey(name) {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
