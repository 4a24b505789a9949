package lease

import (
	"math"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// slotHorizon is the time of recent use for which a holder keeps idle slots:
// two renewal intervals.
const slotHorizon = 400 * time.Millisecond

// spareHorizon is the time within which one more idle slot must be expected to
// be used if it is kept. A slot costs one round trip within the region, while
// idle slots at many holders leave none for the others.
const spareHorizon = time.Second

// slotLease is a set of slots that expire together.
type slotLease struct {
	idle       int
	busy       map[uint64]struct{}
	validUntil time.Duration // upper clock reading
}

func (g *slotLease) count() int { return g.idle + len(g.busy) }

// release frees a busy slot. The slot becomes idle if the lease is still valid.
// It returns false if the slot is not part of the lease.
func (g *slotLease) release(now time.Duration, id uint64) bool {
	if _, ok := g.busy[id]; !ok {
		return false
	}
	delete(g.busy, id)
	if now < g.validUntil {
		g.idle++
	}
	return true
}

// targetState is what a holder has of one target.
type targetState struct {
	mu struct {
		sync.Mutex
		current slotLease // under the ballot of the leader link
		// previous was leased under the ballot before, and can be claimed from
		// the new leader.
		previous        slotLease
		claimSequence   uint64 // sequence number of the report that claims previous; 0 if none
		useRate         movingRate
		waitingRequests int
		pendingRecall   int
		keepIdle        bool // keep idle slots until they are recalled
		// refusedWaiting is the number of requests that waited when fewer slots
		// than wanted were granted; reportedWaiting is that number as of the
		// last report.
		refusedWaiting, wanted, reportedWaiting int
		load                                    Load
		changed                                 bool
		reportSequence                          uint64
		lastUsed                                time.Duration
	}
}

// expire drops idle slots whose lease ended. Busy slots of the current ballot
// are reported until their requests end, because a report without them says
// that they are free; the leader revokes them if it has dropped the holder.
// Busy slots of the previous ballot are left to the new leader to reclaim.
func (t *targetState) expire(now time.Duration, pendingClaim bool) {
	if g := &t.mu.current; g.idle > 0 && now >= g.validUntil {
		g.idle = 0
		t.mu.changed = true
	}
	if g := &t.mu.previous; g.count() > 0 && now >= g.validUntil {
		g.idle = 0
		if !pendingClaim {
			g.busy = nil
		}
	}
}

func (t *targetState) take(now time.Duration, target string, id uint64) (Slot, bool) {
	t.mu.lastUsed = now
	for _, g := range []*slotLease{&t.mu.current, &t.mu.previous} {
		if g.idle == 0 || now >= g.validUntil {
			continue
		}
		g.idle--
		if g.busy == nil {
			g.busy = make(map[uint64]struct{})
		}
		g.busy[id] = struct{}{}
		t.mu.useRate.add(now, 1)
		t.mu.changed = true
		return Slot{Target: target, ValidUntil: g.validUntil, ID: id}, true
	}
	return Slot{}, false
}

// desiredIdle is the number of idle slots the holder should have.
func (t *targetState) desiredIdle(now time.Duration) int {
	return t.mu.waitingRequests + int(math.Round(t.mu.useRate.rate(now)*slotHorizon.Seconds()))
}

// report returns the report about the target, or nil if nothing changed. It
// returns idle slots beyond what recent use calls for.
func (t *targetState) report(now time.Duration, target string, seq uint64, confirmed, firstBallot bool) *peerv1.TargetReport {
	g := &t.mu.current
	desired := t.desiredIdle(now)
	spare := 0
	if t.mu.useRate.rate(now)*spareHorizon.Seconds() >= 1 {
		spare = 1
	}
	if surplus := g.idle - desired - spare; surplus > 0 && !t.mu.keepIdle {
		g.idle -= surplus
		t.mu.changed = true
	}
	want := max(0, desired-g.idle-t.mu.previous.idle)
	claim := 0
	if !firstBallot && now < t.mu.previous.validUntil {
		claim = t.mu.previous.count()
	}
	if !t.mu.changed && confirmed && want == 0 && claim == 0 {
		return nil
	}
	t.mu.changed, t.mu.reportSequence, t.mu.claimSequence = false, seq, 0
	t.mu.wanted, t.mu.reportedWaiting = want, t.mu.waitingRequests
	if claim > 0 {
		t.mu.claimSequence = seq
	}
	return &peerv1.TargetReport{
		Target: target, Idle: uint32(g.idle), Busy: uint32(len(g.busy)),
		Want: uint32(want), Claimed: uint32(claim),
	}
}

// applyGrant applies the part of a response about the target. It returns true
// if the number of idle slots rose.
func (t *targetState) applyGrant(sent clock.Reading, until time.Duration, seq uint64, g *peerv1.TargetGrant) bool {
	if t.mu.claimSequence == seq {
		if g.GetKept() {
			t.mergePrevious(until)
		} else {
			t.mu.previous = slotLease{}
		}
		t.mu.claimSequence = 0
	}
	if g.GetGranted() > 0 || g.GetKeepIdle() {
		t.mu.keepIdle = g.GetKeepIdle()
	}
	t.mu.refusedWaiting = 0
	if int(g.GetGranted()) < t.mu.wanted {
		t.mu.refusedWaiting = t.mu.reportedWaiting
	}
	t.mu.wanted = 0
	t.mu.current.idle += int(g.GetGranted())
	t.mu.current.validUntil = max(t.mu.current.validUntil, until)
	// Recalled slots that are busy are returned when their requests end.
	t.mu.pendingRecall = int(g.GetRecall())
	if n := min(t.mu.pendingRecall, t.mu.current.idle); n > 0 {
		t.mu.current.idle -= n
		t.mu.pendingRecall -= n
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

// mergePrevious makes the claimed slots part of the current lease.
func (t *targetState) mergePrevious(until time.Duration) {
	t.mu.current.idle += t.mu.previous.idle
	for id := range t.mu.previous.busy {
		if t.mu.current.busy == nil {
			t.mu.current.busy = make(map[uint64]struct{})
		}
		t.mu.current.busy[id] = struct{}{}
	}
	t.mu.current.validUntil = max(t.mu.current.validUntil, until)
	t.mu.previous = slotLease{}
}

// extend extends the current lease after its leader responded.
func (t *targetState) extend(until time.Duration) {
	if t.mu.current.count() > 0 {
		t.mu.current.validUntil = max(t.mu.current.validUntil, until)
	}
}

// startNewBallot makes the current lease the previous one after a new leader
// responded.
func (t *targetState) startNewBallot() {
	t.mu.previous, t.mu.current, t.mu.claimSequence = t.mu.current, slotLease{}, 0
}

func (h *Holder) target(name string) *targetState {
	v, ok := h.targets.Load(name)
	if !ok {
		v, _ = h.targets.LoadOrStore(name, &targetState{})
	}
	return v.(*targetState)
}

// TryTake takes an idle slot of the target.
func (h *Holder) TryTake(now clock.Reading, target string) (Slot, bool) {
	t := h.target(target)
	id := h.slotID.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.take(now.Upper, target, id)
}

// WantSlots sets the number of queued requests that could use the target.
func (h *Holder) WantSlots(now clock.Reading, target string, n int) {
	t := h.target(target)
	t.mu.Lock()
	urgent := n > t.mu.waitingRequests
	t.mu.waitingRequests = max(0, n)
	if n > 0 {
		t.mu.lastUsed = now.Upper
	}
	t.mu.Unlock()
	if urgent {
		signal(h.wake)
	}
}

// Usable reports whether a request with this slot may still be sent.
func (h *Holder) Usable(now clock.Reading, s Slot) bool { return now.Upper < s.ValidUntil }

// Release frees the slot. Call it after the request has ended on the target.
func (h *Holder) Release(now clock.Reading, s Slot) {
	t := h.target(s.Target)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mu.current.release(now.Upper, s.ID) {
		t.mu.changed = true
		if t.mu.pendingRecall > 0 && t.mu.current.idle > 0 {
			t.mu.pendingRecall--
			t.mu.current.idle--
		}
		return
	}
	t.mu.previous.release(now.Upper, s.ID)
}

// Load returns the last known load of a target.
func (h *Holder) Load(target string) (Load, bool) {
	v, ok := h.targets.Load(target)
	if !ok {
		return Load{}, false
	}
	t := v.(*targetState)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.load, t.mu.load.SampledAt != 0
}
