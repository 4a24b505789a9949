package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Observer receives the measurements of admission. Its methods are called
// concurrently and without locks held.
type Observer interface {
	// Admitted reports the queue time of an admitted request; 0 if it did not wait.
	Admitted(team string, waited time.Duration)
	// Refused reports a refusal. withinRate is true if the requests of the team
	// that arrived at this instance, this one included, are within the team's
	// whole rate and burst.
	Refused(team string, code result.Code, withinRate bool)
}

type nopObserver struct{}

func (nopObserver) Admitted(string, time.Duration)    {}
func (nopObserver) Refused(string, result.Code, bool) {}

// TeamLimits returns a team's published rate, in tokens per second, and burst,
// in tokens, both for all instances together.
type TeamLimits func(team string) (rate, burst float64, ok bool)

// Defaults of Config.
const (
	DefaultMaxQueuedPerTeam = 512
	DefaultMaxQueued        = 4096
	DefaultMaxWait          = 30 * time.Second
)

// Config configures a Manager. Zero values select the defaults.
type Config struct {
	Tokens lease.TokenHolder
	Slots  lease.SlotHolder
	// MaxQueuedPerTeam and MaxQueued bound the number of queued requests.
	MaxQueuedPerTeam, MaxQueued int
	// MaxWait bounds the queue time of requests, whatever their deadline.
	MaxWait time.Duration
	// Limits is optional; without it no request counts as within its rate.
	Limits   TeamLimits
	Observer Observer
	Log      *event.Logger
	// Now is the time source of deadlines and estimates; time.Now if nil.
	Now func() time.Time
}

// Manager admits requests. It implements Admitter.
//
// Debits and slots are acquired without holding mu, because the locks of package
// lease come before mu in the lock order. Only one goroutine at a time, the one
// that set serving, acquires them for queued requests; others set rerun.
type Manager struct {
	cfg   Config
	start time.Time
	mu    struct {
		sync.Mutex
		q            *queue
		serving      bool
		rerun        bool
		servingEnded *sync.Cond // signalled when serving becomes false
		stopped      bool
		demand       demandBuckets
		// Unused: reportDemand takes the changed demand from q.
		tokens []tokenDemand
		slots  []slotDemand
	}
	deadlineAdded chan struct{} // makes Run reset its timer
	outstanding   atomic.Int64
	// queueLength is a copy of q.total for reading without mu; it may be too large
	// for a moment. It is increased before the queued request tries to acquire its
	// allocation, so a caller that releases a slot and then reads 0 need not serve
	// the queue.
	queueLength atomic.Int64
}

// New returns a Manager. Queued requests are served reliably only while Run
// runs; requests that need not wait are admitted without it.
func New(cfg Config) *Manager {
	if cfg.MaxQueuedPerTeam <= 0 {
		cfg.MaxQueuedPerTeam = DefaultMaxQueuedPerTeam
	}
	if cfg.MaxQueued <= 0 {
		cfg.MaxQueued = DefaultMaxQueued
	}
	if cfg.MaxWait <= 0 {
		cfg.MaxWait = DefaultMaxWait
	}
	if cfg.Observer == nil {
		cfg.Observer = nopObserver{}
	}
	if cfg.Log == nil {
		cfg.Log = event.Nop()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	m := &Manager{cfg: cfg, start: cfg.Now(), deadlineAdded: make(chan struct{}, 1)}
	m.mu.q = newQueue(bounds{perTeam: cfg.MaxQueuedPerTeam, total: cfg.MaxQueued})
	m.mu.servingEnded = sync.NewCond(&m.mu)
	return m
}

func (m *Manager) now() time.Duration { return m.cfg.Now().Sub(m.start) }

// Outstanding returns the number of tickets for which Done was not called yet.
func (m *Manager) Outstanding() int { return int(m.outstanding.Load()) }

// Queued returns the number of queued requests.
func (m *Manager) Queued() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.q.total
}

// EstimateWait estimates how long a new request waits for a slot of the targets.
// It also counts the queued requests that could use these targets and wait for
// slots rather than for tokens.
func (m *Manager) EstimateWait(targets []string) (wait time.Duration, queued int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range targets {
		if t := m.mu.q.targets[name]; t != nil && t.pool.slotWaiters > queued {
			ahead, _ := t.pool.slotBacklog(nil)
			wait, queued = estimateWait(ahead, &t.pool.serviceRate, m.now()), t.pool.slotWaiters
		}
	}
	return wait, queued
}

// minRetryInterval is the shortest time between two retries caused by Changed.
// Without it Run could loop: releasing a slot that could not be used for want of
// tokens may itself signal Changed.
const minRetryInterval = 5 * time.Millisecond

// maxRetryInterval is the longest time between two retries while requests are
// queued, in case a signal of the lease holder was received before its effect was
// visible.
const maxRetryInterval = 100 * time.Millisecond

// sweepInterval is the interval at which the state of idle teams is deleted.
const sweepInterval = 10 * time.Second

// Run serves queued requests until ctx is done, then refuses those still queued
// and withdraws all demand from the lease holder.
func (m *Manager) Run(ctx context.Context) error {
	timer := time.NewTimer(maxRetryInterval)
	defer timer.Stop()
	lastSweep := m.now()
	for retry := true; ; {
		changed := m.cfg.Tokens.Changed()
		if retry {
			m.retryQueued()
		}
		retry = true
		if now := m.now(); now-lastSweep > sweepInterval {
			lastSweep = now
			m.mu.Lock()
			m.mu.q.sweep(now)
			m.mu.demand.sweep(now)
			m.mu.Unlock()
		}
		timer.Reset(m.timeToNextRound())
		select {
		case <-ctx.Done():
			m.stop()
			return nil
		case <-timer.C:
		case <-m.deadlineAdded:
			retry = false // only the earliest deadline may have changed
		case <-changed:
			timer.Reset(minRetryInterval)
			select {
			case <-ctx.Done():
				m.stop()
				return nil
			case <-timer.C:
			}
		}
	}
}

// timeToNextRound returns the time until Run must retry the queued requests.
func (m *Manager) timeToNextRound() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.mu.q.nextDeadline()
	if !ok {
		return sweepInterval
	}
	return min(max(d-m.now(), time.Millisecond), maxRetryInterval)
}

// retryQueued retries all queued requests, since balances may have increased or
// slots become idle.
func (m *Manager) retryQueued() {
	m.mu.Lock()
	m.mu.q.capacityChanged()
	m.mu.Unlock()
	m.serve()
}

// stop refuses all queued requests. It returns once all demand is withdrawn,
// also if another goroutine is serving.
func (m *Manager) stop() {
	m.mu.Lock()
	m.mu.stopped = true
	m.mu.Unlock()
	m.serve()
	m.waitNoneServing()
}

// waitNoneServing returns when no goroutine serves the queue.
func (m *Manager) waitNoneServing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.mu.serving {
		m.mu.servingEnded.Wait()
	}
}
