package balance

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const plain = "plain"

func anyRegion(string) bool { return true }

// deploymentOf is a deployment in virtual time, without a network: what an instance
// knows of another is the row that was current some time ago.
type deploymentOf struct {
	now       time.Time
	instances []*simInstance
	// pools are what the instances of a region report of its targets.
	pools map[string]*peerv1.PoolUse
}

type simInstance struct {
	*Regions
	member  heartbeat.Member
	load    *peerv1.InstanceLoad
	ownRows func(m *heartbeat.Member) // changes what this instance knows; nil for nothing
}

const simInterval = 1480 * time.Millisecond // between regions, at 74 members

func newDeployment(perRegion map[string]int) *deploymentOf {
	d := &deploymentOf{now: time.Unix(5000, 0), pools: map[string]*peerv1.PoolUse{}}
	for r, region := range []string{"east", "south", "west"} {
		for n := range perRegion[region] {
			share := 0.192
			if n%6 == 0 {
				share = 0.8
			}
			id := &peerv1.Identity{Instance: fmt.Sprint(region, n), Region: region, Domain: fmt.Sprint(region, n%2), PeerAddress: net.JoinHostPort(fmt.Sprintf("10.%d.0.%d", r, n+1), "9")}
			s := &deployment.Settings{CPUShare: share, LinkBytesPerSecond: 6.5e6 * share}
			d.instances = append(d.instances, &simInstance{Regions: NewRegions(id, s, nil), load: NewMeter(s).Load(),
				member: heartbeat.Member{Reachable: true, LastSeen: d.now, Interval: simInterval, Heartbeat: &peerv1.FleetRow{Instance: id, Ready: true}}})
		}
	}
	return d
}

// update lets all instances send and apply heartbeats.
func (d *deploymentOf) update() {
	for _, x := range d.instances {
		x.member.LastSeen = d.now
		x.member.Heartbeat.Load = x.load
		x.member.Heartbeat.Pools = nil
		if p := d.pools[x.member.Region()]; p != nil {
			x.member.Heartbeat.Pools = []*peerv1.PoolUse{{Service: plain, Slots: p.Slots, Capacity: 2 * p.Slots, Running: p.Running, DelayMs: p.DelayMs, Queued: p.Queued, Forwarded: uint32(x.Received(plain))}}
		}
	}
	d.apply()
}

// apply lets all instances apply what they heard last.
func (d *deploymentOf) apply() {
	for _, x := range d.instances {
		var members []heartbeat.Member
		for _, other := range d.instances {
			if other != x {
				m := other.member
				if x.ownRows != nil {
					x.ownRows(&m)
				}
				members = append(members, m)
			}
		}
		x.Update(members, nil, d.now)
	}
}

// free sums what all instances of a region may send to another one.
func (d *deploymentOf) free(from, to string) (n int) {
	for _, x := range d.instances {
		if x.member.Region() == from {
			n += x.freeSlots(to, d.now)
		}
	}
	return n
}

// forgetGrowth makes the number of permits the room that a region has.
func (x *simInstance) forgetGrowth() {
	for _, s := range x.mu.regions {
		s.growth = map[string]float64{}
	}
}

func (x *simInstance) freeSlots(to string, now time.Time) int {
	for _, v := range x.Views(plain, 700, anyRegion, now) {
		if v.Name == to {
			return v.FreeSlots
		}
	}
	return 0
}

