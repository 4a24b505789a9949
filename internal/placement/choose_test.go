package placement

import (
	"fmt"
	"testing"
	"time"
)

var engine = &LatencyModel{TokensPerMS: 30, StepMS: 5, StepPerRequestMS: 0.15, ServiceTimeMS: 30, FetchTokensPerMS: 2500}

func longQuery(key string) *Query {
	return &Query{PromptTokens: 17000, PrefixTokens: 13300, PrefixKey: key, Objective: 1200 * time.Millisecond, Remaining: 8 * time.Second, LocalAllowed: true}
}

func engineTargets(n int) []TargetView {
	out := make([]TargetView, n)
	for i := range out {
		out[i] = TargetView{ID: fmt.Sprintf("t-%d", i), Slots: 64, Engine: true, Slowdown: 1}
	}
	return out
}

func regionView(name string, delay time.Duration) RegionView {
	return RegionView{Name: name, FreeSlots: 10, Delay: delay, RoundTrip: 110 * time.Millisecond}
}

// Guards against a shared prefix that is prefilled once in each region. Long prompts
// with a shared prefix arrive in all regions; the prefix has one owner among all of
// them, and its region is preferred while it is reachable and not busy.
func TestSharedPrefixHasOneOwnerRegion(t *testing.T) {
	q := longQuery("part-1")
	q.PrefixOwnerRegion = "west"
	regions := []RegionView{regionView("west", 100*time.Millisecond), regionView("south", 20*time.Millisecond)}
	if c := Choose(q, engineTargets(4), regions, engine); c.Region != "west" {
		t.Errorf("prefix owner in region west: %+v", c)
	}
	local := engineTargets(4)
	local[2].Cached = true
	if c := Choose(q, local, regions, engine); c.Target != "t-2" {
		t.Errorf("prefix also cached locally: %+v", c)
	}
	busy := []RegionView{regionView("west", 700*time.Millisecond)}
	if c := Choose(q, engineTargets(4), busy, engine); c.Target == "" {
		t.Errorf("busy prefix owner region: %+v", c)
	}
	if c := Choose(q, engineTargets(4), nil, engine); c.Target == "" {
		t.Errorf("unreachable prefix owner region: %+v", c)
	}
}

// Guards against a popular prefix that overloads its owner or is prefilled at every
// other target. While the owner is busy, other targets take requests and copy the
// prefix.
func TestPrefixIsCopiedFromBusyOwner(t *testing.T) {
	q := longQuery("part-1")
	targets := engineTargets(5)
	owner := PrefixOwner(q.PrefixKey, targets)
	for i := range targets {
		if targets[i].ID == owner {
			targets[i].PendingTokens = 20000
		}
	}
	c := Choose(q, targets, nil, engine)
	if c.Target == owner || c.FetchFrom != owner || !c.Presumed {
		t.Errorf("choice %+v, prefix owner %s", c, owner)
	}
	for i := range targets {
		targets[i].Cached = targets[i].ID == owner
	}
	c = Choose(q, targets, nil, engine)
	if c.Target == owner || c.FetchFrom != owner || c.Presumed {
		t.Errorf("choice %+v, prefix owner %s has the prefix", c, owner)
	}
	if c.Delay > 400*time.Millisecond {
		t.Errorf("expected delay %s; the shared prefix should not be prefilled again", c.Delay)
	}
}

// Guards against an expected delay that leaves out a prefix which no target is known to
// have: the first request has it prefilled.
func TestPrefixThatNoTargetHasCountsInExpectedDelay(t *testing.T) {
	q := longQuery("part-1")
	targets := engineTargets(5)
	for i := range targets {
		targets[i].Full = targets[i].ID != PrefixOwner(q.PrefixKey, targets)
	}
	prefill := time.Duration(float64(q.PrefixTokens) / engine.TokensPerMS * float64(time.Millisecond))
	unknown := Choose(q, targets, nil, engine)
	for i := range targets {
		targets[i].Cached = !targets[i].Full
	}
	if known := Choose(q, targets, nil, engine); unknown.Target != known.Target || unknown.Delay-known.Delay != prefill || !unknown.Cached || !unknown.Presumed || known.Presumed {
		t.Errorf("without knowledge %+v, with it %+v; the prefix takes %s", unknown, known, prefill)
	}
}

