package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/placement"
)

const (
	// usableFraction is the fraction of the capacity of a region, beyond what its own
	// callers use, that all other regions together may use. The rest is left for what
	// its own callers send before the others learn of it.
	usableFraction = 0.8
	// staleFactor is the fraction of the free capacity that counts while the newest
	// heartbeat of a region is older than two intervals. After noneIntervals intervals
	// none counts.
	staleFactor   = 0.5
	noneIntervals = 4
	// exclusion is how long a region gets no hop after maxFailures in a row that did
	// not reach it, and refusalRest how long it gets none of a service after one that it
	// refused: a slot is free again soon, and another request may be in time there.
	// instanceExclusion is how long an instance gets none after one that did not reach
	// it or that it refused because it stops.
	exclusion         = time.Second
	refusalRest       = 250 * time.Millisecond
	maxFailures       = 2
	instanceExclusion = 2 * time.Second
	// needyFactor is how much more of the capacity of other regions a region may use
	// whose own targets are nearly full, compared to one whose targets are not.
	// needyFree is the free fraction of the slots from which on they are nearly full.
	// Full targets have free slots for moments, so that the local need lasts ownNeed
	// longer, and that of other regions othersNeed: they must not lose their part
	// before they stop using it.
	needyFactor = 6
	needyFree   = 0.25
	ownNeed     = time.Second
	othersNeed  = 5 * time.Second
	// rotation is the interval at which permits move on to other instances, if there
	// are fewer permits than instances.
	rotation = time.Second
	// maxTransit bounds how many requests may be under way for each that a target is
	// to run: a request spends a part of its time on the link.
	maxTransit = 3
	// A permit is idle while its holder has no request for it. While others use less
	// than idleUse of what they may, the number of permits grows by growth a second, at
	// most to maxGrowth times the room; above busyUse it falls by shrinking a second.
	// An instance that holds no permit then may still send one request at a time, unless
	// one was refused within singleRest. Without both, requests that are restricted to
	// another region are refused although that region has free targets.
	idleUse, busyUse  = 0.5, 0.75
	growth, shrinking = 1.5, 4.0
	maxGrowth         = 4.0
	singleRest        = 3 * time.Second
	// durationGain is the weight of a new hop in the average duration.
	durationGain = 0.05
	// linkFraction is the part of an instance's link for bodies of hops.
	linkFraction = 0.5
	// smallBody is the size in bytes up to which a body may use the whole of
	// linkFraction. Larger ones may use as much less as they are larger, down to
	// leastLinkPart, so that requests with few bytes leave the region first.
	smallBody     = 2 << 10
	leastLinkPart = 0.2
	// assumedRoundTrip is the round trip assumed to a region to which no connection
	// was opened yet; it is more than that of the known deployments.
	assumedRoundTrip = 120 * time.Millisecond
	// roundTripGain is the weight of a longer round trip in the average; a shorter one
	// replaces it, since a busy processor only adds to it.
	roundTripGain = 0.2
	// correctionGain is the weight of a new error of the expected delay in its average,
	// which is halved every correctionHalving: without hops nothing else would show
	// that the region is faster again.
	correctionGain    = 0.1
	correctionHalving = 3 * time.Second
	// leastFree is the part of its weight that an instance keeps for hops when all of
	// its processor time is in use.
	leastFree = 0.1
)

// Regions keeps one view of each other region, merged from the heartbeats of all of its
// instances, and counts what this instance has under way there. Lock order: Regions.mu
// is a leaf lock.
type Regions struct {
	self *peerv1.Identity
	// weight is that of this instance among those of its region.
	weight float64
	// linkBytesPerSecond is the bandwidth of this instance; 0 if unknown.
	linkBytesPerSecond float64
	forwards, refusals *prometheus.CounterVec
	mu                 struct {
		sync.Mutex
		regions map[string]*region
		// order are the names of all regions, the local one included, sorted.
		order []string
		// before and after bound the share of this instance in its region, as
		// fractions of the summed weights.
		before, after float64
		needySince    map[string]time.Time // of the local region, by service
		updated       time.Time
		// settle is the time after which the others know that the local region is
		// needy.
		settle time.Duration
		// received counts the requests of other regions in progress here, by service.
		received map[string]int
		link     leakyBucket
	}
}

