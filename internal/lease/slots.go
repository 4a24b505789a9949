package lease

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// sendMargin allows for a request that was written to a target just before
	// its slot ended and had not reached the target when a load was sampled.
	sendMargin = 250 * time.Millisecond
	// runMargin allows for the time between the end of a request on a target
	// and its deadline as counted by the target.
	runMargin = 500 * time.Millisecond
	// unmetFor is how long a want for slots that was not met causes recalls.
	unmetFor = 500 * time.Millisecond
	// loadsEvery is the interval at which a holder is told the loads of targets
	// it did not report. With 107 targets in a region, they take about 2 KB/s.
	loadsEvery = 2 * time.Second
)

// UnconfirmedSlots says that slots of a silent holder await proof that they are free.
type UnconfirmedSlots struct {
	Target string
	Holder leadership.Process
	Slots  int
}

// pool is a number of slots that may be in use by unknown requests.
type pool struct {
	count int
	// ended is the lower reading at which the last grant for them has ended.
	ended time.Duration
	// predecessor marks slots that holders may claim from an earlier grantor.
	predecessor bool
	// reduced is set once a load report lowered the count; a claim can no
	// longer be told from a slot that was proved free.
	reduced bool
}

// slots is the grantor's account of one target.
type slots struct {
	capacity int
	held     int // by live holders
	pools    []pool
	maxRun   time.Duration

	unmet   int
	unmetAt time.Duration

	load    Load // SampledAt is the grantor's lower reading
	version uint64
}

// lose moves n slots from a holder to the unaccounted ones.
func (s *slots) lose(n int, ended time.Duration) {
	s.held -= n
	s.pools = append(s.pools, pool{count: n, ended: ended})
}

func (s *slots) unaccounted() int {
	n := 0
	for _, p := range s.pools {
		n += p.count
	}
	return n
}

func (s *slots) free() int { return s.capacity - s.held - s.unaccounted() }

// reclaim frees unaccounted slots whose requests have reached their deadline.
func (s *slots) reclaim(now time.Duration) {
	kept := s.pools[:0]
	for _, p := range s.pools {
		if p.count > 0 && now < p.ended+clock.ForGrantor(s.maxRun)+runMargin {
			kept = append(kept, p)
		}
	}
	s.pools = kept
}

// loaded applies a load sampled at the given reading. At most that many of the
// slots whose grants had ended by then can still be in use, and their number
// can only fall.
func (s *slots) loaded(l Load) {
	if l.SampledAt < s.load.SampledAt {
		return
	}
	if l.Running != s.load.Running || l.Queued != s.load.Queued || s.version == 0 {
		s.version++
	}
	s.load = l
	ended := 0
	for _, p := range s.pools {
		if p.ended+sendMargin <= l.SampledAt {
			ended += p.count
		}
	}
	surplus := ended - (l.Running + l.Queued)
	for i := range s.pools {
		p := &s.pools[i]
		if surplus <= 0 {
			break
		}
		if p.ended+sendMargin <= l.SampledAt {
			n := min(surplus, p.count)
			p.count -= n
			surplus -= n
		}
	}
	for i := range s.pools {
		if s.pools[i].ended+sendMargin <= l.SampledAt {
			s.pools[i].reduced = true
		}
	}
}

// claim moves n slots from the predecessor's pool to a holder.
func (s *slots) claim(n int, now time.Duration) bool {
	for i := range s.pools {
		p := &s.pools[i]
		if p.predecessor && !p.reduced && now < p.ended {
			p.count = max(0, p.count-n)
			s.held += n
			return true
		}
	}
	return false
}

// unclaim reverts a claim whose answer the holder did not take.
func (s *slots) unclaim(n int, ended time.Duration) {
	s.held -= n
	for i := range s.pools {
		if s.pools[i].predecessor && !s.pools[i].reduced {
			s.pools[i].count += n
			return
		}
	}
	s.pools = append(s.pools, pool{count: n, ended: ended})
}

// RecordLoad records a load report of a target. sampled is the lower reading of the
// sample: the time its request was sent minus the age that the report states.
func (l *Ledger) RecordLoad(now clock.Reading, ed *config.Config, target string, load Load) {
	if s := l.targetSlots(now, ed, target); s != nil {
		s.loaded(load)
	}
}

// HasUnaccountedSlots reports whether a load report could free slots of the target.
func (l *Ledger) HasUnaccountedSlots(target string) bool {
	s := l.slots[target]
	return s == nil || s.unaccounted() > 0
}

// targetSlots returns the account of a target of this shard, or nil.
func (l *Ledger) targetSlots(now clock.Reading, ed *config.Config, name string) *slots {
	t, region := ed.Targets[name], ed.Regions[l.shard.Region]
	s := l.slots[name]
	if t == nil || region == nil || t.Region != l.shard.Region || leadership.ShardFor(region, name) != l.shard {
		if s != nil {
			s.capacity = 0
			s.reclaim(now.Lower)
		}
		return s
	}
	if s == nil {
		s = &slots{}
		l.slots[name] = s
	}
	s.maxRun = max(s.maxRun, maxRun(ed, t))
	if delta := t.Capacity - s.capacity; delta > 0 {
		// A predecessor may have handed out all of it, even under a newer
		// edition than this grantor's first one.
		s.pools = append(s.pools, pool{count: delta, ended: l.start + clock.ForGrantor(Validity), predecessor: true})
	}
	s.capacity = t.Capacity
	s.reclaim(now.Lower)
	return s
}

