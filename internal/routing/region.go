package routing

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

const (
	// statusRefreshAge is the age from which a remote region's status is fetched
	// again, and statusMaxAge the age up to which it is used.
	statusRefreshAge = time.Second
	statusMaxAge     = 3 * time.Second
	// spillHoldTime is how long a region counts as spilling after a request was
	// last forwarded there because the local queue cost more than the hop.
	spillHoldTime = 2 * time.Second
	// reservedFraction is the fraction of its capacity that a remote region keeps
	// for its own callers; while spilling to it, half of that is kept.
	reservedFraction = 0.1
	// linkWindow is the time over which link load is averaged.
	linkWindow = time.Second
)

// RegionStatus is the status that a remote region reports for one model or
// service.
type RegionStatus struct {
	Model, Service string
	Region         string
	// Capacity, Running and Queued are in requests. A Capacity of 0 stands for the
	// published one.
	Capacity, Running, Queued int
	QueueWait                 time.Duration
}

// regionState is the state kept for a remote region.
type regionState struct {
	reachable  bool
	inFlight   int
	linkBits   float64 // sent by this instance; drains at its portion of the link's bandwidth
	linkBitsAt time.Duration
	pools      map[poolKey]*remotePool
}

// remotePool is the state kept for one model or service of a remote region.
type remotePool struct {
	hasStatus       bool
	statusAt        time.Duration
	status          RegionStatus
	sentSinceStatus int // requests that this instance forwarded since the status
	spilling        bool
	lastSpill       time.Duration // when a request was last forwarded
}

func (t *Tracker) region(name string) *regionState {
	r := t.mu.regions[name]
	if r == nil {
		r = &regionState{pools: map[poolKey]*remotePool{}}
		t.mu.regions[name] = r
	}
	return r
}

func (r *regionState) pool(key poolKey) *remotePool {
	p := r.pools[key]
	if p == nil {
		p = &remotePool{}
		r.pools[key] = p
	}
	return p
}

// SetRegionReachable sets whether a live instance of a remote region responds.
func (t *Tracker) SetRegionReachable(region string, reachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.region(region).reachable = reachable
}

// SetRegionStatus stores the status of a remote region as of now and marks the
// region as reachable.
func (t *Tracker) SetRegionStatus(s RegionStatus) {
	now := t.cfg.Clock.Now().Lower
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(s.Region)
	r.reachable = true
	p := r.pool(keyOf(Query{Model: s.Model, Service: s.Service}))
	p.hasStatus, p.statusAt, p.status, p.sentSinceStatus = true, now, s, 0
}

// RecordForward records that the request is forwarded to another region with a
// body of the given number of bytes. The returned function records its end;
// further calls of it have no effect.
func (t *Tracker) RecordForward(q Query, region string, bytes int) (ended func()) {
	now := t.cfg.Clock.Now().Lower
	link := t.link(region)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(region)
	r.inFlight++
	r.drainLink(now, t.instanceBandwidth(link))
	r.linkBits += float64(bytes) * 8
	r.pool(keyOf(q)).sentSinceStatus++
	var once sync.Once
	return func() {
		once.Do(func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			r.inFlight--
		})
	}
}

func (t *Tracker) link(region string) *config.Link {
	if cfg := t.pools.Load().config; cfg != nil {
		return cfg.Links[config.NewLinkID(t.cfg.Region, region)]
	}
	return nil
}

// instanceBandwidth returns this instance's equal portion of the link's bandwidth
// in bits per second, 0 without a link. The caller holds mu.
func (t *Tracker) instanceBandwidth(l *config.Link) float64 {
	if l == nil {
		return 0
	}
	return l.Bandwidth / float64(t.mu.peerCount)
}

func (r *regionState) drainLink(now time.Duration, bandwidth float64) {
	r.linkBits = max(0, r.linkBits-bandwidth*(now-r.linkBitsAt).Seconds())
	r.linkBitsAt = now
}

// regionViews returns the views of the remote regions that have capacity for the
// pool. The caller holds mu.
func (t *Tracker) regionViews(ps *poolSet, p *pool, key poolKey, now time.Duration) []RegionView {
	out := make([]RegionView, 0, len(p.remote))
	for _, published := range p.remote {
		name, capacity := published.region, published.capacity
		r := t.region(name)
		rp := r.pool(key)
		v := RegionView{
			Region: name, Reachable: r.reachable, Link: ps.config.Links[config.NewLinkID(t.cfg.Region, name)],
			Capacity: capacity, FreeSlots: -1, InFlight: r.inFlight, Spilling: rp.spilling,
		}
		if bandwidth := t.instanceBandwidth(v.Link); bandwidth > 0 {
			r.drainLink(now, bandwidth)
			v.LinkLoad = r.linkBits / (bandwidth * linkWindow.Seconds())
		}
		v.Stale = !rp.hasStatus || now-rp.statusAt >= statusRefreshAge
		if rp.hasStatus && now-rp.statusAt <= statusMaxAge {
			if rp.status.Capacity > 0 {
				v.Capacity = min(capacity, rp.status.Capacity)
			}
			v.FreeSlots = t.usableFreeSlots(rp, v.Capacity)
		}
		out = append(out, v)
	}
	return out
}

// usableFreeSlots returns how many free slots of a remote region this instance may
// use: the instances of the local region see about the same status at about the
// same time, so they divide the free slots equally. Fractions of a slot are
// rounded at random, as otherwise a few free slots would never be used. The
// caller holds mu.
func (t *Tracker) usableFreeSlots(rp *remotePool, capacity int) int {
	reserved := reservedFraction * float64(capacity)
	if rp.spilling {
		reserved /= 2
	}
	free := float64(capacity-rp.status.Running-rp.status.Queued) - reserved
	if free <= 0 {
		return 0
	}
	expected := free / float64(t.mu.peerCount)
	slots := int(expected)
	const scale = 1 << 20
	if random := splitmix64(t.cfg.Seed^uint64(rp.statusAt)) % scale; float64(random) < (expected-float64(slots))*scale {
		slots++
	}
	return max(slots-rp.sentSinceStatus, 0)
}

// updateSpilling maintains the hysteresis state: a region is spilling from the
// first request forwarded there until none has been for spillHoldTime.
func (t *Tracker) updateSpilling(q Query, v *View, c *Choice) {
	if q.LocalOnly || c.Region == "" && v.LocalWait <= 0 && !anySpilling(v) {
		return
	}
	now := t.cfg.Clock.Now().Lower
	key := keyOf(q)
	var started, ended []string
	t.mu.Lock()
	for i := range v.Regions {
		name := v.Regions[i].Region
		p := t.region(name).pool(key)
		switch {
		case name == c.Region:
			if !p.spilling {
				started = append(started, name)
			}
			p.spilling, p.lastSpill = true, now
		case p.spilling && now-p.lastSpill > spillHoldTime:
			p.spilling = false
			ended = append(ended, name)
		}
	}
	t.mu.Unlock()
	for _, name := range started {
		t.cfg.Log.Emit(event.SpillStarted, zap.String("region", name), zap.String("pool", key.name), zap.Strings("reasons", c.Reasons))
	}
	for _, name := range ended {
		t.cfg.Log.Emit(event.SpillEnded, zap.String("region", name), zap.String("pool", key.name))
	}
}

func anySpilling(v *View) bool {
	for i := range v.Regions {
		if v.Regions[i].Spilling {
			return true
		}
	}
	return false
}
