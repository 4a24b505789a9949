package dispatch

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
)

// crashTarget starts the requests on a target and then reports it as lost.
func crashTarget(s *CrashSuspects, target string, fs ...Fingerprint) {
	var ends []func()
	var first uint64
	for i, f := range fs {
		id, end, _ := s.BeginAttempt(target, f, true)
		ends = append(ends, end)
		if i == 0 {
			first = id
		}
	}
	s.RecordCrash(target, first, fs[0])
	for _, end := range ends {
		end()
	}
}

// Guards the rule for blocking (invariant I16): two crashes, and no other request
// in both.
func TestCrashSuspects(t *testing.T) {
	f, g, h := Fingerprint{1}, Fingerprint{2}, Fingerprint{3}
	for name, c := range map[string]struct {
		run  func(s *CrashSuspects, c *clock.Virtual)
		want []Fingerprint
	}{
		"one crash":             {func(s *CrashSuspects, _ *clock.Virtual) { crashTarget(s, "t1", f) }, nil},
		"two crashes":           {func(s *CrashSuspects, _ *clock.Virtual) { crashTarget(s, "t1", f); crashTarget(s, "t2", f) }, []Fingerprint{f}},
		"different co-suspects": {func(s *CrashSuspects, _ *clock.Virtual) { crashTarget(s, "t1", g, f); crashTarget(s, "t2", f, h) }, []Fingerprint{f}},
		"same co-suspect":       {func(s *CrashSuspects, _ *clock.Virtual) { crashTarget(s, "t1", f, g); crashTarget(s, "t2", g, f) }, nil},
		"third crash decides": {func(s *CrashSuspects, _ *clock.Virtual) {
			crashTarget(s, "t1", f, g)
			crashTarget(s, "t2", g, f)
			crashTarget(s, "t3", f)
		}, []Fingerprint{f}},
		"two failures, one crash": {func(s *CrashSuspects, _ *clock.Virtual) { crashTarget(s, "t1", f); crashTarget(s, "t1", f) }, nil},
		"same target later": {func(s *CrashSuspects, c *clock.Virtual) {
			crashTarget(s, "t1", f)
			c.Advance(crashWindow)
			crashTarget(s, "t1", f)
		}, []Fingerprint{f}},
		"long ago": {func(s *CrashSuspects, c *clock.Virtual) {
			crashTarget(s, "t1", f)
			c.Advance(crashTTL + time.Second)
			crashTarget(s, "t2", f)
		}, nil},
	} {
		clk := &clock.Virtual{}
		s := NewCrashSuspects(clk)
		c.run(s, clk)
		// A peer that receives the reports comes to the same result.
		peer := NewCrashSuspects(clk)
		for range 3 {
			peer.MergeReports(s.NextReports())
			s.MergeReports(peer.NextReports())
		}
		for _, suspects := range []*CrashSuspects{s, peer} {
			var got []Fingerprint
			for _, x := range []Fingerprint{f, g, h} {
				if suspects.Blocked(x) {
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
func TestCrashSuspectsOfTwoInstances(t *testing.T) {
	clk := &clock.Virtual{}
	a, b := NewCrashSuspects(clk), NewCrashSuspects(clk)
	for _, target := range []string{"t1", "t2"} {
		crashTarget(a, target, Fingerprint{1})
		crashTarget(b, target, Fingerprint{2})
		b.MergeReports(a.NextReports())
		a.MergeReports(b.NextReports())
	}
	for _, f := range []Fingerprint{{1}, {2}} {
		if a.Blocked(f) || b.Blocked(f) {
			t.Errorf("%v is blocked", f)
		}
	}
}

// Guards the bounds of the crash records.
func TestCrashSuspectsAreBounded(t *testing.T) {
	s := NewCrashSuspects(&clock.Virtual{})
	for i := range 3 * maxCrashes {
		crashTarget(s, string(rune(i+1)), Fingerprint{byte(i), byte(i >> 8)})
	}
	if len(s.mu.crashes) > maxCrashes || len(s.mu.running) != 0 || len(s.NextReports()) > maxReportBatch {
		t.Fatal(len(s.mu.crashes), len(s.mu.running))
	}
}