// maxRun returns the longest run time of a request on the target.
func maxRun(ed *config.Config, t *config.Target) time.Duration {
	var d time.Duration
	if s := ed.Services[t.Service]; s != nil {
		d = s.MaxRun
	}
	for name := range t.Models {
		if m := ed.Models[name]; m != nil {
			d = max(d, m.MaxRun)
		}
	}
	return d
}

func (l *Ledger) target(now clock.Reading, ed *config.Config, r *record, req *peerv1.RenewRequest, resp *peerv1.RenewResponse, t *peerv1.TargetReport) (*peerv1.TargetGrant, error) {
	name := t.GetTarget()
	g := &peerv1.TargetGrant{Target: name}
	s := l.targetSlots(now, ed, name)
	if s == nil {
		return g, nil
	}
	if !resp.GetReset_() {
		declared := int(t.GetIdle()) + int(t.GetBusy())
		if declared > r.slots[name] {
			return nil, errors.AssertionFailedf("target %s: holder %s declares %d slots of %d held",
				name, req.GetHolder().GetInstance(), declared, r.slots[name])
		}
		s.held -= r.slots[name] - declared
		r.slots[name] = declared
		if n := int(t.GetClaimed()); n > 0 && s.claim(n, now.Lower) {
			g.Kept = true
			r.slots[name] += n
			if r.claims == nil {
				r.claims = make(map[string]int)
			}
			r.claims[name] = n
		}
	}
	g.KeepIdle = ed.Targets[name] != nil && ed.Targets[name].Kind == config.Plain
	give := max(0, min(int(t.GetWant()), s.free()))
	if give > 0 && g.KeepIdle {
		give = max(give, min(s.free(), l.part(s)-r.slots[name]))
	}
	s.held += give
	r.slots[name] += give
	g.Granted = uint32(give)
	l.recall(now, s, t, g)
	if give > 0 && s.held+s.unaccounted() > s.capacity {
		return nil, errors.AssertionFailedf("target %s: %d slots held and %d unaccounted of %d", name, s.held, s.unaccounted(), s.capacity)
	}
	if r.slots[name] == 0 {
		delete(r.slots, name)
	}
	if r.loads[name] != s.version {
		r.loads[name] = s.version
		g.Load = l.loadOf(now, s)
	}
	if t.GetWant() == 0 && t.GetClaimed() == 0 && g.GetRecall() == 0 && g.GetLoad() == nil {
		return nil, nil
	}
	return g, nil
}

// part is an even part of a target's capacity among the live holders of the
// region.
func (l *Ledger) part(s *slots) int {
	holders := 0
	for _, r := range l.holders {
		if r.live && !r.foreign {
			holders++
		}
	}
	return s.capacity / max(holders, 2)
}

// recall asks for idle slots that other holders lack, and for any slots that
// exceed a lowered capacity: busy ones return when their requests end.
func (l *Ledger) recall(now clock.Reading, s *slots, t *peerv1.TargetReport, g *peerv1.TargetGrant) {
	if want := int(t.GetWant()); want > 0 {
		s.unmet, s.unmetAt = want-int(g.Granted), now.Lower
	}
	over := min(max(0, -s.free()), int(t.GetIdle()+t.GetBusy()))
	idle := 0
	if t.GetWant() == 0 && now.Lower-s.unmetAt < unmetFor {
		idle = min(s.unmet, int(t.GetIdle()))
		s.unmet -= idle
	}
	g.Recall = uint32(max(over, idle))
}

// lacking is the number of slots that should be returned.
func (s *slots) lacking(now clock.Reading) int {
	n := max(0, -s.free())
	if now.Lower-s.unmetAt < unmetFor {
		n = max(n, s.unmet)
	}
	return n
}

// recallOthers recalls slots of targets that the holder did not report.
func (l *Ledger) recallOthers(now clock.Reading, r *record, req *peerv1.RenewRequest, resp *peerv1.RenewResponse) {
	for name, n := range r.slots {
		s := l.slots[name]
		if s == nil || n == 0 || s.lacking(now) == 0 {
			continue
		}
		if slices.ContainsFunc(req.GetTargets(), func(t *peerv1.TargetReport) bool { return t.GetTarget() == name }) {
			continue
		}
		resp.Targets = append(resp.Targets, &peerv1.TargetGrant{Target: name, Recall: uint32(min(n, s.lacking(now)))})
	}
}

func (l *Ledger) revertClaims(r *record) {
	for name, n := range r.claims {
		if s := l.slots[name]; s != nil {
			s.unclaim(n, l.start+clock.ForGrantor(Validity))
			r.slots[name] -= n
		}
	}
}

func (l *Ledger) loadOf(now clock.Reading, s *slots) *peerv1.TargetLoad {
	if s.version == 0 {
		return nil
	}
	age := max(0, now.Lower-s.load.SampledAt)
	return &peerv1.TargetLoad{
		Running: uint32(s.load.Running), Queued: uint32(s.load.Queued),
		AgeMs: uint32(age / time.Millisecond), CachedTokens: s.load.CachedTokens,
	}
}

// tellLoads adds the loads that changed since the holder was last told.
func (l *Ledger) tellLoads(now clock.Reading, r *record, resp *peerv1.RenewResponse) {
	if now.Lower-r.loadsAt < loadsEvery {
		return
	}
	r.loadsAt = now.Lower
	for name, s := range l.slots {
		if s.version != 0 && r.loads[name] != s.version {
			r.loads[name] = s.version
			resp.Targets = append(resp.Targets, &peerv1.TargetGrant{Target: name, Load: l.loadOf(now, s)})
		}
	}
}
