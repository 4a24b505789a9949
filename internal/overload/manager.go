package overload

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// retryInterval is the time after which a pass is made without a trigger while
	// requests wait.
	retryInterval = 50 * time.Millisecond
	// foldInterval is the least time between two updates of the rates of work.
	foldInterval = 10 * time.Millisecond
	// defaultEntries bounds the requests waiting for one service if no limit is set.
	defaultEntries = 512
	// defaultBytes bounds the memory of waiting requests of one service if no limit is
	// set.
	defaultBytes = 16 << 20
)

// ErrGone is returned for a waiting request whose context has ended.
var ErrGone = errors.New("the caller disconnected or its time ran out while the request waited")

// RefusedError is returned for a request that was refused.
type RefusedError struct{ Refusal }

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// Try tries to place a waiting request. It reports whether the request leaves the
// queue, placed or failed. It is called with a lock held and must not call methods of
// the Manager that take it.
type Try func(mode Mode, now time.Time) bool

// Manager keeps the queues of all services of an instance.
type Manager struct {
	limits   Limits
	log      *event.Logger
	services sync.Map // name to *service
	stopped  atomic.Bool
}

// service is the queue of one service with what is needed to wait in it.
type service struct {
	name    string
	waiting atomic.Int32
	// arrived and started are work in nanoseconds since the last fold.
	arrived [ranks]atomic.Int64
	started atomic.Int64
	starts  atomic.Int64
	teams   sync.Map // name to *atomic.Int64
	window  window
	ended   atomic.Int64 // requests at local targets since the last fold
	mu      sync.Mutex
	queue   *Queue
	timer   *time.Timer
	counts  counts
	freed   rate
	folded  time.Time
	// promises is the number of promised returns.
	promises atomic.Int32
}

// waiter is what a waiting request is woken with.
type waiter struct {
	try     Try
	done    chan struct{}
	refusal *Refusal // set before done is closed if the request was refused
}

// NewManager returns a Manager without waiting requests. Zero limits are replaced by
// defaults.
func NewManager(l Limits, log *event.Logger) *Manager {
	if l.Entries <= 0 {
		l.Entries = defaultEntries
	}
	if l.Bytes <= 0 {
		l.Bytes = defaultBytes
	}
	return &Manager{limits: l, log: log}
}

func (m *Manager) service(name string) *service {
	if s, ok := m.services.Load(name); ok {
		return s.(*service)
	}
	s, _ := m.services.LoadOrStore(name, &service{name: name, queue: NewQueue(m.limits), freed: rate{tau: rateWindow}})
	return s.(*service)
}

// Waiting returns the number of requests that wait for a service.
func (m *Manager) Waiting(name string) int { return int(m.service(name).waiting.Load()) }

// Arrived and Started record the work of a request of a service when it arrives and
// when it is sent to a target or a region. They take no lock.
func (m *Manager) Arrived(name, team string, rank int, work time.Duration) {
	s := m.service(name)
	s.arrived[RankIndex(rank)].Add(int64(work))
	arrived, ok := s.teams.Load(team)
	if !ok {
		arrived, _ = s.teams.LoadOrStore(team, new(atomic.Int64))
	}
	arrived.(*atomic.Int64).Add(int64(work))
}

// Started is described at Arrived.
func (m *Manager) Started(name string, work time.Duration) {
	s := m.service(name)
	s.started.Add(int64(work))
	s.starts.Add(1)
}

