package lease

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// RenewInterval is the interval of renewals while something changes.
	RenewInterval = 200 * time.Millisecond
	// urgentTick is the least interval while a request waits.
	urgentTick = 20 * time.Millisecond
	// quietTick renews grants that nobody uses, well within their validity.
	quietTick = 600 * time.Millisecond
	// lentTick and urgentLentTick are the same for other regions, whose round
	// trip is longer.
	lentTick       = 500 * time.Millisecond
	urgentLentTick = 100 * time.Millisecond
	// answerWithin is how long a request holds back the next one.
	answerWithin = 600 * time.Millisecond
	// returnAbove is the excess over what a holder should keep at which it
	// returns the rest. Smaller steps would report every team at every tick while
	// its demand falls.
	returnAbove = 2
	// wantRounding covers the rounding of the amount wanted in a message.
	wantRounding = 1e-6
	// spareFor is how long a lender's statement of its spare tokens counts.
	spareFor = 2 * time.Second
	// forgetBallot is when a silent grantor's ballot is forgotten, so that a
	// grantor with a lower one can be followed: ballots fall if all clocks are
	// stepped back while all voters restart. It is counted by the lower
	// reading, because the grantor's record of the holder must have expired.
	forgetBallot = 2200 * time.Millisecond
)

// status is what a pass over teams and targets says about one link.
type status struct {
	held, changed, wanted, urgent bool
}

// DueShards returns the shards whose grantors should be sent a renewal now.
func (h *Holder) DueShards(now clock.Reading, ed *config.Config) []leadership.Shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.survey(now, ed)
	var due []leadership.Shard
	for shard, st := range all {
		l := h.link(shard)
		if l.due(now.Upper, st) {
			due = append(due, shard)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if due[i].Region != due[j].Region {
			return due[i].Region < due[j].Region
		}
		return due[i].Index < due[j].Index
	})
	return due
}

func (l *link) due(now time.Duration, st *status) bool {
	since := now - l.sent.Upper
	if l.sequence == 0 {
		since = time.Duration(math.MaxInt64)
	}
	if l.pending && since < answerWithin {
		return false
	}
	tick, urgent := RenewInterval, urgentTick
	if !l.own {
		tick, urgent = lentTick, urgentLentTick
	}
	switch {
	case l.ready, st.urgent && !l.failed:
		return since >= urgent
	case st.changed || st.wanted:
		return since >= tick
	case st.held:
		return since >= quietTick
	}
	return false
}

// survey expires, drops idle teams, and says what each link has to report.
// The caller holds h.mu.
func (h *Holder) survey(now clock.Reading, ed *config.Config) map[leadership.Shard]*status {
	all := make(map[leadership.Shard]*status)
	at := func(s leadership.Shard) *status {
		st := all[s]
		if st == nil {
			st = &status{}
			all[s] = st
		}
		return st
	}
	own := ed.Regions[h.self.GetRegion()]
	h.teams.Range(func(k, v any) bool {
		name, t := k.(string), v.(*teamHold)
		t.mu.Lock()
		defer t.mu.Unlock()
		total := t.expire(now.Upper)
		if t.idle(now.Upper, h.confirmed) || ed.Teams[name] == nil && total == 0 {
			t.mu.dropped = true
			h.teams.Delete(k)
			return true
		}
		for _, b := range t.mu.balances {
			st := at(b.shard)
			st.held = st.held || b.current.amount > 0
			st.changed = st.changed || b.changed || !h.confirmed(b) || len(b.refunds) > 0
		}
		if ed.Teams[name] == nil || own == nil {
			return true
		}
		home := leadership.ShardFor(own, name)
		st := at(home)
		short := t.need(now.Upper, ownHorizon) - total
		st.wanted = st.wanted || short > tolerance
		st.urgent = st.urgent || t.mu.waiting > total && t.mu.waiting > t.of(home, true).refused
		for shard, want := range h.shortage(now, ed, own, name, t, total) {
			if want > 0 {
				st := at(shard)
				st.wanted = true
				st.urgent = st.urgent || t.mu.waiting > total && t.mu.waiting > t.of(shard, false).refused
			}
		}
		return true
	})
	h.surveyTargets(now, ed, own, at)
	return all
}

func (h *Holder) surveyTargets(now clock.Reading, ed *config.Config, own *config.Region, at func(leadership.Shard) *status) {
	if own == nil {
		return
	}
	h.targets.Range(func(k, v any) bool {
		name, t := k.(string), v.(*targetHold)
		st := at(leadership.ShardFor(own, name))
		l := h.link(leadership.ShardFor(own, name))
		t.mu.Lock()
		defer t.mu.Unlock()
		t.expire(now.Upper, t.mu.claimed == l.sequence)
		if ed.Targets[name] == nil && t.mu.current.count()+t.mu.old.count() == 0 && now.Upper-t.mu.lastUse >= dropAfter {
			h.targets.Delete(k)
			return true
		}
		idle := t.mu.current.idle + t.mu.old.idle
		st.held = st.held || t.mu.current.count() > 0
		st.changed = st.changed || t.mu.changed || t.mu.sentIn > l.applied
		st.wanted = st.wanted || t.desired(now.Upper) > idle || t.mu.old.count() > 0
		st.urgent = st.urgent || t.mu.waiting > idle && t.mu.waiting > t.mu.refused
		return true
	})
}