// Guards against the instances of a busy region that all see the same free slots and
// send requests there at once. A region that is full gets most of the room elsewhere.
func TestAllSendersTogetherDoNotExceedTheRoom(t *testing.T) {
	d := newDeployment(map[string]int{"east": 33, "south": 25, "west": 16})
	d.pools["east"] = &peerv1.PoolUse{Slots: 18, Running: 18, Queued: 1}
	// South and west run as many requests of others as they have room for.
	d.pools["south"] = &peerv1.PoolUse{Slots: 12, Running: 10}
	d.pools["west"] = &peerv1.PoolUse{Slots: 12, Running: 10}
	for i := range 8 {
		d.instances[33+i].Receive(plain)
		d.instances[33+25+i].Receive(plain)
	}
	mayUse := func() (east int) {
		room := int(usableFraction * 10)
		for range 200 {
			d.now = d.now.Add(100 * time.Millisecond)
			d.update()
			for _, to := range []string{"south", "west"} {
				sum := 0
				for _, from := range []string{"east", "south", "west"} {
					if from != to {
						sum += d.free(from, to)
					}
				}
				if sum > room {
					t.Fatalf("all may send %d requests to %s, which has room for %d", sum, to, room)
				}
			}
			east = d.free("east", "south")
		}
		return east
	}
	full := mayUse()
	if full < 6 {
		t.Errorf("the full region may use %d of 8 places", full)
	}
	holders := map[string]bool{}
	for range 60 {
		d.now = d.now.Add(rotation)
		d.update()
		for _, x := range d.instances {
			if x.freeSlots("south", d.now) > 0 {
				holders[x.member.Name()] = true
			}
		}
	}
	for _, x := range d.instances {
		if x.member.Region() == "east" && !holders[x.member.Name()] {
			t.Errorf("%s held no permit in a minute", x.member.Name())
		}
	}
	// What is under way is part of the room, wherever the region has counted it yet.
	var hops []*Hop
	for _, x := range d.instances {
		for x.freeSlots("south", d.now) > 0 {
			hops = append(hops, x.Begin(plain, "south", 700, 0, d.now))
		}
	}
	if n := d.free("east", "south") + d.free("west", "south"); n != 0 || len(hops) > 8 {
		t.Errorf("%d requests under way, %d more possible", len(hops), n)
	}
	for _, h := range hops {
		h.End(Ran, d.now.Add(170*time.Millisecond))
	}
	// The number of permits grows while they are idle, and then each may send at least
	// one; it falls as soon as the region reports that they are used.
	for _, x := range d.instances {
		x.mu.received = map[string]int{}
	}
	d.pools["south"].Running = 2
	sum := func(d *deploymentOf, wait time.Duration) int {
		for end := d.now.Add(wait); d.now.Before(end); {
			d.now = d.now.Add(100 * time.Millisecond)
			d.update()
		}
		return d.free("east", "south") + d.free("west", "south")
	}
	senders := 33 + 16
	if n := sum(d, 20*time.Second); n < senders || n > senders+8*maxGrowth {
		t.Errorf("all %d may send %d requests to a region that has room for 8 and gets none", senders, n)
	}
	for _, x := range d.instances {
		if x.member.Region() != "south" && x.freeSlots("south", d.now) == 0 {
			t.Errorf("%s may send no request to a region that is idle", x.member.Name())
		}
	}
	for i := range 8 {
		d.instances[33+i].Receive(plain)
	}
	d.pools["south"].Running = 10
	if n := sum(d, 2*time.Second); n > 8 {
		t.Errorf("all may send %d requests 2 s after a region with room for 8 runs as many", n)
	}
}

// Permits change hands while the other region hears of the need. Guards against two
// regions that both use what one of them has left, with news of different ages.
func TestNeedThatMovesDoesNotExceedTheRoom(t *testing.T) {
	d := newDeployment(map[string]int{"east": 10, "south": 8, "west": 5})
	d.pools["south"] = &peerv1.PoolUse{Slots: 12, Running: 10}
	for i := range 8 {
		d.instances[10+i].Receive(plain)
	}
	rng := rand.New(rand.NewPCG(9, 10))
	delayed := map[string]*peerv1.PoolUse{}
	for tick := range 1200 {
		if tick%60 == 0 {
			for _, region := range []string{"east", "west"} {
				d.pools[region] = &peerv1.PoolUse{Slots: 12, Running: uint32(12 * rng.IntN(2))}
			}
		}
		d.now = d.now.Add(100 * time.Millisecond)
		// Other regions hear a state that is up to an interval old.
		for _, x := range d.instances {
			x.ownRows = func(m *heartbeat.Member) {
				if p := delayed[m.Region()]; p != nil && m.Region() != x.member.Region() {
					hb := *m
					row := &peerv1.FleetRow{Instance: hb.Heartbeat.Instance, Ready: true, Load: hb.Heartbeat.Load, Pools: []*peerv1.PoolUse{{Service: plain, Slots: p.Slots, Running: p.Running}}}
					m.Heartbeat = row
				}
			}
		}
		d.update()
		if tick%14 == 13 {
			for region, p := range d.pools {
				delayed[region] = p
			}
		}
		if n := d.free("east", "south") + d.free("west", "south"); n > 8 {
			t.Fatalf("after %d ticks both regions may send %d requests, there is room for 8", tick, n)
		}
	}
}

