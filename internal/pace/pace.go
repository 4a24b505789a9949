package pace

import (
	"maps"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// Cause is why a target is paced.
type Cause string

// The causes of a window.
const (
	Started   Cause = "started"   // it warms up
	Restarted Cause = "restarted" // another incarnation runs under its id
	Returned  Cause = "returned"  // it was unreachable and passed a health check
	Failing   Cause = "failing"   // it failed a large part of its requests
	Slow      Cause = "slow"      // it became much slower than its service
	Reported  Cause = "reported"  // other instances pace it
)

// Result is what a response says about a target.
type Result int

// The results of a request.
const (
	Sound  Result = iota // within its objective
	Late                 // sound, but later than its objective
	Faulty               // failed, or rejected by the target
)

const (
	// slowFraction is the initial window of a target that was only slow, as a
	// fraction of its slots.
	slowFraction = 0.25
	// idleStep is the time without any result, or request in flight, after which the
	// window doubles. It ends a window whose holders have no request, have died or
	// cannot be heard; a few requests a second at each instance give a result sooner.
	idleStep = 700 * time.Millisecond
	// maxBusy is how long requests in flight count instead of results: a process that
	// is frozen, or a target that hangs, must not keep the window as it is for ever.
	maxBusy = 4 * time.Second
	// minReporters is the number of other instances that must pace a target before
	// this one does without own evidence: a single one may have faulty links.
	minReporters = 2
	// ownEvidence is how long a sound response keeps this instance from pacing a
	// target because of reports.
	ownEvidence = 2 * time.Second
	// reportPeriod is how long the counts are reported after the end of a window, so
	// that instances which have not heard of all results learn of them. It covers
	// two heartbeats of a region with 74 members.
	reportPeriod = 2 * time.Second
	// maxChanges bounds the changes kept until Changes is called.
	maxChanges = 256
)

// Change is the begin of a window, or its end.
type Change struct {
	Target string
	Cause  Cause
	Ended  bool
	// Size is the initial size of a window that began; Lasted is how long one that
	// ended existed.
	Size   int
	Lasted time.Duration
}

// Windows holds the windows of the targets of a region. It is not safe for
// concurrent use.
type Windows struct {
	targets map[string]*window
	// active is the number of windows that have not ended.
	active  int
	changes []Change
	// generation identifies windows, so that requests sent before one began do not
	// count in it.
	generation uint64
}

// window is the state of one target; it is kept after the window has ended.
type window struct {
	active      bool
	cause       Cause
	incarnation int64
	slots       int
	size        int
	generation  uint64
	// startedAt is the begin of the window, endedAt the end of the last one, and
	// lastResult when a result last changed the size.
	startedAt, endedAt, lastResult time.Time
	// lastBusy is when a request was last known to be in flight.
	lastBusy time.Time
	// running is the number of requests in flight that were sent under this window.
	running int
	// sound and faulty count the results of this instance under the window.
	sound, faulty uint32
	lastSound     time.Time
	peers         map[string]peerCounts
}

type peerCounts struct {
	sound, faulty uint32
	// recoveringMS is the age of the window when the report was sent, and startedAt
	// its begin.
	recoveringMS uint32
	startedAt    time.Time
	seen         time.Time
}

// New returns Windows without any window.
func New() *Windows { return &Windows{targets: map[string]*window{}} }

// Copy returns a copy that does not change with w. Changes returns none of the earlier
// changes of w at the copy.
func (w *Windows) Copy() *Windows {
	c := &Windows{targets: make(map[string]*window, len(w.targets)), active: w.active, generation: w.generation}
	for id, t := range w.targets {
		copied := *t
		copied.peers = maps.Clone(t.peers)
		c.targets[id] = &copied
	}
	return c
}

func (w *Windows) state(target string) *window {
	t := w.targets[target]
	if t == nil {
		t = &window{peers: map[string]peerCounts{}}
		w.targets[target] = t
	}
	return t
}

// Recovering begins a window, or begins it anew. now may lie in the future if the
// target gets no requests before.
func (w *Windows) Recovering(target string, incarnation int64, slots int, from Cause, now time.Time) {
	t := w.state(target)
	if t.active && t.cause != Slow && from == Slow {
		return // the window is smaller already
	}
	w.begin(target, t, incarnation, slots, from, now)
}

func (w *Windows) begin(target string, t *window, incarnation int64, slots int, from Cause, now time.Time) {
	size := 1
	if from == Slow {
		size = max(1, int(slowFraction*float64(slots)))
	}
	if slots <= size {
		return
	}
	if !t.active {
		w.active++
	}
	w.generation++
	t.active, t.cause, t.incarnation, t.slots, t.size, t.generation = true, from, incarnation, slots, size, w.generation
	t.startedAt, t.lastResult = now, now
	t.running, t.sound, t.faulty = 0, 0, 0
	w.note(Change{Target: target, Cause: from, Size: size})
}

func (w *Windows) note(c Change) {
	if len(w.changes) < maxChanges {
		w.changes = append(w.changes, c)
	}
}

// Changes returns the windows that began or ended since the last call.
func (w *Windows) Changes() []Change {
	c := w.changes
	w.changes = nil
	return c
}

// Active returns the number of targets that are paced.
func (w *Windows) Active() int { return w.active }

// Observe records the result of a request that was sent under the window; see Begin.
func (w *Windows) Observe(target string, r Result, now time.Time) {
	t := w.targets[target]
	if t == nil || !t.active {
		return
	}
	if r == Sound {
		t.sound++
		t.lastSound = now
		w.apply(target, t, 1, 0, now)
	} else {
		t.faulty++
		w.apply(target, t, 0, 1, now)
	}
}

// Served records a sound response to a request that was sent under no window.
func (w *Windows) Served(target string, now time.Time) { w.state(target).lastSound = now }

// apply changes the window by a number of sound results and then of others.
func (w *Windows) apply(target string, t *window, sound, faulty uint32, now time.Time) {
	size := t.grown(now) + int(min(sound, uint32(t.slots)))
	size = max(1, min(size, t.slots)>>min(faulty, 16))
	t.size, t.lastResult = size, now
	w.endIfFull(target, t, now)
}

// grown returns the size including the growth for want of results.
func (t *window) grown(now time.Time) int {
	idleSince := t.lastResult
	if t.running > 0 {
		t.lastBusy = now
	}
	if limit := t.lastResult.Add(maxBusy); t.lastBusy.After(limit) {
		idleSince = limit
	} else if t.lastBusy.After(idleSince) {
		idleSince = t.lastBusy
	}
	steps := max(0, int(now.Sub(idleSince)/idleStep))
	return min(t.size<<min(steps, 16), t.slots)
}

func (w *Windows) endIfFull(target string, t *window, now time.Time) {
	if t.grown(now) < t.slots {
		return
	}
	t.active, t.endedAt = false, now
	w.active--
	w.note(Change{Target: target, Cause: t.cause, Ended: true, Lasted: now.Sub(t.startedAt)})
}

// Merge applies what another instance reports about its window. It is called again with
// the same report until the next one arrives.
func (w *Windows) Merge(peer string, use *peerv1.TargetUse, now time.Time) {
	if use.GetRecoveringMs() == 0 {
		if t := w.targets[use.GetTarget()]; t != nil {
			delete(t.peers, peer)
		}
		return
	}
	t := w.state(use.GetTarget())
	old, startedAt := t.peers[peer], now.Add(-time.Duration(use.GetRecoveringMs())*time.Millisecond)
	counts := peerCounts{sound: use.GetSound(), faulty: use.GetFaulty(), recoveringMS: use.GetRecoveringMs(), startedAt: startedAt, seen: now}
	if counts.sound == old.sound && counts.faulty == old.faulty && counts.recoveringMS == old.recoveringMS {
		// Counted from now, the begin would move on until the next report, and a window
		// that the others have ended would look like a new one; see Adopt.
		counts.startedAt = old.startedAt
	}
	t.peers[peer] = counts
	if use.GetRunning() > 0 {
		t.lastBusy = now
	}
	if counts.sound < old.sound || counts.faulty < old.faulty || counts.startedAt.Sub(old.startedAt) > idleStep {
		old = peerCounts{} // the peer began a new window
	}
	if t.active && (counts.sound > old.sound || counts.faulty > old.faulty) {
		w.apply(use.GetTarget(), t, counts.sound-old.sound, counts.faulty-old.faulty, now)
	}
}

// Adopt begins a window for a target that enough other instances pace, unless this
// instance has evidence of its own that the target is sound. It is to be called after
// the reports of a round have been merged.
func (w *Windows) Adopt(target string, incarnation int64, slots int, now time.Time) {
	t := w.targets[target]
	if t == nil || t.active || len(t.peers) < minReporters || now.Sub(t.lastSound) < ownEvidence {
		return
	}
	reporters, sound, faulty, first := 0, uint32(0), uint32(0), now
	for peer, p := range t.peers {
		switch {
		case now.Sub(p.seen) > reportPeriod:
			delete(t.peers, peer)
		case p.startedAt.After(t.endedAt):
			reporters++
			sound, faulty = sound+p.sound, faulty+p.faulty
			if p.startedAt.Before(first) {
				first = p.startedAt
			}
		}
	}
	if reporters < minReporters || int(sound)+1 >= slots && faulty == 0 {
		return
	}
	if w.begin(target, t, incarnation, slots, Reported, now); t.active {
		// With its own time as the begin, the report of this window would look newer
		// than a window that the others have ended meanwhile, and begin theirs again.
		t.startedAt = first
		w.apply(target, t, sound, faulty, now)
	}
}

// Suspected begins a window for a target that other instances find down, unless this
// one has evidence of its own that it is sound. The window does not grow by time while
// this is called.
func (w *Windows) Suspected(target string, incarnation int64, slots int, now time.Time) {
	t := w.state(target)
	switch {
	case t.active && t.sound+t.faulty == 0:
		t.size, t.lastResult = t.grown(now), now
	case !t.active && now.Sub(t.lastSound) >= ownEvidence:
		w.begin(target, t, incarnation, slots, Reported, now)
	}
}

// EndedAt returns when the last window of a target ended; zero if none has.
func (w *Windows) EndedAt(target string) time.Time {
	if t := w.targets[target]; t != nil {
		return t.endedAt
	}
	return time.Time{}
}

// Suspend ends the window of a target that gets no request until Recovering is called.
func (w *Windows) Suspend(target string, now time.Time) {
	if t := w.targets[target]; t != nil && t.active {
		t.active, t.endedAt = false, now
		w.active--
	}
}

// Limit returns the limit of the requests in flight at a target over all instances.
// limited is false if there is none.
func (w *Windows) Limit(target string, now time.Time) (inFlight int, limited bool) {
	if w.active == 0 {
		return 0, false
	}
	t := w.targets[target]
	if t == nil || !t.active {
		return 0, false
	}
	if w.endIfFull(target, t, now); !t.active {
		return 0, false
	}
	return t.grown(now), true
}

// Running returns the requests of this instance that are in flight under the window.
func (w *Windows) Running(target string) int {
	if t := w.targets[target]; t != nil && t.active {
		return t.running
	}
	return 0
}

// Begin records that a request is sent. It returns 0 if the target is not paced, and
// otherwise what End needs to be called with.
func (w *Windows) Begin(target string) (generation uint64) {
	if w.active == 0 {
		return 0
	}
	t := w.targets[target]
	if t == nil || !t.active {
		return 0
	}
	t.running++
	return t.generation
}

// End records that a request has ended.
func (w *Windows) End(target string, generation uint64) {
	if t := w.targets[target]; t != nil && generation != 0 && t.generation == generation {
		t.running--
	}
}

// Current reports whether the window under which a request was sent still exists.
func (w *Windows) Current(target string, generation uint64) bool {
	t := w.targets[target]
	return t != nil && t.active && generation != 0 && t.generation == generation
}

// Fill sets the fields of a heartbeat that concern the target's window.
func (w *Windows) Fill(use *peerv1.TargetUse, now time.Time) {
	if t := w.targets[use.GetTarget()]; t.reported(now) {
		use.Sound, use.Faulty, use.RecoveringMs = t.sound, t.faulty, uint32(max(1, now.Sub(t.startedAt).Milliseconds()))
	}
}

// Reported reports whether heartbeats name the window of a target.
func (w *Windows) Reported(target string, now time.Time) bool { return w.targets[target].reported(now) }

func (t *window) reported(now time.Time) bool {
	return t != nil && t.generation != 0 && t.cause != Reported && (t.active || now.Sub(t.endedAt) < reportPeriod) ||
		t != nil && t.cause == Reported && t.active && t.sound+t.faulty > 0
}

// Forget removes a target that is no longer listed.
func (w *Windows) Forget(target string) {
	if t := w.targets[target]; t != nil {
		if t.active {
			w.active--
		}
		delete(w.targets, target)
	}
}
