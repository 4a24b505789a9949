package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/roster"
)

// cluster is a region with its instances and the targets of one service.
type cluster struct {
	view     *catalog.View
	service  *deployment.Service
	ids      []*peerv1.Identity
	rosters  []*roster.Roster
	trackers []*Tracker
	members  []map[int]heartbeat.Member // that each instance has heard
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
		c.ids = append(c.ids, &peerv1.Identity{Instance: fmt.Sprint("entry-", i), PeerAddress: fmt.Sprint("10.0.0.", i), Region: "east", Domain: "a"})
		c.rosters, c.trackers, c.members = append(c.rosters, nil), append(c.trackers, nil), append(c.members, nil)
		c.restart(i, time.Hour)
	}
	for range 30 {
		c.now = c.now.Add(100 * time.Millisecond)
		c.exchangeHeartbeats(all)
	}
	return c
}

// restart replaces an instance by one that was started some time ago and has heard
// no other.
func (c *cluster) restart(i int, ago time.Duration) {
	settings := &deployment.Settings{Instance: c.ids[i].Instance, Region: "east", RegionByDomain: map[string]string{"a": "east"},
		Bounds: deployment.Bounds{WarmupRateFactor: 1.5, WarmupSlack: 3}}
	c.ids[i] = &peerv1.Identity{Instance: c.ids[i].Instance, PeerAddress: c.ids[i].PeerAddress, Region: "east", Domain: "a", Incarnation: c.ids[i].Incarnation + 1}
	c.rosters[i] = roster.New(roster.Config{Self: c.ids[i], Seeds: []string{c.ids[0].PeerAddress}, RegionByDomain: settings.RegionByDomain})
	c.trackers[i] = NewTracker(settings, c.rosters[i], c.now.Add(-ago), c.elapsed, func(time.Duration) {})
	c.members[i] = map[int]heartbeat.Member{}
}

func (c *cluster) elapsed() time.Duration { return c.now.Sub(time.Unix(0, 0)) }

// exchangeHeartbeats lets the instances send each other heartbeats, as often as it
// takes until nothing changes. hears says whether instance i gets those of j.
func (c *cluster) exchangeHeartbeats(hears func(i, j int) bool) {
	for range 4 {
		rows := make([]*peerv1.FleetRow, len(c.ids))
		for i, r := range c.rosters {
			rows[i] = &peerv1.FleetRow{Instance: c.ids[i], Targets: c.trackers[i].TargetUses()}
			rows[i].DomainMembers, rows[i].HasWarmupShare = r.State()
		}
		for i, t := range c.trackers {
			heard := map[string]*peerv1.FleetRow{}
			for j, row := range rows {
				if j != i && hears(i, j) {
					heard[c.ids[j].PeerAddress] = row
					c.members[i][j] = heartbeat.Member{Heartbeat: row, LastSeen: c.now}
				}
			}
			c.rosters[i].Update(slices.Collect(maps.Values(c.members[i])), c.now)
			t.SetPeerHeartbeats(heard, c.now)
		}
	}
}

// Guards against overloading a target that has just started. All instances of a
// region send to it without coordination; together they stay within its warm-up
// bound, however many they are.
func TestWarmupLimitHoldsAcrossInstances(t *testing.T) {
	for _, instances := range []int{1, 3, 9, 24} {
		c := newCluster(instances, 1)
		c.warmUp("t-0", time.Minute)
		sent := c.sendAll(5*time.Second, nil)
		c.checkWarmupBound(t, sent)
		if least := len(sent) / 5; least < 2 {
			t.Errorf("%d instances: only %d requests in 5 s reached the target", instances, len(sent))
		}
	}
}

// Guards against exceeding the warm-up bound after an instance restarts: it does not
// know yet how many others share the target, so it sends nothing.
func TestNewInstanceSendsNothingToWarmingTarget(t *testing.T) {
	c := newCluster(1, 1)
	c.view.Targets["t-0"].WarmupUntil = c.now.Add(time.Minute)
	tr := NewTracker(&deployment.Settings{Instance: "entry-0", Region: "east", RegionByDomain: map[string]string{"a": "east"},
		Bounds: deployment.Bounds{WarmupRateFactor: 1.5, WarmupSlack: 3}}, c.rosters[0], c.now, c.elapsed, func(time.Duration) {})
	if got := tr.Targets(c.view, "model", "", nil, c.now.Add(time.Second)); len(got) != 1 || !got[0].Full {
		t.Errorf("view %+v", got)
	}
}

// Guards against placement that only considers local load: the load reported by
// other instances counts.
func TestLoadOfOtherInstancesCounts(t *testing.T) {
	c := newCluster(2, 1)
	hb := &peerv1.FleetRow{Targets: []*peerv1.TargetUse{{Target: "t-0", Running: 24, PendingTokens: 500}}}
	c.trackers[0].Targets(c.view, "model", "", nil, c.now)
	c.trackers[0].SetPeerHeartbeats(map[string]*peerv1.FleetRow{"10.0.0.1": hb}, c.now)
	got := c.trackers[0].Targets(c.view, "model", "", nil, c.now)
	if len(got) != 1 || !got[0].Full || got[0].Running != 24 || got[0].PendingTokens != 500 {
		t.Errorf("view %+v", got)
	}
}

