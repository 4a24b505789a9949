package catalog

import (
	"maps"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

// Entry is a target with what the instance knows beside its listing.
type Entry struct {
	deployment.Target
	// ReadAt is when the listing was read (monotonic).
	ReadAt time.Time
	// FirstListed is when this start of the target was first listed here.
	FirstListed time.Time
	// ColdUntil is the end of the warm-up by the listing; see View.Cold.
	ColdUntil time.Time
	// Unlisted is set while the target is not listed but kept because the store
	// was away; see graceAfterOutage.
	Unlisted bool
}

// View is an immutable state of the catalog.
type View struct {
	deployment.PublishedState
	// PublishedRevision and TargetsRevision are the revisions of the store up to
	// which both parts hold; 0 if they were never read.
	PublishedRevision, TargetsRevision int64
	Targets                            map[string]*Entry
	// PublishedChange and TargetsChange are the revisions at which the contents of
	// the parts last changed, as far as it matters; 0 if they were never read.
	PublishedChange, TargetsChange int64
	// EvacuationEnded is when the evacuation of a failure domain was taken back.
	EvacuationEnded map[string]time.Time
}

// Cold reports whether the target may be cold at now.
func (v *View) Cold(e *Entry, now time.Time) bool {
	if now.Before(e.ColdUntil) {
		return true
	}
	// The targets of a failure domain that was evacuated may have become cold
	// without a listing that says so yet.
	s := v.service(e.Service)
	back, ok := v.EvacuationEnded[e.Domain]
	return ok && s != nil && now.Before(back.Add(s.Warmup))
}

func (v *View) service(name string) *deployment.Service {
	if v.Config == nil {
		return nil
	}
	return v.Config.Services[name]
}

// graceAfterOutage is how long after an outage of the store a target that is no
// longer listed is kept: entries that lapsed meanwhile are back within about two
// seconds if the target lives.
const graceAfterOutage = 2200 * time.Millisecond

// merge returns the entries after a listing was read at now. Targets that are
// not listed are dropped, unless keep is set.
func merge(old map[string]*Entry, listed map[string]*deployment.Target, now time.Time, keep bool) map[string]*Entry {
	out := make(map[string]*Entry, len(listed))
	for id, t := range listed {
		prev := old[id]
		e := &Entry{Target: *t, ReadAt: now, FirstListed: now, ColdUntil: now.Add(t.WarmupLeft)}
		if prev != nil && prev.SameIncarnation(t) {
			if t.Sequence < prev.Sequence {
				out[id] = prev // an entry that another writer put back
				continue
			}
			e.FirstListed = prev.FirstListed
			if t.Sequence == prev.Sequence {
				// The listing is the one read before; its remaining time has gone on.
				e.ColdUntil, e.ReadAt = prev.ColdUntil, prev.ReadAt
			}
		}
		out[id] = e
	}
	if !keep {
		return out
	}
	for id, prev := range old {
		if out[id] == nil && !prev.Leaving {
			kept := *prev
			kept.Unlisted = true
			out[id] = &kept
		}
	}
	return out
}

// coldChange is the difference of the ends of two warm-ups that is no news.
const coldChange = 300 * time.Millisecond

// differ reports whether two lists of targets differ in what decisions use.
func differ(a, b map[string]*Entry) bool {
	if len(a) != len(b) {
		return true
	}
	for id, x := range a {
		y := b[id]
		if y == nil || !x.SameIncarnation(&y.Target) || x.Leaving != y.Leaving || x.Service != y.Service || x.Domain != y.Domain ||
			x.Slots != y.Slots || x.Unlisted != y.Unlisted || y.ColdUntil.After(x.ColdUntil.Add(coldChange)) {
			return true
		}
	}
	return false
}

// publishedDiffer reports whether operators have changed something.
func publishedDiffer(a, b *deployment.PublishedState) bool {
	return (a.Config == nil) != (b.Config == nil) || a.Config != nil && a.Config.Version != b.Config.Version || !maps.Equal(a.Evacuated, b.Evacuated)
}

// sweep drops the targets that were kept over an outage and did not come back.
func sweep(entries map[string]*Entry) (out map[string]*Entry, dropped int) {
	out = make(map[string]*Entry, len(entries))
	for id, e := range entries {
		if e.Unlisted {
			dropped++
			continue
		}
		out[id] = e
	}
	return out, dropped
}

// restored notes evacuations that were taken back.
func restored(old map[string]time.Time, before, after map[string]bool, now time.Time) map[string]time.Time {
	out := make(map[string]time.Time, len(old)+1)
	for d, at := range old {
		out[d] = at
	}
	for d := range before {
		if !after[d] {
			out[d] = now
		}
	}
	return out
}
