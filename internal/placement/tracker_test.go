package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// region is the state of one region as its instances see it.
type cluster struct {
	view     *catalog.View
	service  *deployment.Service
	trackers []*Tracker
	now      time.Time
}

func newCluster(instances, targets int) *cluster {
	s := &deployment.Service{Name: "model", MaxConns: 500, Warmup: 3 * time.Second, WarmupRate: 3.4,
		Engine: &deployment.Engine{Slots: 16, KVCacheTokens: 290_000, KVBytesPerToken: 18432, LinkBytesPerSecond: 4.6e10}}
	c := &cluster{service: s, now: time.Unix(5000, 0)}
	c.view = &catalog.View{Targets: map[string]*catalog.Entry{}, PublishedState: deployment.PublishedState{Config: &deployment.Config{Services: map[string]*deployment.Service{s.Name: s}}}}
	for i := range targets {
		id := fmt.Sprint("t-", i)
		c.view.Targets[id] = &catalog.Entry{Target: deployment.Target{ID: id, Service: s.Name, Domain: "a", Slots: 16, StartedMS: 1}}
	}
	for i := range instances {
		t := NewTracker(&deployment.Settings{Instance: fmt.Sprint("entry-", i), Region: "east", RegionByDomain: map[string]string{"a": "east"},
			Bounds: deployment.Bounds{WarmupRateFactor: 1.5, WarmupSlack: 3}}, c.now.Add(-time.Hour))
		c.trackers = append(c.trackers, t)
	}
	for i, t := range c.trackers {
		rows := map[string]*peerv1.FleetRow{}
		for j := range c.trackers {
			if j != i {
				rows[fmt.Sprint("10.0.0.", j)] = &peerv1.FleetRow{Instance: &peerv1.Identity{Instance: fmt.Sprint("entry-", j)}}
			}
		}
		t.SetPeerHeartbeats(rows, c.now)
	}
	return c
}