// Guards against views by whichever instance was heard last: one that is cut off from
// the targets, or reports old state, has no influence; one that is not reachable, or a
// region of which all is old, contributes nothing.
func TestViewIsMergedFromAllInstances(t *testing.T) {
	d := newDeployment(map[string]int{"east": 1, "west": 9})
	d.pools["west"] = &peerv1.PoolUse{Slots: 100, Running: 50, DelayMs: 40}
	d.update()
	for i, x := range d.instances[1:] {
		p := x.member.Heartbeat.Pools[0]
		switch {
		case i < 2:
			p.Running, p.DelayMs = 0, 1
		case i == 3:
			x.member.Heartbeat.Pools = nil
		case i == 4:
			p.Running, p.Slots, p.Capacity = 0, 0, 0
		case i == 8:
			p.Running, p.DelayMs, x.member.Reachable = 100, 9000, false
		}
	}
	d.apply()
	d.instances[0].forgetGrowth()
	v := d.instances[0].Views(plain, 700, anyRegion, d.now)
	if len(v) != 1 || v[0].FreeSlots != 40 || v[0].Delay != 40*time.Millisecond || v[0].RoundTrip < assumedRoundTrip {
		t.Errorf("view %+v, want 0.8 of 50 free slots and a delay of 40 ms", v)
	}
}

// Guards against requests that are sent by old news: their capacity is halved at first
// and later counts as none.
func TestOldNewsCountLess(t *testing.T) {
	d := newDeployment(map[string]int{"east": 1, "west": 3})
	d.pools["west"] = &peerv1.PoolUse{Slots: 20, Running: 0}
	d.update()
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{simInterval, 16}, {2*simInterval + 300*time.Millisecond, 8}, {4*simInterval + time.Second, 0}} {
		d.apply()
		now := d.now
		d.now = now.Add(c.after)
		d.apply()
		d.instances[0].forgetGrowth()
		if got := d.instances[0].freeSlots("west", d.now); got != c.want {
			t.Errorf("free slots by news %v old: %d, want %d", c.after, got, c.want)
		}
		d.now = now
	}
	for _, x := range d.instances[1:] {
		x.member.Reachable = false
	}
	d.apply()
	if v := d.instances[0].Views(plain, 700, anyRegion, d.now); len(v) != 0 {
		t.Errorf("a region that is cut off is offered: %+v", v)
	}
}

