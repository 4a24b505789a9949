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
	// its slot's lease ended and had not reached the target when a load was
	// sampled.
	sendMargin = 250 * time.Millisecond
	// runMargin allows for the time between the end of a request on a target
	// and its deadline as counted by the target.
	runMargin = 500 * time.Millisecond
	// recallWindow is how long an unmet want for slots causes recalls.
	recallWindow = 500 * time.Millisecond
	// loadsInterval is the interval at which a holder is sent the loads of
	// targets that it did not report. With 107 targets in a region, they take
	// about 2 KB/s.
	loadsInterval = 2 * time.Second
)

// UnconfirmedSlots describes slots of an expired holder that are not yet known
// to be free.
type UnconfirmedSlots struct {
	Target string
	Holder leadership.Process
	Slots  int
}

// unaccountedSet is a number of slots that may be in use by requests the leader
// knows nothing of.
type unaccountedSet struct {
	count int
	// leaseEnd is the lower clock reading at which the last lease for the slots
	// has ended.
	leaseEnd time.Duration
	// fromPredecessor marks slots granted by an earlier leader, which their
	// holders may claim.
	fromPredecessor bool
	// reducedByLoad is set once a load report may have lowered the count: a
	// claimed slot can then no longer be told from one that the report proved
	// free.
	reducedByLoad bool
}

// slotAccount is the leader's account of one target's slots.
type slotAccount struct {
	capacity        int
	held            int // by active holders
	unaccountedSets []unaccountedSet
	maxRun          time.Duration

	unmetWant int
	unmetAt   time.Duration

	load        Load // SampledAt is a lower clock reading of the leader
	loadVersion uint64
}

// markUnaccounted moves n slots from a holder to the unaccounted ones.
func (s *slotAccount) markUnaccounted(n int, leaseEnd time.Duration) {
	s.held -= n
	s.unaccountedSets = append(s.unaccountedSets, unaccountedSet{count: n, leaseEnd: leaseEnd})
}

func (s *slotAccount) unaccounted() int {
	n := 0
	for _, p := range s.unaccountedSets {
		n += p.count
	}
	return n
}

func (s *slotAccount) free() int { return s.capacity - s.held - s.unaccounted() }

// reclaimExpired frees unaccounted slots whose requests must have reached their
// deadline.
func (s *slotAccount) reclaimExpired(now time.Duration) {
	kept := s.unaccountedSets[:0]
	for _, p := range s.unaccountedSets {
		if p.count > 0 && now < p.leaseEnd+clock.ForGrantor(s.maxRun)+runMargin {
			kept = append(kept, p)
		}
	}
	s.unaccountedSets = kept
}

// applyLoad applies a load report. Of the slots whose lease had ended by the
// time of the sample, at most as many are still in use as the report counts
// requests, and their number can only fall.
func (s *slotAccount) applyLoad(l Load) {
	if l.SampledAt < s.load.SampledAt {
		return
	}
	if l.Running != s.load.Running || l.Queued != s.load.Queued || s.loadVersion == 0 {
		s.loadVersion++
	}
	s.load = l
	expired := 0
	for _, p := range s.unaccountedSets {
		if p.leaseEnd+sendMargin <= l.SampledAt {
			expired += p.count
		}
	}
	surplus := expired - (l.Running + l.Queued)
	for i := range s.unaccountedSets {
		p := &s.unaccountedSets[i]
		if surplus <= 0 {
			break
		}
		if p.leaseEnd+sendMargin <= l.SampledAt {
			n := min(surplus, p.count)
			p.count -= n
			surplus -= n
		}
	}
	for i := range s.unaccountedSets {
		if s.unaccountedSets[i].leaseEnd+sendMargin <= l.SampledAt {
			s.unaccountedSets[i].reducedByLoad = true
		}
	}
}

// claim moves n slots from those of the predecessor to a holder.
func (s *slotAccount) claim(n int, now time.Duration) bool {
	for i := range s.unaccountedSets {
		p := &s.unaccountedSets[i]
		if p.fromPredecessor && !p.reducedByLoad && now < p.leaseEnd {
			p.count = max(0, p.count-n)
			s.held += n
			return true
		}
	}
	return false
}

