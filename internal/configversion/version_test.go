package configversion

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/membership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

func newState() *VersionState { return &VersionState{} }

func offerVersion(t *testing.T, s *VersionState, revision int64, body string, want Verdict) {
	t.Helper()
	v := NewVersion(revision, []byte(body))
	got := s.Check(v)
	switch {
	case got == Accepted && body == "faulty":
		s.Reject(v)
		got = Rejected
	case got == Accepted:
		s.Accept(v)
	}
	if got != want {
		t.Errorf("revision %d %q: verdict %d, want %d", revision, body, got, want)
	}
}

func versionID(revision int64, body string) *peerv1.EditionID {
	v := NewVersion(revision, []byte(body))
	return &peerv1.EditionID{Revision: revision, Digest: v.Digest[:]}
}

// Guards against a version that replaces a newer one, and against a rejected
// version that is requested again and again.
func TestNoRollback(t *testing.T) {
	s := newState()
	offerVersion(t, s, 5, "five", Accepted)
	offerVersion(t, s, 4, "four", Older)
	offerVersion(t, s, 0, "none", Older)
	offerVersion(t, s, 5, "five", Same)
	offerVersion(t, s, 5, "other", Conflict)
	offerVersion(t, s, 7, "faulty", Rejected)
	if s.Current().Revision != 5 || s.HighestRevision() != 7 {
		t.Errorf("current revision %d, highest %d", s.Current().Revision, s.HighestRevision())
	}
	if r := s.RecordOffer("p", versionID(7, "faulty")); r != Ignored {
		t.Errorf("a rejected version is wanted again: %d", r)
	}
	// Another text under the same revision may be valid.
	if r := s.RecordOffer("p", versionID(7, "seven")); r != Newer {
		t.Errorf("relation %d", r)
	}
	offerVersion(t, s, 6, "six", Accepted)
	offerVersion(t, s, 7, "seven", Accepted)
}

// Guards against fetching an older version that a peer offers, and against a
// conflict of digests that is not reported or is reported with every probe.
func TestOffers(t *testing.T) {
	s := newState()
	offerVersion(t, s, 5, "five", Accepted)
	for _, c := range []struct {
		id   *peerv1.EditionID
		want Relation
	}{
		{nil, Ignored}, {&peerv1.EditionID{Revision: 9}, Ignored}, {versionID(4, "four"), PeerBehind}, {versionID(5, "five"), Equal},
		{versionID(5, "other"), Conflicting}, {versionID(5, "other"), Ignored}, {versionID(6, "six"), Newer},
	} {
		if got := s.RecordOffer("p", c.id); got != c.want {
			t.Errorf("%v: relation %d, want %d", c.id, got, c.want)
		}
	}
	for range maxFetchFailures {
		s.RecordOffer("q", versionID(8, "eight"))
		if _, _, ok := s.FetchSource(); !ok {
			t.Fatal("no source")
		}
		s.RecordFetchFailure("q")
	}
	if a, _, _ := s.FetchSource(); a != "p" {
		t.Errorf("source %q after failures of the other", a)
	}
	offerVersion(t, s, 6, "six", Accepted)
	if a, _, ok := s.FetchSource(); ok {
		t.Errorf("%q is asked although nothing newer is known", a)
	}
	for i := range 100 {
		s.RecordOffer(string(rune('a'+i)), versionID(9, "nine"))
	}
	if len(s.offers) > maxOffers {
		t.Errorf("%d offers are kept", len(s.offers))
	}
}

const (
	textA = "# head\n[team a]\nrate = 1\n[team b]\nrate = 1\n[team c]\nrate = 1\n[team d]\nrate = 1\n"
	textB = "# head\n[team a]\nrate = 1\n[team b]\nrate = 2\n[team c]\nrate = 1\n[team d]\nrate = 1\n"
	textC = "# head\n[team a]\nrate = 1\n[team c]\nrate = 1\n[team d]\nrate = 1\n"
)

// Guards against accepting a text that was built from section changes and differs
// from the published one: the whole text must then be requested.
func TestFetch(t *testing.T) {
	sender, receiver := newState(), newState()
	offerVersion(t, sender, 1, textA, Accepted)
	offerVersion(t, sender, 2, textB, Accepted)
	offerVersion(t, sender, 3, textC, Accepted)
	offerVersion(t, receiver, 2, textB, Accepted)

	res := sender.BuildResponse("table", versionID(2, textB))
	if !res.Delta || len(res.Text) != 0 {
		t.Fatalf("not a delta: %v", res)
	}
	got, ok, _ := receiver.DecodeResponse(receiver.Current(), res)
	if !ok || string(got.Body) != textC || got.Revision != 3 {
		t.Fatalf("got %+v", got)
	}
	if _, ok, retryWhole := receiver.DecodeResponse(NewVersion(2, []byte("[team x]\n"+textB)), res); ok || !retryWhole {
		t.Error("changes to another text are accepted")
	}
	if res := sender.BuildResponse("table", versionID(2, "unknown")); res.Delta || string(res.Text) != textC {
		t.Error("an unknown text is not answered with the whole text")
	}
	if res := sender.BuildResponse("instances", versionID(2, textB)); res.Delta {
		t.Error("a request for the instance list is answered with section changes")
	}
	if res := sender.BuildResponse("table", versionID(3, textC)); res.Delta || res.Text != nil || res.Edition.Revision != 3 {
		t.Error("a peer that is up to date is sent a text")
	}
	res.Delta, res.Text = false, []byte("forged")
	if _, ok, _ := receiver.DecodeResponse(receiver.Current(), res); ok {
		t.Error("a text without its digest is accepted")
	}
	if _, ok, _ := receiver.DecodeResponse(receiver.Current(), sender.BuildResponse("table", nil)); !ok {
		t.Error("the whole text is not accepted")
	}
}

// Guards against a failure domain in which no instance or every instance watches
// the service.
func TestIsWatcher(t *testing.T) {
	var live []membership.Member
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		live = append(live, membership.Member{Name: name, Domain: "x"})
	}
	live = append(live, membership.Member{Name: "z", Domain: "y"})
	count := func(live []membership.Member) (n int) {
		for _, m := range live {
			if m.Domain == "x" && IsWatcher(m, live) {
				n++
			}
		}
		return n
	}
	for len(live) > 2 {
		if got := count(live); got != watchersPerDomain {
			t.Errorf("%d watchers among %d members", got, len(live)-1)
		}
		live = live[1:]
	}
	if !IsWatcher(live[1], nil) {
		t.Error("an instance that knows no other does not watch")
	}
}

// Guards against a request that is served between the end of a pause and the next
// tick of the pause detection.
func TestPauseDetectedImmediately(t *testing.T) {
	var c clock.Virtual
	m := NewManager(Config{Clock: &c, MaxAge: time.Hour})
	if !m.Paused() {
		t.Error("a process that has not confirmed a version does not count as paused")
	}
	m.confirmation.mu.paused = false
	c.Advance(pauseThreshold)
	if m.Paused() {
		t.Error("the process counts as paused without a pause")
	}
	c.AdvanceUpper(time.Millisecond)
	if !m.Paused() {
		t.Error("the pause is not detected")
	}
	c.Advance(time.Hour)
	if !m.TooOld() {
		t.Error("an unconfirmed version is not too old")
	}
}
