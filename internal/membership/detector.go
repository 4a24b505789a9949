package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// Detector is the failure detector of one instance without its I/O. It reads no
// clock: methods that need the time take the elapsed time as an argument. It is
// not safe for concurrent use.
type Detector struct {
	self        Member
	members     map[string]*entry
	sortedNames []string // names of the members
	rng         *rand.Rand
	// changes holds the transitions since the last TakeChanges.
	changes []Transition
	updates updateQueue

	allBootstrap     []string // configured bootstrap addresses without that of the instance itself
	pendingBootstrap []string // bootstrap addresses of no known member
	regional         probeRound
	global           probeRound
	ticks            int
	messages         int
	probeDeadNow     bool // a message of a dead member came since the last tick
	lastTick         time.Duration
	resumedAt        time.Duration // end of the last process pause
}

type entry struct {
	Member
	listed        bool
	listLeaving   bool
	suspicionEnd  time.Duration
	unusableSince time.Duration
}

// Transition is a change of a member's state.
type Transition struct {
	Member  Member
	Old     State // 0 if the member is new
	Removed bool  // the member was removed
}

// NewDetector returns the Detector of the instance self. generation should be
// larger than that of earlier processes of the same name, for example the
// wall-clock time in seconds.
func NewDetector(self Member, generation uint32, bootstrap []string, seed uint64) *Detector {
	self.State, self.Generation = Alive, generation
	d := &Detector{
		self:    self,
		members: make(map[string]*entry),
		rng:     rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
	for _, a := range bootstrap {
		if a != self.PeerAddress {
			d.pendingBootstrap = append(d.pendingBootstrap, a)
		}
	}
	d.allBootstrap = slices.Clone(d.pendingBootstrap)
	d.updates.add(self.Name, false)
	return d
}

// Self returns the instance's own entry.
func (d *Detector) Self() Member { return d.self }

// SetLoad sets the load that messages report.
func (d *Detector) SetLoad(load uint32) { d.self.Load = load }

// SetInstanceList applies a new instance list. Newly listed members count as
// alive until a probe shows otherwise.
func (d *Detector) SetInstanceList(list *confservice.InstanceList) {
	wasLeaving := make(map[string]bool)
	for name, e := range d.members {
		wasLeaving[name] = e.listLeaving
		e.listed, e.listLeaving = false, false
	}
	for _, in := range list.Instances {
		if in.Name == d.self.Name {
			continue
		}
		e := d.members[in.Name]
		if e == nil {
			e = d.insert(Member{Name: in.Name, PeerAddress: in.PeerAddress, Region: in.Region, Domain: in.Domain, State: Alive})
			if e == nil {
				continue
			}
		}
		e.listed, e.listLeaving = true, in.Leaving
		e.CallersAddress = in.CallersAddress
		if e.Incarnation == 0 {
			e.PeerAddress, e.Region, e.Domain = in.PeerAddress, in.Region, in.Domain
		}
	}
	for _, name := range d.names() {
		e := d.members[name]
		if !e.listed && e.Incarnation == 0 {
			d.remove(e) // no longer listed and never seen
		} else if e.listLeaving != wasLeaving[name] {
			d.changes = append(d.changes, Transition{Member: e.effective(), Old: e.State})
		}
	}
}

// effective returns the member with the state Leaving if it is usable but marked
// as leaving in the instance list.
func (e *entry) effective() Member {
	m := e.Member
	if e.listLeaving && m.Usable() {
		m.State = Leaving
	}
	return m
}

func (d *Detector) remove(e *entry) {
	delete(d.members, e.Name)
	if i, ok := slices.BinarySearch(d.sortedNames, e.Name); ok {
		d.sortedNames = slices.Delete(d.sortedNames, i, i+1)
	}
	d.updates.drop(e.Name)
	if slices.Contains(d.allBootstrap, e.PeerAddress) {
		d.pendingBootstrap = append(d.pendingBootstrap, e.PeerAddress)
	}
	d.changes = append(d.changes, Transition{Member: e.Member, Old: e.State, Removed: true})
}

func (d *Detector) insert(m Member) *entry {
	if len(d.members) >= maxMembers {
		return nil
	}
	e := &entry{Member: m}
	d.members[m.Name] = e
	i, _ := slices.BinarySearch(d.sortedNames, m.Name)
	d.sortedNames = slices.Insert(d.sortedNames, i, m.Name)
	d.changes = append(d.changes, Transition{Member: m})
	d.pendingBootstrap = slices.DeleteFunc(d.pendingBootstrap, func(a string) bool { return a == m.PeerAddress })
	return e
}

// Members returns all members but the instance itself, ordered by name.
func (d *Detector) Members() []Member {
	out := make([]Member, 0, len(d.members))
	for _, name := range d.sortedNames {
		out = append(out, d.members[name].effective())
	}
	return out
}

// TakeChanges returns the transitions since the last call.
func (d *Detector) TakeChanges() []Transition {
	out := d.changes
	d.changes = nil
	return out
}

// Tick expires suspicions, removes members that have been gone for too long and
// returns the addresses to probe now. It is called once per ProbeInterval.
func (d *Detector) Tick(now time.Duration) []string {
	if gap := now - d.lastTick; d.ticks > 0 && gap > processPauseGap {
		d.resumedAt = now
		for _, e := range d.members {
			e.suspicionEnd += gap
		}
	}
	d.lastTick = now
	d.ticks++
	d.expire(now)
	var out []string
	if len(d.pendingBootstrap) > 0 {
		out = append(out, d.pendingBootstrap[d.rng.IntN(len(d.pendingBootstrap))])
	}
	// Every second probe goes to the local region: its members are used most,
	// and their loads are needed for the directory.
	round := &d.global
	if d.ticks%2 == 0 {
		round = &d.regional
	}
	if a := d.nextAddress(round, round == &d.regional); a != "" {
		out = append(out, a)
	}
	if d.ticks%deadProbeTicks == 0 || d.probeDeadNow {
		d.probeDeadNow = false
		if a := d.randomDeadAddress(); a != "" {
			out = append(out, a)
		}
	}
	return out
}

func (d *Detector) expire(now time.Duration) {
	for _, name := range d.names() {
		e := d.members[name]
		switch {
		case e.State == Suspected && now >= e.suspicionEnd:
			d.setState(e, Dead, now)
		case !e.Usable() && !e.listed && now >= e.unusableSince+RemovalDelay:
			d.remove(e)
		}
	}
}

// names returns a copy of sortedNames, so that members may be removed while a
// caller iterates over it.
func (d *Detector) names() []string { return slices.Clone(d.sortedNames) }

func (d *Detector) setState(e *entry, s State, now time.Duration) {
	old := e.State
	e.State = s
	switch s {
	case Suspected:
		e.suspicionEnd = now + SuspicionTimeout
	case Dead, Leaving:
		e.unusableSince = now
	}
	d.updates.add(e.Name, s != Alive)
	if old != s {
		d.changes = append(d.changes, Transition{Member: e.effective(), Old: old})
	}
}

// probeRound is one round of probes in random order. Each member is probed once
// before any is probed again.
type probeRound struct {
	names []string
	next  int
}

// nextAddress returns the peer address of the next usable member in the round and
// starts a new round after the last one. It returns "" if there is no usable
// member.
func (d *Detector) nextAddress(r *probeRound, regional bool) string {
	for range 2 {
		for ; r.next < len(r.names); r.next++ {
			if e := d.members[r.names[r.next]]; e != nil && e.Usable() {
				r.next++
				return e.PeerAddress
			}
		}
		r.names, r.next = r.names[:0], 0
		for _, name := range d.names() {
			if e := d.members[name]; e.Usable() && (!regional || e.Region == d.self.Region) {
				r.names = append(r.names, name)
			}
		}
		d.rng.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
	}
	return ""
}

func (d *Detector) randomDeadAddress() string {
	var dead []string
	for _, name := range d.names() {
		if e := d.members[name]; e.State == Dead {
			dead = append(dead, e.PeerAddress)
		}
	}
	if len(dead) == 0 {
		return ""
	}
	return dead[d.rng.IntN(len(dead))]
}

// ChooseRelays returns the addresses of up to RelayCount members, chosen at
// random, to ask for an indirect probe of the address target.
func (d *Detector) ChooseRelays(target string) []string {
	var out []string
	for _, m := range d.Random(RelayCount + 1) {
		if m.PeerAddress != target && len(out) < RelayCount {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// Random returns up to n usable members, chosen at random.
func (d *Detector) Random(n int) []Member {
	var usable []*entry
	for _, name := range d.sortedNames {
		if e := d.members[name]; e.Usable() {
			usable = append(usable, e)
		}
	}
	out := make([]Member, min(n, len(usable)))
	for i := range out {
		j := i + d.rng.IntN(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]
		out[i] = usable[i].Member
	}
	return out
}

// ProbeFailed records that neither a direct nor an indirect probe, begun at
// started, reached the member at the address. The member becomes suspected.
func (d *Detector) ProbeFailed(address string, started, now time.Duration) {
	if started < d.resumedAt || now-started > 2*(ProbeTimeout+RelayTimeout) {
		return // this process was paused during the probe
	}
	for _, name := range d.names() {
		if e := d.members[name]; e.PeerAddress == address && e.State == Alive {
			d.setState(e, Suspected, now)
		}
	}
}

// ProbeSucceeded records that the process from responded at the address. An
// address is used by one process at a time, so any other member with that
// address becomes suspected.
func (d *Detector) ProbeSucceeded(address string, from *peerv1.Identity, now time.Duration) {
	for _, name := range d.names() {
		if e := d.members[name]; e.PeerAddress == address && e.Name != from.GetInstance() && e.State == Alive {
			d.setState(e, Suspected, now)
		}
	}
	if from.GetInstance() == d.self.Name {
		// The bootstrap address leads to this instance itself.
		d.pendingBootstrap = slices.DeleteFunc(d.pendingBootstrap, func(a string) bool { return a == address })
	}
}

// Leave marks the instance as leaving and returns the addresses of the members to
// notify at once.
func (d *Detector) Leave() []string {
	d.self.State = Leaving
	d.self.Generation++
	d.updates.add(d.self.Name, true)
	var out []string
	for _, name := range d.names() {
		if e := d.members[name]; e.Usable() && e.Region == d.self.Region {
			out = append(out, e.PeerAddress)
		}
	}
	for _, m := range d.Random(announceFanout) {
		if !slices.Contains(out, m.PeerAddress) {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// Merge applies the updates of one message, at most maxIncomingUpdates of them.
// from is the sender.
func (d *Detector) Merge(from *peerv1.Identity, updates []*peerv1.MemberNews, now time.Duration) {
	for i, u := range updates {
		if i == maxIncomingUpdates {
			return
		}
		d.mergeUpdate(from, u, now)
	}
}

// NameByAddress returns the name of the first member with the peer address, or "".
func (d *Detector) NameByAddress(address string) string {
	for _, name := range d.names() {
		if e := d.members[name]; e.PeerAddress == address {
			return name
		}
	}
	return ""
}
