package lease

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/leadership"
)

// Balance returns the unspent tokens of team that this instance holds.
func (m *Manager) Balance(team string) float64 { return m.holder.Balance(m.fast.Now(), team) }

// LeaderMissingFor returns for how long renewals to the shard's grantor have failed; 0
// if the last one was answered. It says nothing about shards that nothing is
// wanted from.
func (m *Manager) LeaderMissingFor(shard leadership.Shard) time.Duration {
	m.addresses.Lock()
	defer m.addresses.Unlock()
	since, missing := m.addresses.missing[shard]
	switch {
	case !missing:
		return 0
	case since < 0: // reported already
		return missingAfter
	}
	return m.c.Clock.Now().Lower - since
}
