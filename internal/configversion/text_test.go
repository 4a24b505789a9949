package configversion

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/membership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

func keeper() *Keeper { return &Keeper{} }

func take(t *testing.T, k *Keeper, revision int64, body string, want Verdict) {
	t.Helper()
	text := NewText(revision, []byte(body))
	got := k.Check(text)
	switch {
	case got == Taken && body == "faulty":
		k.Reject(text)
		got = Rejected
	case got == Taken:
		k.Put(text)
	}
	if got != want {
		t.Errorf("revision %d %q: verdict %d, want %d", revision, body, got, want)
	}
}

func id(revision int64, body string) *peerv1.EditionID {
	t := NewText(revision, []byte(body))
	return &peerv1.EditionID{Revision: revision, Digest: t.Digest[:]}
}

// Guards against a text that replaces a newer one, and against a rejected text
// that is asked for again and again.
func TestNeverBackwards(t *testing.T) {
	k := keeper()
	take(t, k, 5, "five", Taken)
	take(t, k, 4, "four", Older)
	take(t, k, 0, "none", Older)
	take(t, k, 5, "five", Same)
	take(t, k, 5, "other", Conflict)
	take(t, k, 7, "faulty", Rejected)
	if k.Current().Revision != 5 || k.After() != 7 {
		t.Errorf("in force %d, after %d", k.Current().Revision, k.After())
	}
	if r := k.Offer("p", id(7, "faulty")); r != Unknown {
		t.Errorf("a rejected text is wanted again: %d", r)
	}
	// Another text under the same revision may be good.
	if r := k.Offer("p", id(7, "seven")); r != Newer {
		t.Errorf("relation %d", r)
	}
	take(t, k, 6, "six", Taken)
	take(t, k, 7, "seven", Taken)
}

// Guards against an offer of an older text that is fetched, and against a
// difference of digests that is not reported or reported with every probe.
func TestOffers(t *testing.T) {
	k := keeper()
	take(t, k, 5, "five", Taken)
	for _, c := range []struct {
		id   *peerv1.EditionID
		want Relation
	}{
		{nil, Unknown}, {&peerv1.EditionID{Revision: 9}, Unknown}, {id(4, "four"), Behind}, {id(5, "five"), Equal},
		{id(5, "other"), Different}, {id(5, "other"), Unknown}, {id(6, "six"), Newer},
	} {
		if got := k.Offer("p", c.id); got != c.want {
			t.Errorf("%v: relation %d, want %d", c.id, got, c.want)
		}
	}
	for range maxFetchFailures {
		k.Offer("q", id(8, "eight"))
		if _, _, ok := k.Source(); !ok {
			t.Fatal("no source")
		}
		k.FetchFailed("q")
	}
	if a, _, _ := k.Source(); a != "p" {
		t.Errorf("source %q after failures of the other", a)
	}
	take(t, k, 6, "six", Taken)
	if a, _, ok := k.Source(); ok {
		t.Errorf("%q is asked although nothing newer is known", a)
	}
	for i := range 100 {
		k.Offer(string(rune('a'+i)), id(9, "nine"))
	}
	if len(k.offers) > maxOffers {
		t.Errorf("%d offers are kept", len(k.offers))
	}
}

const (
	textA = "# head\n[team a]\nrate = 1\n[team b]\nrate = 1\n[team c]\nrate = 1\n[team d]\nrate = 1\n"
	textB = "# head\n[team a]\nrate = 1\n[team b]\nrate = 2\n[team c]\nrate = 1\n[team d]\nrate = 1\n"
	textC = "# head\n[team a]\nrate = 1\n[team c]\nrate = 1\n[team d]\nrate = 1\n"
)

// Guards against changes that give another text than the published one: then
// the whole text must be asked for.
func TestFetch(t *testing.T) {
	sender, receiver := keeper(), keeper()
	take(t, sender, 1, textA, Taken)
	take(t, sender, 2, textB, Taken)
	take(t, sender, 3, textC, Taken)
	take(t, receiver, 2, textB, Taken)

	res := sender.Serve("table", id(2, textB))
	if !res.Delta || len(res.Text) != 0 {
		t.Fatalf("not a delta: %v", res)
	}
	got, ok, _ := receiver.Fetched(receiver.Current(), res)
	if !ok || string(got.Body) != textC || got.Revision != 3 {
		t.Fatalf("got %+v", got)
	}
	if _, ok, whole := receiver.Fetched(NewText(2, []byte("[team x]\n"+textB)), res); ok || !whole {
		t.Error("changes to another text are accepted")
	}
	if res := sender.Serve("table", id(2, "unknown")); res.Delta || string(res.Text) != textC {
		t.Error("an unknown text is not answered with the whole text")
	}
	if res := sender.Serve("instances", id(2, textB)); res.Delta {
		t.Error("a JSON text is answered with sections")
	}
	if res := sender.Serve("table", id(3, textC)); res.Delta || res.Text != nil || res.Edition.Revision != 3 {
		t.Error("a peer that is up to date is sent a text")
	}
	res.Delta, res.Text = false, []byte("forged")
	if _, ok, _ := receiver.Fetched(receiver.Current(), res); ok {
		t.Error("a text without its digest is accepted")
	}
	if _, ok, _ := receiver.Fetched(receiver.Current(), sender.Serve("table", nil)); !ok {
		t.Error("the whole text is not accepted")
	}
}

// Guards against a failure domain without watchers or with all of them.
func TestWatches(t *testing.T) {
	var live []membership.Member
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		live = append(live, membership.Member{Name: name, Domain: "x"})
	}
	live = append(live, membership.Member{Name: "z", Domain: "y"})
	count := func(live []membership.Member) (n int) {
		for _, m := range live {
			if m.Domain == "x" && Watches(m, live) {
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
	if !Watches(live[1], nil) {
		t.Error("an instance that knows no other does not watch")
	}
}

// Guards against a request served between the end of a pause and the next
// tick of the watchdog.
func TestPauseIsNoticedAtOnce(t *testing.T) {
	var c clock.Virtual
	m := NewManager(Config{Clock: &c, MaxAge: time.Hour})
	if !m.Paused() {
		t.Error("a process that has not confirmed an edition does not count as paused")
	}
	m.guard.mu.paused = false
	c.Advance(pauseLimit)
	if m.Paused() {
		t.Error("paused without a pause")
	}
	c.StepWall(time.Millisecond)
	if !m.Paused() {
		t.Error("the pause is not noticed")
	}
	c.Advance(time.Hour)
	if !m.TooOld() {
		t.Error("an edition that nobody confirmed is not too old")
	}
}
