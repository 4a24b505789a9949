package lease

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/leadership"
)

// Balance returns the unspent tokens of team that this instance holds.
func (m *Manager) Balance(team string) float64 { return m.holder.Balance(m.extrapolated.Now(), team) }

// LeaderMissingFor returns for how long renewals to the shard's leader have
// failed; 0 if the last one succeeded. It says nothing about shards from which
// nothing is wanted.
func (m *Manager) LeaderMissingFor(shard leadership.Shard) time.Duration {
	m.addresses.Lock()
	defer m.addresses.Unlock()
	since, missing := m.addresses.missingSince[shard]
	switch {
	case !missing:
		return 0
	case since < 0: // logged already
		return leaderMissingDelay
	}
	return m.c.Clock.Now().Lower - since
}
