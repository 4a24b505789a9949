package config

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
)

// Guards against changes that the diff omits, and against a complete key hash in
// the diff, which is written to the audit trail.
func TestDiff(t *testing.T) {
	old := readExample(t, "ramdin")
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
	if len(hash) != shownHashDigits+len("...") {
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
		t.Errorf("a configuration differs from itself: %v", d)
	}
}

// Guards against a change of shares or voters in one step that is not reported
// as unsafe. While instances hold different versions, such a change can raise
// the sum of the shares above 1, or let the old and the new voters elect
// different leaders.
func TestUnsafeChanges(t *testing.T) {
	old := mustParse(t, readExample(t, "ramdin"))
	edit := func(pairs ...string) *Config {
		return mustParse(t, []byte(strings.NewReplacer(pairs...).Replace(string(old.Text))))
	}
	oneStep := edit("share = 0.4", "share = 0.3", "share = 0.25", "share = 0.35")
	if h := UnsafeChanges(old, oneStep); len(h) != 1 || h[0].Section != "region mahebourg" {
		t.Errorf("shares changed in one step: %v", h)
	}
	twoSteps := edit("share = 0.4", "share = 0.3\nprevious_share = 0.4", "share = 0.25", "share = 0.35\nprevious_share = 0.25")
	if h := UnsafeChanges(old, twoSteps); len(h) != 0 {
		t.Errorf("first of two steps: %v", h)
	}
	if h := UnsafeChanges(twoSteps, oneStep); len(h) != 0 {
		t.Errorf("second of two steps: %v", h)
	}
	voters := edit("10.20.1.13:7200", "10.20.1.14:7200")
	if h := UnsafeChanges(old, voters); len(h) != 1 || h[0].Field != "seats" {
		t.Errorf("voters changed in one step: %v", h)
	}
}

// Guards against a delta that does not reproduce the published text. Random
// sections are removed, edited and added.
func TestDelta(t *testing.T) {
	old := readExample(t, "peachtree")
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		sections := splitSections(old)
		for range 1 + rng.IntN(4) {
			i := rng.IntN(len(sections))
			switch rng.IntN(3) {
			case 0:
				sections[i].body = nil
			case 1:
				sections[i].body = append(bytes.Clone(sections[i].body), "# edited\n"...)
			case 2:
				sections[i].body = append(bytes.Clone(sections[i].body), "[team new]\nrate = 1\nburst = 1\n"...)
			}
		}
		var text []byte
		for _, c := range sections {
			text = append(text, c.body...)
		}
		changes, ok := Delta(old, text)
		if !ok || !bytes.Equal(ApplyDelta(old, changes), text) {
			// Two sections of the same name are rejected by the parser, so the
			// delta need not handle them.
			if _, err := Parse(text); err != nil && strings.Contains(err.Error(), "duplicate") {
				continue
			}
			t.Fatalf("the delta does not give the new text:\n%s", text)
		}
	}
	if _, ok := Delta([]byte("[a]\n[b]\n"), []byte("[b]\n[a]\n")); ok {
		t.Error("a delta is reported as valid although the order of sections changed")
	}
}
