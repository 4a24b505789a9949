package placement

import (
	"cmp"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/pace"
)

// disturb changes the state of the cluster's first tracker, and of the list, at random.
func (c *cluster) disturb(rng *rand.Rand, running []*Attempt) []*Attempt {
	tr := c.trackers[0]
	ids := make([]string, 0, len(c.view.Targets))
	for id := range c.view.Targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	parts := []string{"part-0", "part-1", "part-2"}
	for range 1 + rng.IntN(12) {
		c.now = c.now.Add(time.Duration(rng.IntN(120)) * time.Millisecond)
		id := ids[rng.IntN(len(ids))]
		e := *c.view.Targets[id]
		switch k := rng.IntN(20); {
		case k < 9:
			q := &Query{PromptTokens: 14000, PrefixKey: parts[rng.IntN(len(parts))], PrefixTokens: 13000, Objective: time.Second}
			for range 1 + 30*(rng.IntN(10)/9) { // sometimes a whole batch
				if a := tr.Begin(c.view, &e, c.service, q, Choice{Cached: rng.IntN(2) == 0, Delay: 100 * time.Millisecond}, c.now); a != nil {
					a.Sent(c.now)
					running = append(running, a)
				}
			}
		case k < 11 && len(running) > 0:
			running[rng.IntN(len(running))].FirstByte(c.now)
		case k < 14 && len(running) > 0:
			i := rng.IntN(len(running))
			running[i].End(Outcome(rng.IntN(int(AddressReused)+1)), c.now)
			running = slices.Delete(running, i, i+1)
		case k == 14:
			tr.SetHealthy(id, time.Duration(rng.IntN(2))*time.Second, c.now)
		case k == 15 && rng.IntN(4) == 0:
			tr.SetLeaving(id, c.now)
		case k == 16 && rng.IntN(3) == 0:
			e.StartedMS++
			e.WarmupUntil = c.now.Add(time.Duration(rng.IntN(3)) * time.Second)
			c.view.Targets[id] = &e
		case k == 17 && rng.IntN(3) == 0:
			e.Leaving = !e.Leaving
			c.view.Targets[id] = &e
		case k == 18:
			tr.SetListConfirmed(c.now.Add(-time.Duration(rng.IntN(5))*time.Second), c.now)
			tr.SetChecked(id, rng.IntN(8) > 0, 0, c.now, c.now)
			c.now = c.now.Add(time.Millisecond)
			if a := tr.Begin(c.view, &e, c.service, longQuery("part-1"), Choice{}, c.now); a != nil {
				a.Sent(c.now)
				running = append(running, a)
			}
		case k == 19 && rng.IntN(2) == 0:
			// Others report that the target is slow, in a service with a learnt model.
			tr.learnerOf("model").published = true
			if s := tr.mu.targets[id]; s != nil {
				s.reportedSlowdown, tr.serviceSlowdown("model").value = 2+rng.Float64(), 0.5+rng.Float64()
			}
		case k == 19:
			c.exchangeHeartbeats(all)
		}
	}
	return running
}

func byID(views []TargetView) []TargetView {
	slices.SortFunc(views, func(a, b TargetView) int { return cmp.Compare(a.ID, b.ID) })
	return views
}

