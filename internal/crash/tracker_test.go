package crash

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

func newTracker(c clock.Clock) *Tracker { return New(Config{Clock: c}) }

// crashTarget starts the requests on a target and then reports it as lost.
func crashTarget(s *Tracker, target string, fs ...Fingerprint) {
	var requests [][]Suspect
	for _, f := range fs {
		requests = append(requests, Suspects(f, nil))
	}
	loseTarget(s, target, requests...)
}

// loseTarget starts requests on a target and then reports it as lost.
func loseTarget(s *Tracker, target string, requests ...[]Suspect) {
	var attempts []*Attempt
	for _, r := range requests {
		a, _ := s.Begin(target, "pool", r, true)
		attempts = append(attempts, a)
	}
	s.RecordLoss(attempts[0])
	for _, a := range attempts {
		a.End()
	}
}

func blocked(s *Tracker, f Fingerprint) bool { return s.Blocked(Suspects(f, nil)) != nil }

// Guards the rule for blocking (invariant I16): two crashes, and no other request
// in both.
func TestTracker(t *testing.T) {
	f, g, h := Fingerprint{1}, Fingerprint{2}, Fingerprint{3}
	for name, c := range map[string]struct {
		run  func(s *Tracker, c *clock.Virtual)
		want []Fingerprint
	}{
		"one crash":             {func(s *Tracker, _ *clock.Virtual) { crashTarget(s, "t1", f) }, nil},
		"two crashes":           {func(s *Tracker, _ *clock.Virtual) { crashTarget(s, "t1", f); crashTarget(s, "t2", f) }, []Fingerprint{f}},
		"different co-suspects": {func(s *Tracker, _ *clock.Virtual) { crashTarget(s, "t1", g, f); crashTarget(s, "t2", f, h) }, []Fingerprint{f}},
		"same co-suspect":       {func(s *Tracker, _ *clock.Virtual) { crashTarget(s, "t1", f, g); crashTarget(s, "t2", g, f) }, nil},
		"third crash decides": {func(s *Tracker, _ *clock.Virtual) {
			crashTarget(s, "t1", f, g)
			crashTarget(s, "t2", g, f)
			crashTarget(s, "t3", f)
		}, []Fingerprint{f}},
		"two failures, one crash": {func(s *Tracker, _ *clock.Virtual) { crashTarget(s, "t1", f); crashTarget(s, "t1", f) }, nil},
		"same target later": {func(s *Tracker, c *clock.Virtual) {
			crashTarget(s, "t1", f)
			c.Advance(crashWindow)
			crashTarget(s, "t1", f)
		}, []Fingerprint{f}},
		"long ago": {func(s *Tracker, c *clock.Virtual) {
			crashTarget(s, "t1", f)
			c.Advance(crashTTL + time.Second)
			crashTarget(s, "t2", f)
		}, nil},
	} {
		clk := &clock.Virtual{}
		s := newTracker(clk)
		c.run(s, clk)
		// A peer that receives the reports comes to the same result.
		peer := newTracker(clk)
		for range 3 {
			peer.Merge(s.Next())
			s.Merge(peer.Next())
		}
		for _, suspects := range []*Tracker{s, peer} {
			var got []Fingerprint
			for _, x := range []Fingerprint{f, g, h} {
				if blocked(suspects, x) {
					got = append(got, x)
				}
			}
			if len(got) != len(c.want) || len(got) > 0 && got[0] != c.want[0] {
				t.Errorf("%s: blocked %v, want %v", name, got, c.want)
			}
		}
	}
}

// Guards requests that did nothing wrong: two instances each had one request on
// the same targets. Only both reports together show that either may be the cause.
func TestCrashesOfTwoInstances(t *testing.T) {
	clk := &clock.Virtual{}
	a, b := newTracker(clk), newTracker(clk)
	for _, target := range []string{"t1", "t2"} {
		crashTarget(a, target, Fingerprint{1})
		crashTarget(b, target, Fingerprint{2})
		b.Merge(a.Next())
		a.Merge(b.Next())
	}
	for _, f := range []Fingerprint{{1}, {2}} {
		if blocked(a, f) || blocked(b, f) {
			t.Errorf("%v is blocked", f)
		}
	}
}

// Guards the bounds of the crash records.
func TestCrashesAreBounded(t *testing.T) {
	s := newTracker(&clock.Virtual{})
	for i := range 3 * maxCrashes {
		crashTarget(s, string(rune(i+1)), Fingerprint{byte(i), byte(i >> 8)})
	}
	if len(s.mu.crashes) > maxCrashes || len(s.mu.running) != 0 || newsSize(s.Next()) > maxNextSuspects {
		t.Fatal(len(s.mu.crashes), len(s.mu.running))
	}
}

func newsSize(news *peerv1.CrashNews) (n int) {
	for _, c := range news.GetCrashes() {
		n += suspectCount(c)
	}
	return n
}
