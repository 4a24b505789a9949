package configversion

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

const (
	// guardPeriod between ticks of the pause detection.
	guardPeriod = 100 * time.Millisecond
	// pauseLimit: a longer gap between ticks counts as a pause.
	pauseLimit = 500 * time.Millisecond
	// confirmPause between attempts to confirm the edition.
	confirmPause = 200 * time.Millisecond
	// confirmTimeout of one attempt with peers.
	confirmTimeout = 500 * time.Millisecond
	// serviceFresh: an answer of the service counts for this long.
	serviceFresh = 2 * time.Second
	// maxAskAll and askParallel bound the peers asked when three do not
	// suffice: after a restart of all but one, that one must be found.
	maxAskAll   = 512
	askParallel = 32
	// allPausedTime: if for this long the service and every peer that could
	// confirm were unreachable, but peers that were paused too answered, the
	// newest edition among them is taken as confirmed. Otherwise a pause of the
	// whole fleet while the service is down would never end.
	allPausedTime = 5 * time.Second
)

// Confirmer is what the request path and the watchdog need.
type Confirmer interface {
	// Paused is true from the moment a pause of the process can be noticed
	// until the edition was confirmed. No request may be served meanwhile.
	Paused() bool
	// Confirm asks a peer or the service for the edition in force.
	Confirm(ctx context.Context) error
	// NotePause reports a pause that another watchdog noticed.
	NotePause()
	// TooOld is true if the edition was not confirmed for longer than
	// max_edition_age.
	TooOld() bool
}

var _ Confirmer = (*Manager)(nil)

// guard tells whether the edition in force may be relied on. A process starts
// paused: an edition read from a stale replica of the service must not be used
// before the peers were asked.
type guard struct {
	mu struct {
		sync.Mutex
		lastTick  time.Duration
		paused    bool
		began     time.Duration // of the pause, if paused
		confirmed time.Duration // time of the last confirmation of the table
		service   time.Duration // start of the last call to the service whose answer was not older
	}
	attempt chan struct{} // capacity 1: one attempt at a time
}

func (g *guard) init(now time.Duration) {
	g.attempt = make(chan struct{}, 1)
	g.mu.lastTick, g.mu.confirmed, g.mu.began = now, now, now
	g.mu.paused = true
	g.mu.service = now - 2*serviceFresh
}

// check notices a pause and returns whether the process counts as paused.
func (g *guard) check(now time.Duration, tick bool) (paused, began bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now-g.mu.lastTick > pauseLimit && !g.mu.paused {
		g.mu.paused, began = true, true
		g.mu.began = now
	}
	if tick || began {
		g.mu.lastTick = now
	}
	return g.mu.paused, began
}

func (m *Manager) check(tick bool) bool {
	paused, began := m.guard.check(m.now(), tick)
	if began {
		m.cfg.Log.Emit(event.PauseDetected)
	}
	return paused
}

// Paused implements Confirmer. It looks at the clock itself, because after a
// pause a request may be handled before the ticker of the watchdog runs.
func (m *Manager) Paused() bool { return m.check(false) }

// NotePause implements Confirmer.
func (m *Manager) NotePause() {
	now := m.now()
	m.guard.mu.Lock()
	defer m.guard.mu.Unlock()
	if !m.guard.mu.paused {
		m.guard.mu.paused, m.guard.mu.began = true, now
	}
}

// confirmed notes that a source has the text in force and nothing newer.
func (m *Manager) confirmed(name string) {
	if name != confservice.TableName {
		return
	}
	now := m.now()
	m.guard.mu.Lock()
	defer m.guard.mu.Unlock()
	m.guard.mu.confirmed = now
}

// serviceAnswered notes that a call that began at the given time showed that
// the service has no older edition than this instance. An answer to a call
// that began before a pause may be older than the pause and does not count.
func (m *Manager) serviceAnswered(name string, began time.Duration) {
	if name != confservice.TableName {
		return
	}
	m.guard.mu.Lock()
	defer m.guard.mu.Unlock()
	m.guard.mu.service = began
}

// Age returns the time since the service or a peer last confirmed the edition
// in force, or since the start.
func (m *Manager) Age() time.Duration {
	now := m.now()
	m.guard.mu.Lock()
	defer m.guard.mu.Unlock()
	return now - m.guard.mu.confirmed
}

// TooOld implements Confirmer.
func (m *Manager) TooOld() bool { return m.Age() > m.cfg.MaxAge }