// shortage says what to ask of other regions' grantors: what the own one could
// not give, spread in proportion to what the lenders last said they can spare.
// The caller holds h.mu and the team's lock.
func (h *Holder) shortage(now clock.Reading, ed *config.Config, own *config.Region, name string, t *teamHold, total float64) map[leadership.Shard]float64 {
	short := t.need(now.Upper, lentHorizon) - total
	l := h.link(leadership.ShardFor(own, name))
	b := t.of(l.shard, true)
	if short <= tolerance || !l.failed && b.lacking <= tolerance {
		return nil
	}
	const overAsk = 1.25 // what is spare at a lender changes before the request arrives
	type lender struct {
		shard leadership.Shard
		spare float64
	}
	var lenders []lender
	sum := 0.0
	for _, r := range h.lenders(ed) {
		o := t.of(leadership.ShardFor(r, name), false)
		spare := short
		if o.spareAt != 0 && now.Upper-o.spareAt < spareFor {
			spare = max(o.spare, short/16) // keeps asking where nothing was spare
		}
		lenders = append(lenders, lender{o.shard, spare})
		sum += spare
	}
	asks := make(map[leadership.Shard]float64, len(lenders))
	for _, o := range lenders {
		asks[o.shard] = min(short, short*overAsk*o.spare/sum)
	}
	return asks
}

// lenders returns the other regions of the edition in order of their names.
// The caller holds h.mu.
func (h *Holder) lenders(ed *config.Config) []*config.Region {
	if h.mu.edition != ed {
		h.mu.edition, h.mu.lenders = ed, nil
		for _, name := range slices.Sorted(maps.Keys(ed.Regions)) {
			if r := ed.Regions[name]; name != h.self.GetRegion() && r.Share > 0 {
				h.mu.lenders = append(h.mu.lenders, r)
			}
		}
	}
	return h.mu.lenders
}

// BuildRenewal returns the next renewal for the shard's grantor.
func (h *Holder) BuildRenewal(now clock.Reading, ed *config.Config, shard leadership.Shard) *peerv1.RenewRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.link(shard)
	if l.ballot != 0 && now.Lower-l.appliedAt > forgetBallot {
		h.forget(l)
	}
	l.sequence++
	l.sent, l.pending, l.ready = now, true, false
	req := &peerv1.RenewRequest{
		Shard: shard.ID(), Holder: h.short,
		Sequence: l.sequence, Ballot: l.ballot, Applied: l.applied, Epoch: l.epoch,
	}
	own := ed.Regions[h.self.GetRegion()]
	h.teams.Range(func(k, v any) bool {
		name, t := k.(string), v.(*teamHold)
		t.mu.Lock()
		defer t.mu.Unlock()
		if r := h.reportTeam(now, ed, own, l, name, t); r != nil && len(req.Teams) < maxEntries {
			req.Teams = append(req.Teams, r)
		}
		return true
	})
	if !l.own || own == nil {
		return req
	}
	h.targets.Range(func(k, v any) bool {
		name, t := k.(string), v.(*targetHold)
		if leadership.ShardFor(own, name) != shard {
			return true
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.expire(now.Upper, false)
		if r := t.report(now.Upper, name, l.sequence, t.mu.sentIn <= l.applied, l.ballot == 0); r != nil {
			req.Targets = append(req.Targets, r)
		}
		return true
	})
	return req
}

// reportTeam returns the team's part of a request, or nil. The caller holds
// h.mu and the team's lock.
func (h *Holder) reportTeam(now clock.Reading, ed *config.Config, own *config.Region, l *link, name string, t *teamHold) *peerv1.TeamReport {
	total := t.expire(now.Upper)
	want := 0.0
	if own != nil && ed.Teams[name] != nil {
		if l.shard == leadership.ShardFor(own, name) {
			want = t.need(now.Upper, ownHorizon) - total
			t.of(l.shard, true)
		} else if !l.own {
			want = h.shortage(now, ed, own, name, t, total)[l.shard]
		}
	}
	var b *balance
	for _, o := range t.mu.balances {
		if o.shard == l.shard {
			b = o
		}
	}
	if b == nil {
		return nil
	}
	if keep := t.need(now.Upper, keepHorizon) + t.mu.largest; total > returnAbove*keep+tolerance && b.current.amount > 0 {
		b.current.amount -= min(total-keep, b.current.amount)
		b.changed = true
	}
	if want <= tolerance {
		want = 0
	}
	b.asked, b.askedFor = want, t.mu.waiting
	if want == 0 && !b.changed && h.confirmed(b) && len(b.refunds) == 0 {
		return nil
	}
	b.changed, b.sentIn = false, l.sequence
	r := &peerv1.TeamReport{Team: name, Balance: b.current.amount, Want: float32(want), Spent: b.spent}
	r.Need = float32(min(want, max(0, t.mu.waiting-total)))
	for _, f := range b.refunds {
		age := (now.Upper - f.at + time.Millisecond - 1) / time.Millisecond
		r.Refunds = append(r.Refunds, &peerv1.Refund{Tokens: f.tokens, AgeMs: uint32(min(age, math.MaxUint32))})
	}
	b.refunds = nil
	return r
}

// forget starts a new epoch without a ballot. What is left of the old one is
// void here; the grantors drop it with the record of the old epoch. The caller
// holds h.mu.
func (h *Holder) forget(l *link) {
	l.ballot, l.applied = 0, 0
	l.epoch++
	h.teams.Range(func(_, v any) bool {
		t := v.(*teamHold)
		t.mu.Lock()
		defer t.mu.Unlock()
		for i, b := range t.mu.balances {
			if b.shard == l.shard {
				t.mu.balances[i] = &balance{shard: b.shard}
			}
		}
		return true
	})
	if !l.own {
		return
	}
	h.targets.Range(func(_, v any) bool {
		t := v.(*targetHold)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.mu.current, t.mu.old, t.mu.claimed = holding{}, holding{}, 0
		t.mu.changed, t.mu.sentIn = false, 0
		return true
	})
}
