package membership

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// maxFleet is the largest number of instances in the tests; 330 instances take a
// minute of processor time.
var maxFleet = flag.Int("fleet", 30, "largest fleet to simulate")

type fleetSize struct{ n, regions int }

func fleetSizes() []fleetSize {
	all := []fleetSize{{9, 3}, {30, 5}, {90, 15}, {330, 15}}
	return slices.DeleteFunc(all, func(s fleetSize) bool { return s.n > *maxFleet })
}

// Bounds from the design: a watcher of the configuration service is replaced in
// seconds, a leaving instance gets no work after 3 s, and all control traffic of
// an instance is at most 7 KB/s.
const (
	maxDetection  = 10 * time.Second
	maxLeaveDelay = 3 * time.Second
	maxSentRate   = 7000 // bytes per second and instance
)

func unusable(m Member, known bool) bool { return !known || !m.Usable() }

// Guards against a dead instance that stays usable, and against an instance that
// restarts and does not become usable with its new incarnation.
func TestDeathAndRestart(t *testing.T) {
	for _, s := range fleetSizes() {
		f := newFleet(s.n, s.regions, true, 1)
		f.run(30 * time.Second)
		f.down[4] = true
		detection := f.runUntil(4, time.Minute, unusable)
		f.run(30 * time.Second)
		f.start(4)
		incarnation := f.detectors[4].Self().Incarnation
		rejoin := f.runUntil(4, time.Minute, func(m Member, _ bool) bool { return m.Usable() && m.Incarnation == incarnation })
		t.Logf("%d instances: death detected everywhere in %v, restart in %v", s.n, detection, rejoin)
		if detection > maxDetection || rejoin > maxDetection {
			t.Errorf("%d instances: death detected in %v, restart in %v, want at most %v", s.n, detection, rejoin, maxDetection)
		}
	}
}

// Guards against an update about a death that waits behind the many updates about
// new members after a start: with 330 instances it took 25 s to reach all of them.
func TestUrgentUpdatesFirst(t *testing.T) {
	f := newFleet(330, 15, true, 9)
	f.run(2 * time.Second)
	d := f.detectors[0]
	if len(d.updates.items) < maxUpdates {
		t.Fatal("the start queued too few updates")
	}
	dead := d.members[f.identity(100).Name]
	d.setState(dead, Dead, f.now)
	for i := range 5 {
		if !slices.ContainsFunc(d.NextUpdates("nobody"), func(u *peerv1.MemberNews) bool { return u.Member.Instance == dead.Name }) {
			t.Errorf("message %d lacks the update about the death", i)
		}
	}
}

// Guards against a leaving instance that is still usable at others after 3 s.
func TestLeave(t *testing.T) {
	for _, s := range fleetSizes() {
		f := newFleet(s.n, s.regions, true, 2)
		f.run(2 * time.Minute)
		for _, address := range f.detectors[5].Leave() {
			f.exchange(5, f.byAddress[address])
		}
		delay := f.runUntil(5, time.Minute, unusable)
		t.Logf("%d instances: leaving known everywhere in %v", s.n, delay)
		if delay > maxLeaveDelay {
			t.Errorf("%d instances: leaving known in %v, want at most %v", s.n, delay, maxLeaveDelay)
		}
	}
}

// Guards against running instances that are declared dead because messages were
// lost or because the process of the observing instance was paused.
func TestNoFalseDeath(t *testing.T) {
	for _, s := range fleetSizes()[:2] {
		f := newFleet(s.n, s.regions, true, 3)
		f.loss = 0.05
		for round := range 20 {
			f.run(10 * time.Second)
			paused := round % s.n
			f.paused[paused] = true
			f.run(2 * time.Second)
			f.paused[paused] = false
			for i, d := range f.detectors {
				for _, m := range d.Members() {
					if m.State == Dead {
						t.Fatalf("%d instances, round %d: instance %d declared %s dead", s.n, round, i, m.Name)
					}
				}
			}
		}
	}
}

// Guards against an instance that stays unusable at others after a long process
// pause, or that declares the others dead when it resumes.
func TestProcessPauseAndResume(t *testing.T) {
	f := newFleet(9, 3, true, 4)
	f.run(30 * time.Second)
	f.paused[7] = true
	if delay := f.runUntil(7, time.Minute, unusable); delay > maxDetection {
		t.Errorf("a paused instance was usable for %v", delay)
	}
	f.run(5 * time.Minute)
	f.paused[7] = false
	f.run(ProbeInterval)
	for _, m := range f.detectors[7].Members() {
		if !m.Usable() {
			t.Errorf("the resumed instance sees %s as %v", m.Name, m.State)
		}
	}
	if delay := f.runUntil(7, time.Minute, func(m Member, _ bool) bool { return m.State == Alive }); delay > maxDetection {
		t.Errorf("the resumed instance was not usable for %v", delay)
	}
}

