package config

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
)

// Guards against a key hash in the audit trail and against missed changes.
func TestDiff(t *testing.T) {
	old := example(t, "ramdin")
	text := string(old)
	text = strings.Replace(text, "rate = 2000", "rate = 2500", 1)
	text = strings.Replace(text, "[key counter-1]\nteam = counter\nsha256 = ", "[key counter-2]\nteam = counter\nsha256 = ", 1)
	text = strings.Replace(text, "routes = bookings, stock\n", "", 1)
	a, b := mustParse(t, old), mustParse(t, []byte(text))
	got := Diff(a, b)
	hash := "18" // replaced below by the published hash
	for _, c := range got {
		if c.Section == "key counter-1" && c.Field == "sha256" {
			hash = c.Old
		}
	}
	if len(hash) != hashDigits+len("...") {
		t.Errorf("a key hash is shown as %q", hash)
	}
	want := []Change{
		{"key counter-1", "team", "counter", ""}, {"key counter-1", "sha256", hash, ""},
		{"team counter", "rate", "2000", "2500"}, {"team deliveries", "routes", "bookings, stock", ""},
		{"key counter-2", "team", "", "counter"}, {"key counter-2", "sha256", "", hash},
	}
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("change %d: got %v, want %v", i, got[i], want[i])
		}
	}
	if d := Diff(a, a); len(d) != 0 {
		t.Errorf("an edition differs from itself: %v", d)
	}
}

// Guards against an unreported change of shares or seats in one step.
func TestHazards(t *testing.T) {
	old := mustParse(t, example(t, "ramdin"))
	edit := func(pairs ...string) *Config {
		return mustParse(t, []byte(strings.NewReplacer(pairs...).Replace(string(old.Text))))
	}
	oneStep := edit("share = 0.4", "share = 0.3", "share = 0.25", "share = 0.35")
	if h := Hazards(old, oneStep); len(h) != 1 || h[0].Section != "region mahebourg" {
		t.Errorf("shares changed in one step: %v", h)
	}
	twoSteps := edit("share = 0.4", "share = 0.3\nprevious_share = 0.4", "share = 0.25", "share = 0.35\nprevious_share = 0.25")
	if h := Hazards(old, twoSteps); len(h) != 0 {
		t.Errorf("first of two steps: %v", h)
	}
	if h := Hazards(twoSteps, oneStep); len(h) != 0 {
		t.Errorf("second of two steps: %v", h)
	}
	seats := edit("10.20.1.13:7200", "10.20.1.14:7200")
	if h := Hazards(old, seats); len(h) != 1 || h[0].Field != "seats" {
		t.Errorf("seats changed in one step: %v", h)
	}
}

// Guards against a delta that gives another text than the one published.
func TestDelta(t *testing.T) {
	old := example(t, "peachtree")
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		chunks := split(old)
		for range 1 + rng.IntN(4) {
			i := rng.IntN(len(chunks))
			switch rng.IntN(3) {
			case 0:
				chunks[i].body = nil
			case 1:
				chunks[i].body = append(bytes.Clone(chunks[i].body), "# edited\n"...)
			case 2:
				chunks[i].body = append(bytes.Clone(chunks[i].body), "[team new]\nrate = 1\nburst = 1\n"...)
			}
		}
		var text []byte
		for _, c := range chunks {
			text = append(text, c.body...)
		}
		changes, ok := Delta(old, text)
		if !ok || !bytes.Equal(Apply(old, changes), text) {
			// Two sections of one name are no accepted text.
			if _, err := Parse(text); err != nil && strings.Contains(err.Error(), "duplicate") {
				continue
			}
			t.Fatalf("the delta does not give the new text:\n%s", text)
		}
	}
	if _, ok := Delta([]byte("[a]\n[b]\n"), []byte("[b]\n[a]\n")); ok {
		t.Error("a delta claims to express a new order of sections")
	}
}
