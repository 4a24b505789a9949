package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonhill/wigeonhill/internal/httpframing"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	// minArrivalDelay is the least time between the arrival and the reading of a request
	// that counts. The kernel rounds to 4 ms or 10 ms.
	minArrivalDelay = 20 * time.Millisecond
	// maxArrivalDelay is longer than the time that any caller waits. The kernel reports
	// longer times if it does not know.
	maxArrivalDelay = 5 * time.Minute
	// connCheckAge is the time for which an answer of the kernel about a connection
	// holds for the first attempt. It covers the placement of a request whose body has
	// arrived; while a body arrives, the caller may disconnect.
	connCheckAge = 5 * time.Millisecond
)

// callerConn is what the kernel knows about the connection of a caller.
type callerConn struct {
	// closed is set if the caller has closed the connection, also while data of the
	// caller is unread.
	closed bool
	// sinceData is the time since data of the caller last arrived.
	sinceData time.Duration
}

// arrivalOf returns when the head of a request that is read at now arrived, and whether
// the caller has closed the connection since. The request may have waited: for the
// connection to be accepted, behind another request on the connection, or for processor
// time. If more data of the caller arrived since, the time is later than that of the
// head.
func arrivalOf(r *http.Request, now time.Time) (arrived time.Time, left bool) {
	conn := httpframing.Conn(r.Context())
	if conn == nil {
		return now, false
	}
	state, ok := readCallerConn(conn)
	if !ok || state.sinceData < minArrivalDelay || state.sinceData > maxArrivalDelay {
		return now, ok && state.closed
	}
	return now.Add(-state.sinceData), state.closed
}

// callerLeft returns an error if the caller of a request has disconnected. It asks the
// kernel, since net/http notices that only some time after the request was read, unless
// arrivalOf has just done so. At the other end of a hop only ctx tells.
func (c *call) callerLeft(ctx context.Context) *result.Error {
	justChecked := time.Since(c.connCheckedAt) < connCheckAge
	c.connCheckedAt = time.Time{}
	if ctx.Err() == nil {
		if c.conn == nil || justChecked {
			return nil
		}
		if state, ok := readCallerConn(c.conn); !ok || !state.closed {
			return nil
		}
	}
	return errCallerLeft()
}

func errCallerLeft() *result.Error {
	return result.New(result.CallerTooSlow, result.NotRun, "the caller has disconnected or its time has passed")
}

// readCallerConn asks the kernel about the connection of a caller. ok is false if it
// does not tell.
func readCallerConn(c net.Conn) (state callerConn, ok bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return callerConn{}, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return callerConn{}, false
	}
	var info *unix.TCPInfo
	if ctlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); ctlErr != nil || err != nil {
		// Control fails if the connection was closed here.
		return callerConn{closed: ctlErr != nil}, ctlErr != nil
	}
	return callerConn{
		closed:    info.State != 0 && info.State != unix.BPF_TCP_ESTABLISHED && info.State != unix.BPF_TCP_SYN_RECV,
		sinceData: time.Duration(info.Last_data_recv) * time.Millisecond,
	}, true
}
