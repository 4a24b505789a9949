package config

import (
	"bytes"
	"testing"
)

// Guards against panics, against accepted tables that break a rule of the
// page, and against deltas that do not give the new text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(small), []byte("[policy]\nhop_slots = 3\n"))
	f.Add(example(f, "ramdin"), []byte(""))
	f.Add(example(f, "peachtree"), []byte("[key k]\nteam = die-shop\nsha256 = 00\n"))
	f.Fuzz(func(t *testing.T, text, tail []byte) {
		if changes, ok := Delta(text, append(bytes.Clone(text), tail...)); ok {
			if got := Apply(text, changes); !bytes.Equal(got, append(bytes.Clone(text), tail...)) {
				t.Fatal("a delta gives another text")
			}
		}
		e, err := Parse(append(bytes.Clone(text), tail...))
		if err != nil {
			return
		}
		sum := 0.0
		for _, r := range e.Regions {
			sum += r.EffectiveShare()
			if len(r.Voters) == 0 {
				t.Fatalf("region %s has no seat", r.Name)
			}
		}
		if sum > 1+shareTolerance {
			t.Fatalf("shares sum to %g", sum)
		}
		for _, k := range e.Keys {
			if e.Teams[k.Team] == nil {
				t.Fatalf("key %s has no team", k.Name)
			}
		}
		for _, r := range e.Residency {
			if len(e.Allowed(r.Name, "")) == 0 {
				t.Fatalf("rule %s allows no region", r.Name)
			}
		}
	})
}
