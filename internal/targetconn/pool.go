package targetconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/wigeonhill/wigeonhill/internal/httpframing"
)

const (
	// defaultIdleTime is how long a connection is kept whose target announces no
	// time. Servers commonly close idle connections after 5 s or more.
	defaultIdleTime = 3 * time.Second
	// maxIdleTime bounds the time that a target announces, since the connection
	// occupies a descriptor on both sides.
	maxIdleTime = 10 * time.Second
	// idleMargin is how much earlier than announced a connection is given up, so that
	// no request is sent while the target closes it.
	idleMargin = time.Second
	// sweepInterval is the interval between checks of the idle connections.
	sweepInterval = 500 * time.Millisecond
	// lateResponseTime is how long a response is awaited after the request could not
	// be written whole: the target may have refused it before its end.
	lateResponseTime = 50 * time.Millisecond
	readBufferBytes  = 4 << 10
	// barPeriod is how long no connection to an address is kept after its target sent
	// bytes that belong to no request. Such a target costs one request each period.
	barPeriod = time.Minute
	// ackTimeout is how long the other side may take to acknowledge what was written on
	// a kept connection. It is about as long as connecting may take and covers one lost
	// packet, which is sent again after 200 ms and 600 ms.
	ackTimeout = 650 * time.Millisecond
	// maxReuseBody bounds the bodies that are sent on a kept connection: a longer one may
	// be unacknowledged for other reasons, and a connection costs little beside it.
	maxReuseBody = 64 << 10
)

// Config of a Pool.
type Config struct {
	// ConnectTimeout bounds connecting.
	ConnectTimeout time.Duration
	KeepAlive      net.KeepAliveConfig
	// MaxHead bounds the head of a response together with the informational responses
	// before it, in bytes.
	MaxHead int64
	// MaxIdle bounds the idle connections to all addresses together; 0 keeps none.
	MaxIdle int
	// OnStray is called when a target sent bytes on a connection that belong to no
	// request, after which the connection is closed
	// and none to the address is kept for barPeriod. Optional.
	OnStray func(address string)
	// Dial replaces the dialer. Optional.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool sends requests on new or kept connections. Lock order: Pool.mu is a leaf lock.
type Pool struct {
	cfg Config
	// unacknowledged reports whether the other side has not acknowledged all that was
	// written on a connection; it is replaced in tests.
	unacknowledged func(net.Conn) bool
	mu             struct {
		sync.Mutex
		hosts map[string]*host
		// barred holds when addresses that sent bytes of no request may be used again on
		// kept connections.
		barred map[string]time.Time
		// idle is the number of idle connections to all addresses.
		idle int
		// sweeping is set while a sweep is scheduled.
		sweeping bool
	}
}

// host holds the connections to one address.
type host struct {
	// idle are the idle connections, the one that was used last at the end.
	idle []*conn
	// inUse is the number of connections with a request.
	inUse int
}

// New returns a Pool without connections.
func New(cfg Config) *Pool {
	if cfg.ConnectTimeout <= 0 || cfg.MaxHead <= 0 {
		panic("targetconn: a bound is not set")
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.ConnectTimeout, KeepAliveConfig: cfg.KeepAlive}).DialContext
	}
	p := &Pool{cfg: cfg, unacknowledged: unacknowledged}
	p.mu.hosts = map[string]*host{}
	p.mu.barred = map[string]time.Time{}
	return p
}

// IdleConns returns the number of idle connections.
func (p *Pool) IdleConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mu.idle
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() { p.sweep(func(*conn) bool { return false }) }

// conn is a connection to a target.
type conn struct {
	*httpframing.ClientConn
	address string
	in      *bufio.Reader
	// headLeft is how much of a head may still be read; negative for no bound.
	headLeft int64
	// used is set once a response was read on the connection.
	used bool
	// expires is when an idle connection is closed.
	expires time.Time
}

var errHeadTooLong = errors.New("the head of the response is over the bound")

// Read implements io.Reader for conn.in.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft < 0 {
		return c.ClientConn.Read(p)
	}
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	n, err := c.ClientConn.Read(p[:min(int64(len(p)), c.headLeft)])
	c.headLeft -= int64(n)
	return n, err
}

// connState is what a look at an idle connection finds.
type connState int

const (
	silent connState = iota
	// stray means that bytes arrived which belong to no request.
	stray
	closed
)

// state looks at an idle connection without reading from it.
func (c *conn) state() connState {
	if c.in.Buffered() > 0 {
		return stray
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return closed
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return closed
	}
	n, recvErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err == nil && (recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK || recvErr == syscall.EINTR):
		return silent
	case err == nil && recvErr == nil && n > 0:
		return stray
	}
	return closed
}

// unacknowledged asks the kernel; it returns false if that does not tell.
func unacknowledged(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	if ctlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); ctlErr != nil || err != nil {
		return false
	}
	return info.Unacked > 0
}

