package pace

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

var start = time.Unix(1000, 0)

func limit(t *testing.T, w *Windows, now time.Time) int {
	t.Helper()
	size, limited := w.Limit("x", now)
	if !limited {
		return -1
	}
	return size
}

// Guards against a window that ignores failures, or that never ends.
func TestWindowGrowsWithSoundResultsAndIsHalvedByOthers(t *testing.T) {
	w := New()
	w.Recovering("x", 1, 8, Returned, start)
	for i, c := range []struct {
		r    Result
		want int
	}{{Sound, 2}, {Sound, 3}, {Late, 1}, {Sound, 2}, {Sound, 3}, {Sound, 4}, {Sound, 5}, {Faulty, 2}, {Faulty, 1}, {Faulty, 1}, {Sound, 2}} {
		w.Observe("x", c.r, start)
		if got := limit(t, w, start); got != c.want {
			t.Fatalf("result %d: window %d, want %d", i, got, c.want)
		}
	}
	for range 6 {
		w.Observe("x", Sound, start.Add(time.Second))
	}
	if got := limit(t, w, start.Add(time.Second)); got != -1 || w.Active() != 0 {
		t.Errorf("window %d after its last step, %d active", got, w.Active())
	}
	changes := w.Changes()
	if len(changes) != 2 || changes[0].Size != 1 || !changes[1].Ended || changes[1].Lasted != time.Second {
		t.Errorf("changes %+v", changes)
	}
}

// Guards against a target that stays idle because those that may send to it have died.
func TestWindowGrowsWithoutResults(t *testing.T) {
	w := New()
	w.Recovering("x", 1, 16, Returned, start)
	if got := limit(t, w, start.Add(idleStep)); got != 2 {
		t.Errorf("window %d after one step", got)
	}
	if got := limit(t, w, start.Add(5*idleStep)); got != -1 {
		t.Errorf("window %d after five steps", got)
	}
}

// Guards against growth while the target takes long over the only request: that there
// is no result says nothing good.
func TestWindowDoesNotGrowWhileRequestIsInFlight(t *testing.T) {
	for name, begin := range map[string]func(w *Windows, now time.Time){
		"here": func(w *Windows, _ time.Time) { w.Begin("x") },
		"at another instance": func(w *Windows, now time.Time) {
			w.Merge("p", &peerv1.TargetUse{Target: "x", Running: 1, RecoveringMs: 1000}, now)
		},
	} {
		w := New()
		w.Recovering("x", 1, 16, Returned, start)
		begin(w, start.Add(maxBusy/2))
		if got := limit(t, w, start.Add(maxBusy/2+idleStep/2)); got != 1 {
			t.Errorf("%s: window %d while a request is in flight", name, got)
		}
		if got := limit(t, w, start.Add(maxBusy+5*idleStep)); got != -1 {
			t.Errorf("%s: window %d long after", name, got)
		}
	}
}

// Guards against counting what another instance reports twice, and against missing
// its failures.
func TestResultsOfOthersCountOnce(t *testing.T) {
	w := New()
	w.Recovering("x", 1, 64, Returned, start)
	report := func(sound, faulty uint32) {
		w.Merge("p", &peerv1.TargetUse{Target: "x", Sound: sound, Faulty: faulty, RecoveringMs: 1000}, start)
	}
	report(3, 0)
	report(3, 0)
	if got := limit(t, w, start); got != 4 {
		t.Errorf("window %d after three sound results", got)
	}
	report(7, 1)
	report(7, 1)
	if got := limit(t, w, start); got != 4 {
		t.Errorf("window %d after four sound results and a faulty one", got)
	}
	report(1, 0) // a new window there
	if got := limit(t, w, start); got != 5 {
		t.Errorf("window %d after a result of a new window", got)
	}
}

// Guards against one instance with faulty links that makes all others pace the
// targets, and against pacing a target again because of reports that came late.
func TestWindowOfOthersIsAdoptedIfTheyAgree(t *testing.T) {
	use := func(sound uint32) *peerv1.TargetUse {
		return &peerv1.TargetUse{Target: "x", Sound: sound, RecoveringMs: 500}
	}
	w := New()
	w.Merge("p", use(1), start)
	if w.Adopt("x", 1, 8, start); w.Active() != 0 {
		t.Error("one reporter is enough")
	}
	w.Merge("q", use(2), start)
	if w.Adopt("x", 1, 8, start); limit(t, w, start) != 4 {
		t.Errorf("window %d after three sound results of two others", limit(t, w, start))
	}
	for range 8 {
		w.Observe("x", Sound, start)
	}
	if w.Adopt("x", 1, 8, start); w.Active() != 0 {
		t.Error("a window that has ended began again")
	}
	w = New()
	w.Served("x", start)
	w.Merge("p", use(0), start)
	w.Merge("q", use(0), start)
	if w.Adopt("x", 1, 8, start); w.Active() != 0 {
		t.Error("adopted although the target has just answered here")
	}
}

// Guards against requests of an earlier window that take a share of the next one
// until they time out.
func TestRequestsOfEarlierWindowDoNotCount(t *testing.T) {
	w := New()
	w.Recovering("x", 1, 8, Returned, start)
	old := w.Begin("x")
	w.Suspend("x", start)
	w.Recovering("x", 1, 8, Returned, start)
	if w.Running("x") != 0 || w.Current("x", old) {
		t.Error("a request of the earlier window counts")
	}
	w.Begin("x")
	if w.End("x", old); w.Running("x") != 1 {
		t.Errorf("%d running", w.Running("x"))
	}
}

// Guards against instances that sent nothing to a target while it was down, so that
// they send all at once when it is back.
func TestTargetThatOthersFindDownIsPaced(t *testing.T) {
	w := New()
	w.Served("x", start)
	if w.Suspected("x", 1, 8, start.Add(time.Second)); w.Active() != 0 {
		t.Error("paced although it has just answered here")
	}
	if w.Suspected("x", 1, 8, start.Add(ownEvidence)); limit(t, w, start.Add(ownEvidence)) != 1 {
		t.Error("not paced")
	}
	now := start.Add(ownEvidence)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		w.Suspected("x", 1, 8, now)
	}
	if limit(t, w, now) != 1 {
		t.Errorf("window %d while others find the target down", limit(t, w, now))
	}
}

// Guards against pacing a target again because the last report of a window that the
// others have ended stays in force until their next heartbeat.
func TestRepeatedReportIsNotAdoptedAfterTheEnd(t *testing.T) {
	w := New()
	use := &peerv1.TargetUse{Target: "x", RecoveringMs: 500}
	now := start
	w.Recovering("x", 1, 8, Returned, now)
	for i := range 60 {
		now = now.Add(100 * time.Millisecond)
		w.Merge("p", use, now)
		w.Merge("q", use, now)
		w.Adopt("x", 1, 8, now)
		if size := limit(t, w, now); (size == -1) != (now.Sub(start) >= 3*idleStep) {
			t.Fatalf("round %d: window %d", i, size)
		}
	}
	use = &peerv1.TargetUse{Target: "x", RecoveringMs: 100}
	w.Merge("p", use, now)
	w.Merge("q", use, now)
	if w.Adopt("x", 1, 8, now); w.Active() != 1 {
		t.Error("a new window of the others is not adopted")
	}
}
