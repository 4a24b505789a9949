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
	// pauseCheckInterval is the time between ticks of the pause detection.
	pauseCheckInterval = 100 * time.Millisecond
	// pauseThreshold is the gap between ticks above which the process counts as
	// paused, that is, suspended.
	pauseThreshold = 500 * time.Millisecond
	// confirmRetryInterval is the time between attempts to confirm the
	// configuration version.
	confirmRetryInterval = 200 * time.Millisecond
	// confirmTimeout bounds one request to a peer.
	confirmTimeout = 500 * time.Millisecond
	// serviceConfirmTTL is how long a response of the service confirms the
	// version.
	serviceConfirmTTL = 2 * time.Second
	// maxConfirmPeers and confirmConcurrency bound the requests to all peers,
	// which follow when none of the first three confirms. Asking all of them
	// matters after a restart of all instances but one: that one must be found.
	maxConfirmPeers    = 512
	confirmConcurrency = 32
	// allPausedTimeout is the time after which the newest version among peers
	// that were paused as well counts as confirmed, if neither the service nor
	// a peer that could confirm was reachable for that long. Without it, a pause
	// of the whole fleet while the service is down would never end.
	allPausedTimeout = 5 * time.Second
)

// Confirmer tells whether the current configuration version may be relied on,
// for the request path and for watchdogs.
type Confirmer interface {
	// Paused is true from the moment a process pause can be detected until the
	// configuration version has been confirmed. No request may be served
	// meanwhile.
	Paused() bool
	// Confirm blocks until peers or the service have confirmed the configuration
	// version, or ctx ends.
	Confirm(ctx context.Context) error
	// OnProcessPause reports a process pause that another watchdog detected.
	OnProcessPause()
	// TooOld is true if the configuration version has not been confirmed for
	// longer than max_edition_age.
	TooOld() bool
}

var _ Confirmer = (*Manager)(nil)

// confirmation tracks process pauses and confirmations of the configuration
// version. A process starts paused, because a version read from a stale replica
// of the service must not be used before peers have been asked.
type confirmation struct {
	mu struct {
		sync.Mutex
		lastTickAt         time.Duration
		paused             bool
		pausedAt           time.Duration // time when the pause was detected, if paused
		confirmedAt        time.Duration // last confirmation by a peer or the service
		serviceConfirmedAt time.Duration // start of the last call to the service that returned no older version
	}
	attemptSem chan struct{} // capacity 1: one attempt at a time
}

func (c *confirmation) init(now time.Duration) {
	c.attemptSem = make(chan struct{}, 1)
	c.mu.lastTickAt, c.mu.confirmedAt, c.mu.pausedAt = now, now, now
	c.mu.paused = true
	c.mu.serviceConfirmedAt = now - 2*serviceConfirmTTL
}

// checkPause returns whether the process counts as paused, and whether this
// call detected the pause. tick is true for calls of the ticker.
func (c *confirmation) checkPause(now time.Duration, tick bool) (paused, detected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.mu.lastTickAt > pauseThreshold && !c.mu.paused {
		c.mu.paused, detected = true, true
		c.mu.pausedAt = now
	}
	if tick || detected {
		c.mu.lastTickAt = now
	}
	return c.mu.paused, detected
}

func (m *Manager) checkPause(tick bool) bool {
	paused, detected := m.confirmation.checkPause(m.now(), tick)
	if detected {
		m.cfg.Log.Emit(event.PauseDetected)
	}
	return paused
}

// Paused implements Confirmer. It reads the clock itself, because after a pause
// a request may be handled before the ticker of the pause detection fires.
func (m *Manager) Paused() bool { return m.checkPause(false) }

// OnProcessPause implements Confirmer.
func (m *Manager) OnProcessPause() {
	now := m.now()
	m.confirmation.mu.Lock()
	defer m.confirmation.mu.Unlock()
	if !m.confirmation.mu.paused {
		m.confirmation.mu.paused, m.confirmation.mu.pausedAt = true, now
	}
}

// recordConfirmation records that a source has the current version of the named
// value and no newer one. Only the configuration counts, not the instance list.
func (m *Manager) recordConfirmation(name string) {
	if name != confservice.ConfigName {
		return
	}
	now := m.now()
	m.confirmation.mu.Lock()
	defer m.confirmation.mu.Unlock()
	m.confirmation.mu.confirmedAt = now
}

// recordServiceConfirmation records that a call begun at calledAt showed that
// the service has no older configuration version than this instance. The start
// of the call counts, because the response to a call begun before a pause may
// be older than the pause.
func (m *Manager) recordServiceConfirmation(name string, calledAt time.Duration) {
	if name != confservice.ConfigName {
		return
	}
	m.confirmation.mu.Lock()
	defer m.confirmation.mu.Unlock()
	m.confirmation.mu.serviceConfirmedAt = calledAt
}

// Age returns the time since the service or a peer last confirmed the current
// configuration version, or since the start.
func (m *Manager) Age() time.Duration {
	now := m.now()
	m.confirmation.mu.Lock()
	defer m.confirmation.mu.Unlock()
	return now - m.confirmation.mu.confirmedAt
}

// TooOld implements Confirmer.
func (m *Manager) TooOld() bool { return m.Age() > m.cfg.MaxAge }

