package placement

import (
	"testing"
	"time"
)

func shortQuery() *Query {
	return &Query{PromptTokens: 383, Objective: 600 * time.Millisecond, Remaining: 4 * time.Second, LocalAllowed: true}
}

func busyTargets(n, running int) []TargetView {
	targets := engineTargets(n)
	for i := range targets {
		targets[i].Slots, targets[i].Capacity, targets[i].Running, targets[i].HoldTime = 16, 24, running, 300*time.Millisecond
	}
	return targets
}

// Guards against a late request that takes capacity from those in time, against
// refusing it while a target is idle, and against holding it then.
func TestLateRequestUsesSpareCapacity(t *testing.T) {
	q := shortQuery()
	q.Waited = 580 * time.Millisecond
	targets := busyTargets(3, 15)
	if c := Choose(q, targets, nil, engine); c.Placed() || !c.Wait {
		t.Errorf("slots are needed by others: %+v", c)
	}
	targets[1].Running = 3
	if c := Choose(q, targets, nil, engine); c.Target != "t-1" || !c.Late {
		t.Errorf("spare slots: %+v", c)
	}
	targets[1].PendingTokens = 10_000
	if c := Choose(q, targets, nil, engine); c.Placed() {
		t.Errorf("long prefill backlog: %+v", c)
	}
	if c := Choose(q, targets, []RegionView{regionView("west", 50*time.Millisecond)}, engine); c.Region != "west" || !c.Late {
		t.Errorf("other region is not busy: %+v", c)
	}
	if c := Choose(q, targets, []RegionView{regionView("west", time.Second)}, engine); c.Placed() {
		t.Errorf("other region is busy: %+v", c)
	}
}

// Guards against waiting where nothing tells when a slot becomes free, and for longer
// than the caller does.
func TestWaitNeedsProspect(t *testing.T) {
	targets := busyTargets(2, 24)
	for i := range targets {
		targets[i].Full = true
	}
	if c := Choose(shortQuery(), targets, nil, engine); c.Placed() || !c.Wait {
		t.Errorf("full targets: %+v", c)
	}
	q := shortQuery()
	q.Remaining = 10 * time.Millisecond
	if c := Choose(q, targets, nil, engine); c.Placed() || c.Wait {
		t.Errorf("no time is left: %+v", c)
	}
	for i := range targets {
		targets[i].WarmingUp = true
	}
	if c := Choose(shortQuery(), targets, nil, engine); c.Placed() || c.Wait || c.RetryAfter <= 0 {
		t.Errorf("all targets are warming up: %+v", c)
	}
	if c := Choose(shortQuery(), nil, nil, engine); c.Wait {
		t.Errorf("no target: %+v", c)
	}
}

// Guards against instances that all send to the target that was free at the last
// heartbeat, and against giving a slow target as much as the others.
func TestCrowdedTargetsAreUsedEvenly(t *testing.T) {
	targets := busyTargets(8, 12)
	targets[5].Running, targets[3].Slowdown, targets[6].Own = 2, 3, 2
	if !Crowded(targets) || Crowded(busyTargets(8, 7)) {
		t.Error("crowded from half of the slots in use")
	}
	counts := map[string]int{}
	for i := range 800 {
		q := shortQuery()
		q.Crowded, q.Jitter = true, float64(i)/800
		counts[Choose(q, targets, nil, engine).Target]++
	}
	for _, id := range []string{"t-0", "t-1", "t-2", "t-4", "t-5", "t-7"} {
		if counts[id] < 60 || counts[id] > 240 {
			t.Errorf("%d of 800 requests to %s: %v", counts[id], id, counts)
		}
	}
	if counts["t-3"]+counts["t-6"] > 0 {
		t.Errorf("a slow target and one with requests of this instance: %v", counts)
	}
}
