package lease

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// ErrInvalidResponse marks a response that violates the protocol. No part of it
// is applied.
var ErrInvalidResponse = errors.New("invalid response to a renewal")

// Holder spends an instance's leases. Its methods take a clock reading and do
// no I/O. They are safe for concurrent use.
//
// Lock order: mu, then the lock of one team or target.
type Holder struct {
	self            *peerv1.Identity
	renewalIdentity *peerv1.Identity // the fields of self sent in renewals
	teams           sync.Map         // string to *teamState
	targets         sync.Map         // string to *targetState
	slotID          atomic.Uint64
	wake            chan struct{}
	changed         chan struct{}
	mu              struct {
		sync.Mutex
		links map[leadership.Shard]*leaderLink
		// remoteRegions are the other regions of config.
		remoteRegions []*config.Region
		config        *config.Config
	}
}

// leaderLink is the exchange of renewals with the leaders of one shard.
type leaderLink struct {
	shard     leadership.Shard
	local     bool
	sequence  uint64
	sent      clock.Reading // of the latest request
	pending   bool          // the latest request has no response yet
	failed    bool          // no leader responded to the latest request
	renewSoon bool          // the latest response calls for another request at once
	applied   uint64
	ballot    uint64
	epoch     uint64
	// appliedAt is the lower clock reading when the last response was applied.
	appliedAt time.Duration
}

// NewHolder returns a holder without leases.
func NewHolder(self *peerv1.Identity) *Holder {
	id := &peerv1.Identity{Instance: self.GetInstance(), Incarnation: self.GetIncarnation(), Region: self.GetRegion()}
	h := &Holder{self: self, renewalIdentity: id, wake: make(chan struct{}, 1), changed: make(chan struct{}, 1)}
	h.mu.links = make(map[leadership.Shard]*leaderLink)
	return h
}

// Wake receives a signal when a renewal should not wait for the next check.
func (h *Holder) Wake() <-chan struct{} { return h.wake }

// Changed receives a signal after balances or idle slots increased.
func (h *Holder) Changed() <-chan struct{} { return h.changed }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// withTeam runs f with the team's state locked, and creates the state if there
// is none.
func (h *Holder) withTeam(team string, f func(t *teamState)) {
	for {
		v, ok := h.teams.Load(team)
		if !ok {
			v, _ = h.teams.LoadOrStore(team, &teamState{})
		}
		t := v.(*teamState)
		t.mu.Lock()
		if !t.mu.dropped {
			f(t)
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
	}
}

// TryDebit takes n tokens of team from the balances, or none if they do not
// suffice.
func (h *Holder) TryDebit(now clock.Reading, team string, n float64) (d Debit, ok bool) {
	if n <= 0 {
		return Debit{Team: team, DebitedAt: now.Upper, ValidUntil: now.Upper + clock.ForHolder(Validity)}, true
	}
	if v, found := h.teams.Load(team); found {
		t := v.(*teamState)
		t.mu.Lock()
		if !t.mu.dropped {
			d, ok = t.debit(now, team, n)
			t.mu.Unlock()
			return d, ok
		}
		t.mu.Unlock()
	}
	h.withTeam(team, func(t *teamState) { d, ok = t.debit(now, team, n) })
	return d, ok
}

// WantTokens sets the number of tokens that queued requests of team need.
func (h *Holder) WantTokens(now clock.Reading, team string, n float64) {
	urgent := false
	h.withTeam(team, func(t *teamState) {
		urgent = n > t.mu.waitingTokens
		t.mu.waitingTokens = max(0, n)
		if n > 0 {
			t.mu.lastUsed = now.Upper
		}
	})
	if urgent {
		signal(h.wake)
	}
}

// Refund returns the tokens of a debit that were not used.
func (h *Holder) Refund(d Debit, unused float64) {
	h.withTeam(d.Team, func(t *teamState) { t.refund(d, unused) })
}

// DebitValid reports whether a request with this debit may still be sent.
func (h *Holder) DebitValid(now clock.Reading, d Debit) bool {
	return now.Upper < d.ValidUntil
}

// link returns the exchange with the shard's leaders. The caller holds h.mu.
func (h *Holder) link(shard leadership.Shard) *leaderLink {
	l := h.mu.links[shard]
	if l == nil {
		l = &leaderLink{shard: shard, local: shard.Region == h.self.GetRegion()}
		h.mu.links[shard] = l
	}
	return l
}

// confirmed reports whether a leader responded to the latest report about b.
// The caller holds h.mu.
func (h *Holder) confirmed(b *balance) bool {
	l := h.mu.links[b.shard]
	return l == nil || b.reportSequence <= l.applied
}

// TeamCount returns the number of teams that the holder keeps state for.
func (h *Holder) TeamCount() int {
	n := 0
	h.teams.Range(func(any, any) bool { n++; return true })
	return n
}

// Balance returns the unspent tokens of a team whose leases are still valid.
func (h *Holder) Balance(now clock.Reading, team string) (total float64) {
	if v, ok := h.teams.Load(team); ok {
		t := v.(*teamState)
		t.mu.Lock()
		defer t.mu.Unlock()
		total = t.expire(now.Upper)
	}
	return total
}
