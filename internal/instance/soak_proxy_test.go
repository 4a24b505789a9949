package instance

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// trouble is what a proxy does to its connections.
type trouble int32

const (
	none trouble = iota
	// delayed holds bytes back for a while in both directions.
	delayed
	// resets resets open and new connections.
	resets
	// oneWay loses what the server sends.
	oneWay
	// silent loses everything and closes nothing.
	silent
	troubles
)

const proxyDelay = 150 * time.Millisecond

// proxy passes connections on loopback on to a server and disturbs them.
type proxy struct {
	net.Listener
	server string
	now    atomic.Int32
	mu     sync.Mutex
	open   map[*net.TCPConn]bool
}

func newProxy(t *testing.T, server string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{Listener: l, server: server, open: map[*net.TCPConn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() { _ = l.Close(); p.reset() })
	return p
}

// set changes what the proxy does; open connections are reset with resets.
func (p *proxy) set(x trouble) {
	p.now.Store(int32(x))
	if x == resets {
		p.reset()
	}
}

func (p *proxy) is(x trouble) bool { return trouble(p.now.Load()) == x }

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
	if p.is(resets) {
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
		p.copy(s.(*net.TCPConn), c, false)
	}()
	p.copy(c, s.(*net.TCPConn), true)
	_ = c.Close()
	<-done
}

// copy passes bytes on until the source ends. Bytes that were lost end the
// connection when the trouble is over, as they would after a partition.
func (p *proxy) copy(to, from *net.TCPConn, answers bool) {
	defer to.CloseWrite()
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		switch {
		case p.is(silent) || p.is(oneWay) && answers:
			lost = true
		case lost:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		case p.is(delayed):
			time.Sleep(proxyDelay)
		}
		if n > 0 && !lost {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
