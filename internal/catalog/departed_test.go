package catalog

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

// Guards against new requests to a target that has left and that an older copy of the
// store, or another writer, lists again.
func TestOutdatedEntryOfDepartedTargetIsIgnored(t *testing.T) {
	ready := deployment.Target{ID: "a", Service: "s", Address: "192.0.2.1:80", StartedMS: 5000, Sequence: 8}
	leaving := ready
	leaving.Leaving, leaving.Sequence = true, 9
	for name, c := range map[string]struct {
		last   deployment.Target // before it departed
		entry  func(e *deployment.Target)
		era    int64
		listed bool
	}{
		"copy, after notice":                  {leaving, func(*deployment.Target) {}, 2, false},
		"copy, without notice":                {ready, func(*deployment.Target) {}, 2, false},
		"leaving again":                       {leaving, func(e *deployment.Target) { e.Sequence, e.Leaving = 10, true }, 2, true},
		"written since":                       {ready, func(e *deployment.Target) { e.Sequence = 9 }, 2, true},
		"listed again in the same era":        {ready, func(*deployment.Target) {}, 1, true},
		"restored by another writer":          {ready, func(e *deployment.Target) { e.Sequence = 7 }, 1, false},
		"earlier incarnation of the copy":     {ready, func(e *deployment.Target) { e.StartedMS, e.Sequence = 4000, 90 }, 2, false},
		"later incarnation":                   {leaving, func(e *deployment.Target) { e.StartedMS, e.Sequence = 6000, 1 }, 2, true},
		"without start time":                  {deployment.Target{ID: "a", Address: ready.Address, Sequence: 8}, func(e *deployment.Target) { e.StartedMS, e.Sequence = 0, 1 }, 1, true},
		"without start time, of the copy":     {deployment.Target{ID: "a", Address: ready.Address, Sequence: 8}, func(e *deployment.Target) { e.StartedMS, e.Sequence = 0, 7 }, 2, false},
		"incarnation whose clock is set back": {leaving, func(e *deployment.Target) { e.StartedMS, e.Sequence = 4000, 1 }, 1, true},
		"other address":                       {leaving, func(e *deployment.Target) { e.Address, e.Sequence = "192.0.2.2:80", 1 }, 2, true},
	} {
		m, clock := newManager()
		first := deployment.Revision{Era: 1, Number: 20}
		m.applyTargets(listing(c.last), first, first, sourceStore)
		gone := deployment.Revision{Era: 1, Number: 21}
		m.applyTargets(listing(), gone, gone, sourceStore)
		clock.add(time.Second)
		entry := ready
		c.entry(&entry)
		next := deployment.Revision{Era: c.era, Number: 22}
		m.applyTargets(listing(entry), next, next, sourceStore)
		if got := m.Current().Targets["a"] != nil; got != c.listed {
			t.Errorf("%s: listed %t", name, got)
		}
		// What was remembered is forgotten.
		clock.add(2 * departedPeriod)
		m.applyTargets(listing(deployment.Target{ID: "b"}), deployment.Revision{Era: c.era, Number: 23}, next, sourceStore)
		m.applyTargets(listing(), deployment.Revision{Era: c.era, Number: 24}, next, sourceStore)
		if n := len(m.mu.departed); n > 2 || n == 2 && !c.listed {
			t.Errorf("%s: %d departures are remembered", name, n)
		}
	}
}

// Guards against an entry of an earlier incarnation that replaces the later one because
// the older copy holds it.
func TestEarlierIncarnationOfCopyIsIgnored(t *testing.T) {
	m, clock := newManager()
	known := deployment.Revision{Era: 1, Number: 20}
	m.applyTargets(listing(deployment.Target{ID: "a", StartedMS: 5000, Sequence: 3, Leaving: true}), known, known, sourceStore)
	clock.add(2 * lateEntryPeriod)
	restored := deployment.Revision{Era: 2, Number: 10}
	m.applyTargets(listing(deployment.Target{ID: "a", StartedMS: 4000, Sequence: 70}), restored, restored, sourceStore)
	if e := m.Current().Targets["a"]; e.StartedMS != 5000 || !e.Leaving {
		t.Errorf("the target is that of the copy: %+v", e.Target)
	}
}
