package config

import (
	"bytes"
	"testing"
)

// Guards against panics, against accepted configurations that violate a
// documented rule, and against deltas that do not reproduce the new text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallConfig), []byte("[policy]\nhop_slots = 3\n"))
	f.Add(readExample(f, "ramdin"), []byte(""))
	f.Add(readExample(f, "peachtree"), []byte("[key k]\nteam = die-shop\nsha256 = 00\n"))
	f.Fuzz(func(t *testing.T, text, tail []byte) {
		if changes, ok := Delta(text, append(bytes.Clone(text), tail...)); ok {
			if got := ApplyDelta(text, changes); !bytes.Equal(got, append(bytes.Clone(text), tail...)) {
				t.Fatal("a delta does not reproduce the new text")
			}
		}
		cfg, err := Parse(append(bytes.Clone(text), tail...))
		if err != nil {
			return
		}
		sum := 0.0
		for _, r := range cfg.Regions {
			sum += r.EffectiveShare()
			if len(r.Voters) == 0 {
				t.Fatalf("region %s has no voter", r.Name)
			}
		}
		if sum > 1+shareTolerance {
			t.Fatalf("shares sum to %g", sum)
		}
		for _, k := range cfg.Keys {
			if cfg.Teams[k.Team] == nil {
				t.Fatalf("key %s has no team", k.Name)
			}
		}
		for _, r := range cfg.Residency {
			if len(cfg.AllowedRegions(r.Name, "")) == 0 {
				t.Fatalf("rule %s allows no region", r.Name)
			}
		}
	})
}
