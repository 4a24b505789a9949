package placement

import (
	"fmt"
	"testing"
	"time"
)

var engine = &LatencyModel{TokensPerMS: 30, StepMS: 5, StepPerRequestMS: 0.15, ServiceTimeMS: 30, FetchTokensPerMS: 2500}

func long(key string) *Query {
	return &Query{PromptTokens: 17000, PrefixTokens: 13300, PrefixKey: key, Objective: 1200 * time.Millisecond, Remaining: 8 * time.Second, LocalAllowed: true}
}

func engines(n int) []TargetView {
	out := make([]TargetView, n)
	for i := range out {
		out[i] = TargetView{ID: fmt.Sprintf("t-%d", i), Slots: 64, Engine: true, Slowdown: 1}
	}
	return out
}

func region(name string, delay time.Duration) RegionView {
	return RegionView{Name: name, FreeSlots: 10, Delay: delay, RoundTrip: 110 * time.Millisecond}
}

// Load: long prompts that share a part, from all regions. Each part has one home
// in all regions together, so that it is read once and not once in each region.
func TestSharedPartsHaveOneHome(t *testing.T) {
	q := long("part-1")
	q.PrefixOwnerRegion = "west"
	regions := []RegionView{region("west", 100*time.Millisecond), region("south", 20*time.Millisecond)}
	if c := Choose(q, engines(4), regions, engine); c.Region != "west" {
		t.Errorf("a part whose home is west: %+v", c)
	}
	here := engines(4)
	here[2].Cached = true
	if c := Choose(q, here, regions, engine); c.Target != "t-2" {
		t.Errorf("a part that is here too: %+v", c)
	}
	busy := []RegionView{region("west", 700*time.Millisecond)}
	if c := Choose(q, engines(4), busy, engine); c.Target == "" {
		t.Errorf("a home that is busy: %+v", c)
	}
	if c := Choose(q, engines(4), nil, engine); c.Target == "" {
		t.Errorf("a home that cannot be reached: %+v", c)
	}
}

// Load: a popular part. Targets beside its home take requests and copy the part
// rather than read it.
func TestBusyHomeIsCopiedFrom(t *testing.T) {
	q := long("part-1")
	targets := engines(5)
	home := PrefixOwner(q.PrefixKey, targets)
	for i := range targets {
		if targets[i].ID == home {
			targets[i].PendingTokens = 20000
		}
	}
	c := Choose(q, targets, nil, engine)
	if c.Target == home || c.FetchFrom != home {
		t.Errorf("choice %+v, home %s", c, home)
	}
	if c.Delay > 400*time.Millisecond {
		t.Errorf("expected delay %s; the shared part is not read again", c.Delay)
	}
}

// Load: more requests than all targets can serve in time. What would be late is
// refused at once and told when to come back.
func TestLateRequestsAreRefusedAtOnce(t *testing.T) {
	q := long("part-1")
	targets := engines(3)
	for i := range targets {
		targets[i].PendingTokens = 100_000
	}
	c := Choose(q, targets, []RegionView{region("west", 3*time.Second)}, engine)
	if c.Target != "" || c.Region != "" || c.RetryAfter <= 0 || c.RetryAfter > q.Remaining/3 {
		t.Errorf("choice %+v", c)
	}
}

// Load: many requests are refused together. They are told to come back at
// different times, none at once.
func TestRefusedRequestsAreSpread(t *testing.T) {
	q := long("part-1")
	earliest, latest := time.Hour, time.Duration(0)
	for i := range 11 {
		q.Jitter = float64(i) / 10
		c := Choose(q, nil, nil, engine)
		earliest, latest = min(earliest, c.RetryAfter), max(latest, c.RetryAfter)
	}
	if earliest < q.Objective/6 || latest < earliest+q.Objective/8 || latest > q.Remaining/3 {
		t.Errorf("come back between %s and %s", earliest, latest)
	}
}

// Load: a region at its peak. Requests leave it for a region that is faster by
// more than the way there, and only then.
func TestOverflowToAnotherRegion(t *testing.T) {
	q := &Query{PromptTokens: 383, Objective: 800 * time.Millisecond, Remaining: 4 * time.Second, LocalAllowed: true}
	targets := engines(2)
	for i := range targets {
		targets[i].PendingTokens = 18_000
	}
	if c := Choose(q, targets, []RegionView{region("west", 50*time.Millisecond)}, engine); c.Region != "west" {
		t.Errorf("a busy region: %+v", c)
	}
	if c := Choose(q, targets, []RegionView{region("west", 560*time.Millisecond)}, engine); c.Target == "" {
		t.Errorf("another region as busy: %+v", c)
	}
	q.LocalAllowed = false
	if c := Choose(q, engines(2), []RegionView{region("west", 50*time.Millisecond)}, engine); c.Region != "west" {
		t.Errorf("a request that must not run here: %+v", c)
	}
}

// A target that comes or goes moves only its own parts.
func TestHomesAreStable(t *testing.T) {
	all := engines(12)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint("part-", i)
		before, after := PrefixOwner(key, all), PrefixOwner(key, all[:11])
		if before != after {
			moved++
			if before != all[11].ID {
				t.Fatalf("%s moved from %s to %s, which both stay", key, before, after)
			}
		}
	}
	if moved > 150 {
		t.Errorf("%d of 1000 parts moved, expected about 83", moved)
	}
}

// Load: many instances of a region get requests with the same shared part, and
// none of them knows what the others sent. All keep to the home while it can
// serve in time, also if another target is a little less busy: a copy from a home
// that turns out not to have the part costs a second reading.
func TestInstancesAgreeOnTheHomeWithoutNews(t *testing.T) {
	q := long("part-1")
	targets := engines(8)
	home := PrefixOwner(q.PrefixKey, targets)
	for i := range targets {
		if targets[i].ID == home {
			targets[i].PendingTokens, targets[i].Running = 7000, 10
		}
	}
	if c := Choose(q, targets, nil, engine); c.Target != home || !c.Cached {
		t.Errorf("choice %+v, home %s", c, home)
	}
}

// Load: all batches are full. A request waits at an engine for a place of the
// batch if that is in time, and the wait grows with those that wait already.
func TestRequestWaitsForAPlaceOfTheBatch(t *testing.T) {
	q := &Query{PromptTokens: 383, Objective: 600 * time.Millisecond, Remaining: 4 * time.Second, LocalAllowed: true}
	targets := engines(3)
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
		t.Errorf("places become free too late: %+v", c)
	}
}
