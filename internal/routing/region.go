package routing

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

const (
	// statusFresh is how long no newer status of another region is asked for, and
	// statusLife how long a status is used if there is no newer one.
	statusFresh = time.Second
	statusLife  = 3 * time.Second
	// spillHold is how long a region stays in use after the own queue was last
	// found to cost more than the link.
	spillHold = 2 * time.Second
	// reserve is the part of its capacity that another region keeps for its own
	// callers; a region that is in use already may go down to half of it.
	reserve = 0.1
	// linkWindow is the time over which the use of a link is averaged.
	linkWindow = time.Second
)

// RegionStatus is the state of another region for one model or service.
type RegionStatus struct {
	Model, Service string
	Region         string
	// Capacity and Running are in requests. Capacity 0 means "as published".
	Capacity, Running, Queued int
	QueueWait                 time.Duration
}

// regionState is what the instance believes about another region.
type regionState struct {
	reachable bool
	inFlight  int
	bits      float64 // own use of the link, drained at the own part of its budget
	bitsAt    time.Duration
	pools     map[poolKey]*remotePool
}

type remotePool struct {
	known    bool
	at       time.Duration
	status   RegionStatus
	since    int // own requests sent there since the status
	spilling bool
	spilled  time.Duration // when a request was last sent
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

// SetRegionReachable tells whether a live instance of another region answers.
func (t *Tracker) SetRegionReachable(region string, reachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.region(region).reachable = reachable
}

// SetRegionStatus stores the status of another region as of now. A region that sent
// its status is reachable.
func (t *Tracker) SetRegionStatus(s RegionStatus) {
	now := t.cfg.Clock.Now().Lower
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(s.Region)
	r.reachable = true
	p := r.pool(keyOf(Query{Model: s.Model, Service: s.Service}))
	p.known, p.at, p.status, p.since = true, now, s, 0
}

// RecordForward notes that the request is sent to another region, with the bytes
// of its body. The returned function notes its end; further calls of it do
// nothing.
func (t *Tracker) RecordForward(q Query, region string, bytes int) (ended func()) {
	now := t.cfg.Clock.Now().Lower
	link := t.link(region)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(region)
	r.inFlight++
	r.drain(now, t.linkShare(link))
	r.bits += float64(bytes) * 8
	r.pool(keyOf(q)).since++
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
	if e := t.pools.Load().edition; e != nil {
		return e.Links[config.NewLinkID(t.cfg.Region, region)]
	}
	return nil
}

// linkShare is the part of the link's budget that this instance may use, in
// bits per second. The caller holds mu.
func (t *Tracker) linkShare(l *config.Link) float64 {
	if l == nil {
		return 0
	}
	return l.Bandwidth / float64(t.mu.peers)
}

func (r *regionState) drain(now time.Duration, share float64) {
	r.bits = max(0, r.bits-share*(now-r.bitsAt).Seconds())
	r.bitsAt = now
}

// regionViews describes the other regions with capacity for the pool. The
// caller holds mu.
func (t *Tracker) regionViews(ps *pools, p *pool, key poolKey, now time.Duration) []RegionView {
	out := make([]RegionView, 0, len(p.remote))
	for _, there := range p.remote {
		name, capacity := there.region, there.capacity
		r := t.region(name)
		rp := r.pool(key)
		v := RegionView{
			Region: name, Reachable: r.reachable, Link: ps.edition.Links[config.NewLinkID(t.cfg.Region, name)],
			Capacity: capacity, FreeSlots: -1, InFlight: r.inFlight, Spilling: rp.spilling,
		}
		if share := t.linkShare(v.Link); share > 0 {
			r.drain(now, share)
			v.LinkLoad = r.bits / (share * linkWindow.Seconds())
		}
		v.Stale = !rp.known || now-rp.at >= statusFresh
		if rp.known && now-rp.at <= statusLife {
			if rp.status.Capacity > 0 {
				v.Capacity = min(capacity, rp.status.Capacity)
			}
			v.FreeSlots = t.freeThere(rp, v.Capacity)
		}
		out = append(out, v)
	}
	return out
}

// freeThere is the part of the free slots of another region that this instance
// may count on: all instances here read about the same status at about the
// same time, so each takes an equal part. Parts below one slot are rounded at
// random, or else a few free slots would never be used. The caller holds mu.
func (t *Tracker) freeThere(rp *remotePool, capacity int) int {
	keep := reserve * float64(capacity)
	if rp.spilling {
		keep /= 2
	}
	free := float64(capacity-rp.status.Running-rp.status.Queued) - keep
	if free <= 0 {
		return 0
	}
	part := free / float64(t.mu.peers)
	whole := int(part)
	const unit = 1 << 20
	if dice := mix(t.cfg.Seed^uint64(rp.at)) % unit; float64(dice) < (part-float64(whole))*unit {
		whole++
	}
	return max(whole-rp.since, 0)
}

// noteSpill keeps the hysteresis: a region is in use from the first request
// sent there until none was for spillHold.
func (t *Tracker) noteSpill(q Query, v *View, c *Choice) {
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
			p.spilling, p.spilled = true, now
		case p.spilling && now-p.spilled > spillHold:
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
