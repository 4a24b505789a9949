package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// Core holds the beliefs of one instance. It does no I/O and reads no clock:
// every method takes the elapsed time. It is not safe for concurrent use.
type Core struct {
	self    Member
	members map[string]*entry
	order   []string // names of members, sorted
	rng     *rand.Rand
	// changed collects the transitions since the last TakeChanges.
	changed []Transition
	news    newsQueue

	allBootstrap []string
	bootstrap    []string // addresses not yet known as members
	regional     ring
	global       ring
	ticks        int
	messages     int
	rejoin       bool // a dead member answered since the last tick
	lastTick     time.Duration
	resumed      time.Duration // end of the last pause
}

type entry struct {
	Member
	listed      bool
	listLeaving bool
	suspectEnd  time.Duration
	deadSince   time.Duration
}

// Transition is a change of a member's state.
type Transition struct {
	Member Member
	Old    State // 0 for a new member
	Gone   bool  // removed
}

// NewCore returns the core of the instance self. generation should be larger
// than that of earlier processes under the same name; wall-clock seconds serve.
func NewCore(self Member, generation uint32, bootstrap []string, seed uint64) *Core {
	self.State, self.Generation = Alive, generation
	c := &Core{
		self:    self,
		members: make(map[string]*entry),
		rng:     rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
	for _, a := range bootstrap {
		if a != self.PeerAddress {
			c.bootstrap = append(c.bootstrap, a)
		}
	}
	c.allBootstrap = slices.Clone(c.bootstrap)
	c.news.add(self.Name, false)
	return c
}

// Self returns the instance's own entry.
func (c *Core) Self() Member { return c.self }

// SetLoad sets the load sent with probes.
func (c *Core) SetLoad(load uint32) { c.self.Load = load }

// SetList takes a new instance list. Listed members count as alive until a
// probe shows otherwise.
func (c *Core) SetList(list *confservice.InstanceList) {
	wasLeaving := make(map[string]bool)
	for name, e := range c.members {
		wasLeaving[name] = e.listLeaving
		e.listed, e.listLeaving = false, false
	}
	for _, in := range list.Instances {
		if in.Name == c.self.Name {
			continue
		}
		e := c.members[in.Name]
		if e == nil {
			e = c.insert(Member{Name: in.Name, PeerAddress: in.Peers, Region: in.Region, Domain: in.Domain, State: Alive})
			if e == nil {
				continue
			}
		}
		e.listed, e.listLeaving = true, in.Leaving
		e.CallersAddress = in.Callers
		if e.Incarnation == 0 {
			e.PeerAddress, e.Region, e.Domain = in.Peers, in.Region, in.Domain
		}
	}
	for _, name := range c.names() {
		e := c.members[name]
		if !e.listed && e.Incarnation == 0 {
			c.remove(e) // listed once and never heard of
		} else if e.listLeaving != wasLeaving[name] {
			c.changed = append(c.changed, Transition{Member: e.view(), Old: e.State})
		}
	}
}

// view returns the member as others see it.
func (e *entry) view() Member {
	m := e.Member
	if e.listLeaving && m.Used() {
		m.State = Leaving
	}
	return m
}

func (c *Core) remove(e *entry) {
	delete(c.members, e.Name)
	if i, ok := slices.BinarySearch(c.order, e.Name); ok {
		c.order = slices.Delete(c.order, i, i+1)
	}
	c.news.drop(e.Name)
	if slices.Contains(c.allBootstrap, e.PeerAddress) {
		c.bootstrap = append(c.bootstrap, e.PeerAddress)
	}
	c.changed = append(c.changed, Transition{Member: e.Member, Old: e.State, Gone: true})
}

func (c *Core) insert(m Member) *entry {
	if len(c.members) >= maxMembers {
		return nil
	}
	e := &entry{Member: m}
	c.members[m.Name] = e
	i, _ := slices.BinarySearch(c.order, m.Name)
	c.order = slices.Insert(c.order, i, m.Name)
	c.changed = append(c.changed, Transition{Member: m})
	c.bootstrap = slices.DeleteFunc(c.bootstrap, func(a string) bool { return a == m.PeerAddress })
	return e
}

// Members returns all members but the instance itself, ordered by name.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.members))
	for _, name := range c.order {
		out = append(out, c.members[name].view())
	}
	return out
}

// TakeChanges returns the transitions since the last call.
func (c *Core) TakeChanges() []Transition {
	out := c.changed
	c.changed = nil
	return out
}

// Tick advances the timers and returns the addresses to probe now. It is
// called once a Period.
func (c *Core) Tick(now time.Duration) []string {
	if gap := now - c.lastTick; c.ticks > 0 && gap > pauseGap {
		c.resumed = now
		for _, e := range c.members {
			e.suspectEnd += gap
		}
	}
	c.lastTick = now
	c.ticks++
	c.expire(now)
	var out []string
	if len(c.bootstrap) > 0 {
		out = append(out, c.bootstrap[c.rng.IntN(len(c.bootstrap))])
	}
	// Every second probe goes to the own region: its members are used most,
	// and their loads are needed for the directory.
	kind := &c.global
	if c.ticks%2 == 0 {
		kind = &c.regional
	}
	if a := c.next(kind, kind == &c.regional); a != "" {
		out = append(out, a)
	}
	if c.ticks%rejoinTicks == 0 || c.rejoin {
		c.rejoin = false
		if a := c.randomDead(); a != "" {
			out = append(out, a)
		}
	}
	return out
}

