package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/pace"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/roster"
)

// simRegion simulates a region in virtual time: instances in two failure domains that
// each get a part of the requests, and plain targets with slots and a queue.
type simRegion struct {
	now       time.Time
	random    *rand.Rand
	view      *catalog.View
	service   *deployment.Service
	instances []*simInstance
	targets   map[string]*simTarget
	events    []simEvent
	// interval is the heartbeat interval. hears says whether instance i hears j.
	interval  time.Duration
	hears     func(i, j int) bool
	objective time.Duration
	refused   int
	// cut is set while the store answers no instance, checks counts the health checks
	// that were made because of it, if any.
	cut    bool
	checks int
	// started is called when a request was sent to a target; it may be nil.
	started func(in *simInstance, target string)
}

type simInstance struct {
	id      *peerv1.Identity
	roster  *roster.Roster
	tracker *Tracker
	rows    map[string]*peerv1.FleetRow
	members map[string]heartbeat.Member
	// skew is the error of its clock, and frozenUntil the end of a freeze.
	skew        time.Duration
	confirmedAt time.Time
	frozenUntil time.Time
	// phase is when in an interval it sends heartbeats.
	phase time.Duration
}

type simTarget struct {
	id   string
	busy []time.Time // until when each slot is taken
	// slower multiplies the time of a request; down loses all connections.
	slower float64
	down   bool
	// coldUntil is the end of a warm-up that only health checks show.
	coldUntil time.Time
	// arrivals and done are the times of requests and their ends, late the number of
	// answers after the objective.
	arrivals, done         []time.Time
	inFlight, mostInFlight int
	late                   int
}

func hearsAll(int, int) bool { return true }

type simEvent struct {
	at time.Time
	do func()
}

const (
	simSlots       = 6
	simServiceTime = 60 * time.Millisecond
)

func newSimRegion(instances, all, targets int, seed uint64) *simRegion {
	s := &deployment.Service{Name: "plain", MaxConns: 500, Warmup: 3 * time.Second, WarmupRate: 4.4}
	r := &simRegion{now: time.Unix(9000, 0), random: rand.New(rand.NewPCG(seed, 875)), service: s, targets: map[string]*simTarget{},
		interval: max(100*time.Millisecond, time.Duration(all)*10*time.Millisecond), hears: hearsAll, objective: 500 * time.Millisecond}
	r.view = &catalog.View{Targets: map[string]*catalog.Entry{}, PublishedState: deployment.PublishedState{Config: &deployment.Config{Services: map[string]*deployment.Service{s.Name: s}}}}
	for i := range targets {
		id := fmt.Sprint("t-", i)
		r.view.Targets[id] = &catalog.Entry{Target: deployment.Target{ID: id, Service: s.Name, Domain: "a", Slots: simSlots, StartedMS: 1}}
		r.targets[id] = &simTarget{id: id, busy: make([]time.Time, simSlots), slower: 1}
	}
	for i := range instances {
		r.instances = append(r.instances, &simInstance{})
		r.start(i)
	}
	for range 35 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.applyHeartbeats(true)
	}
	return r
}

// clock returns the time at an instance.
func (r *simRegion) clock(in *simInstance) time.Time { return r.now.Add(in.skew) }

func (r *simRegion) frozen(in *simInstance) bool { return r.now.Before(in.frozenUntil) }

// start starts or restarts an instance.
func (r *simRegion) start(i int) {
	domains := map[string]string{"a": "east", "b": "east"}
	id := &peerv1.Identity{Instance: fmt.Sprint("entry-", i), PeerAddress: fmt.Sprint("10.0.0.", i, ":9"), Region: "east", Domain: string("ab"[i%2]), Incarnation: r.random.Uint64()}
	settings := &deployment.Settings{Instance: id.Instance, Region: "east", RegionByDomain: domains, Bounds: deployment.Bounds{WarmupRateFactor: 1.5, WarmupSlack: 3}}
	in := &simInstance{id: id, rows: map[string]*peerv1.FleetRow{}, members: map[string]heartbeat.Member{}, phase: time.Duration(r.random.Int64N(int64(r.interval)))}
	in.roster = roster.New(roster.Config{Self: id, Seeds: []string{"10.0.0.0:9", "10.0.0.1:9"}, RegionByDomain: domains})
	in.tracker = NewTracker(settings, in.roster, r.now, func() time.Duration { return r.now.Sub(time.Unix(0, 0)) }, func(time.Duration) {})
	r.instances[i] = in
}