// revertClaim reverts a claim whose response the holder did not apply.
func (s *slotAccount) revertClaim(n int, leaseEnd time.Duration) {
	s.held -= n
	for i := range s.unaccountedSets {
		if s.unaccountedSets[i].fromPredecessor && !s.unaccountedSets[i].reducedByLoad {
			s.unaccountedSets[i].count += n
			return
		}
	}
	s.unaccountedSets = append(s.unaccountedSets, unaccountedSet{count: n, leaseEnd: leaseEnd})
}

// RecordLoad records a load report of a target. load.SampledAt is the lower
// clock reading of the sample: the time the load request was sent minus the age
// that the report states.
func (l *Ledger) RecordLoad(now clock.Reading, cfg *config.Config, target string, load Load) {
	if s := l.targetAccount(now, cfg, target); s != nil {
		s.applyLoad(load)
	}
}

// HasUnaccountedSlots reports whether a load report could free slots of the
// target.
func (l *Ledger) HasUnaccountedSlots(target string) bool {
	s := l.slots[target]
	return s == nil || s.unaccounted() > 0
}

// targetAccount returns the account of a target. It is nil if the target does
// not belong to this shard and never did.
func (l *Ledger) targetAccount(now clock.Reading, cfg *config.Config, name string) *slotAccount {
	t, region := cfg.Targets[name], cfg.Regions[l.shard.Region]
	s := l.slots[name]
	if t == nil || region == nil || t.Region != l.shard.Region || leadership.ShardFor(region, name) != l.shard {
		if s != nil {
			s.capacity = 0
			s.reclaimExpired(now.Lower)
		}
		return s
	}
	if s == nil {
		s = &slotAccount{}
		l.slots[name] = s
	}
	s.maxRun = max(s.maxRun, maxRun(cfg, t))
	if delta := t.Capacity - s.capacity; delta > 0 {
		// The previous leader may have granted all of it, even under a
		// configuration newer than the first one that this leader saw.
		s.unaccountedSets = append(s.unaccountedSets, unaccountedSet{count: delta, leaseEnd: l.startedAt + clock.ForGrantor(Validity), fromPredecessor: true})
	}
	s.capacity = t.Capacity
	s.reclaimExpired(now.Lower)
	return s
}

// maxRun returns the longest run time of a request on the target.
func maxRun(cfg *config.Config, t *config.Target) time.Duration {
	var d time.Duration
	if s := cfg.Services[t.Service]; s != nil {
		d = s.MaxRun
	}
	for name := range t.Models {
		if m := cfg.Models[name]; m != nil {
			d = max(d, m.MaxRun)
		}
	}
	return d
}

func (l *Ledger) renewTarget(now clock.Reading, cfg *config.Config, r *holderRecord, req *peerv1.RenewRequest, resp *peerv1.RenewResponse, t *peerv1.TargetReport) (*peerv1.TargetGrant, error) {
	name := t.GetTarget()
	g := &peerv1.TargetGrant{Target: name}
	s := l.targetAccount(now, cfg, name)
	if s == nil {
		return g, nil
	}
	if !resp.GetReset_() {
		reported := int(t.GetIdle()) + int(t.GetBusy())
		if reported > r.slots[name] {
			return nil, errors.AssertionFailedf("target %s: holder %s reports %d slots but was granted %d",
				name, req.GetHolder().GetInstance(), reported, r.slots[name])
		}
		s.held -= r.slots[name] - reported
		r.slots[name] = reported
		if n := int(t.GetClaimed()); n > 0 && s.claim(n, now.Lower) {
			g.Kept = true
			r.slots[name] += n
			if r.claims == nil {
				r.claims = make(map[string]int)
			}
			r.claims[name] = n
		}
	}
	g.KeepIdle = cfg.Targets[name] != nil && cfg.Targets[name].Kind == config.PlainService
	granted := max(0, min(int(t.GetWant()), s.free()))
	if granted > 0 && g.KeepIdle {
		granted = max(granted, min(s.free(), l.evenSlotCount(s)-r.slots[name]))
	}
	s.held += granted
	r.slots[name] += granted
	g.Granted = uint32(granted)
	l.recallSlots(now, s, t, g)
	if granted > 0 && s.held+s.unaccounted() > s.capacity {
		return nil, errors.AssertionFailedf("target %s: %d slots held and %d unaccounted for of a capacity of %d", name, s.held, s.unaccounted(), s.capacity)
	}
	if r.slots[name] == 0 {
		delete(r.slots, name)
	}
	if r.loadVersions[name] != s.loadVersion {
		r.loadVersions[name] = s.loadVersion
		g.Load = l.targetLoad(now, s)
	}
	if t.GetWant() == 0 && t.GetClaimed() == 0 && g.GetRecall() == 0 && g.GetLoad() == nil {
		return nil, nil
	}
	return g, nil
}

