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
	// urgentRenewInterval is the least interval while a request waits.
	urgentRenewInterval = 20 * time.Millisecond
	// idleRenewInterval renews leases that nobody uses, well within their
	// validity.
	idleRenewInterval = 600 * time.Millisecond
	// remoteRenewInterval and urgentRemoteRenewInterval are the same for remote
	// regions, whose round trip is longer.
	remoteRenewInterval       = 500 * time.Millisecond
	urgentRemoteRenewInterval = 100 * time.Millisecond
	// responseTimeout is how long an unanswered request holds back the next
	// one.
	responseTimeout = 600 * time.Millisecond
	// returnThreshold is how many times the balance that a holder should keep
	// it may have before it returns the rest. A smaller factor would report
	// every team at every renewal while its demand falls.
	returnThreshold = 2
	// wantRounding covers the rounding of the wanted amount in a message.
	wantRounding = 1e-6
	// spareValidity is how long a remote leader's statement of its spare tokens
	// is used.
	spareValidity = 2 * time.Second
	// ballotRetention is the time after which an unreachable leader's ballot is
	// discarded, so that a leader with a lower ballot can be followed: ballots
	// decrease if all clocks are stepped back while all voters restart. It is
	// measured by the lower clock reading, because the leader's record of the
	// holder must have expired.
	ballotRetention = 2200 * time.Millisecond
)

// renewalState tells what there is to report to the leaders of one shard.
type renewalState struct {
	held, changed, wanted, urgent bool
}

// DueShards returns the shards whose leaders should be sent a renewal now.
func (h *Holder) DueShards(now clock.Reading, cfg *config.Config) []leadership.Shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.collectRenewalStates(now, cfg)
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

func (l *leaderLink) due(now time.Duration, st *renewalState) bool {
	since := now - l.sent.Upper
	if l.sequence == 0 {
		since = time.Duration(math.MaxInt64)
	}
	if l.pending && since < responseTimeout {
		return false
	}
	interval, urgent := RenewInterval, urgentRenewInterval
	if !l.local {
		interval, urgent = remoteRenewInterval, urgentRemoteRenewInterval
	}
	switch {
	case l.renewSoon, st.urgent && !l.failed:
		return since >= urgent
	case st.changed || st.wanted:
		return since >= interval
	case st.held:
		return since >= idleRenewInterval
	}
	return false
}

// collectRenewalStates drops expired leases and idle teams, and returns what
// there is to report for each shard. The caller holds h.mu.
func (h *Holder) collectRenewalStates(now clock.Reading, cfg *config.Config) map[leadership.Shard]*renewalState {
	all := make(map[leadership.Shard]*renewalState)
	stateOf := func(s leadership.Shard) *renewalState {
		st := all[s]
		if st == nil {
			st = &renewalState{}
			all[s] = st
		}
		return st
	}
	local := cfg.Regions[h.self.GetRegion()]
	h.teams.Range(func(k, v any) bool {
		name, t := k.(string), v.(*teamState)
		t.mu.Lock()
		defer t.mu.Unlock()
		total := t.expire(now.Upper)
		if t.idle(now.Upper, h.confirmed) || cfg.Teams[name] == nil && total == 0 {
			t.mu.dropped = true
			h.teams.Delete(k)
			return true
		}
		for _, b := range t.mu.balances {
			st := stateOf(b.shard)
			st.held = st.held || b.current.amount > 0
			st.changed = st.changed || b.changed || !h.confirmed(b) || len(b.refunds) > 0
		}
		if cfg.Teams[name] == nil || local == nil {
			return true
		}
		localShard := leadership.ShardFor(local, name)
		st := stateOf(localShard)
		short := t.requiredBalance(now.Upper, localHorizon) - total
		st.wanted = st.wanted || short > tolerance
		st.urgent = st.urgent || t.mu.waitingTokens > total && t.mu.waitingTokens > t.balanceFrom(localShard, true).refusedWaiting
		for shard, want := range h.remoteWants(now, cfg, local, name, t, total) {
			if want > 0 {
				st := stateOf(shard)
				st.wanted = true
				st.urgent = st.urgent || t.mu.waitingTokens > total && t.mu.waitingTokens > t.balanceFrom(shard, false).refusedWaiting
			}
		}
		return true
	})
	h.collectTargetStates(now, cfg, local, stateOf)
	return all
}