// region is the merged state of one region.
type region struct {
	weight    float64 // of its instances
	pools     map[string]pool
	instances []hopInstance
	trust     float64 // fraction of the free capacity that counts, by the age of the news
	// What this instance has measured stays when the region is lost.
	roundTrip     time.Duration // 0 if not measured
	excludedUntil time.Time
	failures      int                  // hops in a row that did not reach the region
	failed        map[string]time.Time // last such hop, by peer address
	hops          map[string]*hopState // by service
	needyAt       map[string]time.Time // last report of a need, by service
	growth        map[string]float64   // factor of the number of permits, by service; 0 for 1
}

// pool is the state of a service in a region.
type pool struct {
	// usable is the number of requests of other regions that its targets can run at
	// once, those that they run already included.
	usable int
	// used is the number of those that they run already.
	used  int
	delay time.Duration
	needy bool
}

type hopInstance struct {
	address string
	weight  float64
}

// hopState is what this instance knows from its hops of a service to a region.
type hopState struct {
	inFlight      int
	excludedUntil time.Time
	refusedAt     time.Time // last refusal
	// duration is the average time of a hop; 0 if not measured.
	duration time.Duration
	// correction is the average time by which first bytes were later than expected, at
	// the time of the last one.
	correction  time.Duration
	correctedAt time.Time
}

// NewRegions returns the Regions of the instance self with these settings. Its metrics
// are registered with r, if that is not nil.
func NewRegions(self *peerv1.Identity, s *deployment.Settings, r prometheus.Registerer) *Regions {
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "wigeonhill", Name: name, Help: help}, []string{"region"})
	}
	b := &Regions{self: self, weight: ownWeight(NewMeter(s).Load()), linkBytesPerSecond: s.LinkBytesPerSecond,
		forwards: counter("forwards_total", "Requests forwarded to another region."),
		refusals: counter("forward_refusals_total", "Forwarded requests that another region did not run.")}
	b.mu.regions, b.mu.needySince, b.mu.received = map[string]*region{}, map[string]time.Time{}, map[string]int{}
	b.mu.link.rate = linkFraction * s.LinkBytesPerSecond
	b.mu.after = 1
	if r != nil {
		r.MustRegister(b.forwards, b.refusals)
	}
	return b
}

// Update merges the heartbeats of all other instances. evacuated holds the failure
// domains that operators have evacuated; their instances get no hops.
func (r *Regions) Update(members []heartbeat.Member, evacuated map[string]bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byRegion := map[string][]*heartbeat.Member{}
	for i := range members {
		byRegion[members[i].Region()] = append(byRegion[members[i].Region()], &members[i])
	}
	own := r.self.GetRegion()
	for name, list := range byRegion {
		s := r.mu.regions[name]
		if s == nil {
			s = newRegion()
			r.mu.regions[name] = s
		}
		s.merge(list, evacuated, now)
	}
	if r.mu.regions[own] == nil {
		r.mu.regions[own] = newRegion()
	}
	for name, s := range r.mu.regions {
		if byRegion[name] == nil { // all of its members have expired
			s.weight, s.pools, s.instances, s.trust = 0, nil, nil, 0
		}
	}
	r.mu.order = r.mu.order[:0]
	for name := range r.mu.regions {
		r.mu.order = append(r.mu.order, name)
	}
	slices.Sort(r.mu.order)
	r.updateOwnShare(byRegion[own], now)
	r.updateNeed(members, now)
	r.updateGrowth(now)
}

func newRegion() *region {
	return &region{hops: map[string]*hopState{}, failed: map[string]time.Time{}, needyAt: map[string]time.Time{}, growth: map[string]float64{}}
}