// SetPeers passes on what the other instances of the region report of the services
// that this instance has requests for.
func (m *Manager) SetPeers(heartbeats map[string]*peerv1.FleetRow) {
	m.services.Range(func(_, value any) bool {
		s := value.(*service)
		freed, queued := 0.0, 0
		for _, hb := range heartbeats {
			for _, p := range hb.GetPools() {
				if p.GetService() == s.name {
					freed, queued = freed+float64(p.GetFreedPerS()), queued+int(p.GetQueued())
				}
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.queue.SetPeers(freed, queued)
		return true
	})
}

// Full reports whether this instance has as many requests at the local targets of a
// service as they accept from it; see window.
func (m *Manager) Full(name string) bool { return m.service(name).window.full() }

// Windowed reports whether a window applies to the local targets of a service.
func (m *Manager) Windowed(name string) bool { return m.service(name).window.active() }

// Observe records the requests at the engines of a service and their slots, while
// requests wait or a window applies.
func (m *Manager) Observe(name string, running, slots int) {
	if s := m.service(name); s.waiting.Load() > 0 || s.window.active() {
		s.window.observe(running, slots, time.Now())
	}
}

// Begin records that a local target was chosen for a request.
func (m *Manager) Begin(name string) { m.service(name).window.begin() }

// End records the end of the attempt after Begin. rejected is set if the target
// rejected the request because it was full.
func (m *Manager) End(name string, rejected bool) {
	s := m.service(name)
	s.window.end(rejected)
	if !rejected {
		s.ended.Add(1)
	}
}

// Acquire waits until try places the request, and returns nil then; otherwise a
// *RefusedError, or ErrGone if ctx ends first.
func (m *Manager) Acquire(ctx context.Context, name string, r Request, try Try) error {
	s, now := m.service(name), time.Now()
	w := &waiter{try: try, done: make(chan struct{})}
	s.mu.Lock()
	if m.stopped.Load() {
		s.mu.Unlock()
		return &RefusedError{Refusal{Reason: Stopping}}
	}
	s.fold(now)
	e, refusal, displaced := s.queue.Offer(r, now)
	if displaced != nil {
		m.refuse(s, displaced, s.queue.Drop(displaced, Displaced, now), now)
	}
	if refusal != nil && try(SpareOnly, now) {
		s.mu.Unlock()
		return nil
	}
	if refusal != nil {
		s.counts.refused(*refusal)
		s.promises.Store(int32(len(s.queue.schedule.promises)))
		s.mu.Unlock()
		return &RefusedError{*refusal}
	}
	e.value = w
	m.pass(s, now)
	s.mu.Unlock()
	select {
	case <-w.done:
	case <-ctx.Done():
		s.mu.Lock()
		waits := s.queue.Remove(e)
		s.waiting.Store(int32(s.queue.Len()))
		s.mu.Unlock()
		if waits {
			return ErrGone
		}
		<-w.done
	}
	if w.refusal != nil {
		return &RefusedError{*w.refusal}
	}
	return nil
}

// Refuse returns the refusal of a request that may not wait. ok is false if too little
// work was started lately to promise a time.
func (m *Manager) Refuse(name string, r Request) (refusal Refusal, ok bool) {
	s, now := m.service(name), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fold(now)
	if s.queue.idle() {
		return Refusal{}, false
	}
	refusal = *s.queue.Refuse(r, NoRoom, now)
	s.counts.refused(refusal)
	s.promises.Store(int32(len(s.queue.schedule.promises)))
	return refusal, true
}

// Returned removes the promise to the caller of a request that was placed without
// waiting, if there is one. key is only called if there are promises.
func (m *Manager) Returned(name string, key func() uint64) {
	s := m.service(name)
	if s.promises.Load() == 0 {
		return
	}
	k := key()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.schedule.match(k, time.Now())
	s.promises.Store(int32(len(s.queue.schedule.promises)))
}

// Freed starts waiting requests of a service after one of its requests has ended.
func (m *Manager) Freed(name string) {
	s := m.service(name)
	if s.waiting.Load() == 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m.pass(s, now)
}

// Refresh starts waiting requests of all services after the estimated load of the
// targets has changed. It must be called at least a few times a second.
func (m *Manager) Refresh() {
	m.services.Range(func(_, value any) bool {
		s, now := value.(*service), time.Now()
		s.window.relax(now)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fold(now)
		m.pass(s, now)
		return true
	})
}

// Stop refuses all waiting requests, and those that come later.
func (m *Manager) Stop() {
	m.stopped.Store(true)
	m.services.Range(func(_, value any) bool {
		s, now := value.(*service), time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		for len(s.queue.entries) > 0 {
			e := s.queue.entries[0]
			s.queue.Remove(e)
			m.refuse(s, e, &Refusal{Reason: Stopping}, now)
		}
		s.waiting.Store(0)
		return true
	})
}

// fold passes the work counted since the last call to the queue.
func (s *service) fold(now time.Time) {
	if now.Sub(s.folded) < foldInterval {
		return
	}
	s.folded = now
	s.freed.add(float64(s.ended.Swap(0)), now)
	w := Work{Teams: map[string]time.Duration{}, Started: time.Duration(s.started.Swap(0)), Starts: int(s.starts.Swap(0))}
	for i := range s.arrived {
		w.Arrived[i] = time.Duration(s.arrived[i].Swap(0))
	}
	s.teams.Range(func(team, arrived any) bool {
		if d := arrived.(*atomic.Int64).Swap(0); d > 0 {
			w.Teams[team.(string)] = time.Duration(d)
		}
		return true
	})
	s.queue.RecordWork(w, now)
}

// pass releases requests without prospects and starts others. The caller holds s.mu.
func (m *Manager) pass(s *service, now time.Time) {
	if s.queue.Len() > 0 {
		for _, e := range s.queue.Hopeless(now) {
			m.refuse(s, e, s.queue.Drop(e, Released, now), now)
		}
		s.queue.Start(now, func(e *Entry, mode Mode) bool {
			if !e.value.(*waiter).try(mode, now) {
				return false
			}
			s.counts.started(e.Waited(now))
			m.log.Emit(event.RequestDequeued, zap.String("request", e.ID), zap.String("service", s.name), zap.Duration("waited", e.Waited(now)), zap.Bool("returned", e.Returned), zap.Int("rank", e.Rank))
			close(e.value.(*waiter).done)
			return true
		})
	}
	s.promises.Store(int32(len(s.queue.schedule.promises)))
	n := s.queue.Len()
	s.waiting.Store(int32(n))
	if n > 0 && s.timer == nil {
		s.timer = time.AfterFunc(retryInterval, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.timer = nil
			now := time.Now()
			s.fold(now)
			m.pass(s, now)
		})
	}
}

// refuse wakes a waiting request, which has left the queue, with its refusal.
func (m *Manager) refuse(s *service, e *Entry, r *Refusal, now time.Time) {
	s.counts.refused(*r)
	ev := event.WaitEnded
	if r.Reason == Displaced {
		ev = event.RequestDisplaced
	}
	m.log.Emit(ev, zap.String("request", e.ID), zap.String("service", s.name), zap.String("reason", string(r.Reason)), zap.Duration("waited", e.Waited(now)), zap.Duration("retry_after", r.RetryAfter))
	e.value.(*waiter).refusal = r
	close(e.value.(*waiter).done)
}
