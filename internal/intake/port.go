package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

const (
	// sweepInterval is the interval at which connections and bodies that are over
	// their time are looked for.
	sweepInterval = 250 * time.Millisecond
	// reportInterval is the interval at which what was refused is logged, one line for
	// each reason and port.
	reportInterval = time.Second
	// stallTime is the time without a byte after which a body counts as stalled, and
	// the age from which on a head counts as slow. Stalled bodies and slow heads go
	// first when memory or connections run out.
	stallTime = time.Second
	// missedSweep is the time between two sweeps from which on the process counts as
	// having been paused; what clients have sent meanwhile was not read.
	missedSweep = 2 * time.Second
	// maxVictims bounds the connections that are tried to make room for one.
	maxVictims = 8
)

// Limits bound what the clients of a port may take.
type Limits struct {
	// MaxConns is the number of open connections. When it is reached, slow heads,
	// stalled bodies and the connection that is idle longest are closed, in this
	// order. A connection on which a request is served is never closed.
	MaxConns int
	// MaxHeadBytes bounds a request head in bytes.
	MaxHeadBytes int
	// HeadTimeout is the time in which a head must have arrived, from its first byte or
	// from the start of the connection, and BodyTimeout that of a body.
	HeadTimeout, BodyTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// reason says why something was refused or closed.
type reason int

const (
	refusedMemory  reason = iota // a body or head without memory
	refusedConn                  // a connection over the bound, or one closed in its place
	refusedSlow                  // a head or body that did not arrive in time
	refusedTooLong               // a head over its limit
	reasons
)

var reasonNames = [reasons]string{"memory", "connections", "slow", "head_too_long"}

var reasonEvents = [reasons]event.Event{event.IntakeMemoryUsedUp, event.IntakeConnectionsUsedUp, event.IntakeClientSlow, event.IntakeHeadTooLong}

// Port is the intake of the connections of one listener.
type Port struct {
	name   string
	limits func() Limits
	budget *Budget
	log    *event.Logger
	start  time.Time
	// sinceStart is the time since start at the last sweep. Requests use it because it
	// costs less than a call of time.Now, which sweepInterval of precision does not need.
	sinceStart atomic.Int64
	// sequence orders connections that became idle between two sweeps.
	sequence atomic.Int64
	// http2Only is set if all connections use HTTP/2; net/http bounds their heads.
	http2Only bool
	// requestBytes and messageFactor times the bytes of the body are reserved for each
	// request until its body has arrived, and its bytes until the request ends, for
	// servers that read bodies themselves.
	requestBytes, messageFactor int64

	listener atomic.Pointer[listener]
	// drainBegan is the time since the start of the port at which Drain was first called;
	// 0 before.
	drainBegan atomic.Int64

	connMu sync.Mutex
	conns  map[*conn]struct{}
	bodyMu sync.Mutex
	bodies trackedBody // head of a ring

	refused  [reasons]atomic.Int64
	reported [reasons]int64

	// idHeader is the name of the header with the id of a request; empty if the log
	// does not name requests.
	idHeader   string
	unanswered [closeCauses]atomic.Int64
}

// NewPort returns the intake for the port with the given name, which is used in events
// and metrics. limits is called often. Without b the port has a budget of its own, and
// without log it logs nothing.
func NewPort(name string, limits func() Limits, b *Budget, log *event.Logger) *Port {
	if b == nil {
		b = NewBudget(0)
	}
	if log == nil {
		log = event.Nop()
	}
	p := &Port{name: name, limits: limits, budget: b, log: log, start: time.Now(), conns: map[*conn]struct{}{}}
	p.bodies.next, p.bodies.prev = &p.bodies, &p.bodies
	return p
}

// ReserveMessages makes the port reserve memory for requests whose bodies the handler
// decodes itself: perRequest bytes and factor times the bytes of the body until it has
// arrived, then its bytes until the request ends.
func (p *Port) ReserveMessages(perRequest, factor int64) {
	p.requestBytes, p.messageFactor = perRequest, factor
}

// Configure makes s a server of this port. Call it once, after the handler and hooks
// of s are set and before s serves.
func (p *Port) Configure(s *http.Server) {
	next, connContext, connState := s.Handler, s.ConnContext, s.ConnState
	s.Handler = p.handler(next)
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		if c := unwrap(nc); c != nil {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	p.http2Only = s.Protocols != nil && !s.Protocols.HTTP1()
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if connState != nil {
			connState(nc, state)
		}
		if c := unwrap(nc); c != nil {
			c.onState(state)
		}
	}
}

type connKey struct{}

func unwrap(nc net.Conn) *conn {
	if t, ok := nc.(interface{ NetConn() net.Conn }); ok { // TLS
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// Listen returns a listener whose connections are those of l within the limits.
func (p *Port) Listen(l net.Listener) net.Listener {
	w := &listener{Listener: l, port: p, lastTick: time.Now(), lastReport: time.Now()}
	p.listener.Store(w)
	// A timer, unlike a goroutine, takes no stack while it waits.
	armed := make(chan struct{})
	w.timer = time.AfterFunc(sweepInterval, func() { <-armed; p.tick(w) })
	close(armed)
	return w
}

type listener struct {
	net.Listener
	port   *Port
	closed atomic.Bool
	// lastTick and lastReport are used by tick only, which never runs twice at a time.
	lastTick, lastReport time.Time
	timer                *time.Timer
}

// Close stops listening. Connections that are open are still swept.
func (l *listener) Close() error {
	if n := l.waiting(); !l.closed.Swap(true) && n > 0 {
		l.port.unanswered[closedUnaccepted].Add(int64(n))
		l.port.log.Emit(event.IntakeRequestUnanswered, zap.String("port", l.port.name), zap.Stringer("cause", closedUnaccepted), zap.Int("connections", n))
	}
	return l.Listener.Close()
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}
		if c := l.port.admit(tcp); c != nil {
			return c, nil
		}
		_ = tcp.Close()
	}
}

// admit returns the connection for tcp, or nil if the limit is reached and no other
// connection can be closed in its place.
func (p *Port) admit(tcp *net.TCPConn) *conn {
	limit := p.limits().MaxConns
	c, err := newConn(tcp, p)
	if err != nil {
		return nil // closed already
	}
	p.connMu.Lock()
	defer p.connMu.Unlock()
	if limit > 0 && len(p.conns) >= limit {
		p.count(refusedConn)
		victim := p.victim()
		if victim == nil {
			return nil
		}
		delete(p.conns, victim)
		_ = victim.TCPConn.Close()
	}
	p.conns[c] = struct{}{}
	return c
}

// victim marks a connection as closed and returns it: one with a slow head, a stalled
// body, the one that is idle longest, or one with any head, in this order. None is one on
// which bytes wait to be handled. connMu is held.
func (p *Port) victim() *conn {
	now := time.Since(p.start)
	tried := map[*conn]bool{}
	for range maxVictims {
		var best *conn
		bestRank, bestSince := 0, int64(0)
		for c := range p.conns {
			if tried[c] {
				continue
			}
			rank, since := 0, c.since.Load()
			switch phase := c.phase.Load(); {
			case phase == phaseHead && now-time.Duration(since) > stallTime:
				rank = 4
			case phase == phaseBody && c.stalled(now):
				rank = 3
			case phase == phaseIdle:
				rank = 2
			case phase == phaseHead:
				rank = 1
			}
			if rank > bestRank || rank > 0 && rank == bestRank && since < bestSince {
				best, bestRank, bestSince = c, rank, since
			}
		}
		if best == nil {
			return nil
		}
		phase := [...]int32{phaseClosed, phaseHead, phaseIdle, phaseBody, phaseHead}[bestRank]
		if best.markClosed(phase) {
			return best
		}
		tried[best] = true
	}
	return nil
}

func (p *Port) remove(c *conn) {
	p.connMu.Lock()
	defer p.connMu.Unlock()
	delete(p.conns, c)
}

// Connections returns the number of open connections.
func (p *Port) Connections() int {
	p.connMu.Lock()
	defer p.connMu.Unlock()
	return len(p.conns)
}

// now returns a time since the start of the port that is up to sweepInterval old and
// later than that of earlier calls between two sweeps.
func (p *Port) now() int64 { return p.sinceStart.Load() + p.sequence.Add(1)%int64(sweepInterval) }

func (p *Port) count(r reason) { p.refused[r].Add(1) }

// tick looks for what is over its time and arms the timer for the next time, as long as
// the listener or a connection is open.
func (p *Port) tick(l *listener) {
	now := time.Now()
	p.sinceStart.Store(int64(now.Sub(p.start)))
	if now.Sub(l.lastTick) < missedSweep {
		p.sweep(now.Sub(p.start))
	} else {
		p.forgive(now.Sub(l.lastTick))
	}
	l.lastTick = now
	if now.Sub(l.lastReport) >= reportInterval {
		l.lastReport = now
		p.report()
	}
	if l.closed.Load() && p.Connections() == 0 {
		p.report()
		return
	}
	l.timer.Reset(sweepInterval)
}

// sweep closes connections and refuses bodies that are over their time.
func (p *Port) sweep(now time.Duration) {
	limits := p.limits()
	var late []*conn
	p.connMu.Lock()
	for c := range p.conns {
		age, phase := now-time.Duration(c.since.Load()), c.phase.Load()
		slow := phase == phaseHead && limits.HeadTimeout > 0 && age > limits.HeadTimeout
		if slow || phase == phaseIdle && limits.IdleTimeout > 0 && age > limits.IdleTimeout {
			if c.markClosed(phase) {
				delete(p.conns, c)
				late = append(late, c)
				if slow {
					p.count(refusedSlow)
				}
			}
		}
	}
	p.connMu.Unlock()
	for _, c := range late {
		_ = c.TCPConn.Close()
	}
	pressed := p.budget.underPressure()
	var ended []*trackedBody
	p.bodyMu.Lock()
	for b := p.bodies.next; b != &p.bodies; b = b.next {
		deadline := b.deadline.Load()
		switch {
		case limits.BodyTimeout > 0 && now-b.begun > limits.BodyTimeout, deadline > 0 && int64(now) > deadline:
			if b.refusal.CompareAndSwap(0, int32(refusedSlow)+1) {
				p.count(refusedSlow)
			}
			ended = append(ended, b)
		case pressed && now-time.Duration(b.progress.Load()) > stallTime:
			if b.refusal.CompareAndSwap(0, int32(refusedMemory)+1) {
				p.count(refusedMemory)
			}
			ended = append(ended, b)
		}
	}
	p.bodyMu.Unlock()
	for _, b := range ended {
		b.interrupt()
	}
	p.budget.exhausted.Store(false)
}

// forgive leaves out a time in which the process was paused.
func (p *Port) forgive(pause time.Duration) {
	p.connMu.Lock()
	defer p.connMu.Unlock()
	now := int64(time.Since(p.start))
	for c := range p.conns {
		c.since.Store(min(c.since.Load()+int64(pause), now)) // some began after the pause
	}
	p.bodyMu.Lock()
	defer p.bodyMu.Unlock()
	for b := p.bodies.next; b != &p.bodies; b = b.next {
		b.begun += pause
		b.progress.Add(int64(pause))
	}
}

func (p *Port) report() {
	for r := range reasons {
		if n := p.refused[r].Load(); n > p.reported[r] {
			p.log.Emit(reasonEvents[r], zap.String("port", p.name), zap.Int64("count", n-p.reported[r]),
				zap.Int("connections", p.Connections()), zap.Int64("reserved", p.budget.Used()), zap.Int64("budget", p.budget.Limit()))
			p.reported[r] = n
		}
	}
}

// handler wraps the handler of a server of the port.
func (p *Port) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if r.ProtoMajor > 1 {
			c = nil // the state of the connection is not that of the request
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		if c != nil && !c.begin(hasBody) {
			panic(http.ErrAbortHandler) // the connection was closed before the request began
		}
		if !hasBody {
			next.ServeHTTP(w, r)
			return
		}
		b := p.track(w, r, c)
		defer b.end()
		if n := p.requestBytes; n > 0 && !b.reserve(n) {
			b.refusal.Store(int32(refusedMemory) + 1)
			p.count(refusedMemory)
		}
		next.ServeHTTP(w, &b.request)
		if c != nil && !b.complete.Load() {
			b.drain(w, r)
		}
	})
}