// merge replaces the state of a region by that which its members report.
func (s *region) merge(members []*heartbeat.Member, evacuated map[string]bool, now time.Time) {
	s.weight, s.instances, s.trust = 0, nil, 0
	var current, stale []*heartbeat.Member
	for _, m := range members {
		s.weight += shareWeight(m, now)
		hb := m.Heartbeat
		if !m.Reachable || !hb.GetReady() {
			continue
		}
		switch age := now.Sub(m.LastSeen); {
		case !m.Silent(now):
			current = append(current, m)
		case age <= noneIntervals*m.Interval+heartbeat.LateMargin:
			stale = append(stale, m)
		}
	}
	usable := current
	if s.trust = 1; len(current) == 0 {
		usable, s.trust = stale, staleFactor
	}
	s.pools = mergePools(usable)
	for service, p := range s.pools {
		if p.needy {
			s.needyAt[service] = now
		}
	}
	for _, m := range usable {
		if !m.Heartbeat.GetLeaving() && !evacuated[m.Domain()] {
			s.instances = append(s.instances, hopInstance{m.Address(), hopWeight(m.Heartbeat.GetLoad())})
		}
	}
}

// shareWeight returns the weight of an instance among those of its region that use
// other regions. An instance that is not heard keeps it for a while, as it may run.
func shareWeight(m *heartbeat.Member, now time.Time) float64 {
	const silence = 30 * time.Second
	if now.Sub(m.LastSeen) > silence {
		return 0
	}
	return ownWeight(m.Heartbeat.GetLoad())
}

// ownWeight returns the capacity of an instance, and a usual one if it is not known.
func ownWeight(load *peerv1.InstanceLoad) float64 {
	const usual = 200
	if c := Capacity(load); c > 0 {
		return c
	}
	return usual
}

// hopWeight returns the weight of an instance among those that may get a hop: what is
// free of its capacity.
func hopWeight(load *peerv1.InstanceLoad) float64 {
	return ownWeight(load) * Health(load) * max(leastFree, 1-float64(load.GetCpuUsedPermille())/1000)
}

// mergePools merges what instances of a region report of its targets. The medians
// count, so that an instance that is cut off from targets, or late, has no influence.
func mergePools(members []*heartbeat.Member) map[string]pool {
	type reports struct {
		free, slots, delay []int
		forwarded, queued  int
	}
	byService := map[string]*reports{}
	for _, m := range members {
		for _, p := range m.Heartbeat.GetPools() {
			x := byService[p.GetService()]
			if x == nil {
				x = &reports{}
				byService[p.GetService()] = x
			}
			slots := int(p.GetSlots())
			if slots == 0 {
				slots = int(p.GetCapacity()) // an earlier version
			}
			x.free = append(x.free, slots-int(p.GetRunning()))
			x.slots = append(x.slots, slots)
			x.delay = append(x.delay, int(p.GetDelayMs()))
			x.forwarded += int(p.GetForwarded())
			x.queued += int(p.GetQueued())
		}
	}
	out := map[string]pool{}
	for service, x := range byService {
		if 2*len(x.free) < len(members) {
			continue // most instances know no target
		}
		free, slots := median(x.free), median(x.slots)
		// Running requests of other regions are among those that they may have.
		usable := 0
		if slots > 0 {
			usable = max(int(usableFraction*float64(free+x.forwarded)), 0)
		}
		out[service] = pool{usable: usable, used: x.forwarded, delay: time.Duration(median(x.delay)) * time.Millisecond, needy: x.queued > 0 || float64(free) <= needyFree*float64(slots)}
	}
	return out
}