// Load: all instances of a region want a target that has just started. Together
// they stay within what it tolerates, however many they are.
func TestColdTargetIsNotOverrun(t *testing.T) {
	for _, instances := range []int{1, 3, 9, 24} {
		c := newCluster(instances, 1)
		e := c.view.Targets["t-0"]
		e.ColdUntil = c.now.Add(time.Minute)
		allowed := c.service.WarmupRate*1.5 + 3
		var sent []time.Time
		for range 1000 {
			c.now = c.now.Add(5 * time.Millisecond)
			for _, tr := range c.trackers {
				if views := tr.Targets(c.view, "model", "", nil, c.now); len(views) == 1 && !views[0].Full {
					tr.Begin(e, c.service, &Query{}, Choice{}, c.now)
					sent = append(sent, c.now)
				}
			}
		}
		most, first := 0, 0
		for i, at := range sent {
			for at.Sub(sent[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		if float64(most) > allowed {
			t.Errorf("%d instances: %d requests in a second, allowed %.1f", instances, most, allowed)
		}
		if least := len(sent) / 5; least < 2 {
			t.Errorf("%d instances: only %d requests in 5 s reached the target", instances, len(sent))
		}
	}
}

// An instance that has just started does not know how many others share a cold
// target, and sends it nothing.
func TestColdTargetWaitsForNewInstances(t *testing.T) {
	c := newCluster(1, 1)
	c.view.Targets["t-0"].ColdUntil = c.now.Add(time.Minute)
	tr := NewTracker(&deployment.Settings{Instance: "entry-0", Region: "east", RegionByDomain: map[string]string{"a": "east"},
		Bounds: deployment.Bounds{WarmupRateFactor: 1.5, WarmupSlack: 3}}, c.now)
	if got := tr.Targets(c.view, "model", "", nil, c.now.Add(time.Second)); len(got) != 1 || !got[0].Full {
		t.Errorf("view %+v", got)
	}
}

// The load that other instances report counts for a choice.
func TestLoadOfOtherInstancesCounts(t *testing.T) {
	c := newCluster(2, 1)
	row := &peerv1.FleetRow{Targets: []*peerv1.TargetUse{{Target: "t-0", Running: 24, PendingTokens: 500}}}
	c.trackers[0].Targets(c.view, "model", "", nil, c.now)
	c.trackers[0].SetPeerHeartbeats(map[string]*peerv1.FleetRow{"10.0.0.1": row}, c.now)
	got := c.trackers[0].Targets(c.view, "model", "", nil, c.now)
	if len(got) != 1 || !got[0].Full || got[0].Running != 24 || got[0].PendingTokens != 500 {
		t.Errorf("view %+v", got)
	}
}

// Load: half of the engines of a region are full. The places at the others are
// offered to other regions; what runs at full ones takes nothing from them.
func TestFullTargetsHideNoPlaces(t *testing.T) {
	c := newCluster(2, 4)
	row := &peerv1.FleetRow{Targets: []*peerv1.TargetUse{{Target: "t-0", Running: 24}, {Target: "t-1", Running: 24}, {Target: "t-2", Running: 4}}}
	c.trackers[0].Targets(c.view, "model", "", nil, c.now)
	c.trackers[0].SetPeerHeartbeats(map[string]*peerv1.FleetRow{"10.0.0.1": row}, c.now)
	p := c.trackers[0].PoolUse(c.view, "model", c.now)
	if free := int(p.GetCapacity()) - int(p.GetRunning()); free != 20+24 {
		t.Errorf("%d places are free: %v", free, p)
	}
}

// A target that fails most requests is left alone for a while, one that fails a
// few is not.
func TestFailingTargetRests(t *testing.T) {
	for _, c := range []struct {
		every int // one in every fails
		rests bool
	}{{2, true}, {7, false}} {
		h, now, rested := health{}, time.Unix(1, 0), false
		for i := range 60 {
			o := Success
			if i%c.every == 0 {
				o = Failed
			}
			h.note(o, false, now)
			rested = rested || !h.usable(now)
		}
		if rested != c.rests {
			t.Errorf("one failure in %d: rested %v, want %v", c.every, rested, c.rests)
		}
	}
}

// A target that cannot be reached gets no request until a health check succeeds,
// and few while it is cold after that.
func TestUnreachableTargetWaitsForItsHealthCheck(t *testing.T) {
	c := newCluster(1, 1)
	tr, e := c.trackers[0], c.view.Targets["t-0"]
	run := tr.Begin(e, c.service, &Query{}, Choice{}, c.now)
	if !run.End(Unreachable, c.now) || len(tr.DownTargets(c.now)) != 1 {
		t.Fatal("an unreachable target is not down")
	}
	if got := tr.Targets(c.view, "model", "", nil, c.now.Add(time.Hour)); len(got) != 0 {
		t.Fatalf("a target that is down is offered: %+v", got)
	}
	tr.SetHealthy("t-0", 3*time.Second, c.now)
	taken := 0
	for range 20 {
		if got := tr.Targets(c.view, "model", "", nil, c.now); len(got) == 1 && !got[0].Full {
			tr.Begin(e, c.service, &Query{}, Choice{}, c.now)
			taken++
		}
	}
	if taken == 0 || taken > 8 {
		t.Errorf("%d requests at once at a target that has just started", taken)
	}
}

// What the cache of a target cannot hold is not believed to be there.
func TestCacheForgetsTheLeastRecent(t *testing.T) {
	var k cache
	now := time.Unix(1, 0)
	for i := range 10 {
		k.add(deployment.PromptPart{ID: fmt.Sprint(i), Tokens: 100}, 500, now.Add(time.Duration(i)*time.Second))
	}
	if k.has("4", now.Add(10*time.Second)) || !k.has("9", now.Add(10*time.Second)) || k.has("9", now.Add(time.Hour)) {
		t.Errorf("parts %v", k.parts)
	}
}

func TestSharedParts(t *testing.T) {
	key, tokens := SharedPrefix([]deployment.PromptPart{{ID: "a", Tokens: 800}, {ID: "b", Tokens: 4000}, {ID: "own", Tokens: 9000}})
	if key != "b" || tokens != 4800 {
		t.Errorf("key %s, tokens %d", key, tokens)
	}
	if key, _ := SharedPrefix([]deployment.PromptPart{{ID: "a", Tokens: 50}, {ID: "own", Tokens: 9000}}); key != "" {
		t.Errorf("a small part has the key %s", key)
	}
	if key, _ := SharedPrefix(nil); key != "" {
		t.Error("no parts have a key")
	}
}

// Connections that are reset during a request, of which some targets lose a few,
// say little about the target: it is only avoided if they are lost in a row. All
// targets of a region would be avoided when links are reset.
func TestLostConnectionsAreNotAnOutage(t *testing.T) {
	h, now := health{}, time.Unix(1, 0)
	for i := range 50 {
		o := Success
		if i%4 == 0 {
			o = ConnectionLost
		}
		h.note(o, false, now)
		if !h.usable(now) {
			t.Fatalf("avoided after %d requests, of which each fourth lost its connection", i+1)
		}
	}
	for range lostInRow {
		h.note(ConnectionLost, false, now)
	}
	if h.usable(now) {
		t.Error("a target that loses every connection is still used")
	}
}

// Load: engines with small batches that are full for fractions of a second. They
// take a few more requests, which wait, but not without bound.
func TestFullBatchTakesAFewMore(t *testing.T) {
	c := newCluster(1, 1)
	tr, e := c.trackers[0], c.view.Targets["t-0"]
	run := tr.Begin(e, c.service, &Query{}, Choice{}, c.now)
	run.FirstByte(c.now.Add(100 * time.Millisecond))
	run.End(Success, c.now.Add(400*time.Millisecond))
	for range 16 {
		tr.Begin(e, c.service, &Query{}, Choice{}, c.now)
	}
	v := tr.Targets(c.view, "model", "", nil, c.now)[0]
	if v.Full || v.HoldTime <= 0 || v.HoldTime > time.Second {
		t.Errorf("at a full batch: %+v", v)
	}
	for range 16 {
		tr.Begin(e, c.service, &Query{}, Choice{}, c.now)
	}
	if v := tr.Targets(c.view, "model", "", nil, c.now)[0]; !v.Full {
		t.Errorf("at twice the batch: %+v", v)
	}
}

// Load: a target passes its health checks and resets every request, then becomes
// well. It costs few requests while it lies, and is used again soon after.
func TestHealthCheckAloneDoesNotRestoreTrust(t *testing.T) {
	c := newCluster(1, 1)
	tr, e := c.trackers[0], c.view.Targets["t-0"]
	const step, lies = 5 * time.Millisecond, 6 * time.Second
	start, checked := c.now, c.now
	lost, good := 0, time.Time{}
	for c.now = start; c.now.Before(start.Add(2 * lies)); c.now = c.now.Add(step) {
		if c.now.Sub(checked) >= 400*time.Millisecond {
			for _, id := range tr.DownTargets(c.now) {
				tr.SetHealthy(id, 0, c.now)
			}
			checked = c.now
		}
		if got := tr.Targets(c.view, "model", "", nil, c.now); len(got) != 1 || got[0].Full {
			continue
		}
		run := tr.Begin(e, c.service, &Query{}, Choice{}, c.now)
		if c.now.Sub(start) < lies {
			run.End(ConnectionLost, c.now)
			lost++
			continue
		}
		if good.IsZero() {
			good = c.now
		}
		run.FirstByte(c.now)
		run.End(Success, c.now)
	}
	if lost > 10 {
		t.Errorf("%d requests lost in %s", lost, lies)
	}
	if wait := good.Sub(start.Add(lies)); good.IsZero() || wait > 3*time.Second {
		t.Errorf("used again %s after it became well", wait)
	}
}

// What another instance found out about a target shortens the doubt here, but
// one that avoids most targets has a fault of its own.
func TestOtherInstancesAreWitnesses(t *testing.T) {
	c := newCluster(2, 3)
	tr, e := c.trackers[0], c.view.Targets["t-0"]
	losses := func(avoided ...string) (n int) {
		row := &peerv1.FleetRow{}
		for _, id := range avoided {
			row.Targets = append(row.Targets, &peerv1.TargetUse{Target: id, Avoided: true})
		}
		tr.SetPeerHeartbeats(map[string]*peerv1.FleetRow{"10.0.0.1": row}, c.now)
		for n = 1; !tr.Begin(e, c.service, &Query{}, Choice{}, c.now).End(ConnectionLost, c.now); n++ {
		}
		tr.SetHealthy("t-0", 0, c.now)
		run := tr.Begin(e, c.service, &Query{}, Choice{}, c.now)
		run.End(Success, c.now)
		return n
	}
	tr.Targets(c.view, "model", "", nil, c.now)
	if alone, told, doubted := losses(), losses("t-0"), losses("t-0", "t-1", "t-2"); alone != lostInRow || told != 1 || doubted != lostInRow {
		t.Errorf("losses until the target is avoided: alone %d, with a witness %d, with one that avoids all %d", alone, told, doubted)
	}
}

// Load: a part is read away from its home, since that is full. The other
// instances hear of it and use the copy; they also hear of no part that the
// target never read.
func TestInstancesTellEachOtherOfParts(t *testing.T) {
	c := newCluster(2, 4)
	q := &Query{PromptTokens: 17000, PrefixTokens: 13300, PrefixKey: "part-1"}
	for _, tr := range c.trackers {
		tr.Targets(c.view, "model", q.PrefixKey, nil, c.now)
	}
	read, unread := c.view.Targets["t-2"], c.view.Targets["t-3"]
	run := c.trackers[0].Begin(read, c.service, q, Choice{}, c.now)
	run.FirstByte(c.now)
	c.trackers[0].Begin(unread, c.service, q, Choice{}, c.now).End(Unreachable, c.now)
	row := &peerv1.FleetRow{Sequence: 7, Parts: c.trackers[0].CachedParts(c.now.Add(time.Second))}
	c.trackers[1].SetPeerHeartbeats(map[string]*peerv1.FleetRow{"10.0.0.0": row}, c.now)
	for i, tr := range c.trackers {
		for _, v := range tr.Targets(c.view, "model", q.PrefixKey, nil, c.now) {
			if v.Cached != (v.ID == "t-2") {
				t.Errorf("instance %d: target %s cached %v", i, v.ID, v.Cached)
			}
		}
	}
	if late := c.trackers[0].CachedParts(c.now.Add(time.Hour)); len(late) != 0 {
		t.Errorf("old news %v", late)
	}
}
