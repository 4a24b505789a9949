package quota

import (
	"math"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

const (
	// startLevel is the part of the burst with which all buckets of a fleet start
	// together: after all instances were replaced, what was spent before is not
	// known.
	startLevel = 0.5
	// settleTime is the time after the start in which the other failure domains
	// count as silent: their first rows do not yet tell their pace.
	settleTime = time.Second
	// demandMemory is the time over which demand is averaged.
	demandMemory = 2 * time.Second
	// minWeight is the part of a team's rate that each instance counts as demand
	// at least, so that an idle one that is cut off can serve the first requests.
	minWeight = 0.02
	// historyStep and historyLength are the pause between two records of demand
	// and their number: longer than it takes to notice that a region is silent.
	historyStep   = 250 * time.Millisecond
	historyLength = 14
	// paceMemory bounds how long another instance is assumed to go on spending at
	// its last pace without news of it.
	paceMemory = time.Second
	// paceAverage is the time over which that pace is averaged: a few rows of the own
	// region. With 500 ms, kills and cuts in a row take a team over its bound.
	paceAverage = 150 * time.Millisecond
	// longestWait bounds the advice when to come back.
	longestWait = 5 * time.Second
)

// Peer is the state of another instance for one team, from its row.
type Peer struct {
	Address     string
	Domain      string
	Incarnation uint64
	Reachable   bool
	// LastSeen is when its last row arrived.
	LastSeen time.Time
	// Usage by team.
	Usage map[string]Usage
}

// Usage is what one instance admitted and was asked for.
type Usage struct {
	Spent  float64 // since the start of the incarnation
	Demand float64 // per second
}

// Limiter holds the buckets of all teams.
type Limiter struct {
	domains []string // all but the own
	mu      struct {
		sync.Mutex
		started time.Time // of the first request or row
		teams   map[string]*bucket
		peers   map[string]*peer // by address
		heard   map[string]bool  // failure domains heard from since the start
	}
}

type peer struct {
	incarnation uint64
	reachable   bool
}

// bucket is the copy of a team's bucket. Levels and rates are in the team's unit.
type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
	spent       float64 // by this instance
	demand      meter
	others      map[string]*other
	// history of demand, oldest first; see freeze.
	history []record
}

// record is the demand of all instances as it was known at a time.
type record struct {
	at     time.Time
	own    float64
	others map[string]float64 // by address
}

// other is what another instance spends for one team.
type other struct {
	spent  float64
	pace   float64 // tokens a second, averaged over paceAverage
	demand float64
	at     time.Time
	// frozen is its part of the rate while it is not reachable, since frozenAt.
	frozen   float64
	frozenAt time.Time
}

// New returns a Limiter of an instance in the failure domain own.
func New(own string, domains []string) *Limiter {
	l := &Limiter{}
	for _, d := range domains {
		if d != own {
			l.domains = append(l.domains, d)
		}
	}
	l.mu.teams = map[string]*bucket{}
	l.mu.peers = map[string]*peer{}
	l.mu.heard = map[string]bool{}
	return l
}

// Decision is the answer to Admit.
type Decision struct {
	Admitted bool
	// RetryAfter is when the team's bucket has tokens again.
	RetryAfter time.Duration
	Level      float64
	// Share of the rate that this side may spend.
	Share float64
}

