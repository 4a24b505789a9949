package catalog

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// storeHealth is the state of the calls to the store for the published state or
// for the targets.
type storeHealth struct {
	// lastSuccess is the time of the last successful call, and failing is set if
	// the last call failed.
	lastSuccess time.Time
	failing     bool
	// revision is that of the last response, and ignored is set if its state was older
	// than the known one.
	revision deployment.Revision
	ignored  bool
}

func (h *storeHealth) stale(now time.Time) bool {
	return h.failing || now.Sub(h.lastSuccess) > staleAfter
}

// recordResult records the result of a call to the store in h and logs when calls
// start or stop failing.
func (m *Manager) recordResult(h *storeHealth, part string, err error) {
	m.mu.Lock()
	now := m.now()
	changed := h.failing != (err != nil)
	if err == nil {
		h.lastSuccess = now
	}
	h.failing = err != nil
	if h == &m.mu.targets && err == nil {
		m.recordSupply(now)
	}
	m.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		m.log.Emit(event.StoreUnreachable, zap.String("part", part), zap.Error(err))
	default:
		m.log.Emit(event.StoreRecovered, zap.String("part", part))
	}
}

// recordRevision records in h the revision of a response of the store. It logs when the
// store has come back from an older copy, and when its states begin to be ignored
// because they are older than the one at the revision known.
func (m *Manager) recordRevision(h *storeHealth, part string, revision, known deployment.Revision) {
	ignored := revision.Before(known)
	if ignored {
		m.ignoredStates.Add(1)
	}
	m.mu.Lock()
	last, begun := h.revision, ignored && !h.ignored
	h.revision, h.ignored = revision, ignored
	m.mu.Unlock()
	if last.Era != revision.Era && !last.IsZero() {
		m.log.Emit(event.StoreEraChanged, zap.String("part", part), zap.Int64("era", revision.Era), zap.Int64("revision", revision.Number),
			zap.Int64("last_era", last.Era), zap.Int64("last_revision", last.Number))
	}
	if begun {
		m.log.Emit(event.StoreStateIgnored, zap.String("part", part), zap.Int64("era", revision.Era), zap.Int64("revision", revision.Number),
			zap.Int64("known_era", known.Era), zap.Int64("known", known.Number))
	}
}

// recordOlderConfig logs that the store returned the configuration c if it is older than
// the one in force.
func (m *Manager) recordOlderConfig(c *deployment.Config) {
	inForce := m.Current().Config
	if c == nil || !isOlder(c, inForce) {
		return
	}
	m.mu.Lock()
	known := m.mu.olderConfig == c.Version
	m.mu.olderConfig = c.Version
	m.mu.Unlock()
	if !known {
		m.log.Emit(event.OlderConfigIgnored, zap.Int64("version", c.Version), zap.Int64("in_force", inForce.Version))
	}
}

// recordSupply records that the store answered this instance or a reachable one.
// The caller holds m.mu.
func (m *Manager) recordSupply(now time.Time) {
	if !m.mu.lastSupplied.IsZero() && now.Sub(m.mu.lastSupplied) > maxSupplyGap {
		m.mu.outageEnded = now
	}
	m.mu.lastSupplied = now
}

// watchSupply notices outages of the store and drops the targets that were retained
// long enough after one. Calls of this instance do not suffice to notice outages,
// because it makes none while it takes the list from other instances.
func (m *Manager) watchSupply(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, peerPollInterval)
		peerSupplied := m.peers.StoreAnswers()
		m.mu.Lock()
		if now := m.now(); peerSupplied || !m.mu.targets.stale(now) {
			m.recordSupply(now)
		}
		m.mu.Unlock()
		m.expireRetained()
	}
}

// stale reports whether the last call to the store failed or is too long ago, for
// the published state or for the targets.
func (m *Manager) stale() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	return m.mu.published.stale(now) || m.mu.targets.stale(now)
}

// StoreAnswers reports whether the store is reachable from this instance, so that
// other instances may take the catalog from it.
func (m *Manager) StoreAnswers() bool { return !m.stale() }