// Confirm implements Confirmer. It returns nil once the instance does not
// count as paused.
func (m *Manager) Confirm(ctx context.Context) error {
	var service serviceTurn
	for m.Paused() {
		select {
		case m.guard.attempt <- struct{}{}:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "confirming the edition")
		}
		if m.Paused() {
			m.tryConfirm(ctx, &service)
		}
		<-m.guard.attempt
		if !m.Paused() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "confirming the edition")
		case <-time.After(confirmPause):
		}
	}
	return nil
}

// serviceTurn spaces the reads of the service while it fails.
type serviceTurn struct {
	backoff confservice.Backoff
	due     time.Duration
}

// tryConfirm asks three peers and waits for all their answers, so that the
// newest one counts. If none of them confirms, it asks all others and then the
// service.
func (m *Manager) tryConfirm(ctx context.Context, service *serviceTurn) {
	if m.table.current().Revision == 0 {
		return // nothing to confirm; start obtains the first edition
	}
	source := "peer"
	confirmed, pausedPeers := m.ask(ctx, m.peersToAsk())
	if !confirmed {
		var paused bool
		confirmed, paused = m.ask(ctx, m.allPeers())
		pausedPeers = pausedPeers || paused
	}
	if !confirmed {
		source = "service"
		confirmed = m.askService(ctx, service)
	}
	now := m.now()
	m.guard.mu.Lock()
	if !confirmed && pausedPeers && now-m.guard.mu.began > allPausedTime {
		confirmed, source = true, "paused peers"
	}
	if confirmed {
		m.guard.mu.paused, m.guard.mu.lastTick, m.guard.mu.confirmed = false, now, now
	}
	m.guard.mu.Unlock()
	if confirmed {
		m.cfg.Log.Emit(event.EditionConfirmed, zap.String("source", source))
	}
}

// askService reports whether the service answered lately, or answers now, with
// an edition that is not older than the one in force.
func (m *Manager) askService(ctx context.Context, service *serviceTurn) bool {
	fresh := func() bool {
		now := m.now()
		m.guard.mu.Lock()
		defer m.guard.mu.Unlock()
		return m.guard.mu.service >= m.guard.mu.began && now-m.guard.mu.service < serviceFresh
	}
	if fresh() {
		return true
	}
	if m.now() < service.due {
		return false
	}
	began := m.now()
	if m.table.read(ctx) != nil || !fresh() {
		service.due = m.now() + service.backoff.Next(rand.Float64())
		return false
	}
	return m.now()-began < serviceFresh
}

// ask reports whether a peer confirmed the edition, and whether one that was
// paused itself answered. A pause during the questions makes the answers too
// old to count.
func (m *Manager) ask(ctx context.Context, addresses []string) (confirmed, paused bool) {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(askParallel)
	for _, a := range addresses {
		g.Go(func() error {
			began := m.now()
			err := m.table.fetch(ctx, a, confirmTimeout)
			mu.Lock()
			defer mu.Unlock()
			confirmed = confirmed || err == nil && m.now()-began <= confirmTimeout+pauseLimit
			paused = paused || errors.Is(err, errPeerPaused)
			return nil
		})
	}
	_ = g.Wait()
	return confirmed, paused
}

// allPeers returns the members in use and the bootstrap addresses.
func (m *Manager) allPeers() []string {
	out := append([]string(nil), m.cfg.Bootstrap...)
	if m.members != nil {
		for _, one := range m.members.Random(maxAskAll) {
			if !slices.Contains(m.cfg.Bootstrap, one.PeerAddress) {
				out = append(out, one.PeerAddress)
			}
		}
		own := m.members.Self().PeerAddress
		out = slices.DeleteFunc(out, func(a string) bool { return a == own })
	}
	return out
}

// runGuard notices pauses and confirms the edition after them. It also logs
// when the edition becomes too old.
func (m *Manager) runGuard(ctx context.Context) {
	ticker := time.NewTicker(guardPeriod)
	defer ticker.Stop()
	tooOld := false
	m.guard.mu.Lock()
	m.guard.mu.lastTick = m.now()
	m.guard.mu.Unlock()
	var confirming sync.WaitGroup
	defer confirming.Wait()
	busy := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if m.check(true) {
			select {
			case busy <- struct{}{}:
				confirming.Go(func() {
					defer func() { <-busy }()
					_ = m.Confirm(ctx) // ends only with ctx or with success
				})
			default:
			}
		}
		if old := m.TooOld(); old != tooOld {
			tooOld = old
			if old {
				m.cfg.Log.Emit(event.EditionOld, zap.Duration("age", m.Age()))
			}
		}
	}
}