// Guards against queueing requests that cannot meet their objective. With more
// requests than all targets can serve in time, late ones are refused immediately
// with a retry delay.
func TestLateRequestsAreRefusedImmediately(t *testing.T) {
	q := longQuery("part-1")
	targets := engineTargets(3)
	for i := range targets {
		targets[i].PendingTokens = 100_000
	}
	c := Choose(q, targets, []RegionView{regionView("west", 3*time.Second)}, engine)
	if c.Target != "" || c.Region != "" || c.RetryAfter <= 0 || c.RetryAfter > q.Remaining/3 {
		t.Errorf("choice %+v", c)
	}
}

// Guards against refused requests that all return at the same time. Many requests
// are refused together; their retry delays differ, and none is immediate.
func TestRetryDelaysAreSpread(t *testing.T) {
	q := longQuery("part-1")
	earliest, latest := time.Hour, time.Duration(0)
	for i := range 11 {
		q.Jitter = float64(i) / 10
		c := Choose(q, nil, nil, engine)
		earliest, latest = min(earliest, c.RetryAfter), max(latest, c.RetryAfter)
	}
	if earliest < q.Objective/6 || latest < earliest+q.Objective/8 || latest > q.Remaining/3 {
		t.Errorf("retry delays between %s and %s", earliest, latest)
	}
}

// Guards against a region that keeps requests at its peak although another is
// faster, and against forwarding without a gain. Requests leave the local region
// only if the other one is faster by more than the round trip.
func TestOverflowToAnotherRegion(t *testing.T) {
	q := &Query{PromptTokens: 383, Objective: 800 * time.Millisecond, Remaining: 4 * time.Second, LocalAllowed: true}
	targets := engineTargets(2)
	for i := range targets {
		targets[i].PendingTokens = 18_000
	}
	if c := Choose(q, targets, []RegionView{regionView("west", 50*time.Millisecond)}, engine); c.Region != "west" {
		t.Errorf("busy local region: %+v", c)
	}
	if c := Choose(q, targets, []RegionView{regionView("west", 560*time.Millisecond)}, engine); c.Target == "" {
		t.Errorf("remote region equally busy: %+v", c)
	}
	q.LocalAllowed = false
	if c := Choose(q, engineTargets(2), []RegionView{regionView("west", 50*time.Millisecond)}, engine); c.Region != "west" {
		t.Errorf("request not allowed in the local region: %+v", c)
	}
}

// Guards against moving cached prefixes between targets that stay: removing a target
// moves only the prefixes that it owned.
func TestPrefixOwnersAreStable(t *testing.T) {
	all := engineTargets(12)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint("part-", i)
		before, after := PrefixOwner(key, all), PrefixOwner(key, all[:11])
		if before != after {
			moved++
			if before != all[11].ID {
				t.Fatalf("%s moved from %s to %s, although both targets stay", key, before, after)
			}
		}
	}
	if moved > 150 {
		t.Errorf("%d of 1000 prefixes moved, expected about 83", moved)
	}
}

// Guards against instances that send a new prefix to different targets. Many
// instances of a region get requests with the same shared prefix, and none knows
// what the others sent. All use the prefix owner while it can serve in time, also if
// another target is a little less busy: a copy from an owner that turns out not to
// have the prefix costs a second prefill.
func TestInstancesAgreeOnPrefixOwnerWithoutUpdates(t *testing.T) {
	q := longQuery("part-1")
	targets := engineTargets(8)
	owner := PrefixOwner(q.PrefixKey, targets)
	for i := range targets {
		if targets[i].ID == owner {
			targets[i].PendingTokens, targets[i].Running = 7000, 10
		}
	}
	if c := Choose(q, targets, nil, engine); c.Target != owner || !c.Cached {
		t.Errorf("choice %+v, prefix owner %s", c, owner)
	}
}

// Guards against refusing requests for which a slot becomes free in time, and
// against an estimate that ignores the queue. All batches are full; the expected
// wait for a slot grows with the number of queued requests.
func TestRequestWaitsForSlot(t *testing.T) {
	q := &Query{PromptTokens: 383, Objective: 600 * time.Millisecond, Remaining: 4 * time.Second, LocalAllowed: true}
	targets := engineTargets(3)
	for i := range targets {
		targets[i].Slots, targets[i].Running, targets[i].HoldTime = 16, 16+3*(i+1), 320*time.Millisecond
	}
	c := Choose(q, targets, nil, engine)
	if c.Target != "t-0" || c.Delay < 80*time.Millisecond || c.Delay > 200*time.Millisecond {
		t.Errorf("four requests ahead at 20 ms each: %+v", c)
	}
	for i := range targets {
		targets[i].HoldTime = 10 * time.Second
	}
	if c := Choose(q, targets, nil, engine); c.Target != "" {
		t.Errorf("slots become free too late: %+v", c)
	}
}
