package config

import (
	"slices"
	"strconv"
	"strings"

	"github.com/wigeonhill/wigeonhill/internal/strictini"
)

// shownHashDigits is the number of digits shown of a key hash. With all of them,
// readers of the audit trail could test guesses of a key.
const shownHashDigits = 8

// Change is one difference between two configuration versions.
type Change struct {
	Section string // such as "team care"
	Field   string
	Old     string // empty if the field was not published before
	New     string // empty if the field is no longer published
}

// Diff lists the fields that differ between two accepted configurations, with
// their values as written in the text: removed sections first, then the others
// in the order of the new text. A nil Config counts as an empty one. Key hashes
// are shortened.
func Diff(old, new *Config) []Change {
	var out []Change
	before, after := sectionsOf(old), sectionsOf(new)
	added := make(map[string]*strictini.Section, len(after))
	for _, sec := range after {
		added[sec.Name] = sec
	}
	removed := make(map[string]*strictini.Section, len(before))
	for _, sec := range before {
		removed[sec.Name] = sec
		if added[sec.Name] == nil {
			out = appendChanges(out, sec.Name, sec, nil)
		}
	}
	for _, sec := range after {
		out = appendChanges(out, sec.Name, removed[sec.Name], sec)
	}
	return out
}

func sectionsOf(c *Config) []*strictini.Section {
	if c == nil {
		return nil
	}
	return strictini.Rescan(c.Text)
}

func appendChanges(out []Change, name string, old, new *strictini.Section) []Change {
	if old == nil {
		old = &strictini.Section{}
	}
	if new == nil {
		new = &strictini.Section{}
	}
	for _, k := range old.Keys {
		if _, ok := new.Lookup(k.Name); !ok {
			out = append(out, Change{name, k.Name, displayValue(k), ""})
		}
	}
	for _, k := range new.Keys {
		before, ok := old.Lookup(k.Name)
		if ok && before.Value == k.Value {
			continue
		}
		out = append(out, Change{name, k.Name, displayValue(before), displayValue(k)})
	}
	return out
}

func displayValue(k strictini.Key) string {
	if k.Name == "sha256" && len(k.Value) > shownHashDigits {
		return k.Value[:shownHashDigits] + "..."
	}
	return k.Value
}

// UnsafeChanges lists the changes from old to new that are only safe in two
// steps but were made in one. A configuration is not rejected for them, because
// instances that hold different versions must accept the same texts.
func UnsafeChanges(old, new *Config) []Change {
	if old == nil || new == nil {
		return nil
	}
	var out []Change
	// While instances hold different configuration versions, a region may use
	// the larger of its old and new share.
	sum := 0.0
	for _, name := range sortedNames(new.Regions) {
		sum += max(effectiveShare(old, name), effectiveShare(new, name))
	}
	for _, name := range sortedNames(old.Regions) {
		if new.Regions[name] == nil {
			sum += effectiveShare(old, name)
		}
	}
	for _, name := range sortedNames(new.Regions) {
		before, after := old.Regions[name], new.Regions[name]
		if was, is := effectiveShare(old, name), effectiveShare(new, name); is > was && sum > 1+shareTolerance {
			out = append(out, Change{"region " + name, "share", formatShare(was), formatShare(is)})
		}
		if before != nil && !sameVoters(before.Voters, after.Voters) && !sameVoters(after.PreviousVoters, before.Voters) {
			out = append(out, Change{"region " + name, "seats", strings.Join(before.Voters, ", "), strings.Join(after.Voters, ", ")})
		}
	}
	for _, name := range sortedNames(new.Targets) {
		if before, after := old.Targets[name], new.Targets[name]; before != nil && before.Region != after.Region {
			out = append(out, Change{"target " + name, "region", before.Region, after.Region})
		}
	}
	return out
}

func effectiveShare(c *Config, region string) float64 {
	if r := c.Regions[region]; r != nil {
		return r.EffectiveShare()
	}
	return 0
}

func formatShare(share float64) string { return strconv.FormatFloat(share, 'g', -1, 64) }

func sameVoters(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
