package instance

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// networkFault is a fault that a proxy injects into its connections.
type networkFault int32

const (
	noFault networkFault = iota
	// delayBytes delays bytes in both directions by proxyDelay.
	delayBytes
	// resetConns resets open and new connections.
	resetConns
	// dropResponses drops what the server sends.
	dropResponses
	// dropAll drops all bytes but closes no connection.
	dropAll
	faultKinds
)

const proxyDelay = 150 * time.Millisecond

// proxy forwards connections on loopback to a server and injects network
// faults.
type proxy struct {
	net.Listener
	server string
	fault  atomic.Int32
	mu     sync.Mutex
	open   map[*net.TCPConn]bool
}

func newProxy(t *testing.T, server string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{Listener: l, server: server, open: map[*net.TCPConn]bool{}}
	go standin.ServeConns(l, func(c net.Conn) { p.serve(c.(*net.TCPConn)) })
	t.Cleanup(func() { _ = l.Close(); p.reset() })
	return p
}

// setFault changes the injected fault. resetConns resets open connections at
// once.
func (p *proxy) setFault(fault networkFault) {
	p.fault.Store(int32(fault))
	if fault == resetConns {
		p.reset()
	}
}

func (p *proxy) hasFault(fault networkFault) bool { return networkFault(p.fault.Load()) == fault }

func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) track(c *net.TCPConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.open[c] = true
	} else {
		delete(p.open, c)
	}
}

func (p *proxy) serve(c *net.TCPConn) {
	p.track(c, true)
	defer p.track(c, false)
	defer c.Close()
	if p.hasFault(resetConns) {
		_ = c.SetLinger(0)
		return
	}
	s, err := net.DialTimeout("tcp", p.server, time.Second)
	if err != nil {
		return
	}
	defer s.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.relay(s.(*net.TCPConn), c, false)
	}()
	p.relay(c, s.(*net.TCPConn), true)
	_ = c.Close()
	<-done
}

// relay forwards bytes until the source ends. If bytes were dropped, it resets
// the connection when the fault is over or the source ends, as happens after a
// partition; a reset of the source is passed on too.
func (p *proxy) relay(to, from *net.TCPConn, fromServer bool) {
	defer to.CloseWrite()
	buf := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		switch {
		case p.hasFault(dropAll) || p.hasFault(dropResponses) && fromServer:
			dropped = true
		case dropped:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		case p.hasFault(delayBytes):
			time.Sleep(proxyDelay)
		}
		if n > 0 && !dropped {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if dropped || err != io.EOF {
			_ = to.SetLinger(0)
			_ = to.Close()
		}
		return
	}
}