// Confirm implements Confirmer. It returns nil once the instance no longer
// counts as paused.
func (m *Manager) Confirm(ctx context.Context) error {
	var readBackoff serviceReadBackoff
	for m.Paused() {
		select {
		case m.confirmation.attemptSem <- struct{}{}:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "confirming the configuration version")
		}
		if m.Paused() {
			m.tryConfirm(ctx, &readBackoff)
		}
		<-m.confirmation.attemptSem
		if !m.Paused() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "confirming the configuration version")
		case <-time.After(confirmRetryInterval):
		}
	}
	return nil
}

// serviceReadBackoff spaces out reads of the service while they fail.
type serviceReadBackoff struct {
	backoff    confservice.Backoff
	nextReadAt time.Duration
}

// tryConfirm makes one attempt to confirm the configuration version. It asks
// three peers and waits for all their responses, so that the newest version
// counts. If none of them confirms, it asks all peers and then the service.
func (m *Manager) tryConfirm(ctx context.Context, readBackoff *serviceReadBackoff) {
	if m.configSync.current().Revision == 0 {
		return // nothing to confirm; fetchFirst obtains the first version
	}
	source := "peer"
	confirmed, pausedPeers := m.confirmWithPeers(ctx, m.fetchPeers())
	if !confirmed {
		var paused bool
		confirmed, paused = m.confirmWithPeers(ctx, m.allPeers())
		pausedPeers = pausedPeers || paused
	}
	if !confirmed {
		source = "service"
		confirmed = m.confirmWithService(ctx, readBackoff)
	}
	now := m.now()
	m.confirmation.mu.Lock()
	if !confirmed && pausedPeers && now-m.confirmation.mu.pausedAt > allPausedTimeout {
		confirmed, source = true, "paused peers"
	}
	if confirmed {
		m.confirmation.mu.paused, m.confirmation.mu.lastTickAt, m.confirmation.mu.confirmedAt = false, now, now
	}
	m.confirmation.mu.Unlock()
	if confirmed {
		m.cfg.Log.Emit(event.ConfigConfirmed, zap.String("source", source))
	}
}

// confirmWithService reports whether the service has confirmed, within
// serviceConfirmTTL or by a read now, that it has no older configuration
// version than this instance.
func (m *Manager) confirmWithService(ctx context.Context, readBackoff *serviceReadBackoff) bool {
	recentlyConfirmed := func() bool {
		now := m.now()
		m.confirmation.mu.Lock()
		defer m.confirmation.mu.Unlock()
		return m.confirmation.mu.serviceConfirmedAt >= m.confirmation.mu.pausedAt && now-m.confirmation.mu.serviceConfirmedAt < serviceConfirmTTL
	}
	if recentlyConfirmed() {
		return true
	}
	if m.now() < readBackoff.nextReadAt {
		return false
	}
	calledAt := m.now()
	if m.configSync.readService(ctx) != nil || !recentlyConfirmed() {
		readBackoff.nextReadAt = m.now() + readBackoff.backoff.Next(rand.Float64())
		return false
	}
	return m.now()-calledAt < serviceConfirmTTL
}

// confirmWithPeers reports whether a peer confirmed the configuration version,
// and whether a peer responded that is paused itself. A response does not
// confirm if this process paused during the request, since it may be too old.
func (m *Manager) confirmWithPeers(ctx context.Context, addresses []string) (confirmed, paused bool) {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(confirmConcurrency)
	for _, a := range addresses {
		g.Go(func() error {
			calledAt := m.now()
			err := m.configSync.fetchFrom(ctx, a, confirmTimeout)
			mu.Lock()
			defer mu.Unlock()
			confirmed = confirmed || err == nil && m.now()-calledAt <= confirmTimeout+pauseThreshold
			paused = paused || errors.Is(err, errPeerPaused)
			return nil
		})
	}
	_ = g.Wait()
	return confirmed, paused
}

// allPeers returns the addresses of the members in use and the bootstrap
// addresses, without that of this instance.
func (m *Manager) allPeers() []string {
	out := append([]string(nil), m.cfg.Bootstrap...)
	if m.members != nil {
		for _, member := range m.members.Random(maxConfirmPeers) {
			if !slices.Contains(m.cfg.Bootstrap, member.PeerAddress) {
				out = append(out, member.PeerAddress)
			}
		}
		self := m.members.Self().PeerAddress
		out = slices.DeleteFunc(out, func(a string) bool { return a == self })
	}
	return out
}

// runPauseDetection detects process pauses and confirms the configuration
// version after them. It also logs when the version becomes too old.
func (m *Manager) runPauseDetection(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	tooOld := false
	m.confirmation.mu.Lock()
	m.confirmation.mu.lastTickAt = m.now()
	m.confirmation.mu.Unlock()
	var confirming sync.WaitGroup
	defer confirming.Wait()
	confirmSem := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if m.checkPause(true) {
			select {
			case confirmSem <- struct{}{}:
				confirming.Go(func() {
					defer func() { <-confirmSem }()
					_ = m.Confirm(ctx) // returns only on success or when ctx ends
				})
			default:
			}
		}
		if old := m.TooOld(); old != tooOld {
			tooOld = old
			if old {
				m.cfg.Log.Emit(event.ConfigTooOld, zap.Duration("age", m.Age()))
			}
		}
	}
}