// evenSlotCount is the target's capacity divided evenly among the active holders
// of the region, which count as at least two.
func (l *Ledger) evenSlotCount(s *slotAccount) int {
	holders := 0
	for _, r := range l.holders {
		if r.active && !r.remote {
			holders++
		}
	}
	return s.capacity / max(holders, 2)
}

// recallSlots recalls idle slots that other holders lack, and any slots above a
// lowered capacity: busy ones are returned when their requests end.
func (l *Ledger) recallSlots(now clock.Reading, s *slotAccount, t *peerv1.TargetReport, g *peerv1.TargetGrant) {
	if want := int(t.GetWant()); want > 0 {
		s.unmetWant, s.unmetAt = want-int(g.Granted), now.Lower
	}
	over := min(max(0, -s.free()), int(t.GetIdle()+t.GetBusy()))
	idle := 0
	if t.GetWant() == 0 && now.Lower-s.unmetAt < recallWindow {
		idle = min(s.unmetWant, int(t.GetIdle()))
		s.unmetWant -= idle
	}
	g.Recall = uint32(max(over, idle))
}

// slotsToReturn is the number of slots that holders should return.
func (s *slotAccount) slotsToReturn(now clock.Reading) int {
	n := max(0, -s.free())
	if now.Lower-s.unmetAt < recallWindow {
		n = max(n, s.unmetWant)
	}
	return n
}

// recallUnreportedSlots recalls slots of targets that the holder did not
// report.
func (l *Ledger) recallUnreportedSlots(now clock.Reading, r *holderRecord, req *peerv1.RenewRequest, resp *peerv1.RenewResponse) {
	for name, n := range r.slots {
		s := l.slots[name]
		if s == nil || n == 0 || s.slotsToReturn(now) == 0 {
			continue
		}
		if slices.ContainsFunc(req.GetTargets(), func(t *peerv1.TargetReport) bool { return t.GetTarget() == name }) {
			continue
		}
		resp.Targets = append(resp.Targets, &peerv1.TargetGrant{Target: name, Recall: uint32(min(n, s.slotsToReturn(now)))})
	}
}

func (l *Ledger) revertClaims(r *holderRecord) {
	for name, n := range r.claims {
		if s := l.slots[name]; s != nil {
			s.revertClaim(n, l.startedAt+clock.ForGrantor(Validity))
			r.slots[name] -= n
		}
	}
}

func (l *Ledger) targetLoad(now clock.Reading, s *slotAccount) *peerv1.TargetLoad {
	if s.loadVersion == 0 {
		return nil
	}
	age := max(0, now.Lower-s.load.SampledAt)
	return &peerv1.TargetLoad{
		Running: uint32(s.load.Running), Queued: uint32(s.load.Queued),
		AgeMs: uint32(age / time.Millisecond), CachedTokens: s.load.CachedTokens,
	}
}

// addChangedLoads adds the loads that changed since they were last sent to the
// holder.
func (l *Ledger) addChangedLoads(now clock.Reading, r *holderRecord, resp *peerv1.RenewResponse) {
	if now.Lower-r.loadsSentAt < loadsInterval {
		return
	}
	r.loadsSentAt = now.Lower
	for name, s := range l.slots {
		if s.loadVersion != 0 && r.loadVersions[name] != s.loadVersion {
			r.loadVersions[name] = s.loadVersion
			resp.Targets = append(resp.Targets, &peerv1.TargetGrant{Target: name, Load: l.targetLoad(now, s)})
		}
	}
}