// Admit takes units from the team's allowance. A request is admitted while the
// level is positive, whatever its size, since otherwise small requests would
// keep a large one out for ever; the level then goes below zero.
func (l *Limiter) Admit(t *deployment.Team, units float64, now time.Time) Decision {
	if t.Rate <= 0 {
		return Decision{Admitted: true, Share: 1}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(t, now)
	b.demand.add(units, now)
	part := l.refill(b, now)
	level := b.level - b.assumed(l, now)
	if level <= 0 {
		wait := time.Duration((-level + units/2) / (t.Rate * max(part, minWeight)) * float64(time.Second))
		return Decision{RetryAfter: min(max(wait, 50*time.Millisecond), longestWait), Level: level, Share: part}
	}
	b.level -= units
	b.spent += units
	return Decision{Admitted: true, Level: level, Share: part}
}

// Refund gives back units of a request that was not run.
func (l *Limiter) Refund(t *deployment.Team, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.mu.teams[t.Name]; b != nil && t.Rate > 0 {
		b.level = min(b.level+units, b.burst)
		b.spent -= units
	}
}

func (l *Limiter) bucket(t *deployment.Team, now time.Time) *bucket {
	l.begin(now)
	b := l.mu.teams[t.Name]
	if b == nil {
		b = &bucket{level: t.Burst * startLevel / float64(len(l.domains)+1), at: now, others: map[string]*other{}}
		l.mu.teams[t.Name] = b
	}
	b.rate, b.burst = t.Rate, t.Burst
	return b
}

func (l *Limiter) begin(now time.Time) {
	if l.mu.started.IsZero() {
		l.mu.started = now
	}
}

// refill adds what has accrued and returns the part of the rate of this side.
func (l *Limiter) refill(b *bucket, now time.Time) float64 {
	part := l.part(b, now)
	b.level = min(b.level+now.Sub(b.at).Seconds()*b.rate*part, b.burst*part)
	b.at = now
	return part
}

// part is what the frozen parts of others leave.
func (l *Limiter) part(b *bucket, now time.Time) float64 {
	part := 1.0
	for _, o := range b.others {
		part -= o.frozen
	}
	silent := 0
	for _, d := range l.domains {
		if !l.mu.heard[d] || now.Sub(l.mu.started) < settleTime {
			silent++
		}
	}
	part *= 1 - float64(silent)/float64(len(l.domains)+1)
	return max(part, 0)
}

// assumed is what reachable others have probably spent since their last rows.
func (b *bucket) assumed(l *Limiter, now time.Time) float64 {
	sum := 0.0
	for a, o := range b.others {
		if p := l.mu.peers[a]; p != nil && p.reachable {
			sum += o.pace * min(now.Sub(o.at), paceMemory).Seconds()
		}
	}
	return sum
}

// Observe takes the newest rows of the other instances.
func (l *Limiter) Observe(peers []Peer, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(now)
	for i := range peers {
		l.observe(&peers[i], now)
	}
	for _, b := range l.mu.teams {
		b.remember(now)
	}
}

// remember records demand. A team that nobody asks for needs no record.
func (b *bucket) remember(now time.Time) {
	if n := len(b.history); n > 0 && now.Sub(b.history[n-1].at) < historyStep {
		return
	}
	r := record{at: now, own: b.demand.perSecond(now), others: make(map[string]float64, len(b.others))}
	sum := r.own
	for a, o := range b.others {
		r.others[a] = o.demand
		sum += o.demand
	}
	if sum < b.rate*minWeight {
		b.history = nil
		return
	}
	if len(b.history) >= historyLength {
		b.history = b.history[1:]
	}
	b.history = append(b.history, r)
}

// demandAt returns the demand as it was known at a time.
func (b *bucket) demandAt(at time.Time) record {
	for i := len(b.history) - 1; i >= 0; i-- {
		if !b.history[i].at.After(at) {
			return b.history[i]
		}
	}
	if len(b.history) > 0 {
		return b.history[0]
	}
	return record{}
}

func (l *Limiter) observe(p *Peer, now time.Time) {
	if p.Reachable {
		l.mu.heard[p.Domain] = true
	}
	known := l.mu.peers[p.Address]
	if known == nil {
		known = &peer{}
		l.mu.peers[p.Address] = known
	}
	replaced := known.incarnation != p.Incarnation
	returned := !known.reachable && p.Reachable
	lost := known.reachable && !p.Reachable && !replaced
	known.incarnation, known.reachable = p.Incarnation, p.Reachable
	for _, b := range l.mu.teams {
		l.refill(b, now) // by the parts in force until now
		if lost {
			b.freeze(l, p.Address, p.LastSeen, now)
			continue
		}
		if replaced {
			delete(b.others, p.Address)
		}
	}
	if !p.Reachable {
		return
	}
	l.take(p, replaced, returned, now)
	if returned {
		for _, b := range l.mu.teams {
			if o := b.others[p.Address]; o != nil {
				o.frozen = 0 // also of teams that its row does not name
			}
		}
	}
}

// take applies what a reachable instance has spent.
func (l *Limiter) take(p *Peer, replaced, returned bool, now time.Time) {
	for team, use := range p.Usage {
		b := l.mu.teams[team]
		if b == nil {
			continue // without a limit here; the first request creates it
		}
		o := b.others[p.Address]
		if o == nil {
			o = &other{at: now}
			if !replaced {
				o.spent = use.Spent // before this bucket existed
			}
			b.others[p.Address] = o
		}
		o.demand = use.Demand
		delta := use.Spent - o.spent
		if returned && !replaced {
			// It spent its frozen part meanwhile, which was not ours. It may have
			// spent more if it heard this side all the while.
			part := o.frozen * b.rate * now.Sub(o.frozenAt).Seconds()
			o.spent, o.at, o.pace, o.frozen = use.Spent, now, 0, 0
			b.level -= max(delta-part, 0)
			continue
		}
		if delta == 0 && now.Sub(o.at) < paceMemory/4 {
			continue // the row that was seen already
		}
		b.level -= delta
		o.observePace(delta, now.Sub(o.at))
		o.spent, o.at = use.Spent, now
	}
}

// observePace takes what was spent over dt into the pace. A row that follows
// another at once may hold one long prompt, which is no pace.
func (o *other) observePace(delta float64, dt time.Duration) {
	if dt <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(dt)/float64(paceAverage))
	o.pace = max(o.pace+weight*(delta/dt.Seconds()-o.pace), 0)
}

