package crash

import (
	"fmt"
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

// answer lets a target answer a request completely.
func answer(s *Tracker, target string, request []Suspect) {
	a, _ := s.Begin(target, "pool", request, true)
	a.Completed()
	a.End()
}

// blockPart lets a part crash targets, beside answered requests, until it is
// blocked.
func blockPart(t *testing.T, s *Tracker, clk *clock.Virtual, part string) []Suspect {
	t.Helper()
	for i := range 20 {
		request := Suspects(Fingerprint{1, byte(i)}, []string{"system", part})
		if s.Blocked(request) != nil {
			s.Decide()
			return request
		}
		loseTarget(s, string(rune('a'+i)), request)
		for j := range 5 {
			clk.Advance(time.Second)
			answer(s, "other", Suspects(Fingerprint{2, byte(i), byte(j)}, []string{"system"}))
		}
	}
	t.Fatal("the part is not blocked")
	return nil
}

// Guards against blame without end, and against blocks that instances give each
// other back after they have ended.
func TestBlockEndsEverywhere(t *testing.T) {
	clk := &clock.Virtual{}
	a, b := newTracker(clk), newTracker(clk)
	request := blockPart(t, a, clk, "bad")
	b.Merge(a.BlockNews())
	if b.Blocked(request) == nil || a.Digest() != b.Digest() {
		t.Fatal("the other instance does not know the block")
	}
	for range 70 {
		clk.Advance(time.Minute)
		b.Merge(a.BlockNews())
		a.Merge(b.BlockNews())
	}
	if a.Blocked(request) != nil || b.Blocked(request) != nil || a.Digest() != 0 || b.Digest() != 0 {
		t.Error("the block has not ended")
	}
}

// Guards against a wrong block: a target that answers a request which was sent
// before the block ends it at all instances, also at those that learn of both late.
func TestAnswerRevokesBlockEverywhere(t *testing.T) {
	clk := &clock.Virtual{}
	a, b, late := newTracker(clk), newTracker(clk), newTracker(clk)
	running, _ := b.Begin("t", "pool", Suspects(Fingerprint{9}, []string{"system", "bad"}), true)
	request := blockPart(t, a, clk, "bad")
	b.Merge(a.BlockNews())
	late.Merge(a.BlockNews())
	clk.Advance(time.Second)
	running.Responding()
	running.End()
	for _, s := range []*Tracker{a, late} {
		s.Merge(b.BlockNews())
	}
	b.Merge(a.BlockNews()) // the revoked block comes back
	for name, s := range map[string]*Tracker{"a": a, "b": b, "late": late} {
		if s.Decide(); s.Blocked(request) != nil {
			t.Errorf("%s still blocks the part", name)
		}
	}
}

// Guards against a block that is not known to be wrong at one instance only: with
// an answer to one of two common parts, the other stays blocked.
func TestBlockShrinksToPartThatWasNotAnswered(t *testing.T) {
	clk := &clock.Virtual{}
	s := newTracker(clk)
	for i := range 8 {
		loseTarget(s, string(rune('a'+i)), Suspects(Fingerprint{1, byte(i)}, []string{"companion", "bad"}))
		s.Decide()
		for j := range 5 {
			clk.Advance(time.Second)
			answer(s, "other", Suspects(Fingerprint{2, byte(i), byte(j)}, []string{"system"}))
		}
	}
	if s.Blocked(Suspects(Fingerprint{3}, []string{"companion"})) != nil || s.Blocked(Suspects(Fingerprint{4}, []string{"companion", "bad"})) == nil {
		t.Fatal("not the requests with both parts are blocked")
	}
	answer(s, "other", Suspects(Fingerprint{3}, []string{"companion"}))
	if s.Blocked(Suspects(Fingerprint{4}, []string{"companion"})) != nil || s.Blocked(Suspects(Fingerprint{5}, []string{"bad"})) == nil {
		t.Error("not the requests with the other part are blocked")
	}
}

// Guards the memory against callers that invent parts.
func TestInventedPartsAreBounded(t *testing.T) {
	clk := &clock.Virtual{}
	s := newTracker(clk)
	for i := range 3000 {
		var parts []string
		for j := range 2 * MaxParts {
			parts = append(parts, fmt.Sprint(i, "-", j))
		}
		request := Suspects(Fingerprint{byte(i), byte(i >> 8)}, parts)
		if i%2 == 0 {
			loseTarget(s, fmt.Sprint(i), request)
		} else {
			answer(s, "t", request)
		}
		clk.Advance(10 * time.Millisecond)
	}
	if n := len(s.mu.named); n > maxNamed+MaxParts || s.mu.size > maxNamed+MaxParts || len(s.mu.sound.newer)+len(s.mu.sound.old) > 2*soundCapacity || len(s.mu.blocks) > maxBlocks {
		t.Error(n, s.mu.size, len(s.mu.sound.newer), len(s.mu.sound.old), len(s.mu.blocks))
	}
	if news := s.Outgoing(); newsSize(news) > 2*maxNewsSuspects {
		t.Errorf("%d suspects in a message", newsSize(news))
	}
}

// Guards against a part that is blocked only by its next crash, though requests
// that were answered since the last one show that it is the cause.
func TestAnswersAfterCrashesLeadToBlock(t *testing.T) {
	clk := &clock.Virtual{}
	s := newTracker(clk)
	bad := Suspects(Fingerprint{}, []string{"bad"})
	answer := func(n int) {
		for range n {
			a, _ := s.Begin("sound", "pool", Suspects(Fingerprint{99}, []string{"system"}), true)
			a.Responding()
			a.End()
		}
	}
	answer(1)
	for i := range 3 {
		clk.Advance(time.Second)
		loseTarget(s, fmt.Sprint("t", i), Suspects(Fingerprint{byte(i)}, []string{"bad"}), Suspects(Fingerprint{byte(10 + i)}, []string{"system"}), Suspects(Fingerprint{byte(20 + i)}, []string{"system"}))
		s.Decide()
	}
	if s.Blocks() != 0 {
		t.Fatal("blocked while nearly all requests are lost")
	}
	clk.Advance(decideInterval)
	answer(200)
	s.Decide()
	if s.Blocks() != 1 || s.Blocked(bad) == nil || s.Blocked(Suspects(Fingerprint{}, []string{"system"})) != nil {
		t.Errorf("%d blocks, bad part: %v", s.Blocks(), s.Blocked(bad))
	}
}

// Guards against retries that crash one target more.
func TestSuspectedUntilAnswered(t *testing.T) {
	clk := &clock.Virtual{}
	s := newTracker(clk)
	request := func(id int) []Suspect { return Suspects(Fingerprint{byte(id)}, []string{"bad"}) }
	for i := range minPartCrashes {
		if s.Suspected(request(100)) {
			t.Errorf("suspected after %d crashes", i)
		}
		clk.Advance(time.Second)
		loseTarget(s, fmt.Sprint("t", i), request(i))
	}
	if !s.Suspected(request(100)) || s.Suspected(Suspects(Fingerprint{100}, []string{"other"})) {
		t.Errorf("the part: %v, another one: %v", s.Suspected(request(100)), s.Suspected(Suspects(Fingerprint{100}, []string{"other"})))
	}
	clk.Advance(time.Second)
	a, _ := s.Begin("t9", "pool", request(9), true)
	a.Responding()
	if s.Suspected(request(100)) {
		t.Error("suspected though a target answered")
	}
}

// Guards against a second crashing part that hides behind the losses of the first.
func TestLossesOfBlockedPartDoNotCount(t *testing.T) {
	for _, blockedFirst := range []bool{true, false} {
		clk := &clock.Virtual{}
		s := newTracker(clk)
		for range 20 {
			a, _ := s.Begin("sound", "pool", Suspects(Fingerprint{99}, []string{"system"}), true)
			a.Responding()
			a.End()
		}
		if blockedFirst {
			part := Suspects(Fingerprint{}, []string{"bad1"})[1].Fingerprint
			s.Merge(&peerv1.CrashNews{Blocks: []*peerv1.CrashBlock{{Parts: [][]byte{part[:]}, Version: 1, RemainingMs: 60_000, Crashes: 9}}})
		}
		for i := range 8 {
			clk.Advance(time.Second)
			loseTarget(s, fmt.Sprint("t", i), Suspects(Fingerprint{byte(i)}, []string{"bad1"}), Suspects(Fingerprint{byte(20 + i)}, []string{"system"}), Suspects(Fingerprint{byte(40 + i)}, []string{"system"}))
		}
		for i := range 4 {
			clk.Advance(time.Second)
			loseTarget(s, fmt.Sprint("u", i), Suspects(Fingerprint{byte(100 + i)}, []string{"bad2"}))
			for range 10 {
				a, _ := s.Begin("sound", "pool", Suspects(Fingerprint{99}, []string{"system"}), true)
				a.Responding()
				a.End()
			}
		}
		if got := s.Blocked(Suspects(Fingerprint{}, []string{"bad2"})) != nil; got != blockedFirst {
			t.Errorf("the first part is blocked: %v, the second: %v", blockedFirst, got)
		}
	}
}