// applyHeartbeats lets the instances whose turn it is send heartbeats, and all apply
// what they have got. It is called every 100 ms.
func (r *simRegion) applyHeartbeats(everyone bool) {
	for j, from := range r.instances {
		elapsed := time.Duration(r.now.UnixNano()) + from.phase
		if r.frozen(from) || !everyone && elapsed%r.interval >= 100*time.Millisecond {
			continue
		}
		row := &peerv1.FleetRow{Instance: from.id, Targets: from.tracker.TargetUses(), Profiles: append(from.tracker.SlowTargets(), from.tracker.Profiles()...)}
		row.DomainMembers, row.HasWarmupShare = from.roster.State()
		for i, to := range r.instances {
			if i != j && !r.frozen(to) && r.hears(i, j) {
				to.rows[from.id.PeerAddress] = row
				for _, p := range row.GetProfiles() {
					to.tracker.MergeProfile(from.id.PeerAddress, p)
				}
				to.members[from.id.PeerAddress] = heartbeat.Member{Heartbeat: row, LastSeen: r.clock(to)}
			}
		}
	}
	for _, in := range r.instances {
		if r.frozen(in) {
			continue
		}
		members := make([]heartbeat.Member, 0, len(in.members))
		for address, m := range in.members {
			members = append(members, m)
			if r.clock(in).Sub(m.LastSeen) > 3*r.interval+time.Second {
				delete(in.rows, address)
			}
		}
		in.roster.Update(members, r.clock(in))
		in.tracker.SetPeerHeartbeats(in.rows, r.clock(in))
	}
}

func (r *simRegion) after(d time.Duration, do func()) {
	e := simEvent{r.now.Add(d), do}
	at, _ := slices.BinarySearchFunc(r.events, e, func(a, b simEvent) int { return a.at.Compare(b.at) })
	r.events = slices.Insert(r.events, at, e)
}

// run lets time pass with perSecond requests in all.
func (r *simRegion) run(d time.Duration, perSecond float64) {
	const step = time.Millisecond
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(step)
		for len(r.events) > 0 && !r.events[0].at.After(r.now) {
			e := r.events[0]
			r.events = r.events[1:]
			e.do()
		}
		if r.now.UnixNano()%int64(50*time.Millisecond) == 0 {
			r.checkUnconfirmed()
		}
		if r.now.UnixNano()%int64(100*time.Millisecond) == 0 {
			r.applyHeartbeats(false)
			for _, in := range r.instances {
				r.check(in)
			}
		}
		for expected := perSecond * step.Seconds(); expected > 0; expected-- {
			if r.random.Float64() < expected {
				r.arrive(r.instances[r.random.IntN(len(r.instances))])
			}
		}
	}
}

// checkUnconfirmed makes the health checks that instances ask for while the list of
// targets is unconfirmed. The answer takes 3 ms.
func (r *simRegion) checkUnconfirmed() {
	for _, in := range r.instances {
		if !r.cut {
			in.confirmedAt = r.clock(in)
		}
		in.tracker.SetListConfirmed(in.confirmedAt, r.clock(in))
		for _, id := range in.tracker.ChecksDue(r.view, r.clock(in)) {
			r.checks++
			startedAt := r.clock(in)
			r.after(time.Millisecond, func() {
				warmup := r.targets[id].coldUntil.Sub(r.now)
				r.after(2*time.Millisecond, func() { in.tracker.SetChecked(id, true, max(0, warmup), startedAt, r.clock(in)) })
			})
		}
	}
}