// Guards against a report that says something else than the decision, and against one
// that changes the state. A thousand random states in virtual time.
func TestCopyDecidesLikeTheTrackerAndLeavesItUnchanged(t *testing.T) {
	rules := map[Rule]int{}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := newCluster(3, 6)
		c.view.Evacuated = map[string]bool{}
		c.view.Targets["t-evacuated"] = &catalog.Entry{Target: deployment.Target{ID: "t-evacuated", Service: "model", Domain: "a2", Slots: 16, StartedMS: 1}}
		c.trackers[0].regionByDomain = map[string]string{"a": "east", "a2": "east"}
		c.view.Evacuated["a2"] = true
		var running []*Attempt
		for range 50 {
			running = c.disturb(rng, running)
			tr, q := c.trackers[0], longQuery("part-1")
			exclude := map[string]bool{"t-5": rng.IntN(4) == 0}
			before := tr.Copy()
			asked := tr.Copy()
			views := byID(asked.Targets(c.view, "model", q.PrefixKey, exclude, c.now))
			candidates := tr.Copy().Candidates(c.view, "model", q.PrefixKey, exclude, c.now)
			choice, each := Choose(q, views, nil, asked.Model(c.service)), ChooseEach(q, views, asked.Model(c.service))
			// Later questions change the copy in many ways; none may show in the tracker.
			asked.Targets(c.view, "model", q.PrefixKey, nil, c.now.Add(20*time.Second))
			if after := tr.Copy(); !reflect.DeepEqual(&before.mu, &after.mu) {
				t.Fatalf("seed %d: the state has changed:\n%+v\n%+v", seed, before.mu.targets, after.mu.targets)
			}
			checkCandidates(t, candidates, views)
			for _, c := range candidates {
				rules[c.Rule]++
			}
			decided := byID(tr.Targets(c.view, "model", q.PrefixKey, exclude, c.now))
			if !reflect.DeepEqual(views, decided) {
				t.Fatalf("seed %d: the copy sees\n%+v\nthe tracker sees\n%+v", seed, views, decided)
			}
			if real := Choose(q, decided, nil, tr.Model(c.service)); real != choice {
				t.Fatalf("seed %d: the copy chooses %+v, the tracker %+v", seed, choice, real)
			}
			if i := slices.IndexFunc(views, func(v TargetView) bool { return v.ID == choice.Target }); i >= 0 && each[i].Delay != choice.Delay {
				t.Fatalf("seed %d: expected delay %s of the target alone, %s of the choice", seed, each[i].Delay, choice.Delay)
			}
		}
	}
	for _, rule := range []Rule{"", RuleEvacuated, RuleTried, RuleListed, RuleSaidLeaving, RuleDown, RuleBackoff, RuleCapacity, RuleProbing, RuleWarmup, RuleUnconfirmed, RulePaced} {
		if rules[rule] == 0 {
			t.Errorf("no state has a target with the rule %q", rule)
		}
	}
	t.Log(rules)
}

// Guards against a map, slice or pointer that the copy shares with the tracker. Each part
// of the copy is changed in place, and the tracker checked against what was put there.
func TestCopySharesNothing(t *testing.T) {
	c := newCluster(2, 1)
	tr, e := c.trackers[0], c.view.Targets["t-0"]
	a := tr.Begin(c.view, e, c.service, longQuery("part-1"), Choice{Delay: 100 * time.Millisecond}, c.now)
	if a == nil {
		t.Fatal("no attempt")
	}
	a.Sent(c.now)
	s := tr.mu.targets["t-0"]
	s.recentSends = append(make([]time.Time, 0, 8), c.now)
	s.prefixCache.parts["part-1"] = cachedPart{tokens: 13000, lastUsed: c.now}
	tr.mu.slowdowns["model"] = &slowdown{value: 2}
	tr.mu.learners["model"] = &learner{published: true}
	tr.mu.holdTimes = map[string]time.Duration{"model": time.Second}
	tr.mu.windows.Recovering("t-0", 1, 16, pace.Returned, c.now)
	limit, limited := tr.mu.windows.Limit("t-0", c.now)

	copied := tr.Copy()
	k := copied.mu.targets["t-0"]
	if len(k.awaitingFirstByte) != 1 || len(k.recentSends) != 1 || len(k.prefixCache.parts) == 0 || copied.mu.slowdowns["model"].value != 2 ||
		!copied.mu.learners["model"].published || copied.mu.holdTimes["model"] != time.Second {
		t.Fatalf("the copy lacks state: %+v", k)
	}
	k.running, k.health.down, k.slowdown.value = 99, true, 99
	k.recentSends[0] = time.Time{}
	k.recentSends = append(k.recentSends, c.now) // into the spare capacity, if it is shared
	k.prefixCache.parts["part-1"] = cachedPart{}
	k.prefixCache.parts["other"] = cachedPart{}
	clear(k.awaitingFirstByte)
	copied.mu.slowdowns["model"].value = 99
	copied.mu.slowdowns["other"] = &slowdown{}
	copied.mu.learners["model"].published = false
	copied.mu.learners["other"] = newLearner()
	copied.mu.holdTimes["model"], copied.mu.holdTimes["other"] = 0, 0
	copied.mu.windows.Limit("t-0", c.now.Add(time.Hour)) // ends the window
	copied.mu.windows.Recovering("other", 1, 16, pace.Started, c.now)
	copied.mu.list.checks = 99
	copied.mu.targets["other"] = &targetState{}

	if s.running != 1 || s.health.down || s.slowdown.value == 99 || len(tr.mu.targets) != 1 || tr.mu.list.checks == 99 {
		t.Errorf("the target has changed: %+v", s)
	}
	if len(s.recentSends) != 1 || !s.recentSends[0].Equal(c.now) || !s.recentSends[:2][1].IsZero() {
		t.Errorf("recent sends %v", s.recentSends)
	}
	if _, other := s.prefixCache.parts["other"]; other || s.prefixCache.parts["part-1"].tokens != 13000 {
		t.Errorf("cached parts %v", s.prefixCache.parts)
	}
	if _, waits := s.awaitingFirstByte[a]; !waits {
		t.Error("the attempt no longer waits for its first byte")
	}
	if tr.mu.slowdowns["model"].value != 2 || tr.mu.slowdowns["other"] != nil {
		t.Errorf("slowdowns %v", tr.mu.slowdowns)
	}
	if !tr.mu.learners["model"].published || tr.mu.learners["other"] != nil {
		t.Errorf("learners %v", tr.mu.learners)
	}
	if _, other := tr.mu.holdTimes["other"]; other || tr.mu.holdTimes["model"] != time.Second {
		t.Errorf("hold times %v", tr.mu.holdTimes)
	}
	if l, is := tr.mu.windows.Limit("t-0", c.now); l != limit || is != limited || !limited {
		t.Errorf("window %d, %t, was %d, %t", l, is, limit, limited)
	}
	if _, is := tr.mu.windows.Limit("other", c.now); is {
		t.Error("a window of the copy is in the tracker")
	}
}

