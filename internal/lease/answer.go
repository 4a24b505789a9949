package lease

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// RenewalFailed says that a request got no answer from a grantor.
func (h *Holder) RenewalFailed(shard leadership.Shard, sequence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.link(shard); l.sequence == sequence {
		l.pending, l.failed = false, true
	}
}

// ApplyResponse takes an answer. An answer to any request but the latest is ignored.
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
			return errors.Wrapf(ErrInvalidResponse, "team %q granted %g", g.GetTeam(), g.GetGranted())
		}
	}
	l.pending, l.failed = false, false
	fresh := resp.GetBallot() > l.ballot
	l.ready = fresh && l.own // slots can be claimed
	l.applied, l.appliedAt, l.ballot = l.sequence, now.Lower, resp.GetBallot()
	validity := min(Validity, time.Duration(resp.GetValidityMs())*time.Millisecond)
	until := l.sent.Upper + clock.ForHolder(validity)
	rose := h.applyTeams(now, l, resp, fresh, until)
	if l.own && h.applyTargets(now, l, resp, fresh, until) {
		rose = true
	}
	if rose {
		signal(h.changed)
	}
	return nil
}

// applyTeams renews the balances of the link and adds what was granted. The
// caller holds h.mu.
func (h *Holder) applyTeams(now clock.Reading, l *link, resp *peerv1.RenewResponse, fresh bool, until time.Duration) (rose bool) {
	grants := make(map[string]*peerv1.TeamGrant, len(resp.GetTeams()))
	for _, g := range resp.GetTeams() {
		grants[g.GetTeam()] = g
	}
	h.teams.Range(func(k, v any) bool {
		t := v.(*teamHold)
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, b := range t.mu.balances {
			if b.shard != l.shard {
				continue
			}
			b.expire(now.Upper)
			switch {
			case fresh:
				b.previous, b.current, b.spent, b.changed = b.current, portion{}, 0, false
			case resp.GetReset_():
				b.current, b.spent, b.changed = portion{}, 0, false
			}
			if g := grants[k.(string)]; g != nil {
				rose = b.grant(now, g, until, t.mu.waiting > 0) || rose
			}
			if b.current.amount > 0 {
				b.current.until = max(b.current.until, until)
			}
		}
		return true
	})
	return rose
}

// grant takes the part of an answer about the balance.
func (b *balance) grant(now clock.Reading, g *peerv1.TeamGrant, until time.Duration, waiting bool) bool {
	if g.GetLimit() > 0 && b.current.amount > g.GetLimit() {
		b.current.amount, b.changed = g.GetLimit(), true
	}
	if g.GetRecall() && !waiting && b.current.amount > 0 {
		b.current.amount, b.changed = 0, true
	}
	if g.GetGranted() > 0 {
		b.current.amount += g.GetGranted()
		b.current.until = until
	}
	if b.lacking = b.asked - g.GetGranted(); b.lacking <= b.asked*wantRounding {
		b.lacking = 0
	}
	b.refused = 0
	if b.lacking > 0 {
		b.refused = b.askedFor
	}
	b.spare, b.spareAt = float64(g.GetSpare()), now.Upper
	return g.GetGranted() > 0
}

// applyTargets renews the slots of the link and adds what was granted. The
// caller holds h.mu.
func (h *Holder) applyTargets(now clock.Reading, l *link, resp *peerv1.RenewResponse, fresh bool, until time.Duration) (rose bool) {
	grants := make(map[string]*peerv1.TargetGrant, len(resp.GetTargets()))
	for _, g := range resp.GetTargets() {
		grants[g.GetTarget()] = g
		h.target(g.GetTarget())
	}
	h.targets.Range(func(k, v any) bool {
		t := v.(*targetHold)
		t.mu.Lock()
		defer t.mu.Unlock()
		g := grants[k.(string)]
		if g == nil && t.mu.sentIn == 0 {
			return true
		}
		t.expire(now.Upper, t.mu.claimed == l.sequence)
		switch {
		case fresh:
			t.succeed()
		case resp.GetReset_():
			t.mu.current = holding{}
		}
		t.renew(until)
		if t.mu.sentIn == l.sequence {
			t.mu.recall, t.mu.refused = 0, 0
		}
		if g != nil {
			rose = t.grant(l.sent, until, l.sequence, g) || rose
		}
		return true
	})
	return rose
}