// check makes the health checks of one instance.
func (r *simRegion) check(in *simInstance) {
	if r.frozen(in) || r.now.UnixNano()/int64(100*time.Millisecond)%4 != 0 {
		return
	}
	for _, id := range in.tracker.DownTargets(r.clock(in)) {
		if !r.targets[id].down {
			in.tracker.SetHealthy(id, 0, r.clock(in))
		}
	}
}

func (r *simRegion) arrive(in *simInstance) {
	if r.frozen(in) {
		return
	}
	q := &Query{Objective: r.objective, Remaining: 4 * time.Second, LocalAllowed: true}
	choice := Choose(q, in.tracker.Targets(r.view, r.service.Name, "", nil, r.clock(in)), nil, in.tracker.Model(r.service))
	if choice.Target == "" {
		r.refused++
		return
	}
	a := in.tracker.Begin(r.view, r.view.Targets[choice.Target], r.service, q, choice, r.clock(in))
	if a == nil {
		r.refused++
		return
	}
	t := r.targets[choice.Target]
	if t.down {
		r.after(time.Millisecond, func() { a.End(Unreachable, r.clock(in)) })
		return
	}
	a.Sent(r.clock(in))
	t.arrivals = append(t.arrivals, r.now)
	if r.started != nil {
		r.started(in, t.id)
	}
	t.inFlight++
	t.mostInFlight = max(t.mostInFlight, t.inFlight)
	slot := 0
	for i, until := range t.busy {
		if until.Before(t.busy[slot]) {
			slot = i
		}
	}
	begin := later(r.now, t.busy[slot])
	t.busy[slot] = begin.Add(time.Duration(t.slower * (0.8 + 0.4*r.random.Float64()) * float64(simServiceTime)))
	sent := r.now
	r.after(t.busy[slot].Sub(r.now)+time.Millisecond, func() {
		t.inFlight--
		t.done = append(t.done, r.now)
		if r.now.Sub(sent) > r.objective {
			t.late++
		}
		a.FirstByte(r.clock(in))
		a.End(Success, r.clock(in))
	})
}

// count returns the number of times in [from, from+d).
func count(times []time.Time, from time.Time, d time.Duration) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(d)) {
			n++
		}
	}
	return n
}

// shareReached returns how long after from a target first answered 0.8 of the mean
// number of the others' answers in 500 ms; 0 if it did not.
func (r *simRegion) shareReached(id string, from time.Time) time.Duration {
	const window = 500 * time.Millisecond
	for at := from; at.Add(window).Before(r.now); at = at.Add(50 * time.Millisecond) {
		others := 0
		for _, t := range r.targets {
			if t.id != id {
				others += count(t.done, at, window)
			}
		}
		if 0.8*float64(others) <= float64(count(r.targets[id].done, at, window)*(len(r.targets)-1)) {
			return at.Add(window).Sub(from)
		}
	}
	return 0
}

// returnCase is how a target comes back.
type returnCase struct {
	name string
	// restarted is set if another incarnation runs under the id, which is listed at
	// once. slower multiplies the time of a request during the first second.
	restarted bool
	slower    float64
	// warmupRate is that of the service; 0 if it has no bound.
	warmupRate float64
}

var returnCases = []returnCase{
	{"reachable again", false, 1, 0}, {"reachable again, slow at first", false, 4, 0}, {"restarted, slow at first", true, 4, 0}, {"restarted, with a warm-up bound", true, 4, 4.4},
}

// sizes are the numbers of instances in all, and those of them in the region.
var sizes = []struct{ all, region int }{{4, 4}, {74, 25}, {233, 78}}