// checkCandidates checks that the candidates are the targets of views, with a rule for
// each full one, and others with the rule that leaves them out.
func checkCandidates(t *testing.T, candidates []*Candidate, views []TargetView) {
	t.Helper()
	var viewed []TargetView
	for _, c := range candidates {
		if !c.Viewed && c.Rule == "" {
			t.Fatalf("%s is left out by no rule", c.Entry.ID)
		}
		if c.Viewed {
			if c.View.Full != (c.Rule != "") {
				t.Fatalf("%s: full %t, rule %q", c.Entry.ID, c.View.Full, c.Rule)
			}
			viewed = append(viewed, c.View)
		}
	}
	if !reflect.DeepEqual(viewed, views) {
		t.Fatalf("candidates\n%+v\ntargets\n%+v", viewed, views)
	}
}

// BenchmarkCopy is the time for which a query holds the lock that requests need.
func BenchmarkCopy(b *testing.B) {
	c := newCluster(2, 233)
	tr := c.trackers[0]
	for _, e := range c.view.Targets {
		for _, part := range []string{"a", "b", "c", "d"} {
			tr.Begin(c.view, e, c.service, &Query{PromptTokens: 14000, PrefixKey: part, PrefixTokens: 13000}, Choice{}, c.now)
		}
	}
	for b.Loop() {
		tr.Copy()
	}
}

func BenchmarkChooseEach(b *testing.B) {
	views := engineTargets(233)
	for b.Loop() {
		ChooseEach(longQuery("part-1"), views, engine)
	}
}

// Guards against a copy that shares state with the tracker while requests run; only the
// race detector notices that.
func TestCopyWhileRequestsRun(t *testing.T) {
	c := newCluster(2, 4)
	tr, now := c.trackers[0], c.now
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for round := range 200 {
				for _, e := range c.view.Targets {
					if a := tr.Begin(c.view, e, c.service, longQuery("part-1"), Choice{}, now); a != nil {
						a.Sent(now)
						a.FirstByte(now)
						if round%20 == 0 {
							a.End(Inconclusive, now)
							tr.SetHealthy(e.ID, 0, now)
						} else {
							a.End(Success, now)
						}
					}
				}
			}
		})
	}
	viewed := 0
	for range 200 {
		candidates := tr.Copy().Candidates(c.view, "model", "part-1", nil, now)
		if len(candidates) != 4 {
			t.Errorf("%d candidates", len(candidates))
		}
		for _, c := range candidates {
			if c.Viewed {
				viewed++
			}
		}
	}
	wg.Wait()
	// Targets that are down show little of the state. A lost connection could leave one
	// in its backoff for good, as the time stands still here.
	if viewed != 800 {
		t.Errorf("%d of 800 candidates viewed", viewed)
	}
}
