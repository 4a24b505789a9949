package lease

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// RenewalFailed records that no leader responded to a request.
func (h *Holder) RenewalFailed(shard leadership.Shard, sequence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.link(shard); l.sequence == sequence {
		l.pending, l.failed = false, true
	}
}

// ApplyResponse applies a response to the latest request. It ignores a response
// to any earlier one.
func (h *Holder) ApplyResponse(now clock.Reading, shard leadership.Shard, resp *peerv1.RenewResponse) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.link(shard)
	if resp.GetSequence() != l.sequence || l.applied == l.sequence {
		return nil
	}
	if !resp.GetGrantor() || resp.GetBallot() < l.ballot {
		l.pending, l.failed = false, true
		return nil
	}
	for _, g := range resp.GetTeams() {
		if !(g.GetGranted() >= 0) || math.IsInf(g.GetGranted(), 0) {
			return errors.Wrapf(ErrInvalidResponse, "team %q was granted an invalid amount: %g", g.GetTeam(), g.GetGranted())
		}
	}
	l.pending, l.failed = false, false
	newBallot := resp.GetBallot() > l.ballot
	l.renewSoon = newBallot && l.local // slots of the previous ballot can be claimed
	l.applied, l.appliedAt, l.ballot = l.sequence, now.Lower, resp.GetBallot()
	validity := min(Validity, time.Duration(resp.GetValidityMs())*time.Millisecond)
	until := l.sent.Upper + clock.ForHolder(validity)
	rose := h.applyTeams(now, l, resp, newBallot, until)
	if l.local && h.applyTargets(now, l, resp, newBallot, until) {
		rose = true
	}
	if rose {
		signal(h.changed)
	}
	return nil
}

// applyTeams extends the balances leased by the shard's leader and adds what
// was granted. It returns true if a balance rose. The caller holds h.mu.
func (h *Holder) applyTeams(now clock.Reading, l *leaderLink, resp *peerv1.RenewResponse, newBallot bool, until time.Duration) (rose bool) {
	grants := make(map[string]*peerv1.TeamGrant, len(resp.GetTeams()))
	for _, g := range resp.GetTeams() {
		grants[g.GetTeam()] = g
	}
	h.teams.Range(func(k, v any) bool {
		t := v.(*teamState)
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, b := range t.mu.balances {
			if b.shard != l.shard {
				continue
			}
			b.expire(now.Upper)
			switch {
			case newBallot:
				b.previous, b.current, b.spent, b.changed = b.current, leasedTokens{}, 0, false
			case resp.GetReset_():
				b.current, b.spent, b.changed = leasedTokens{}, 0, false
			}
			if g := grants[k.(string)]; g != nil {
				rose = b.applyGrant(now, g, until, t.mu.waitingTokens > 0) || rose
			}
			if b.current.amount > 0 {
				b.current.validUntil = max(b.current.validUntil, until)
			}
		}
		return true
	})
	return rose
}

// applyGrant applies the part of a response about the balance. It returns true
// if the balance rose.
func (b *balance) applyGrant(now clock.Reading, g *peerv1.TeamGrant, until time.Duration, waiting bool) bool {
	if g.GetLimit() > 0 && b.current.amount > g.GetLimit() {
		b.current.amount, b.changed = g.GetLimit(), true
	}
	if g.GetRecall() && !waiting && b.current.amount > 0 {
		b.current.amount, b.changed = 0, true
	}
	if g.GetGranted() > 0 {
		b.current.amount += g.GetGranted()
		b.current.validUntil = until
	}
	if b.unmetWant = b.wanted - g.GetGranted(); b.unmetWant <= b.wanted*wantRounding {
		b.unmetWant = 0
	}
	b.refusedWaiting = 0
	if b.unmetWant > 0 {
		b.refusedWaiting = b.reportedWaiting
	}
	b.spare, b.spareAt = float64(g.GetSpare()), now.Upper
	return g.GetGranted() > 0
}

// applyTargets extends the slots leased by the shard's leader and adds what was
// granted. It returns true if idle slots were added. The caller holds h.mu.
func (h *Holder) applyTargets(now clock.Reading, l *leaderLink, resp *peerv1.RenewResponse, newBallot bool, until time.Duration) (rose bool) {
	grants := make(map[string]*peerv1.TargetGrant, len(resp.GetTargets()))
	for _, g := range resp.GetTargets() {
		grants[g.GetTarget()] = g
		h.target(g.GetTarget())
	}
	h.targets.Range(func(k, v any) bool {
		t := v.(*targetState)
		t.mu.Lock()
		defer t.mu.Unlock()
		g := grants[k.(string)]
		if g == nil && t.mu.reportSequence == 0 {
			return true
		}
		t.expire(now.Upper, t.mu.claimSequence == l.sequence)
		switch {
		case newBallot:
			t.startNewBallot()
		case resp.GetReset_():
			t.mu.current = slotLease{}
		}
		t.extend(until)
		if t.mu.reportSequence == l.sequence {
			t.mu.pendingRecall, t.mu.refusedWaiting = 0, 0
		}
		if g != nil {
			rose = t.applyGrant(l.sent, until, l.sequence, g) || rose
		}
		return true
	})
	return rose
}
