package membership

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// largest fleet of the tests; 330 takes a minute of processor time.
var largest = flag.Int("fleet", 30, "largest fleet to simulate")

type size struct{ n, regions int }

func sizes() []size {
	all := []size{{9, 3}, {30, 5}, {90, 15}, {330, 15}}
	return slices.DeleteFunc(all, func(s size) bool { return s.n > *largest })
}

// Bounds from the design: a watcher is replaced in seconds, a leaving instance
// gets no work after 3 s, and all control traffic of a node is at most 7 KB/s.
const (
	maxDetection = 10 * time.Second
	maxLeaving   = 3 * time.Second
	maxBytes     = 7000 // per second and node
)

func gone(m Member, known bool) bool { return !known || !m.Used() }

// Guards against a dead instance that stays in use, and against one that
// restarts and is not used again under its new incarnation.
func TestDeathAndRestart(t *testing.T) {
	for _, s := range sizes() {
		f := newFleet(s.n, s.regions, true, 1)
		f.run(30 * time.Second)
		f.down[4] = true
		death := f.until(4, time.Minute, gone)
		f.run(30 * time.Second)
		f.start(4)
		incarnation := f.cores[4].Self().Incarnation
		back := f.until(4, time.Minute, func(m Member, _ bool) bool { return m.Used() && m.Incarnation == incarnation })
		t.Logf("%d instances: death seen everywhere in %v, restart in %v", s.n, death, back)
		if death > maxDetection || back > maxDetection {
			t.Errorf("%d instances: death seen in %v, restart in %v, want at most %v", s.n, death, back, maxDetection)
		}
	}
}

// Guards against news of a death that waits behind the many changes after a
// start: at 330 instances it once took 25 s to reach all.
func TestUrgentNewsFirst(t *testing.T) {
	f := newFleet(330, 15, true, 9)
	f.run(2 * time.Second)
	c := f.cores[0]
	if len(c.news.items) < maxNews {
		t.Fatal("the start caused no news")
	}
	dead := c.members[f.identity(100).Name]
	c.set(dead, Dead, f.now)
	for i := range 5 {
		if !slices.ContainsFunc(c.News("nobody"), func(n *peerv1.MemberNews) bool { return n.Member.Instance == dead.Name }) {
			t.Errorf("message %d does not carry the death", i)
		}
	}
}

// Guards against a leaving instance that is still used after 3 s.
func TestLeave(t *testing.T) {
	for _, s := range sizes() {
		f := newFleet(s.n, s.regions, true, 2)
		f.run(2 * time.Minute)
		for _, address := range f.cores[5].Leave() {
			f.exchange(5, f.byAddr[address])
		}
		took := f.until(5, time.Minute, gone)
		t.Logf("%d instances: leaving seen everywhere in %v", s.n, took)
		if took > maxLeaving {
			t.Errorf("%d instances: leaving seen in %v, want at most %v", s.n, took, maxLeaving)
		}
	}
}

// Guards against running instances that count as dead because messages are
// lost or because the instance that judges them was paused.
func TestNoFalseDeath(t *testing.T) {
	for _, s := range sizes()[:2] {
		f := newFleet(s.n, s.regions, true, 3)
		f.loss = 0.05
		for round := range 20 {
			f.run(10 * time.Second)
			frozen := round % s.n
			f.frozen[frozen] = true
			f.run(2 * time.Second)
			f.frozen[frozen] = false
			for i, c := range f.cores {
				for _, m := range c.Members() {
					if m.State == Dead {
						t.Fatalf("%d instances, round %d: instance %d believes that %s is dead", s.n, round, i, m.Name)
					}
				}
			}
		}
	}
}

// Guards against an instance that was frozen for long and stays unused, or
// takes the others for dead when it wakes up.
func TestFrozenAndWoken(t *testing.T) {
	f := newFleet(9, 3, true, 4)
	f.run(30 * time.Second)
	f.frozen[7] = true
	if took := f.until(7, time.Minute, gone); took > maxDetection {
		t.Errorf("a frozen instance was used for %v", took)
	}
	f.run(5 * time.Minute)
	f.frozen[7] = false
	f.run(Period)
	for _, m := range f.cores[7].Members() {
		if !m.Used() {
			t.Errorf("the woken instance believes that %s is %v", m.Name, m.State)
		}
	}
	if took := f.until(7, time.Minute, func(m Member, _ bool) bool { return m.State == Alive }); took > maxDetection {
		t.Errorf("the woken instance was not used for %v", took)
	}
}