// Guards against hops to a region whose link works in one direction only: its heartbeats
// arrive, and no request does. A region that refuses a request gets none for a moment,
// and other services are not affected.
func TestRegionThatFailsIsExcludedForASecond(t *testing.T) {
	d := newDeployment(map[string]int{"east": 1, "west": 4})
	d.pools["west"] = &peerv1.PoolUse{Slots: 20}
	d.update()
	east := d.instances[0]
	first := east.Begin(plain, "west", 700, 0, d.now)
	first.End(Unreachable, d.now)
	if east.freeSlots("west", d.now) == 0 {
		t.Error("one failure excludes the region, which may have lost one instance only")
	}
	for range 100 {
		h := east.Begin(plain, "west", 700, 0, d.now)
		if h.Address() == first.Address() {
			t.Fatal("the instance that was not reached got another hop")
		}
		h.End(Ran, d.now)
	}
	east.Begin(plain, "west", 700, 0, d.now).End(Unreachable, d.now)
	east.mu.regions["west"].failures = maxFailures - 1
	east.Begin(plain, "west", 700, 0, d.now).End(Unreachable, d.now)
	if east.freeSlots("west", d.now.Add(900*time.Millisecond)) != 0 || east.Begin(plain, "west", 700, 0, d.now) != nil {
		t.Error("a region that is not reached is used")
	}
	if east.freeSlots("west", d.now.Add(1100*time.Millisecond)) != 16 {
		t.Error("the region is not used a second later")
	}
	d.now = d.now.Add(5 * time.Second)
	d.update()
	if east.freeSlots("west", d.now) <= 16 {
		t.Error("the permits of an idle region have not grown")
	}
	east.Begin(plain, "west", 700, 0, d.now).End(Refused, d.now)
	if east.freeSlots("west", d.now.Add(200*time.Millisecond)) != 0 || east.freeSlots("west", d.now.Add(300*time.Millisecond)) != 16 {
		t.Error("a region that refused a request gets another one at once, or none for long")
	}
	stopping := east.Begin(plain, "west", 700, 0, d.now.Add(time.Second))
	stopping.End(Stopping, d.now.Add(time.Second))
	for range 100 {
		h := east.Begin(plain, "west", 700, 0, d.now.Add(2*time.Second))
		if h.Address() == stopping.Address() {
			t.Fatal("an instance that stops got another hop")
		}
		h.End(Ran, d.now.Add(2*time.Second))
	}
	other := &hopState{}
	if east.mu.regions["west"].excluded(other, d.now) {
		t.Error("a refusal for one service excludes others")
	}
}

// Guards against a body that leaves the regions allowed for it, and against hops to
// instances in an evacuated failure domain or that stop.
func TestHopsKeepResidencyAndEvacuations(t *testing.T) {
	d := newDeployment(map[string]int{"east": 1, "south": 4, "west": 4})
	d.pools["west"], d.pools["south"] = &peerv1.PoolUse{Slots: 40}, &peerv1.PoolUse{Slots: 40}
	d.instances[2].member.Heartbeat.Leaving = true
	d.update()
	east := d.instances[0]
	var members []heartbeat.Member
	domains := map[string]string{}
	for _, x := range d.instances[1:] {
		members = append(members, x.member)
		domains[x.member.Address()] = x.member.Domain()
	}
	east.Update(members, map[string]bool{"south0": true}, d.now)
	v := east.Views(plain, 700, func(region string) bool { return region == "south" }, d.now)
	if len(v) != 1 || v[0].Name != "south" {
		t.Errorf("%+v, want only the region allowed", v)
	}
	for range 50 {
		h := east.Begin(plain, "south", 700, 0, d.now)
		if domains[h.Address()] != "south1" || h.Address() == d.instances[2].member.Address() {
			t.Fatalf("hop to %s in %s", h.Address(), domains[h.Address()])
		}
		h.End(Ran, d.now)
	}
	if east.Begin(plain, "east", 700, 0, d.now) != nil {
		t.Error("a hop to the own region")
	}
}

// Guards against small instances that get as many hops as large ones, and against hops
// to instances without processor time.
func TestHopsFollowFreeCapacity(t *testing.T) {
	d := newDeployment(map[string]int{"east": 1, "west": 7}) // two of which are large
	d.pools["west"] = &peerv1.PoolUse{Slots: 40}
	d.instances[1].load.CpuUsedPermille = 500
	d.instances[3].load.CpuUsedPermille = 1000
	d.update()
	hops := map[string]int{}
	for range 20_000 {
		h := d.instances[0].Begin(plain, "west", 700, 0, d.now)
		hops[h.Address()]++
		h.End(Ran, d.now)
	}
	// 400 and 800 for the large instances, 192 for each of four small ones, and 4.8
	// for the one without processor time.
	for i, weight := range map[int]float64{1: 400, 2: 192, 3: 4.8, 7: 800} {
		got, want := float64(hops[d.instances[i].member.Address()])/20_000, weight/(400+800+4*192+4.8)
		if got < 0.85*want-0.002 || got > 1.15*want+0.002 {
			t.Errorf("instance %d has %.4f of the hops, want %.4f", i, got, want)
		}
	}
}