// freeze keeps the part of an instance that fell silent. The parts are those of
// the demand when it was last heard: what either side was asked for since is not
// known to the other, and with it both sides would count themselves larger.
func (b *bucket) freeze(l *Limiter, address string, heard, now time.Time) {
	o := b.others[address]
	if o == nil {
		o = &other{at: now}
		b.others[address] = o
	}
	then := b.demandAt(heard)
	floor := b.rate * minWeight
	sum := max(then.own, floor)
	for a := range b.others {
		if p := l.mu.peers[a]; a == address || p != nil && p.reachable {
			sum += max(then.others[a], floor)
		}
	}
	o.frozen, o.frozenAt = l.part(b, now)*max(then.others[address], floor)/sum, now
}

// LocalUsage returns what this instance admitted and was asked for, by team.
func (l *Limiter) LocalUsage(now time.Time) map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Usage, len(l.mu.teams))
	for name, b := range l.mu.teams {
		out[name] = Usage{Spent: b.spent, Demand: b.demand.perSecond(now)}
	}
	return out
}

// MinShare returns the least part of a team's rate that this side may spend.
func (l *Limiter) MinShare(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	least := 1.0
	for _, b := range l.mu.teams {
		least = min(least, l.part(b, now))
	}
	return least
}

// ExhaustedTeams returns the number of teams whose allowance is used up.
func (l *Limiter) ExhaustedTeams(now time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.mu.teams {
		if l.refill(b, now); b.level <= 0 {
			n++
		}
	}
	return n
}

// meter averages demand with an exponential memory.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) add(units float64, now time.Time) {
	m.value = m.decayed(now) + units
	m.at = now
}

func (m *meter) decayed(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	x := float64(now.Sub(m.at)) / float64(demandMemory)
	return m.value * math.Exp(-x)
}

func (m *meter) perSecond(now time.Time) float64 { return m.decayed(now) / demandMemory.Seconds() }
