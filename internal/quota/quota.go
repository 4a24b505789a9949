package quota

import (
	"math"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

const (
	// initialBurstFraction is the fraction of the burst with which the buckets of
	// all instances together start. After all instances have been replaced, it is
	// not known what was spent before.
	initialBurstFraction = 0.5
	// startupPeriod is the time after the first request or heartbeat during which
	// the other failure domains count as unreachable, since their first heartbeats
	// do not reveal their spend rates yet.
	startupPeriod = time.Second
	// demandTimeConstant is the time constant of the moving average of demand.
	demandTimeConstant = 2 * time.Second
	// minDemandFraction is the least demand assumed for an instance, as a fraction
	// of the team's rate, so that an idle instance that is partitioned can serve
	// the first requests.
	minDemandFraction = 0.02
	// historyInterval and historyLength are the interval between demand samples and
	// their number. They cover more time than it takes to detect that a region is
	// unreachable.
	historyInterval = 250 * time.Millisecond
	historyLength   = 14
	// maxExtrapolation bounds how long another instance is assumed to continue
	// spending at its last known rate without a heartbeat.
	maxExtrapolation = time.Second
	// spendRateTimeConstant is the time constant of the moving average of that
	// rate. It spans a few heartbeats of the local region. With 500 ms, a sequence
	// of kills and partitions takes a team over its bound.
	spendRateTimeConstant = 150 * time.Millisecond
	// maxRetryAfter bounds Decision.RetryAfter.
	maxRetryAfter = 5 * time.Second
)

// Peer is the state of another instance, from its heartbeat.
type Peer struct {
	Address     string
	Domain      string
	Incarnation uint64
	Reachable   bool
	// LastSeen is when its last heartbeat arrived.
	LastSeen time.Time
	// Usage by team.
	Usage map[string]Usage
}

// Usage is what one instance has admitted for a team, and the demand it sees.
type Usage struct {
	Spent  float64 // units since the incarnation started
	Demand float64 // units per second
}

// Limiter is the copy that one instance keeps of the token buckets of all teams.
type Limiter struct {
	otherDomains []string // all except the local one
	mu           struct {
		sync.Mutex
		started     time.Time // time of the first request or heartbeat
		teams       map[string]*bucket
		peers       map[string]*peerState // by address
		seenDomains map[string]bool       // failure domains that have been reachable since the start
	}
}

type peerState struct {
	incarnation uint64
	reachable   bool
}

// bucket is the local copy of a team's token bucket. Levels and rates are in the
// unit in which the team is limited.
type bucket struct {
	rate, burst float64
	level       float64
	refilledAt  time.Time
	spent       float64 // by this instance
	demand      demandMeter
	peerSpends  map[string]*peerSpend
	// history of demand, oldest first; see freezeShare.
	history []demandSample
}

// demandSample is the demand at all instances, as known at one time.
type demandSample struct {
	at     time.Time
	local  float64
	byPeer map[string]float64 // by address
}

// peerSpend is what another instance spends of a team's allowance.
type peerSpend struct {
	spent     float64
	spendRate float64 // units per second, averaged over spendRateTimeConstant
	demand    float64
	at        time.Time
	// frozenShare is its share of the rate since frozenAt, while it is unreachable.
	frozenShare float64
	frozenAt    time.Time
}

// New returns the Limiter of an instance in localDomain. domains are all failure
// domains.
func New(localDomain string, domains []string) *Limiter {
	l := &Limiter{}
	for _, d := range domains {
		if d != localDomain {
			l.otherDomains = append(l.otherDomains, d)
		}
	}
	l.mu.teams = map[string]*bucket{}
	l.mu.peers = map[string]*peerState{}
	l.mu.seenDomains = map[string]bool{}
	return l
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// RetryAfter is the time until the team's bucket is expected to admit a request
	// again; zero if the request was admitted.
	RetryAfter time.Duration
	Level      float64
	// Share of the team's rate that this side of a partition may spend.
	Share float64
}

// Admit takes units from the team's bucket if the request is admitted. A request
// of any size is admitted while the level is positive, which may take the level
// below zero; otherwise small requests would starve a large one.
func (l *Limiter) Admit(t *deployment.Team, units float64, now time.Time) Decision {
	if t.Rate <= 0 {
		return Decision{Admitted: true, Share: 1}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admit(l.bucket(t, now), t, units, now)
}

// Preview returns what Admit would decide now, and changes nothing.
func (l *Limiter) Preview(t *deployment.Team, units float64, now time.Time) Decision {
	if t.Rate <= 0 {
		return Decision{Admitted: true, Share: 1}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	started, known := l.mu.started, l.mu.teams[t.Name]
	defer func() { l.mu.started = started }()
	l.markStarted(now)
	b := newBucket(t, len(l.otherDomains)+1, now)
	if known != nil {
		*b = *known // what admit changes is not shared with the copy
	}
	b.rate, b.burst = t.Rate, t.Burst
	return l.admit(b, t, units, now)
}

// admit is Admit with the bucket b.
func (l *Limiter) admit(b *bucket, t *deployment.Team, units float64, now time.Time) Decision {
	b.demand.add(units, now)
	share := l.refill(b, now)
	level := b.level - b.estimatedPeerSpend(l, now)
	if level <= 0 {
		wait := time.Duration((-level + units/2) / (t.Rate * max(share, minDemandFraction)) * float64(time.Second))
		return Decision{RetryAfter: min(max(wait, 50*time.Millisecond), maxRetryAfter), Level: level, Share: share}
	}
	b.level -= units
	b.spent += units
	return Decision{Admitted: true, Level: level, Share: share}
}

// Refund returns the units of a request that was not run.
func (l *Limiter) Refund(t *deployment.Team, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.mu.teams[t.Name]; b != nil && t.Rate > 0 {
		b.level = min(b.level+units, b.burst)
		b.spent -= units
	}
}

func (l *Limiter) bucket(t *deployment.Team, now time.Time) *bucket {
	l.markStarted(now)
	b := l.mu.teams[t.Name]
	if b == nil {
		b = newBucket(t, len(l.otherDomains)+1, now)
		l.mu.teams[t.Name] = b
	}
	b.rate, b.burst = t.Rate, t.Burst
	return b
}

// newBucket returns the bucket of a team of which nothing is known. domains is the
// number of failure domains.
func newBucket(t *deployment.Team, domains int, now time.Time) *bucket {
	return &bucket{level: t.Burst * initialBurstFraction / float64(domains), refilledAt: now, peerSpends: map[string]*peerSpend{}}
}

func (l *Limiter) markStarted(now time.Time) {
	if l.mu.started.IsZero() {
		l.mu.started = now
	}
}

// refill adds the units accrued since the last refill and returns the local share
// of the rate.
func (l *Limiter) refill(b *bucket, now time.Time) float64 {
	share := l.localShare(b, now)
	b.level = min(b.level+now.Sub(b.refilledAt).Seconds()*b.rate*share, b.burst*share)
	b.refilledAt = now
	return share
}

// localShare returns the share of the rate that the frozen shares of unreachable
// instances leave. Failure domains that were not seen yet get an equal share each.
func (l *Limiter) localShare(b *bucket, now time.Time) float64 {
	share := 1.0
	for _, o := range b.peerSpends {
		share -= o.frozenShare
	}
	unseen := 0
	for _, d := range l.otherDomains {
		if !l.mu.seenDomains[d] || now.Sub(l.mu.started) < startupPeriod {
			unseen++
		}
	}
	share *= 1 - float64(unseen)/float64(len(l.otherDomains)+1)
	return max(share, 0)
}

// estimatedPeerSpend returns what the reachable instances have probably spent
// since their last heartbeats.
func (b *bucket) estimatedPeerSpend(l *Limiter, now time.Time) float64 {
	sum := 0.0
	for a, o := range b.peerSpends {
		if p := l.mu.peers[a]; p != nil && p.reachable {
			sum += o.spendRate * min(now.Sub(o.at), maxExtrapolation).Seconds()
		}
	}
	return sum
}

// Observe applies the latest heartbeats of the other instances.
func (l *Limiter) Observe(peers []Peer, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markStarted(now)
	for i := range peers {
		l.observePeer(&peers[i], now)
	}
	for _, b := range l.mu.teams {
		b.recordDemand(now)
	}
}

// recordDemand appends a sample to the history, at most one per historyInterval.
// The history of a team with almost no demand is dropped.
func (b *bucket) recordDemand(now time.Time) {
	if n := len(b.history); n > 0 && now.Sub(b.history[n-1].at) < historyInterval {
		return
	}
	sample := demandSample{at: now, local: b.demand.perSecond(now), byPeer: make(map[string]float64, len(b.peerSpends))}
	sum := sample.local
	for a, o := range b.peerSpends {
		sample.byPeer[a] = o.demand
		sum += o.demand
	}
	if sum < b.rate*minDemandFraction {
		b.history = nil
		return
	}
	if len(b.history) >= historyLength {
		b.history = b.history[1:]
	}
	b.history = append(b.history, sample)
}

// demandAt returns the latest sample taken at or before at, or the oldest one.
func (b *bucket) demandAt(at time.Time) demandSample {
	for i := len(b.history) - 1; i >= 0; i-- {
		if !b.history[i].at.After(at) {
			return b.history[i]
		}
	}
	if len(b.history) > 0 {
		return b.history[0]
	}
	return demandSample{}
}

func (l *Limiter) observePeer(p *Peer, now time.Time) {
	if p.Reachable {
		l.mu.seenDomains[p.Domain] = true
	}
	known := l.mu.peers[p.Address]
	if known == nil {
		known = &peerState{}
		l.mu.peers[p.Address] = known
	}
	replaced := known.incarnation != p.Incarnation
	becameReachable := !known.reachable && p.Reachable
	becameUnreachable := known.reachable && !p.Reachable && !replaced
	known.incarnation, known.reachable = p.Incarnation, p.Reachable
	for _, b := range l.mu.teams {
		l.refill(b, now) // with the shares in force until now
		if becameUnreachable {
			b.freezeShare(l, p.Address, p.LastSeen, now)
			continue
		}
		if replaced {
			delete(b.peerSpends, p.Address)
		}
	}
	if !p.Reachable {
		return
	}
	l.applyUsage(p, replaced, becameReachable, now)
	if becameReachable {
		for _, b := range l.mu.teams {
			if o := b.peerSpends[p.Address]; o != nil {
				o.frozenShare = 0 // also for teams missing from its heartbeat
			}
		}
	}
}

// applyUsage takes what a reachable instance has spent from the local buckets.
func (l *Limiter) applyUsage(p *Peer, replaced, becameReachable bool, now time.Time) {
	for team, use := range p.Usage {
		b := l.mu.teams[team]
		if b == nil {
			continue // the first local request of the team creates the bucket
		}
		o := b.peerSpends[p.Address]
		if o == nil {
			o = &peerSpend{at: now}
			if !replaced {
				o.spent = use.Spent // spent before this bucket existed
			}
			b.peerSpends[p.Address] = o
		}
		o.demand = use.Demand
		delta := use.Spent - o.spent
		if becameReachable && !replaced {
			// While unreachable it spent from its frozen share, which was not part of
			// the local bucket. It may have spent more if heartbeats still reached it
			// from this side.
			allowance := o.frozenShare * b.rate * now.Sub(o.frozenAt).Seconds()
			o.spent, o.at, o.spendRate, o.frozenShare = use.Spent, now, 0, 0
			b.level -= max(delta-allowance, 0)
			continue
		}
		if delta == 0 && now.Sub(o.at) < maxExtrapolation/4 {
			continue // the same heartbeat again
		}
		b.level -= delta
		o.updateSpendRate(delta, now.Sub(o.at))
		o.spent, o.at = use.Spent, now
	}
}

// updateSpendRate adds delta units spent over dt to the average. The weight grows
// with dt: between two heartbeats in quick succession, a single long prompt would
// look like a high rate.
func (o *peerSpend) updateSpendRate(delta float64, dt time.Duration) {
	if dt <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(dt)/float64(spendRateTimeConstant))
	o.spendRate = max(o.spendRate+weight*(delta/dt.Seconds()-o.spendRate), 0)
}

// freezeShare reserves the share of an instance that became unreachable, in
// proportion to the demand when it was last seen. Neither side knows the demand at
// the other since then; with newer samples, both sides would overestimate their
// own share.
func (b *bucket) freezeShare(l *Limiter, address string, lastSeen, now time.Time) {
	o := b.peerSpends[address]
	if o == nil {
		o = &peerSpend{at: now}
		b.peerSpends[address] = o
	}
	sample := b.demandAt(lastSeen)
	minDemand := b.rate * minDemandFraction
	sum := max(sample.local, minDemand)
	for a := range b.peerSpends {
		if p := l.mu.peers[a]; a == address || p != nil && p.reachable {
			sum += max(sample.byPeer[a], minDemand)
		}
	}
	o.frozenShare, o.frozenAt = l.localShare(b, now)*max(sample.byPeer[address], minDemand)/sum, now
}

// LocalUsage returns the usage at this instance, by team.
func (l *Limiter) LocalUsage(now time.Time) map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Usage, len(l.mu.teams))
	for name, b := range l.mu.teams {
		out[name] = Usage{Spent: b.spent, Demand: b.demand.perSecond(now)}
	}
	return out
}

// MinShare returns the smallest share of any team's rate that this side of a
// partition may spend.
func (l *Limiter) MinShare(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	minShare := 1.0
	for _, b := range l.mu.teams {
		minShare = min(minShare, l.localShare(b, now))
	}
	return minShare
}

// ExhaustedTeams returns the number of teams whose bucket is empty.
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

// demandMeter is an exponentially decaying sum of demand.
type demandMeter struct {
	value     float64
	updatedAt time.Time
}

func (m *demandMeter) add(units float64, now time.Time) {
	m.value = m.decayed(now) + units
	m.updatedAt = now
}

func (m *demandMeter) decayed(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}
	elapsed := float64(now.Sub(m.updatedAt)) / float64(demandTimeConstant)
	return m.value * math.Exp(-elapsed)
}

func (m *demandMeter) perSecond(now time.Time) float64 {
	return m.decayed(now) / demandTimeConstant.Seconds()
}