// Guards against long prompts that use the link of an instance before requests with few
// bytes do.
func TestRequestsWithFewBytesLeaveFirst(t *testing.T) {
	d := newDeployment(map[string]int{"east": 1, "west": 2})
	d.pools["west"] = &peerv1.PoolUse{Slots: 4000}
	d.update()
	east := d.instances[0]
	sent := map[int]int{}
	for {
		size := 17_000
		if east.Views(plain, size, anyRegion, d.now)[0].FreeSlots == 0 {
			size = 700
		}
		if east.Views(plain, size, anyRegion, d.now)[0].FreeSlots == 0 {
			break
		}
		east.Begin(plain, "west", size, 0, d.now)
		sent[size] += size
	}
	if total := float64(sent[17_000] + sent[700]); total > 6.5e6*0.8*linkFraction+1000 || float64(sent[17_000]) > 0.25*total {
		t.Errorf("%d bytes of long prompts and %d of others at once", sent[17_000], sent[700])
	}
	if east.Views(plain, 17_000, anyRegion, d.now.Add(2*time.Second))[0].FreeSlots == 0 {
		t.Error("the link is not free after two seconds")
	}
}

// Guards against an assumed round trip, and against a region that answers later than it
// reports staying the first choice, or being given up for good.
func TestRoundTripAndDelayAreMeasured(t *testing.T) {
	d := newDeployment(map[string]int{"east": 1, "west": 2})
	d.pools["west"] = &peerv1.PoolUse{Slots: 40, DelayMs: 60}
	d.update()
	east := d.instances[0]
	view := func() (delay, roundTrip time.Duration) {
		v := east.Views(plain, 0, anyRegion, d.now)[0]
		return v.Delay, v.RoundTrip
	}
	for _, took := range []int{150, 111, 130} {
		h := east.Begin(plain, "west", 0, 0, d.now)
		h.Connected(time.Duration(took) * time.Millisecond)
		h.End(Ran, d.now)
	}
	if _, r := view(); r < 111*time.Millisecond || r > 116*time.Millisecond {
		t.Errorf("round trip %v after 150, 111 and 130 ms", r)
	}
	for range 60 {
		delay, roundTrip := view()
		h := east.Begin(plain, "west", 0, delay+roundTrip, d.now)
		d.now = d.now.Add(600 * time.Millisecond)
		d.update()
		h.FirstByte(d.now)
		h.End(Ran, d.now)
	}
	if delay, roundTrip := view(); delay+roundTrip < 350*time.Millisecond {
		t.Errorf("delay %v and round trip %v expected of a region that takes 600 ms", delay, roundTrip)
	}
	d.now = d.now.Add(30 * time.Second)
	d.update()
	if delay, _ := view(); delay > 70*time.Millisecond {
		t.Errorf("delay %v expected half a minute later", delay)
	}
}

// A plain service whose region peaks in virtual time: guards against free targets in
// other regions that are not used, and against more requests there than they can run,
// also at the moment at which the permits of a long quiet time are used.
func TestPlainServiceUsesOtherRegions(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		quiet     time.Duration
	}{{500, 0}, {500, 20 * time.Second}, {1500, 20 * time.Second}} {
		t.Run(fmt.Sprint(c.perSecond, " after ", c.quiet), func(t *testing.T) { playPeak(t, c.perSecond, c.quiet) })
	}
}