// Guards against reporting no free slots while some targets have them. Half of the
// engines of a region are full; the free slots of the others are still offered to
// other regions.
func TestFullTargetsHideNoFreeSlots(t *testing.T) {
	c := newCluster(2, 4)
	hb := &peerv1.FleetRow{Targets: []*peerv1.TargetUse{{Target: "t-0", Running: 24}, {Target: "t-1", Running: 24}, {Target: "t-2", Running: 4}}}
	c.trackers[0].Targets(c.view, "model", "", nil, c.now)
	c.trackers[0].SetPeerHeartbeats(map[string]*peerv1.FleetRow{"10.0.0.1": hb}, c.now)
	p := c.trackers[0].PoolUse(c.view, "model", c.now)
	if free := int(p.GetCapacity()) - int(p.GetRunning()); free != 20+24 {
		t.Errorf("%d slots are free: %v", free, p)
	}
}

// Guards against using a target that fails most requests, and against avoiding one
// that only fails a few.
func TestFailingTargetBacksOff(t *testing.T) {
	for _, c := range []struct {
		every   int // one request in this number fails
		avoided bool
	}{{2, true}, {7, false}} {
		h, now, wasAvoided := health{}, time.Unix(1, 0), false
		for i := range 60 {
			o := Success
			if i%c.every == 0 {
				o = Failed
			}
			h.recordOutcome(o, false, now)
			wasAvoided = wasAvoided || !h.usable(now)
		}
		if wasAvoided != c.avoided {
			t.Errorf("one failure in %d: avoided %v, want %v", c.every, wasAvoided, c.avoided)
		}
	}
}

// Guards against sending requests to an unreachable target before a health check
// succeeds, and against overloading it while it warms up after that.
func TestUnreachableTargetNeedsHealthCheck(t *testing.T) {
	c := newCluster(1, 1)
	tr, e := c.trackers[0], c.view.Targets["t-0"]
	run := tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now)
	if !run.End(Unreachable, c.now) || len(tr.DownTargets(c.now)) != 1 {
		t.Fatal("unreachable target is not marked down")
	}
	if got := tr.Targets(c.view, "model", "", nil, c.now.Add(time.Hour)); len(got) != 0 {
		t.Fatalf("target that is down is returned: %+v", got)
	}
	tr.SetHealthy("t-0", 3*time.Second, c.now)
	taken := 0
	for range 20 {
		if got := tr.Targets(c.view, "model", "", nil, c.now); len(got) == 1 && !got[0].Full {
			tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now)
			taken++
		}
	}
	if taken == 0 || taken > 8 {
		t.Errorf("%d concurrent requests at a target that is warming up", taken)
	}
}

// Guards against an estimate that exceeds the size of a target's cache or outlives
// cacheRetention.
func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	var c prefixCache
	now := time.Unix(1, 0)
	for i := range 10 {
		c.add(deployment.PromptPart{ID: fmt.Sprint(i), Tokens: 100}, 500, now.Add(time.Duration(i)*time.Second))
	}
	if c.contains("4", now.Add(10*time.Second)) || !c.contains("9", now.Add(10*time.Second)) || c.contains("9", now.Add(time.Hour)) {
		t.Errorf("parts %v", c.parts)
	}
}

func TestSharedPrefix(t *testing.T) {
	key, tokens := SharedPrefix([]deployment.PromptPart{{ID: "a", Tokens: 800}, {ID: "b", Tokens: 4000}, {ID: "own", Tokens: 9000}})
	if key != "b" || tokens != 4800 {
		t.Errorf("key %s, tokens %d", key, tokens)
	}
	if key, _ := SharedPrefix([]deployment.PromptPart{{ID: "a", Tokens: 50}, {ID: "own", Tokens: 9000}}); key != "" {
		t.Errorf("short prefix has the key %s", key)
	}
	if key, _ := SharedPrefix(nil); key != "" {
		t.Error("empty prompt has a key")
	}
}

// Guards against avoiding all targets of a region when network links are reset. A
// single connection lost during a request says little about the target, which is
// only avoided after several consecutive losses.
func TestOccasionalLostConnectionsAreTolerated(t *testing.T) {
	h, now := health{}, time.Unix(1, 0)
	for i := range 50 {
		o := Success
		if i%4 == 0 {
			o = ConnectionLost
		}
		h.recordOutcome(o, false, now)
		if !h.usable(now) {
			t.Fatalf("avoided after %d requests, of which every fourth lost its connection", i+1)
		}
	}
	for range lostConnectionLimit {
		h.recordOutcome(ConnectionLost, false, now)
	}
	if h.usable(now) {
		t.Error("target that loses every connection is still used")
	}
}