func median(values []int) int {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// updateOwnShare places this instance among those of its region, in the order of their
// addresses. The caller holds r.mu.
func (r *Regions) updateOwnShare(members []*heartbeat.Member, now time.Time) {
	own := r.mu.regions[r.self.GetRegion()]
	before, weight := 0.0, r.weight
	for _, m := range members {
		if strings.Compare(m.Address(), r.self.GetPeerAddress()) < 0 {
			before += shareWeight(m, now)
		}
	}
	own.weight += weight
	r.mu.before, r.mu.after = before/own.weight, (before+weight)/own.weight
}

// updateNeed records since when the local region needs others. The caller holds r.mu.
func (r *Regions) updateNeed(members []heartbeat.Member, now time.Time) {
	own := r.mu.regions[r.self.GetRegion()]
	for service, p := range own.pools {
		if p.needy && r.mu.needySince[service].IsZero() {
			r.mu.needySince[service] = now
		}
	}
	for service := range r.mu.needySince {
		if now.Sub(own.needyAt[service]) > ownNeed {
			delete(r.mu.needySince, service)
		}
	}
	r.mu.settle = 0
	for i := range members {
		if members[i].Region() != r.self.GetRegion() {
			r.mu.settle = max(r.mu.settle, 2*members[i].Interval+heartbeat.LateMargin)
		}
	}
}

// Views returns the other regions that allowed accepts, for a request with a body of
// the given size. FreeSlots is how many more requests this instance may send there: all
// instances together may send no more than the region can run.
func (r *Regions) Views(service string, bytes int, allowed func(region string) bool, now time.Time) []placement.RegionView {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []placement.RegionView
	linkFree := r.linkFree(bytes, now)
	for name, s := range r.mu.regions {
		if name == r.self.GetRegion() || len(s.instances) == 0 || !allowed(name) {
			continue
		}
		h := s.hops[service]
		v := placement.RegionView{Name: name, RoundTrip: s.expectedRoundTrip() + r.transferTime(bytes)}
		p, known := s.pools[service]
		if known {
			v.Delay = p.delay
		}
		if h != nil {
			v.Delay += h.correctionAt(now)
		}
		if linkFree && known && !s.excluded(h, now) {
			v.FreeSlots = max(r.permits(name, service, now)-h.count(), 0)
		}
		out = append(out, v)
	}
	return out
}

// transferTime returns the time that a body takes over the links of two instances like
// this one.
func (r *Regions) transferTime(bytes int) time.Duration {
	if r.linkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(2 * float64(bytes) / r.linkBytesPerSecond * float64(time.Second))
}

func (s *region) expectedRoundTrip() time.Duration {
	if s.roundTrip > 0 {
		return s.roundTrip
	}
	return assumedRoundTrip
}

func (s *region) excluded(h *hopState, now time.Time) bool {
	return now.Before(s.excludedUntil) || h != nil && now.Before(h.excludedUntil)
}

func (h *hopState) lastRefusal() time.Time {
	if h == nil {
		return time.Time{}
	}
	return h.refusedAt
}

func (h *hopState) count() int {
	if h == nil {
		return 0
	}
	return h.inFlight
}

func (h *hopState) correctionAt(now time.Time) time.Duration {
	halvings := float64(now.Sub(h.correctedAt)) / float64(correctionHalving)
	return time.Duration(float64(h.correction) * math.Exp2(-max(halvings, 0)))
}

// permits returns how many requests of a service this instance may have in a region.
// The caller holds r.mu.
//
// The permits of a region are divided among the other regions and then among the
// instances of each, by weight, in an order that all agree on: who holds the permits
// from the n-th to the m-th is told by where the sums of the weights lie. The start of
// the count moves on with the time, so that a permit that is worth less than one for
// each instance is held by one after the other.
func (r *Regions) permits(name, service string, now time.Time) int {
	s := r.mu.regions[name]
	total := int(s.trust * float64(s.pools[service].usable) * s.transit(service) * max(s.growth[service], 1))
	if total <= 0 {
		return 0
	}
	before, own, sum := 0.0, 0.0, 0.0
	for _, other := range r.mu.order {
		if other == name {
			continue
		}
		w := r.regionWeight(other, service, now)
		switch {
		case other == r.self.GetRegion():
			own = w
		case other < r.self.GetRegion():
			before += w
		}
		sum += w
	}
	if own == 0 {
		return 0
	}
	phase := float64(xxhash.Sum64String(name+"\x00"+service)%4096)/4096 + float64(now.UnixNano()/int64(rotation))*(math.Phi-1)
	phase -= math.Floor(phase)
	ofRegion := held(total, before/sum, (before+own)/sum, phase)
	n := held(ofRegion, r.mu.before, r.mu.after, math.Mod(phase+float64(now.UnixNano()/int64(rotation))*(math.Sqrt2-1), 1))
	if p := s.pools[service]; n == 0 && s.trust == 1 && p.idle() && now.Sub(s.hops[service].lastRefusal()) >= singleRest {
		return 1
	}
	return n
}

// held returns how many of n permits lie between two fractions of them.
func held(n int, from, to, phase float64) int {
	const rounding = 1e-9
	return int(math.Floor(to*float64(n)+phase+rounding) - math.Floor(from*float64(n)+phase+rounding))
}

// regionWeight returns the weight of a region among those that send requests of a
// service to another one. The own need counts once the others know of it, and that of
// the others unless they report that they have none, so that all together do not use
// more than there is. The caller holds r.mu.
func (r *Regions) regionWeight(name, service string, now time.Time) float64 {
	s := r.mu.regions[name]
	if name == r.self.GetRegion() {
		if since := r.mu.needySince[service]; !since.IsZero() && now.Sub(since) >= r.mu.settle {
			return needyFactor * s.weight
		}
		return s.weight
	}
	if _, known := s.pools[service]; !known || now.Sub(s.needyAt[service]) <= othersNeed || s.trust < 1 {
		return needyFactor * s.weight
	}
	return s.weight
}

// idle reports whether other regions use little of what they may, and the targets have
// free slots.
func (p *pool) idle() bool { return !p.needy && float64(p.used) < idleUse*float64(p.usable) }

// updateGrowth adapts the number of permits of other regions to their use. The caller
// holds r.mu.
func (r *Regions) updateGrowth(now time.Time) {
	elapsed := 0.0
	if !r.mu.updated.IsZero() {
		elapsed = min(max(now.Sub(r.mu.updated).Seconds(), 0), 1)
	}
	r.mu.updated = now
	for _, s := range r.mu.regions {
		for service, p := range s.pools {
			g := max(s.growth[service], 1)
			switch {
			case s.trust < 1 || p.needy || float64(p.used) >= busyUse*float64(p.usable):
				g = max(g*math.Pow(shrinking, -elapsed), 1)
			case p.idle():
				g = min(g*math.Pow(growth, elapsed), maxGrowth)
			}
			s.growth[service] = g
		}
	}
}

// transit returns how many requests may be under way for each one that runs.
func (s *region) transit(service string) float64 {
	h := s.hops[service]
	if h == nil || h.duration == 0 || s.roundTrip == 0 {
		return 1
	}
	running := max(h.duration-s.roundTrip, h.duration/maxTransit)
	return float64(h.duration) / float64(running)
}

// linkFree reports whether the link has room for a body. The caller holds r.mu.
func (r *Regions) linkFree(bytes int, now time.Time) bool {
	if r.linkBytesPerSecond <= 0 {
		return true
	}
	part := min(max(float64(smallBody)/float64(max(bytes, 1)), leastLinkPart), 1)
	return r.mu.link.at(now) <= part*r.mu.link.rate
}

// leakyBucket counts bytes that flow off at a rate per second.
type leakyBucket struct {
	rate, level float64
	last        time.Time
}

func (b *leakyBucket) at(now time.Time) float64 {
	if elapsed := now.Sub(b.last).Seconds(); elapsed > 0 {
		b.level = max(b.level-elapsed*b.rate, 0)
		b.last = now
	}
	return b.level
}

// pickInstance returns the peer address of an instance of the region, chosen at random
// in proportion to the free capacity; empty if there is none.
func (s *region) pickInstance(now time.Time) (address string) {
	best := math.Inf(1)
	for _, x := range s.instances {
		if now.Sub(s.failed[x.address]) < instanceExclusion {
			continue
		}
		// The least of exponentially distributed numbers is that of an instance with a
		// probability in proportion to its weight.
		if cost := rand.ExpFloat64() / x.weight; cost < best {
			best, address = cost, x.address
		}
	}
	return address
}

// Hop is a request that is under way to another region.
type Hop struct {
	regions         *Regions
	region, service string
	started         time.Time
	expected        time.Duration
	address         string
	ended           bool
}

// Address returns the peer address of the instance to which the request goes.
func (h *Hop) Address() string { return h.address }

// Begin chooses the instance for a hop and records it with its expected delay of the
// first byte. It returns nil if no instance can be reached or requests that were chosen
// at the same time have used the permits of this instance. The caller must call End on
// the Hop.
func (r *Regions) Begin(service, name string, bytes int, expected time.Duration, now time.Time) *Hop {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.mu.regions[name]
	if s == nil {
		return nil
	}
	h := s.hops[service]
	if h == nil {
		h = &hopState{}
		s.hops[service] = h
	}
	if s.excluded(h, now) || h.inFlight >= r.permits(name, service, now) {
		return nil
	}
	address := s.pickInstance(now)
	if address == "" {
		return nil
	}
	h.inFlight++
	r.mu.link.at(now)
	r.mu.link.level += float64(bytes)
	r.forwards.WithLabelValues(name).Inc()
	return &Hop{regions: r, region: name, service: service, started: now, expected: expected, address: address}
}

// Connected records the time that opening a connection for the hop took: one round trip.
func (h *Hop) Connected(took time.Duration) {
	h.regions.mu.Lock()
	defer h.regions.mu.Unlock()
	s := h.regions.mu.regions[h.region]
	if took = max(took, time.Microsecond); s.roundTrip == 0 || took < s.roundTrip {
		s.roundTrip = took
		return
	}
	s.roundTrip += time.Duration(roundTripGain * float64(took-s.roundTrip))
}

// FirstByte records that the response has begun.
func (h *Hop) FirstByte(now time.Time) {
	h.regions.mu.Lock()
	defer h.regions.mu.Unlock()
	s := h.regions.mu.regions[h.region].hops[h.service]
	// What was expected contained the correction of that time.
	late := now.Sub(h.started) - h.expected
	s.correction, s.correctedAt = max(s.correctionAt(now)+time.Duration(correctionGain*float64(late)), 0), now
}

// Outcome says how a hop ended.
type Outcome int

const (
	// Ran means that the request has run, or may have.
	Ran Outcome = iota
	// Refused means that the region had no place for the request, Stopping that the
	// instance takes no requests, and Unreachable that it was not reached or did not
	// answer.
	Refused
	Stopping
	Unreachable
)

// End records how the hop ended. Only the first call has an effect.
func (h *Hop) End(o Outcome, now time.Time) {
	h.regions.mu.Lock()
	defer h.regions.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	s := h.regions.mu.regions[h.region]
	state := s.hops[h.service]
	state.inFlight--
	switch o {
	case Ran:
		s.failures = 0
		delete(s.failed, h.address)
		d := now.Sub(h.started)
		if state.duration == 0 {
			state.duration = d
		}
		state.duration += time.Duration(durationGain * float64(d-state.duration))
		return
	case Refused:
		s.failures = 0
		state.refusedAt, state.excludedUntil = now, now.Add(refusalRest)
		s.growth[h.service] = 1
	case Stopping:
		s.failed[h.address] = now
	case Unreachable:
		s.failed[h.address] = now
		if s.failures++; s.failures >= maxFailures {
			s.excludedUntil = now.Add(exclusion)
		}
	}
	h.regions.refusals.WithLabelValues(h.region).Inc()
}

// Receive counts a request of another region that runs here until done is called.
func (r *Regions) Receive(service string) (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.received[service]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.mu.received[service]--
	}
}

// Received returns the number of requests of other regions that run here.
func (r *Regions) Received(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.received[service]
}