// playPeak plays 20 s of requests in a region that can run 300 a second, after a time
// without any.
func playPeak(t *testing.T, perSecond float64, quiet time.Duration) {
	d := newDeployment(map[string]int{"east": 33, "south": 25, "west": 16})
	rng := rand.New(rand.NewPCG(7, 8))
	slots := map[string]int{"east": 18, "south": 12, "west": 12}
	for region, n := range slots {
		d.pools[region] = &peerv1.PoolUse{Slots: uint32(n)}
	}
	const step, run, oneWay = 5 * time.Millisecond, 60 * time.Millisecond, 55 * time.Millisecond
	for end := d.now.Add(quiet); d.now.Before(end); {
		d.now = d.now.Add(200 * time.Millisecond)
		d.update()
	}
	type job struct {
		at   time.Time
		what func()
	}
	var jobs []job
	after := func(wait time.Duration, what func()) { jobs = append(jobs, job{d.now.Add(wait), what}) }
	running := map[string]int{}
	served, local, remote, refusedThere, most, late := 0, 0, 0, 0, 0, 0
	const seconds = 20
	arrivals := 0
	for tick := range int(seconds * time.Second / step) {
		d.now = d.now.Add(step)
		due := jobs
		jobs = nil
		for _, j := range due {
			if j.at.After(d.now) {
				jobs = append(jobs, j)
			} else {
				j.what()
			}
		}
		if tick%296 == 0 { // the news are up to 1.48 s old, the interval at 74 instances
			for region := range slots {
				d.pools[region].Running = uint32(running[region])
			}
			d.update()
		}
		for _, x := range d.instances {
			if x.member.Region() != "east" || rng.Float64() > perSecond*step.Seconds()/33 {
				continue
			}
			arrivals++
			if running["east"] < slots["east"] {
				running["east"]++
				local++
				after(run, func() { running["east"]-- })
				continue
			}
			var h *Hop
			to := ""
			for _, v := range x.Views(plain, 700, anyRegion, d.now) {
				if v.FreeSlots > 0 && h == nil {
					h, to = x.Begin(plain, v.Name, 700, 0, d.now), v.Name
				}
			}
			if h == nil {
				continue
			}
			h.Connected(2 * oneWay)
			remote++
			at := d.instances[33]
			if to == "west" {
				at = d.instances[33+25]
			}
			after(oneWay, func() {
				if running[to] >= 2*slots[to] {
					refusedThere++
					after(oneWay, func() { h.End(Refused, d.now) })
					return
				}
				running[to]++
				most = max(most, running[to])
				if running[to] > slots[to] {
					late++
				}
				done := at.Receive(plain)
				wait := run
				if over := running[to] - slots[to]; over > 0 {
					wait += run * time.Duration(over) / time.Duration(slots[to])
				}
				after(wait, func() {
					running[to]--
					served++
					done()
					after(oneWay, func() { h.End(Ran, d.now) })
				})
			})
		}
	}
	t.Logf("%d requests in %d s: %d in the own region, %d served by others, %d of them without waiting for a slot, %d refused there; the rest found no place; at most %d at 12 slots", arrivals, seconds, local, served, served-late, refusedThere, most)
	if most > 2*slots["south"] {
		t.Errorf("%d requests at 12 slots at once", most)
	}
	if refusedThere > remote/100 {
		t.Errorf("%d of %d hops found no place", refusedThere, remote)
	}
	// Both others together can run 400 a second, and offer 0.8 of that.
	possible := min(float64(arrivals-local), 320*seconds)
	if part := float64(served) / possible; part < 0.5 {
		t.Errorf("other regions served %.2f of the requests that they could", part)
	}
}

// benchmarkMembers are the other instances as an instance of east hears them.
func benchmarkMembers(n int) (*simInstance, []heartbeat.Member, time.Time) {
	d := newDeployment(map[string]int{"east": n / 3, "south": n / 3, "west": n - 2*(n/3)})
	d.update()
	var members []heartbeat.Member
	for _, x := range d.instances[1:] {
		x.member.Heartbeat.Pools = nil
		for _, service := range []string{plain, "bookings", "chat", "long"} {
			x.member.Heartbeat.Pools = append(x.member.Heartbeat.Pools, &peerv1.PoolUse{Service: service, Slots: 40, Running: 10, DelayMs: 50})
		}
		members = append(members, x.member)
	}
	return d.instances[0], members, d.now
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{74, 334} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x, members, now := benchmarkMembers(n)
			for b.Loop() {
				x.Update(members, nil, now)
			}
		})
	}
}

func BenchmarkViews(b *testing.B) {
	x, members, now := benchmarkMembers(334)
	x.Update(members, nil, now)
	for b.Loop() {
		x.Views(plain, 700, anyRegion, now)
	}
}