// Guards against two sides of a partition that stay apart after it heals,
// with and without an instance list, and after dead members were forgotten.
func TestPartitionHeals(t *testing.T) {
	for _, listed := range []bool{true, false} {
		for _, s := range sizes()[:2] {
			f := newFleet(s.n, s.regions, listed, 5)
			f.run(time.Minute)
			for r := 1; r < s.regions; r++ {
				f.setCut(0, r, true)
			}
			f.run(5 * time.Minute)
			clear(f.cut)
			began := f.now
			for i := range s.n {
				f.until(i, time.Minute, func(m Member, known bool) bool { return known && m.State == Alive })
			}
			t.Logf("%d instances, listed %v: all see each other %v after the partition", s.n, listed, f.now-began)
			if f.now-began > 3*maxDetection {
				t.Errorf("%d instances, listed %v: apart for %v after the partition", s.n, listed, f.now-began)
			}
		}
	}
}

// Guards against bytes a second per node that grow with the fleet.
func TestBytes(t *testing.T) {
	steady := make(map[int]float64)
	for _, s := range sizes() {
		f := newFleet(s.n, s.regions, true, 6)
		worst := 0.0
		measure := func(d time.Duration) float64 {
			clear(f.sent)
			f.run(d)
			sum := 0
			for _, b := range f.sent {
				sum += b
				worst = max(worst, float64(b)/d.Seconds())
			}
			return float64(sum) / float64(s.n) / d.Seconds()
		}
		storm := measure(10 * time.Second)
		worstStorm := worst
		f.run(8 * time.Minute)
		steady[s.n] = measure(time.Minute)
		t.Logf("%d instances: %.0f bytes/s sent per node in the first 10 s (largest node %.0f), %.0f steady", s.n, storm, worstStorm, steady[s.n])
		if worst > maxBytes {
			t.Errorf("%d instances: a node sent %.0f bytes/s, want at most %d", s.n, worst, maxBytes)
		}
	}
	for _, s := range sizes() {
		if steady[s.n] > 1.25*steady[9] {
			t.Errorf("steady bytes/s grow from %.0f at 9 to %.0f at %d instances", steady[9], steady[s.n], s.n)
		}
	}
}

// Guards against news that is too large, and against malformed news that
// enters the table.
func TestNewsBounds(t *testing.T) {
	f := newFleet(330, 15, true, 7)
	f.run(3 * time.Second)
	for _, c := range f.cores {
		if news := c.News("nobody"); len(news) > maxNews {
			t.Fatalf("%d changes in one message", len(news))
		}
	}
	c := f.cores[0]
	before := len(c.members)
	good := func() *peerv1.MemberNews {
		return &peerv1.MemberNews{State: 1, Generation: 1, Member: &peerv1.Identity{Instance: "new", Incarnation: 1, PeerAddress: "10.9.9.9:1", Region: "r", Domain: "d"}}
	}
	for _, spoil := range []func(n *peerv1.MemberNews){
		func(n *peerv1.MemberNews) { n.Member = nil },
		func(n *peerv1.MemberNews) { n.State = 0 },
		func(n *peerv1.MemberNews) { n.State = 3 },
		func(n *peerv1.MemberNews) { n.State = 9 },
		func(n *peerv1.MemberNews) { n.Generation = 1<<32 - 1 },
		func(n *peerv1.MemberNews) { n.Member.PeerAddress = "host:1" },
		func(n *peerv1.MemberNews) { n.Member.Instance = "a b" },
		func(n *peerv1.MemberNews) { n.Member.Region = "" },
		func(n *peerv1.MemberNews) { n.CallersAddress = "0.0.0.0:1" },
	} {
		n := good()
		spoil(n)
		c.Merge(&peerv1.Identity{}, []*peerv1.MemberNews{n}, f.now)
	}
	if len(c.members) != before {
		t.Error("malformed news entered the table")
	}
	if c.Merge(&peerv1.Identity{}, []*peerv1.MemberNews{good()}, f.now); len(c.members) != before+1 {
		t.Error("good news did not enter the table")
	}
}

// Guards against a table that grows with every instance that ever was, and
// against a bootstrap address that is not asked again once its instance was
// forgotten.
func TestForget(t *testing.T) {
	f := newFleet(4, 2, false, 8)
	f.run(20 * time.Second)
	f.down[1] = true
	f.run(ForgetTime + time.Minute)
	if _, known := f.cores[0].members[f.identity(1).Name]; known {
		t.Error("a dead member is still known")
	}
	if !slices.Contains(f.cores[0].bootstrap, f.identity(1).PeerAddress) {
		t.Error("the bootstrap address is not asked any more")
	}
}