// A target that comes back is idle, so that all instances send to it at once, on loads
// that are up to a heartbeat old. Guards against that flood as well as against a
// target that is left idle because the instances with a share have no request.
func TestTargetThatReturnsIsNeitherFloodedNorIdle(t *testing.T) {
	const perSecond = 440 // of 800 that the targets can serve
	for _, c := range returnCases {
		for _, size := range sizes {
			r := newSimRegion(size.region, size.all, 8, 1)
			r.service.WarmupRate = c.warmupRate
			r.run(2*time.Second, perSecond)
			target := r.targets["t-0"]
			target.down = true
			r.run(3*time.Second, perSecond)
			target.down, target.slower = false, c.slower
			if c.restarted {
				e := *r.view.Targets["t-0"]
				e.StartedMS++
				r.view.Targets["t-0"] = &e
			}
			for _, other := range r.targets {
				other.mostInFlight, other.late = 0, 0
			}
			returned := r.now
			r.run(500*time.Millisecond, perSecond)
			early := target.mostInFlight
			r.run(500*time.Millisecond, perSecond)
			target.slower = 1
			inSecond := target.mostInFlight
			r.run(2*time.Second, perSecond)
			inFlight, late, others, othersLate := target.mostInFlight, target.late, 0, 0
			for _, other := range r.targets {
				if other != target {
					others, othersLate = max(others, other.mostInFlight), max(othersLate, other.late)
				}
			}
			most := mostInOneSecond(target.arrivals[slices.IndexFunc(target.arrivals, func(at time.Time) bool { return at.After(returned) }):])
			r.run(7*time.Second, perSecond)
			reached := r.shareReached("t-0", returned)
			t.Logf("%s, %d of %d instances: share reached after %s; in the first second %d requests, at most %d in flight; in 3 s at most %d a second, %d in flight (others %d), %d late (others %d); refused %d", c.name,
				size.region, size.all, reached, count(target.arrivals, returned, time.Second), inSecond, most, inFlight, others, late, othersLate, r.refused)
			if early > simSlots {
				t.Errorf("%s, %d instances: %d requests in flight in the first 500 ms, %d slots", c.name, size.all, early, simSlots)
			}
			if reached == 0 || reached > 6*time.Second {
				t.Errorf("%s, %d instances: the target carries its share after %s", c.name, size.all, reached)
			}
		}
	}
}

// The region is cut off from the store. A failure domain is evacuated and taken back
// meanwhile, which the instances do not learn, and its targets are cold. Guards
// against sending them what warm ones bear; case 5 of the review.
func TestWarmupBoundHoldsWhileListIsUnconfirmed(t *testing.T) {
	for _, c := range []struct {
		instances, all, targets int
		perSecond               float64
	}{{4, 4, 5, 150}, {25, 74, 8, 250}, {78, 233, 8, 250}} {
		for seed := range uint64(5) {
			r := newSimRegion(c.instances, c.all, c.targets, seed)
			r.run(2*time.Second, c.perSecond)
			r.cut = true
			r.run(5500*time.Millisecond, c.perSecond)
			cold := []string{"t-0", "t-1", "t-2"}
			turned := r.now
			for _, id := range cold {
				r.targets[id].coldUntil = r.now.Add(r.service.Warmup)
			}
			r.run(2*time.Second, c.perSecond)
			allowed := r.service.WarmupRate*1.5 + 3
			for _, id := range cold {
				arrivals := r.targets[id].arrivals
				most := mostInOneSecond(arrivals[len(arrivals)-count(arrivals, turned, time.Hour):])
				if float64(most) > allowed {
					t.Errorf("%d instances, seed %d: %s got %d requests in a second while it was cold, allowed %.1f", c.all, seed, id, most, allowed)
				}
			}
		}
	}
}