func (h *Holder) collectTargetStates(now clock.Reading, cfg *config.Config, local *config.Region, stateOf func(leadership.Shard) *renewalState) {
	if local == nil {
		return
	}
	h.targets.Range(func(k, v any) bool {
		name, t := k.(string), v.(*targetState)
		st := stateOf(leadership.ShardFor(local, name))
		l := h.link(leadership.ShardFor(local, name))
		t.mu.Lock()
		defer t.mu.Unlock()
		t.expire(now.Upper, t.mu.claimSequence == l.sequence)
		if cfg.Targets[name] == nil && t.mu.current.count()+t.mu.previous.count() == 0 && now.Upper-t.mu.lastUsed >= idleRetention {
			h.targets.Delete(k)
			return true
		}
		idle := t.mu.current.idle + t.mu.previous.idle
		st.held = st.held || t.mu.current.count() > 0
		st.changed = st.changed || t.mu.changed || t.mu.reportSequence > l.applied
		st.wanted = st.wanted || t.desiredIdle(now.Upper) > idle || t.mu.previous.count() > 0
		st.urgent = st.urgent || t.mu.waitingRequests > idle && t.mu.waitingRequests > t.mu.refusedWaiting
		return true
	})
}

// remoteWants returns the tokens to request from the leaders of other regions:
// what the local leader could not grant, divided in proportion to the spare
// tokens that the remote leaders last stated. The caller holds h.mu and the
// team's lock.
func (h *Holder) remoteWants(now clock.Reading, cfg *config.Config, local *config.Region, name string, t *teamState, total float64) map[leadership.Shard]float64 {
	short := t.requiredBalance(now.Upper, remoteHorizon) - total
	l := h.link(leadership.ShardFor(local, name))
	b := t.balanceFrom(l.shard, true)
	if short <= tolerance || !l.failed && b.unmetWant <= tolerance {
		return nil
	}
	const overRequestFactor = 1.25 // a remote leader's spare tokens change before the request arrives
	type remoteLeader struct {
		shard leadership.Shard
		spare float64
	}
	var leaders []remoteLeader
	sum := 0.0
	for _, r := range h.remoteRegions(cfg) {
		o := t.balanceFrom(leadership.ShardFor(r, name), false)
		spare := short
		if o.spareAt != 0 && now.Upper-o.spareAt < spareValidity {
			spare = max(o.spare, short/16) // keeps requesting where nothing was spare
		}
		leaders = append(leaders, remoteLeader{o.shard, spare})
		sum += spare
	}
	wants := make(map[leadership.Shard]float64, len(leaders))
	for _, o := range leaders {
		wants[o.shard] = min(short, short*overRequestFactor*o.spare/sum)
	}
	return wants
}

// remoteRegions returns the other regions of the configuration that have a
// share, ordered by name. The caller holds h.mu.
func (h *Holder) remoteRegions(cfg *config.Config) []*config.Region {
	if h.mu.config != cfg {
		h.mu.config, h.mu.remoteRegions = cfg, nil
		for _, name := range slices.Sorted(maps.Keys(cfg.Regions)) {
			if r := cfg.Regions[name]; name != h.self.GetRegion() && r.Share > 0 {
				h.mu.remoteRegions = append(h.mu.remoteRegions, r)
			}
		}
	}
	return h.mu.remoteRegions
}

