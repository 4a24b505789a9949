package lease

import (
	"math"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// slotHorizon is how much of the recent rate of use a holder keeps idle slots
// for: two ticks.
const slotHorizon = 400 * time.Millisecond

// spareHorizon is the time within which one more idle slot must be expected to
// be used if it is kept. A slot costs one round trip within the region, while
// idle slots at many holders leave none for the others.
const spareHorizon = time.Second

// holding is a set of slots with one expiry.
type holding struct {
	idle  int
	busy  map[uint64]struct{}
	until time.Duration // upper reading
}

func (g *holding) count() int { return g.idle + len(g.busy) }

// release frees a busy slot; it becomes idle if the holding is still valid.
func (g *holding) release(now time.Duration, id uint64) bool {
	if _, ok := g.busy[id]; !ok {
		return false
	}
	delete(g.busy, id)
	if now < g.until {
		g.idle++
	}
	return true
}

// targetHold is what a holder has of one target.
type targetHold struct {
	mu struct {
		sync.Mutex
		current holding // of the link's ballot
		// old is of the ballot before, and can be claimed from the new grantor.
		old     holding
		claimed uint64 // sequence of the report that claims old; 0 for none
		takes   average
		waiting int
		recall  int
		keep    bool // idle slots until they are recalled
		// refused is what was waiting when fewer slots than asked were granted.
		refused, asked, askedFor int
		load                     Load
		changed                  bool
		sentIn                   uint64
		lastUse                  time.Duration
	}
}

// expire drops idle slots whose grant ended. Busy ones of the current ballot
// are reported until their requests end, because a report without them says
// that they are free; the grantor voids them if it has dropped the holder.
// Busy ones of the ballot before are left to the new grantor to reclaim.
func (t *targetHold) expire(now time.Duration, pendingClaim bool) {
	if g := &t.mu.current; g.idle > 0 && now >= g.until {
		g.idle = 0
		t.mu.changed = true
	}
	if g := &t.mu.old; g.count() > 0 && now >= g.until {
		g.idle = 0
		if !pendingClaim {
			g.busy = nil
		}
	}
}

func (t *targetHold) take(now time.Duration, target string, id uint64) (Slot, bool) {
	t.mu.lastUse = now
	for _, g := range []*holding{&t.mu.current, &t.mu.old} {
		if g.idle == 0 || now >= g.until {
			continue
		}
		g.idle--
		if g.busy == nil {
			g.busy = make(map[uint64]struct{})
		}
		g.busy[id] = struct{}{}
		t.mu.takes.add(now, 1)
		t.mu.changed = true
		return Slot{Target: target, ValidUntil: g.until, ID: id}, true
	}
	return Slot{}, false
}

// desired is the number of idle slots the holder should have.
func (t *targetHold) desired(now time.Duration) int {
	return t.mu.waiting + int(math.Round(t.mu.takes.rate(now)*slotHorizon.Seconds()))
}

// report states the holding. It returns nil if nothing changed.
func (t *targetHold) report(now time.Duration, target string, seq uint64, confirmed, first bool) *peerv1.TargetReport {
	g := &t.mu.current
	desired := t.desired(now)
	spare := 0
	if t.mu.takes.rate(now)*spareHorizon.Seconds() >= 1 {
		spare = 1
	}
	if surplus := g.idle - desired - spare; surplus > 0 && !t.mu.keep {
		g.idle -= surplus
		t.mu.changed = true
	}
	want := max(0, desired-g.idle-t.mu.old.idle)
	claim := 0
	if !first && now < t.mu.old.until {
		claim = t.mu.old.count()
	}
	if !t.mu.changed && confirmed && want == 0 && claim == 0 {
		return nil
	}
	t.mu.changed, t.mu.sentIn, t.mu.claimed = false, seq, 0
	t.mu.asked, t.mu.askedFor = want, t.mu.waiting
	if claim > 0 {
		t.mu.claimed = seq
	}
	return &peerv1.TargetReport{
		Target: target, Idle: uint32(g.idle), Busy: uint32(len(g.busy)),
		Want: uint32(want), Claimed: uint32(claim),
	}
}

// grant takes the part of an answer about the target. It returns true if idle
// slots rose.
func (t *targetHold) grant(sent clock.Reading, until time.Duration, seq uint64, g *peerv1.TargetGrant) bool {
	if t.mu.claimed == seq {
		if g.GetKept() {
			t.merge(until)
		} else {
			t.mu.old = holding{}
		}
		t.mu.claimed = 0
	}
	if g.GetGranted() > 0 || g.GetKeepIdle() {
		t.mu.keep = g.GetKeepIdle()
	}
	t.mu.refused = 0
	if int(g.GetGranted()) < t.mu.asked {
		t.mu.refused = t.mu.askedFor
	}
	t.mu.asked = 0
	t.mu.current.idle += int(g.GetGranted())
	t.mu.current.until = max(t.mu.current.until, until)
	// What is not idle is returned when its request ends.
	t.mu.recall = int(g.GetRecall())
	if n := min(t.mu.recall, t.mu.current.idle); n > 0 {
		t.mu.current.idle -= n
		t.mu.recall -= n
		t.mu.changed = true
	}
	if l := g.GetLoad(); l != nil {
		t.mu.load = Load{
			Running: int(l.GetRunning()), Queued: int(l.GetQueued()), CachedTokens: l.GetCachedTokens(),
			SampledAt: sent.Lower - time.Duration(l.GetAgeMs())*time.Millisecond,
		}
	}
	return g.GetGranted() > 0
}

// merge makes the claimed slots part of the current holding.
func (t *targetHold) merge(until time.Duration) {
	t.mu.current.idle += t.mu.old.idle
	for id := range t.mu.old.busy {
		if t.mu.current.busy == nil {
			t.mu.current.busy = make(map[uint64]struct{})
		}
		t.mu.current.busy[id] = struct{}{}
	}
	t.mu.current.until = max(t.mu.current.until, until)
	t.mu.old = holding{}
}

// renew lets the current holding live on; its grantor answered.
func (t *targetHold) renew(until time.Duration) {
	if t.mu.current.count() > 0 {
		t.mu.current.until = max(t.mu.current.until, until)
	}
}

// succeed makes the current holding the old one: a new grantor answered.
func (t *targetHold) succeed() {
	t.mu.old, t.mu.current, t.mu.claimed = t.mu.current, holding{}, 0
}

func (h *Holder) target(name string) *targetHold {
	v, ok := h.targets.Load(name)
	if !ok {
		v, _ = h.targets.LoadOrStore(name, &targetHold{})
	}
	return v.(*targetHold)
}

// TryTake takes an idle slot of the target.
func (h *Holder) TryTake(now clock.Reading, target string) (Slot, bool) {
	t := h.target(target)
	id := h.slotID.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.take(now.Upper, target, id)
}

// WantSlots states how many queued requests could use the target.
func (h *Holder) WantSlots(now clock.Reading, target string, n int) {
	t := h.target(target)
	t.mu.Lock()
	urgent := n > t.mu.waiting
	t.mu.waiting = max(0, n)
	if n > 0 {
		t.mu.lastUse = now.Upper
	}
	t.mu.Unlock()
	if urgent {
		signal(h.wake)
	}
}

// Usable reports whether a request with this slot may still be sent.
func (h *Holder) Usable(now clock.Reading, s Slot) bool { return now.Upper < s.ValidUntil }

// Release frees the slot after the request has ended on the target.
func (h *Holder) Release(now clock.Reading, s Slot) {
	t := h.target(s.Target)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mu.current.release(now.Upper, s.ID) {
		t.mu.changed = true
		if t.mu.recall > 0 && t.mu.current.idle > 0 {
			t.mu.recall--
			t.mu.current.idle--
		}
		return
	}
	t.mu.old.release(now.Upper, s.ID)
}

// Load returns the last known load of a target.
func (h *Holder) Load(target string) (Load, bool) {
	v, ok := h.targets.Load(target)
	if !ok {
		return Load{}, false
	}
	t := v.(*targetHold)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.load, t.mu.load.SampledAt != 0
}