// take returns an idle connection to the address, nil if there is none, and counts
// the connection that is then used or opened.
func (p *Pool) take(address string, reuse bool) *conn {
	p.mu.Lock()
	h := p.mu.hosts[address]
	if h == nil {
		h = &host{}
		p.mu.hosts[address] = h
	}
	h.inUse++
	var bad []*conn
	var found *conn
	now := time.Now()
	for reuse && found == nil && len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle[len(h.idle)-1] = nil
		h.idle = h.idle[:len(h.idle)-1]
		p.mu.idle--
		if now.Before(c.expires) && c.state() == silent {
			found = c
		} else {
			bad = append(bad, c)
		}
	}
	p.mu.Unlock()
	p.closeAll(bad)
	return found
}

// closeAll closes idle connections that were taken out of the pool.
func (p *Pool) closeAll(conns []*conn) {
	for _, c := range conns {
		if c.state() == stray {
			p.bar(c.address)
		}
		_ = c.Close()
	}
}

// bar keeps no connections to an address for barPeriod, because its target sent bytes
// that belong to no request.
func (p *Pool) bar(address string) {
	now := time.Now()
	p.mu.Lock()
	for a, until := range p.mu.barred {
		if now.After(until) {
			delete(p.mu.barred, a)
		}
	}
	p.mu.barred[address] = now.Add(barPeriod)
	var idle []*conn
	if h := p.mu.hosts[address]; h != nil {
		idle, h.idle = h.idle, nil
		p.mu.idle -= len(idle)
		if h.inUse == 0 {
			delete(p.mu.hosts, address)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
	if p.cfg.OnStray != nil {
		p.cfg.OnStray(address)
	}
}

// isBarred reports whether no connections to the address are kept now.
func (p *Pool) isBarred(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.mu.barred[address]
	return ok && time.Now().Before(until)
}

// release ends the use of a connection to the address. If c is not nil, it is kept
// for at most idle unless there are too many connections.
func (p *Pool) release(address string, c *conn, idle time.Duration, maxConns int) {
	p.mu.Lock()
	h := p.mu.hosts[address]
	h.inUse--
	now := time.Now()
	kept := c != nil && idle > 0 && h.inUse+len(h.idle) < maxConns && p.mu.idle < p.cfg.MaxIdle && !now.Before(p.mu.barred[address])
	if kept {
		c.expires, c.used = now.Add(idle), true
		h.idle = append(h.idle, c)
		p.mu.idle++
		if !p.mu.sweeping {
			p.mu.sweeping = true
			time.AfterFunc(sweepInterval, p.sweepExpired)
		}
	} else if h.inUse == 0 && len(h.idle) == 0 {
		delete(p.mu.hosts, address)
	}
	p.mu.Unlock()
	if c != nil && !kept {
		_ = c.Close()
	}
}

func (p *Pool) sweepExpired() {
	now := time.Now()
	left := p.sweep(func(c *conn) bool { return now.Before(c.expires) && c.state() == silent })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mu.sweeping = left > 0 || p.mu.idle > 0; p.mu.sweeping {
		time.AfterFunc(sweepInterval, p.sweepExpired)
	}
}

// sweep closes the idle connections that keep does not report, and returns how many
// are left.
func (p *Pool) sweep(keep func(*conn) bool) (left int) {
	var bad []*conn
	p.mu.Lock()
	for address, h := range p.mu.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if keep(c) {
				kept = append(kept, c)
			} else {
				bad = append(bad, c)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
		if h.inUse == 0 && len(kept) == 0 {
			delete(p.mu.hosts, address)
		}
	}
	p.mu.idle -= len(bad)
	left = p.mu.idle
	p.mu.Unlock()
	p.closeAll(bad)
	return left
}

// dial opens a connection. If descriptors are short, it gives up the idle connections
// first.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ConnectTimeout)
	defer cancel()
	nc, err := p.cfg.Dial(ctx, "tcp", address)
	if err != nil && OutOfDescriptors(err) && p.IdleConns() > 0 {
		p.CloseIdle()
		nc, err = p.cfg.Dial(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	c := &conn{ClientConn: httpframing.NewClientConn(nc), address: address}
	c.in = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// OutOfDescriptors reports whether a connection could not be opened for lack of
// descriptors, ports or buffers of this machine, which says nothing about the other
// side.
func OutOfDescriptors(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL)
}

// idleTime returns how long a connection may be idle after a response with header h.
func idleTime(h http.Header) time.Duration {
	idle := defaultIdleTime
	for _, line := range h["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			seconds, err := strconv.ParseFloat(strings.Trim(strings.TrimSpace(value), `"`), 64)
			if err != nil || !(seconds >= 0) { // NaN compares false
				return 0
			}
			idle = time.Duration(min(seconds, maxIdleTime.Seconds()+idleMargin.Seconds())*float64(time.Second)) - idleMargin
		}
	}
	return min(idle, maxIdleTime)
}