// The store does not answer, and no target restarts. Guards against instances that
// treat all targets as cold because of that.
func TestOutageOfStoreAloneDoesNotThrottle(t *testing.T) {
	for _, c := range []struct {
		instances, all, targets int
		perSecond               float64
	}{{4, 4, 5, 150}, {25, 74, 8, 250}, {78, 233, 8, 250}} {
		r := newSimRegion(c.instances, c.all, c.targets, 1)
		r.run(2*time.Second, c.perSecond)
		r.cut = true
		r.run(3*time.Second, c.perSecond)
		r.refused, r.checks = 0, 0
		from := r.now
		r.run(5*time.Second, c.perSecond)
		answered, late := 0, 0
		for _, target := range r.targets {
			answered += count(target.done, from, time.Hour)
			late += target.late
		}
		t.Logf("%d of %d instances: in 5 s %d answers, %d late, %d refused, %d health checks", c.instances, c.all, answered, late, r.refused, r.checks)
		if r.refused*50 > answered {
			t.Errorf("%d instances: %d refused, %d answered", c.all, r.refused, answered)
		}
	}
}

// Instances restart, freeze, lose each other, in one direction too, and have wrong
// clocks, while a target recovers again and again. Guards against shares that together
// exceed the window: no instance may count on being heard.
func TestSharesStayWithinWindowUnderRandomTrouble(t *testing.T) {
	const perSecond = 300
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 876))
		r := newSimRegion(2+random.IntN(24), 74, 4, seed)
		r.service.WarmupRate = 0
		for _, in := range r.instances {
			in.skew = time.Duration(random.Int64N(int64(4*time.Hour))) - 2*time.Hour
		}
		side := make([]int, len(r.instances))
		oneWay := false
		r.hears = func(i, j int) bool { return side[i] == side[j] || oneWay && side[i] < side[j] }
		// Requests take 72 ms and wait for a slot, so that windows of the last 300 ms allow those
		// in flight.
		var recent []windowAt
		paced := 0
		r.started = func(sender *simInstance, target string) {
			if target != "t-0" {
				return
			}
			running, largest := 0, 0
			for _, in := range r.instances {
				running += in.tracker.mu.windows.Running("t-0")
				if size, limited := in.tracker.mu.windows.Limit("t-0", r.clock(in)); limited {
					largest = max(largest, size)
				}
			}
			recent = append(recent, windowAt{r.now, largest})
			for recent[0].at.Before(r.now.Add(-300 * time.Millisecond)) {
				recent = recent[1:]
			}
			for _, w := range recent {
				largest = max(largest, w.size)
			}
			if _, limited := sender.tracker.mu.windows.Limit("t-0", r.clock(sender)); limited {
				if paced++; running > largest {
					t.Errorf("seed %d: %d requests in flight, the largest window is %d", seed, running, largest)
				}
			}
		}
		for range 80 {
			r.run(500*time.Millisecond, perSecond)
			switch i := random.IntN(len(r.instances)); random.IntN(6) {
			case 0:
				oneWay = random.IntN(2) == 0
				for i := range side {
					side[i] = random.IntN(3)
				}
			case 1:
				clear(side)
			case 2:
				if i > 1 { // see package roster for restarts of the seeds among themselves
					skew := r.instances[i].skew
					r.start(i)
					r.instances[i].skew = skew
				}
			case 3:
				r.instances[i].frozenUntil = r.now.Add(1500 * time.Millisecond)
			default:
				for i, in := range r.instances {
					if i == 0 || random.IntN(2) == 0 { // not all notice
						now := r.clock(in)
						in.tracker.mu.windows.Recovering("t-0", 1, simSlots, pace.Returned, now)
					}
				}
			}
			if t.Failed() {
				return
			}
		}
		if paced < 20 {
			t.Errorf("seed %d: only %d requests were sent under a window", seed, paced)
		}
	}
}