func (c *Core) expire(now time.Duration) {
	for _, name := range c.names() {
		e := c.members[name]
		switch {
		case e.State == Suspected && now >= e.suspectEnd:
			c.set(e, Dead, now)
		case !e.Used() && !e.listed && now >= e.deadSince+ForgetTime:
			c.remove(e)
		}
	}
}

// names returns a copy, because members may be removed while it is used.
func (c *Core) names() []string { return slices.Clone(c.order) }

func (c *Core) set(e *entry, s State, now time.Duration) {
	old := e.State
	e.State = s
	switch s {
	case Suspected:
		e.suspectEnd = now + SuspicionTime
	case Dead, Leaving:
		e.deadSince = now
	}
	c.news.add(e.Name, s != Alive)
	if old != s {
		c.changed = append(c.changed, Transition{Member: e.view(), Old: old})
	}
}

// ring is the shuffled order of probes, so that each member is probed once
// before any is probed again.
type ring struct {
	names []string
	at    int
}

func (c *Core) next(r *ring, regional bool) string {
	for range 2 {
		for ; r.at < len(r.names); r.at++ {
			if e := c.members[r.names[r.at]]; e != nil && e.Used() {
				r.at++
				return e.PeerAddress
			}
		}
		r.names, r.at = r.names[:0], 0
		for _, name := range c.names() {
			if e := c.members[name]; e.Used() && (!regional || e.Region == c.self.Region) {
				r.names = append(r.names, name)
			}
		}
		c.rng.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
	}
	return ""
}

func (c *Core) randomDead() string {
	var dead []string
	for _, name := range c.names() {
		if e := c.members[name]; e.State == Dead {
			dead = append(dead, e.PeerAddress)
		}
	}
	if len(dead) == 0 {
		return ""
	}
	return dead[c.rng.IntN(len(dead))]
}

// Relays returns the addresses of members to ask for an indirect probe.
func (c *Core) Relays(target string) []string {
	var out []string
	for _, m := range c.Random(Relays + 1) {
		if m.PeerAddress != target && len(out) < Relays {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// Random returns up to n members in use, chosen at random.
func (c *Core) Random(n int) []Member {
	var used []*entry
	for _, name := range c.order {
		if e := c.members[name]; e.Used() {
			used = append(used, e)
		}
	}
	out := make([]Member, min(n, len(used)))
	for i := range out {
		j := i + c.rng.IntN(len(used)-i)
		used[i], used[j] = used[j], used[i]
		out[i] = used[i].Member
	}
	return out
}

// Failed records that neither a direct nor an indirect probe, begun at
// started, reached the member at the address.
func (c *Core) Failed(address string, started, now time.Duration) {
	if started < c.resumed || now-started > 2*(ProbeTimeout+RelayTimeout) {
		return // this process was paused in between
	}
	for _, name := range c.names() {
		if e := c.members[name]; e.PeerAddress == address && e.State == Alive {
			c.set(e, Suspected, now)
		}
	}
}

// Answered records that the process from answered at the address. An address
// is used by one process at a time, so another member there is gone.
func (c *Core) Answered(address string, from *peerv1.Identity, now time.Duration) {
	for _, name := range c.names() {
		if e := c.members[name]; e.PeerAddress == address && e.Name != from.GetInstance() && e.State == Alive {
			c.set(e, Suspected, now)
		}
	}
	if from.GetInstance() == c.self.Name {
		// A bootstrap address of the instance itself.
		c.bootstrap = slices.DeleteFunc(c.bootstrap, func(a string) bool { return a == address })
	}
}

// Leave announces that the instance leaves and returns the addresses to tell
// at once.
func (c *Core) Leave() []string {
	c.self.State = Leaving
	c.self.Generation++
	c.news.add(c.self.Name, true)
	var out []string
	for _, name := range c.names() {
		if e := c.members[name]; e.Used() && e.Region == c.self.Region {
			out = append(out, e.PeerAddress)
		}
	}
	for _, m := range c.Random(announceFanout) {
		if !slices.Contains(out, m.PeerAddress) {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// Merge takes the changes of one message. from is the sender.
func (c *Core) Merge(from *peerv1.Identity, news []*peerv1.MemberNews, now time.Duration) {
	for i, n := range news {
		if i == maxIncoming {
			return
		}
		c.mergeOne(from, n, now)
	}
}

// NameAt returns the name of the member in use at a peer address, or "".
func (c *Core) NameAt(address string) string {
	for _, name := range c.names() {
		if e := c.members[name]; e.PeerAddress == address {
			return name
		}
	}
	return ""
}
