package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
)

// Rule is the rule that keeps a target from getting a request; empty for none.
type Rule string

// The rules by which Targets leaves out a target or reports it as full.
const (
	RuleEvacuated   Rule = "its failure domain is evacuated"
	RuleTried       Rule = "an attempt of the request was made there"
	RuleListed      Rule = "it is listed as leaving"
	RuleSaidLeaving Rule = "it said that it leaves"
	RuleDown        Rule = "it is down until a health check succeeds"
	RuleBackoff     Rule = "it is avoided after failures or a rejection"
	RuleCapacity    Rule = "its capacity is used up"
	RuleProbing     Rule = "it gets one request at a time after it was down"
	RuleWarmup      Rule = "it is warming up and has got this instance's share"
	RuleUnconfirmed Rule = "the list of targets is unconfirmed and what the last health check allows was sent"
	RulePaced       Rule = "it is paced and this instance's share is in flight"
)

// Candidate is a listed target of the local region and what decides whether it gets a
// request.
type Candidate struct {
	Entry *catalog.Entry
	// View is complete if Viewed is set; otherwise Targets leaves the target out.
	View   TargetView
	Viewed bool
	Rule   Rule
	// OwnRunning is the part of View.Running that this instance has sent.
	OwnRunning int
	// AvoidedUntil is the end of the backoff; zero if there was none.
	AvoidedUntil time.Time
	// SlowdownAge is the time since the last response that changed the slowdown
	// measured here; 0 without any.
	SlowdownAge time.Duration
	// Paced is set while the target is paced: Window is the limit of the requests in
	// flight over all instances, WindowShare this instance's share of it and
	// WindowRunning what it has in flight.
	Paced                              bool
	Window, WindowShare, WindowRunning int
}

// listingRule returns the rule by which the list, an evacuation or an earlier attempt
// excludes a target.
func listingRule(v *catalog.View, e *catalog.Entry, exclude map[string]bool) Rule {
	switch {
	case v.Evacuated[e.Domain]:
		return RuleEvacuated
	case exclude[e.ID]:
		return RuleTried
	case e.Leaving:
		return RuleListed
	}
	return ""
}

// candidate returns the Candidate of a target. The caller holds t.mu.
func (t *Tracker) candidate(e *catalog.Entry, st *targetState, view TargetView, rule Rule, now time.Time) *Candidate {
	c := &Candidate{Entry: e, View: view, Rule: rule, OwnRunning: st.running, AvoidedUntil: st.health.backoffUntil}
	if !st.slowdown.updated.IsZero() {
		c.SlowdownAge = now.Sub(st.slowdown.updated)
	}
	if c.Window, c.Paced = t.mu.windows.Limit(e.ID, now); c.Paced {
		c.WindowShare, c.WindowRunning = t.warmupShares.Share(c.Window, e.ID), t.mu.windows.Running(e.ID)
	}
	return c
}

// Candidates returns the listed targets of a service in the local region, in the order
// of their ids, with the rules that exclude them. Call it on a Copy with the arguments
// of Targets: it changes the state as Targets does.
func (t *Tracker) Candidates(v *catalog.View, service, prefixKey string, exclude map[string]bool, now time.Time) []*Candidate {
	var out []*Candidate
	t.targets(v, service, prefixKey, exclude, now, func(c *Candidate) { out = append(out, c) })
	slices.SortFunc(out, func(a, b *Candidate) int {
		switch {
		case a.Entry.ID < b.Entry.ID:
			return -1
		case a.Entry.ID > b.Entry.ID:
			return 1
		}
		return 0
	})
	return out
}

// Copy returns a Tracker with a copy of the state by which Targets,
// PrefixOwnerRegion and Model decide. It is for questions about decisions: the calls of
// heartbeats and of attempts have no place on it. A freeze of the process that the copy
// notices is not reported to onWake. The loads by peer are not copied, only their sums:
// at 74 instances they are most of the state, and no decision reads them.
func (t *Tracker) Copy() *Tracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &Tracker{instance: t.instance, regionByDomain: t.regionByDomain, region: t.region, bounds: t.bounds, started: t.started,
		warmupShares: t.warmupShares, elapsed: t.elapsed, onWake: func(time.Duration) {}}
	c.profiles.Store(t.profiles.Load())
	c.mu.targets = make(map[string]*targetState, len(t.mu.targets))
	for id, s := range t.mu.targets {
		c.mu.targets[id] = s.copy()
	}
	c.mu.slowdowns = make(map[string]*slowdown, len(t.mu.slowdowns))
	for name, s := range t.mu.slowdowns {
		copied := *s
		c.mu.slowdowns[name] = &copied
	}
	c.mu.learners = make(map[string]*learner, len(t.mu.learners))
	for name, l := range t.mu.learners {
		c.mu.learners[name] = &learner{published: l.published} // all that a decision reads
	}
	c.mu.holdTimes = maps.Clone(t.mu.holdTimes)
	c.mu.windows = t.mu.windows.Copy()
	c.mu.lastElapsed, c.mu.lastNow, c.mu.awakeSince = t.mu.lastElapsed, t.mu.lastNow, t.mu.awakeSince
	c.mu.list, c.mu.linkFaultAt = t.mu.list, t.mu.linkFaultAt
	return c
}

func (s *targetState) copy() *targetState {
	c := *s
	c.prefixCache.parts = maps.Clone(s.prefixCache.parts)
	c.recentSends = slices.Clone(s.recentSends)
	c.awaitingFirstByte = maps.Clone(s.awaitingFirstByte)
	c.peerLoads = nil
	return &c
}

// ChooseEach returns what Choose decides if only the target at the same index accepted
// a request and no other region did. Full targets count as accepting one. A Choice
// without a Target says that the request would be refused for its expected delay.
func ChooseEach(q *Query, targets []TargetView, m *LatencyModel) []Choice {
	alone := slices.Clone(targets)
	for i := range alone {
		alone[i].Full = true
	}
	out := make([]Choice, len(targets))
	for i := range alone {
		alone[i].Full = false
		out[i] = Choose(q, alone, nil, m)
		alone[i].Full = true
	}
	return out
}