// Guards against a new target that gets all requests at once because its listing shows
// no warm-up, and against an instance that paces all targets when it starts.
func TestTargetThatIsAddedIsPaced(t *testing.T) {
	c := newCluster(1, 4)
	tr := c.trackers[0]
	for _, e := range c.view.Targets {
		e.FirstListed = c.now
	}
	tr.Targets(c.view, "model", "", nil, c.now)
	if n := tr.PacedTargets(); n != 0 {
		t.Errorf("%d targets paced at the start", n)
	}
	c.now = c.now.Add(time.Minute)
	added := *c.view.Targets["t-0"]
	added.ID, added.FirstListed = "t-9", c.now
	c.view.Targets["t-9"] = &added
	tr.Targets(c.view, "model", "", nil, c.now)
	if _, limited := tr.mu.windows.Limit("t-9", c.now); !limited || tr.PacedTargets() != 1 {
		t.Errorf("paced %v, %d targets in all", limited, tr.PacedTargets())
	}
}

// Guards against an instance with a faulty link of its own that makes the others pace
// all targets, and against one that paces none that comes back alone.
func TestInstanceWithFaultyLinksPacesNone(t *testing.T) {
	for down, want := range map[int]int{1: 1, 4: 0} {
		c := newCluster(1, 4)
		tr := c.trackers[0]
		tr.Targets(c.view, "model", "", nil, c.now)
		for i := range down {
			tr.Begin(c.view, c.view.Targets[fmt.Sprint("t-", i)], c.service, &Query{}, Choice{}, c.now).End(Unreachable, c.now)
		}
		for i := range down {
			tr.SetHealthy(fmt.Sprint("t-", i), 0, c.now.Add(time.Second))
		}
		if got := tr.PacedTargets(); got != want {
			t.Errorf("%d of 4 targets were down: %d paced, want %d", down, got, want)
		}
	}
}

// Guards against pacing a target again, and keeping a restart suspected, because of
// reports that were sent before the window ended, or before the target's new incarnation
// was listed, and that stay in force until the next heartbeat.
func TestDownReportsOlderThanEvidenceDoNotCount(t *testing.T) {
	down := &peerv1.FleetRow{Targets: []*peerv1.TargetUse{{Target: "t-0", Avoided: true, Refuses: true}}}
	again := &peerv1.FleetRow{Targets: []*peerv1.TargetUse{{Target: "t-0", Avoided: true, Refuses: true}}}
	sound := &peerv1.FleetRow{Targets: []*peerv1.TargetUse{{Target: "t-0", Sound: 40, RecoveringMs: 900}}}
	rounds := func(c *cluster, rows map[string]*peerv1.FleetRow) (paced, suspected bool) {
		tr := c.trackers[0]
		for range 3 {
			c.now = c.now.Add(100 * time.Millisecond)
			tr.SetPeerHeartbeats(rows, c.now)
		}
		_, paced = tr.mu.windows.Limit("t-0", c.now)
		return paced, c.now.Before(tr.mu.targets["t-0"].restartSuspectedUntil)
	}
	c := newCluster(1, 4)
	tr := c.trackers[0]
	tr.Targets(c.view, "model", "", nil, c.now)
	if paced, suspected := rounds(c, map[string]*peerv1.FleetRow{"p": down}); !paced || !suspected {
		t.Errorf("found down: paced %v, restart suspected %v", paced, suspected)
	}
	if paced, _ := rounds(c, map[string]*peerv1.FleetRow{"p": down, "q": sound}); paced {
		t.Error("paced because of a report that is older than the end of the window")
	}
	if paced, _ := rounds(c, map[string]*peerv1.FleetRow{"p": again, "q": sound}); !paced {
		t.Error("not paced although found down after the end of the window")
	}
	e := *c.view.Targets["t-0"]
	e.StartedMS++
	c.view.Targets["t-0"] = &e
	c.now = c.now.Add(time.Millisecond)
	tr.Targets(c.view, "model", "", nil, c.now)
	if _, suspected := rounds(c, map[string]*peerv1.FleetRow{"p": again}); suspected {
		t.Error("restart suspected because of a report about the earlier incarnation")
	}
	if _, suspected := rounds(c, map[string]*peerv1.FleetRow{"p": down}); !suspected {
		t.Error("restart not suspected although the new incarnation was found down")
	}
}

type windowAt struct {
	at   time.Time
	size int
}