// BuildRenewal returns the next renewal for the shard's leader.
func (h *Holder) BuildRenewal(now clock.Reading, cfg *config.Config, shard leadership.Shard) *peerv1.RenewRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.link(shard)
	if l.ballot != 0 && now.Lower-l.appliedAt > ballotRetention {
		h.startEpoch(l)
	}
	l.sequence++
	l.sent, l.pending, l.renewSoon = now, true, false
	req := &peerv1.RenewRequest{
		Shard: shard.ID(), Holder: h.renewalIdentity,
		Sequence: l.sequence, Ballot: l.ballot, Applied: l.applied, Epoch: l.epoch,
	}
	local := cfg.Regions[h.self.GetRegion()]
	h.teams.Range(func(k, v any) bool {
		name, t := k.(string), v.(*teamState)
		t.mu.Lock()
		defer t.mu.Unlock()
		if r := h.reportTeam(now, cfg, local, l, name, t); r != nil && len(req.Teams) < maxReportEntries {
			req.Teams = append(req.Teams, r)
		}
		return true
	})
	if !l.local || local == nil {
		return req
	}
	h.targets.Range(func(k, v any) bool {
		name, t := k.(string), v.(*targetState)
		if leadership.ShardFor(local, name) != shard {
			return true
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.expire(now.Upper, false)
		if r := t.report(now.Upper, name, l.sequence, t.mu.reportSequence <= l.applied, l.ballot == 0); r != nil {
			req.Targets = append(req.Targets, r)
		}
		return true
	})
	return req
}

// reportTeam returns the team's part of a renewal, or nil if there is nothing
// to report. The caller holds h.mu and the team's lock.
func (h *Holder) reportTeam(now clock.Reading, cfg *config.Config, local *config.Region, l *leaderLink, name string, t *teamState) *peerv1.TeamReport {
	total := t.expire(now.Upper)
	want := 0.0
	if local != nil && cfg.Teams[name] != nil {
		if l.shard == leadership.ShardFor(local, name) {
			want = t.requiredBalance(now.Upper, localHorizon) - total
			t.balanceFrom(l.shard, true)
		} else if !l.local {
			want = h.remoteWants(now, cfg, local, name, t, total)[l.shard]
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
	if keep := t.requiredBalance(now.Upper, keepHorizon) + t.mu.largestRequest; total > returnThreshold*keep+tolerance && b.current.amount > 0 {
		b.current.amount -= min(total-keep, b.current.amount)
		b.changed = true
	}
	if want <= tolerance {
		want = 0
	}
	b.wanted, b.reportedWaiting = want, t.mu.waitingTokens
	if want == 0 && !b.changed && h.confirmed(b) && len(b.refunds) == 0 {
		return nil
	}
	b.changed, b.reportSequence = false, l.sequence
	r := &peerv1.TeamReport{Team: name, Balance: b.current.amount, Want: float32(want), Spent: b.spent}
	r.Need = float32(min(want, max(0, t.mu.waitingTokens-total)))
	for _, f := range b.refunds {
		age := (now.Upper - f.debitedAt + time.Millisecond - 1) / time.Millisecond
		r.Refunds = append(r.Refunds, &peerv1.Refund{Tokens: f.tokens, AgeMs: uint32(min(age, math.MaxUint32))})
	}
	b.refunds = nil
	return r
}

// startEpoch starts a new epoch without a ballot. Leases of the old epoch are
// discarded here; the leaders drop them with the record of that epoch. The
// caller holds h.mu.
func (h *Holder) startEpoch(l *leaderLink) {
	l.ballot, l.applied = 0, 0
	l.epoch++
	h.teams.Range(func(_, v any) bool {
		t := v.(*teamState)
		t.mu.Lock()
		defer t.mu.Unlock()
		for i, b := range t.mu.balances {
			if b.shard == l.shard {
				t.mu.balances[i] = &balance{shard: b.shard}
			}
		}
		return true
	})
	if !l.local {
		return
	}
	h.targets.Range(func(_, v any) bool {
		t := v.(*targetState)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.mu.current, t.mu.previous, t.mu.claimSequence = slotLease{}, slotLease{}, 0
		t.mu.changed, t.mu.reportSequence = false, 0
		return true
	})
}