// Guards against two sides of a partition that do not find each other after it
// heals, with and without an instance list.
func TestPartitionHeals(t *testing.T) {
	for _, listed := range []bool{true, false} {
		for _, s := range fleetSizes()[:2] {
			f := newFleet(s.n, s.regions, listed, 5)
			f.run(time.Minute)
			for r := 1; r < s.regions; r++ {
				f.setPartitioned(0, r, true)
			}
			f.run(5 * time.Minute)
			clear(f.partitioned)
			healed := f.now
			for i := range s.n {
				f.runUntil(i, time.Minute, func(m Member, known bool) bool { return known && m.State == Alive })
			}
			t.Logf("%d instances, listed %v: all see each other %v after the partition healed", s.n, listed, f.now-healed)
			if f.now-healed > 3*maxDetection {
				t.Errorf("%d instances, listed %v: instances unusable for %v after the partition healed", s.n, listed, f.now-healed)
			}
		}
	}
}

// Guards against traffic per instance that grows with the number of instances.
func TestTrafficPerInstance(t *testing.T) {
	steady := make(map[int]float64)
	for _, s := range fleetSizes() {
		f := newFleet(s.n, s.regions, true, 6)
		worst := 0.0
		measure := func(d time.Duration) float64 {
			clear(f.sentBytes)
			f.run(d)
			sum := 0
			for _, b := range f.sentBytes {
				sum += b
				worst = max(worst, float64(b)/d.Seconds())
			}
			return float64(sum) / float64(s.n) / d.Seconds()
		}
		startup := measure(10 * time.Second)
		worstStartup := worst
		f.run(8 * time.Minute)
		steady[s.n] = measure(time.Minute)
		t.Logf("%d instances: %.0f bytes/s sent per instance in the first 10 s (largest instance %.0f), %.0f steady", s.n, startup, worstStartup, steady[s.n])
		if worst > maxSentRate {
			t.Errorf("%d instances: one instance sent %.0f bytes/s, want at most %d", s.n, worst, maxSentRate)
		}
	}
	for _, s := range fleetSizes() {
		if steady[s.n] > 1.25*steady[9] {
			t.Errorf("steady bytes/s grow from %.0f at 9 to %.0f at %d instances", steady[9], steady[s.n], s.n)
		}
	}
}

// Guards against messages with too many updates, and against malformed updates
// that add a member.
func TestUpdateBounds(t *testing.T) {
	f := newFleet(330, 15, true, 7)
	f.run(3 * time.Second)
	for _, d := range f.detectors {
		if updates := d.NextUpdates("nobody"); len(updates) > maxUpdates {
			t.Fatalf("%d updates in one message", len(updates))
		}
	}
	d := f.detectors[0]
	before := len(d.members)
	valid := func() *peerv1.MemberNews {
		return &peerv1.MemberNews{State: 1, Generation: 1, Member: &peerv1.Identity{Instance: "new", Incarnation: 1, PeerAddress: "10.9.9.9:1", Region: "r", Domain: "d"}}
	}
	for _, corrupt := range []func(u *peerv1.MemberNews){
		func(u *peerv1.MemberNews) { u.Member = nil },
		func(u *peerv1.MemberNews) { u.State = 0 },
		func(u *peerv1.MemberNews) { u.State = 3 },
		func(u *peerv1.MemberNews) { u.State = 9 },
		func(u *peerv1.MemberNews) { u.Generation = 1<<32 - 1 },
		func(u *peerv1.MemberNews) { u.Member.PeerAddress = "host:1" },
		func(u *peerv1.MemberNews) { u.Member.Instance = "a b" },
		func(u *peerv1.MemberNews) { u.Member.Region = "" },
		func(u *peerv1.MemberNews) { u.CallersAddress = "0.0.0.0:1" },
	} {
		u := valid()
		corrupt(u)
		d.Merge(&peerv1.Identity{}, []*peerv1.MemberNews{u}, f.now)
	}
	if len(d.members) != before {
		t.Error("a malformed update added a member")
	}
	if d.Merge(&peerv1.Identity{}, []*peerv1.MemberNews{valid()}, f.now); len(d.members) != before+1 {
		t.Error("a valid update did not add its member")
	}
}

// Guards against members that are never removed, and against a bootstrap address
// that is not probed again after its instance was removed.
func TestRemovalOfDeadMembers(t *testing.T) {
	f := newFleet(4, 2, false, 8)
	f.run(20 * time.Second)
	f.down[1] = true
	f.run(RemovalDelay + time.Minute)
	if _, known := f.detectors[0].members[f.identity(1).Name]; known {
		t.Error("a dead member is still known")
	}
	if !slices.Contains(f.detectors[0].pendingBootstrap, f.identity(1).PeerAddress) {
		t.Error("the bootstrap address is not probed any more")
	}
}
