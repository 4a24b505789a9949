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

// Observer receives what admission measures. Its methods are called without
// locks held, by many goroutines.
type Observer interface {
	// Admitted reports the time a request waited; 0 if it did not.
	Admitted(team string, waited time.Duration)
	// Refused reports a refusal. withinRate is true if the requests of the team
	// that arrived at this instance, this one included, are within the team's
	// whole rate and burst.
	Refused(team string, code result.Code, withinRate bool)
}

type nopObserver struct{}

func (nopObserver) Admitted(string, time.Duration)    {}
func (nopObserver) Refused(string, result.Code, bool) {}

// TeamLimits gives the published rate, in tokens per second, and burst, in tokens,
// of a team over all instances.
type TeamLimits func(team string) (rate, burst float64, ok bool)

// Defaults of Config.
const (
	DefaultMaxQueuedPerTeam = 512
	DefaultMaxQueued        = 4096
	DefaultMaxWait          = 30 * time.Second
)

// Config configures a Manager. Zero values give the defaults.
type Config struct {
	Tokens lease.TokenHolder
	Slots  lease.SlotHolder
	// MaxQueuedPerTeam and MaxQueued bound the number of queued requests.
	MaxQueuedPerTeam, MaxQueued int
	// MaxWait bounds the waiting time of requests, whatever their deadline.
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
// Rights are taken without holding mu, since the lock of grant comes before
// that of admit in the lock order. One goroutine at a time, the one that set
// serving, takes rights for queued requests; others leave a note in again.
type Manager struct {
	cfg   Config
	start time.Time
	mu    struct {
		sync.Mutex
		q       *queue
		serving bool
		again   bool
		idle    *sync.Cond // signalled when serving ends
		stopped bool
		shadow  shadows
		// demands that were collected under mu and are not stated yet.
		tokens []tokenDemand
		slots  []slotDemand
	}
	timer       chan struct{} // wakes Run to set its timer anew
	outstanding atomic.Int64
	// queued follows the length of the queue. It is raised before the queued
	// request looks for rights, so that a caller that frees a slot and then
	// reads 0 need not wake anyone.
	queued atomic.Int64
}

// New returns a Manager. Run must be called for requests that wait to be
// served reliably; requests that need not wait are admitted without it.
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
	m := &Manager{cfg: cfg, start: cfg.Now(), timer: make(chan struct{}, 1)}
	m.mu.q = newQueue(bounds{perTeam: cfg.MaxQueuedPerTeam, total: cfg.MaxQueued})
	m.mu.idle = sync.NewCond(&m.mu)
	return m
}

func (m *Manager) now() time.Duration { return m.cfg.Now().Sub(m.start) }

// Outstanding is the number of tickets that Done has not ended yet.
func (m *Manager) Outstanding() int { return int(m.outstanding.Load()) }

// Queued is the number of queued requests.
func (m *Manager) Queued() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.q.total
}

// EstimateWait estimates how long a new request waits for a slot of the targets, and
// counts the requests that could use them and wait for slots rather than for
// tokens.
func (m *Manager) EstimateWait(targets []string) (wait time.Duration, queued int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range targets {
		if t := m.mu.q.targets[name]; t != nil && t.pool.ready > queued {
			ahead, _ := t.pool.ahead(nil)
			wait, queued = estimate(ahead, &t.pool.service, m.now()), t.pool.ready
		}
	}
	return wait, queued
}

// retryFloor is the shortest time between two rounds caused by Changed.
// Returning a slot that was taken in vain may itself signal Changed.
const retryFloor = 5 * time.Millisecond

// retryCeiling is the longest time between two rounds, in case a signal of
// the holder was consumed before its effect was visible.
const retryCeiling = 100 * time.Millisecond

// sweepEvery is the interval at which idle state is dropped.
const sweepEvery = 10 * time.Second

// Run serves queued requests until ctx ends, then refuses those still queued
// and withdraws all demand.
func (m *Manager) Run(ctx context.Context) error {
	timer := time.NewTimer(retryCeiling)
	defer timer.Stop()
	lastSweep := m.now()
	for retry := true; ; {
		changed := m.cfg.Tokens.Changed()
		if retry {
			m.round()
		}
		retry = true
		if now := m.now(); now-lastSweep > sweepEvery {
			lastSweep = now
			m.mu.Lock()
			m.mu.q.sweep(now)
			m.mu.shadow.sweep(now)
			m.mu.Unlock()
		}
		timer.Reset(m.untilNext())
		select {
		case <-ctx.Done():
			m.stop()
			return nil
		case <-timer.C:
		case <-m.timer:
			retry = false // only the time of the next deadline may have changed
		case <-changed:
			timer.Reset(retryFloor)
			select {
			case <-ctx.Done():
				m.stop()
				return nil
			case <-timer.C:
			}
		}
	}
}

// untilNext returns the time until the queue must be looked at again.
func (m *Manager) untilNext() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.mu.q.nextDeadline()
	if !ok {
		return sweepEvery
	}
	return min(max(d-m.now(), time.Millisecond), retryCeiling)
}

// round retries everything, as balances or slots may have risen.
func (m *Manager) round() {
	m.mu.Lock()
	m.mu.q.changed()
	m.mu.Unlock()
	m.serve()
}

// stop refuses all queued requests. It returns when no demand is stated any
// more, also if another goroutine is serving.
func (m *Manager) stop() {
	m.mu.Lock()
	m.mu.stopped = true
	m.mu.Unlock()
	m.serve()
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.mu.serving {
		m.mu.idle.Wait()
	}
}
