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

// ErrInvalidResponse marks an answer that breaks the protocol; nothing of it is taken.
var ErrInvalidResponse = errors.New("invalid answer to a renewal")

// Holder spends an instance's grants. Its methods take a clock reading and do
// no I/O; they are safe for concurrent use.
//
// Lock order: mu, then the lock of one team or target.
type Holder struct {
	self    *peerv1.Identity
	short   *peerv1.Identity // the part sent in renewals
	teams   sync.Map         // string to *teamHold
	targets sync.Map         // string to *targetHold
	slotID  atomic.Uint64
	wake    chan struct{}
	changed chan struct{}
	mu      struct {
		sync.Mutex
		links map[leadership.Shard]*link
		// lenders are the other regions of edition.
		lenders []*config.Region
		edition *config.Config
	}
}

// link is the exchange with the grantors of one shard.
type link struct {
	shard    leadership.Shard
	own      bool
	sequence uint64
	sent     clock.Reading // of the latest request
	pending  bool          // the latest request has no answer yet
	failed   bool          // no grantor answered the latest request
	ready    bool          // the latest answer calls for another request at once
	applied  uint64
	ballot   uint64
	epoch    uint64
	// appliedAt is the lower reading when the last answer was taken.
	appliedAt time.Duration
}

// NewHolder returns a holder without grants.
func NewHolder(self *peerv1.Identity) *Holder {
	short := &peerv1.Identity{Instance: self.GetInstance(), Incarnation: self.GetIncarnation(), Region: self.GetRegion()}
	h := &Holder{self: self, short: short, wake: make(chan struct{}, 1), changed: make(chan struct{}, 1)}
	h.mu.links = make(map[leadership.Shard]*link)
	return h
}

// Wake is signalled when a renewal should not wait for the next tick.
func (h *Holder) Wake() <-chan struct{} { return h.wake }

// Changed is signalled after balances or slots rose.
func (h *Holder) Changed() <-chan struct{} { return h.changed }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// withTeam runs f under the lock of the team's state.
func (h *Holder) withTeam(team string, f func(t *teamHold)) {
	for {
		v, ok := h.teams.Load(team)
		if !ok {
			v, _ = h.teams.LoadOrStore(team, &teamHold{})
		}
		t := v.(*teamHold)
		t.mu.Lock()
		if !t.mu.dropped {
			f(t)
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
	}
}

// TryDebit takes n tokens of team from the balances.
func (h *Holder) TryDebit(now clock.Reading, team string, n float64) (a Debit, ok bool) {
	if n <= 0 {
		return Debit{Team: team, DebitedAt: now.Upper, ValidUntil: now.Upper + clock.ForHolder(Validity)}, true
	}
	if v, found := h.teams.Load(team); found {
		t := v.(*teamHold)
		t.mu.Lock()
		if !t.mu.dropped {
			a, ok = t.debit(now, team, n)
			t.mu.Unlock()
			return a, ok
		}
		t.mu.Unlock()
	}
	h.withTeam(team, func(t *teamHold) { a, ok = t.debit(now, team, n) })
	return a, ok
}

// WantTokens states the tokens that queued requests of team need.
func (h *Holder) WantTokens(now clock.Reading, team string, n float64) {
	urgent := false
	h.withTeam(team, func(t *teamHold) {
		urgent = n > t.mu.waiting
		t.mu.waiting = max(0, n)
		if n > 0 {
			t.mu.lastUse = now.Upper
		}
	})
	if urgent {
		signal(h.wake)
	}
}

// Refund gives back what an admission did not use.
func (h *Holder) Refund(a Debit, unused float64) {
	h.withTeam(a.Team, func(t *teamHold) { t.refund(a, unused) })
}

// DebitValid reports whether a request with this admission may still be sent.
func (h *Holder) DebitValid(now clock.Reading, a Debit) bool {
	return now.Upper < a.ValidUntil
}

// link returns the exchange with the shard's grantors. The caller holds h.mu.
func (h *Holder) link(shard leadership.Shard) *link {
	l := h.mu.links[shard]
	if l == nil {
		l = &link{shard: shard, own: shard.Region == h.self.GetRegion()}
		h.mu.links[shard] = l
	}
	return l
}

// confirmed reports whether the latest report about b was answered. The caller
// holds h.mu.
func (h *Holder) confirmed(b *balance) bool {
	l := h.mu.links[b.shard]
	return l == nil || b.sentIn <= l.applied
}

// TeamCount returns the number of teams with state.
func (h *Holder) TeamCount() int {
	n := 0
	h.teams.Range(func(any, any) bool { n++; return true })
	return n
}

// Balance returns the spendable tokens of a team.
func (h *Holder) Balance(now clock.Reading, team string) (total float64) {
	if v, ok := h.teams.Load(team); ok {
		t := v.(*teamHold)
		t.mu.Lock()
		defer t.mu.Unlock()
		total = t.expire(now.Upper)
	}
	return total
}
