package dispatch

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
)

// lose lets the requests run on a target of that name until it is lost.
func lose(s *CrashSuspects, target string, fs ...Fingerprint) {
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

// Guards the rule of I16: two crashes, and nobody else in both.
func TestSuspects(t *testing.T) {
	f, g, h := Fingerprint{1}, Fingerprint{2}, Fingerprint{3}
	for name, c := range map[string]struct {
		run  func(s *CrashSuspects, c *clock.Virtual)
		want []Fingerprint
	}{
		"one crash":             {func(s *CrashSuspects, _ *clock.Virtual) { lose(s, "t1", f) }, nil},
		"two crashes":           {func(s *CrashSuspects, _ *clock.Virtual) { lose(s, "t1", f); lose(s, "t2", f) }, []Fingerprint{f}},
		"different companions":  {func(s *CrashSuspects, _ *clock.Virtual) { lose(s, "t1", g, f); lose(s, "t2", f, h) }, []Fingerprint{f}},
		"same companion":        {func(s *CrashSuspects, _ *clock.Virtual) { lose(s, "t1", f, g); lose(s, "t2", g, f) }, nil},
		"third crash decides":   {func(s *CrashSuspects, _ *clock.Virtual) { lose(s, "t1", f, g); lose(s, "t2", g, f); lose(s, "t3", f) }, []Fingerprint{f}},
		"two losses, one crash": {func(s *CrashSuspects, _ *clock.Virtual) { lose(s, "t1", f); lose(s, "t1", f) }, nil},
		"same target later":     {func(s *CrashSuspects, c *clock.Virtual) { lose(s, "t1", f); c.Advance(sameCrash); lose(s, "t1", f) }, []Fingerprint{f}},
		"long ago": {func(s *CrashSuspects, c *clock.Virtual) {
			lose(s, "t1", f)
			c.Advance(crashKept + time.Second)
			lose(s, "t2", f)
		}, nil},
	} {
		clk := &clock.Virtual{}
		s := NewCrashSuspects(clk)
		c.run(s, clk)
		// A peer that hears of the crashes comes to the same result.
		peer := NewCrashSuspects(clk)
		for range 3 {
			peer.MergeReports(s.NextReports())
			s.MergeReports(peer.NextReports())
		}
		for _, at := range []*CrashSuspects{s, peer} {
			var got []Fingerprint
			for _, x := range []Fingerprint{f, g, h} {
				if at.Blocked(x) {
					got = append(got, x)
				}
			}
			if len(got) != len(c.want) || len(got) > 0 && got[0] != c.want[0] {
				t.Errorf("%s: blocked %v, want %v", name, got, c.want)
			}
		}
	}
}

// Guards innocent requests: two instances had one request each on the same
// targets; together they know that either may be the cause.
func TestSuspectsOfTwoInstances(t *testing.T) {
	clk := &clock.Virtual{}
	a, b := NewCrashSuspects(clk), NewCrashSuspects(clk)
	for _, target := range []string{"t1", "t2"} {
		lose(a, target, Fingerprint{1})
		lose(b, target, Fingerprint{2})
		b.MergeReports(a.NextReports())
		a.MergeReports(b.NextReports())
	}
	for _, f := range []Fingerprint{{1}, {2}} {
		if a.Blocked(f) || b.Blocked(f) {
			t.Errorf("%v is blocked", f)
		}
	}
}

// Guards the bounds of the records.
func TestSuspectsAreBounded(t *testing.T) {
	s := NewCrashSuspects(&clock.Virtual{})
	for i := range 3 * maxCrashes {
		lose(s, string(rune(i+1)), Fingerprint{byte(i), byte(i >> 8)})
	}
	if len(s.mu.crashes) > maxCrashes || len(s.mu.running) != 0 || len(s.NextReports()) > maxCrashBatch {
		t.Fatal(len(s.mu.crashes), len(s.mu.running))
	}
}