// Guards against refusals while a small batch is full for a fraction of a second,
// and against an unbounded queue at the engine.
func TestFullBatchQueuesFewRequests(t *testing.T) {
	c := newCluster(1, 1)
	tr, e := c.trackers[0], c.view.Targets["t-0"]
	run := tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now)
	run.FirstByte(c.now.Add(100 * time.Millisecond))
	run.End(Success, c.now.Add(400*time.Millisecond))
	for range 16 {
		tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now)
	}
	v := tr.Targets(c.view, "model", "", nil, c.now)[0]
	if v.Full || v.HoldTime <= 0 || v.HoldTime > time.Second {
		t.Errorf("full batch: %+v", v)
	}
	for range 16 {
		tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now)
	}
	if v := tr.Targets(c.view, "model", "", nil, c.now)[0]; !v.Full {
		t.Errorf("twice the batch: %+v", v)
	}
}

// Guards against losing many requests at a target that passes its health checks but
// resets every request, and against avoiding it for long after it has recovered.
func TestHealthCheckAloneDoesNotRestoreTarget(t *testing.T) {
	c := newCluster(1, 1)
	tr, e := c.trackers[0], c.view.Targets["t-0"]
	const step, faultTime = 5 * time.Millisecond, 6 * time.Second
	start, lastCheck := c.now, c.now
	lost, firstSuccess := 0, time.Time{}
	for c.now = start; c.now.Before(start.Add(2 * faultTime)); c.now = c.now.Add(step) {
		if c.now.Sub(lastCheck) >= 400*time.Millisecond {
			for _, id := range tr.DownTargets(c.now) {
				tr.SetHealthy(id, 0, c.now)
			}
			lastCheck = c.now
		}
		if got := tr.Targets(c.view, "model", "", nil, c.now); len(got) != 1 || got[0].Full {
			continue
		}
		run := tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now)
		if c.now.Sub(start) < faultTime {
			run.End(ConnectionLost, c.now)
			lost++
			continue
		}
		if firstSuccess.IsZero() {
			firstSuccess = c.now
		}
		run.FirstByte(c.now)
		run.End(Success, c.now)
	}
	if lost > 10 {
		t.Errorf("%d requests lost in %s", lost, faultTime)
	}
	if wait := firstSuccess.Sub(start.Add(faultTime)); firstSuccess.IsZero() || wait > 3*time.Second {
		t.Errorf("used again %s after recovery", wait)
	}
}

// Guards against ignoring other instances that avoid a target, and against trusting
// an instance that avoids most targets, whose own network is at fault.
func TestOtherInstancesCorroborateFailures(t *testing.T) {
	c := newCluster(2, 3)
	tr, e := c.trackers[0], c.view.Targets["t-0"]
	losses := func(avoided ...string) (n int) {
		hb := &peerv1.FleetRow{}
		for _, id := range avoided {
			hb.Targets = append(hb.Targets, &peerv1.TargetUse{Target: id, Avoided: true})
		}
		tr.SetPeerHeartbeats(map[string]*peerv1.FleetRow{"10.0.0.1": hb}, c.now)
		for n = 1; !tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now).End(ConnectionLost, c.now); n++ {
		}
		tr.SetHealthy("t-0", 0, c.now)
		run := tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now)
		run.End(Success, c.now)
		return n
	}
	tr.Targets(c.view, "model", "", nil, c.now)
	if alone, corroborated, unreliable := losses(), losses("t-0"), losses("t-0", "t-1", "t-2"); alone != lostConnectionLimit || corroborated != 1 || unreliable != lostConnectionLimit {
		t.Errorf("losses until the target is avoided: alone %d, corroborated %d, with an instance that avoids all targets %d", alone, corroborated, unreliable)
	}
}

// Guards against prefilling a prefix again that another instance placed on a target
// other than its owner. The other instances learn of the copy from heartbeats; they
// learn of no prefix whose attempt failed before the first byte.
func TestInstancesShareCachedParts(t *testing.T) {
	c := newCluster(2, 4)
	q := &Query{PromptTokens: 17000, PrefixTokens: 13300, PrefixKey: "part-1"}
	for _, tr := range c.trackers {
		tr.Targets(c.view, "model", q.PrefixKey, nil, c.now)
	}
	read, unread := c.view.Targets["t-2"], c.view.Targets["t-3"]
	run := c.trackers[0].Begin(c.view, read, c.service, q, Choice{}, c.now)
	run.FirstByte(c.now)
	c.trackers[0].Begin(c.view, unread, c.service, q, Choice{}, c.now).End(Unreachable, c.now)
	hb := &peerv1.FleetRow{Sequence: 7, Parts: c.trackers[0].CachedParts(c.now.Add(time.Second))}
	c.trackers[1].SetPeerHeartbeats(map[string]*peerv1.FleetRow{"10.0.0.0": hb}, c.now)
	for i, tr := range c.trackers {
		for _, v := range tr.Targets(c.view, "model", q.PrefixKey, nil, c.now) {
			if v.Cached != (v.ID == "t-2") {
				t.Errorf("instance %d: target %s cached %v", i, v.ID, v.Cached)
			}
		}
	}
	if expired := c.trackers[0].CachedParts(c.now.Add(time.Hour)); len(expired) != 0 {
		t.Errorf("expired updates %v", expired)
	}
}
