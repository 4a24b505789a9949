package catalog

import (
	"maps"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

// Entry is a listed target with the data that this instance adds to it.
type Entry struct {
	deployment.Target
	// ReadAt is when this listing of the target was first read (monotonic clock).
	ReadAt time.Time
	// FirstListed is when this incarnation of the target was first listed here.
	FirstListed time.Time
	// WarmupUntil is the end of the warm-up according to the listing; see View.Cold.
	WarmupUntil time.Time
	// RetainedUntil is set while the target is not listed but retained because the
	// store was unreachable; see outageGracePeriod.
	RetainedUntil time.Time
}

// Retained reports whether the target is retained rather than listed.
func (e *Entry) Retained() bool { return !e.RetainedUntil.IsZero() }

// View is an immutable version of the catalog.
type View struct {
	deployment.PublishedState
	// EvacuationRetained holds the domains in Evacuated that the store does not list
	// since it came back from an older copy, and until when they count; see
	// rewritePeriod.
	EvacuationRetained map[string]time.Time
	// PublishedRevision and TargetsRevision are the store revisions up to which the
	// published state and the targets are current; zero if never read.
	PublishedRevision, TargetsRevision deployment.Revision
	Targets                            map[string]*Entry
	// TargetsSource says where the list of targets was read, and TargetsReadAt when
	// the reading began (monotonic clock); see sourceStore.
	TargetsSource string
	TargetsReadAt time.Time
	// PublishedChange and TargetsChange are the store revisions of the last
	// relevant change to each of them (see publishedDiffers and targetsDiffer), or the
	// first ones that were read in an era; zero if never read.
	PublishedChange, TargetsChange deployment.Revision
	// EvacuationEnded is when the last evacuation of a failure domain ended.
	EvacuationEnded map[string]time.Time
}

// WarmingUp reports whether the target may still be warming up at now.
func (v *View) WarmingUp(e *Entry, now time.Time) bool {
	if now.Before(e.WarmupUntil) {
		return true
	}
	// The targets of a failure domain that was evacuated may need another warm-up
	// that the listing does not show yet.
	s := v.service(e.Service)
	end, ok := v.EvacuationEnded[e.Domain]
	return ok && s != nil && now.Before(end.Add(s.Warmup))
}

func (v *View) service(name string) *deployment.Service {
	if v.Config == nil {
		return nil
	}
	return v.Config.Services[name]
}

// outageGracePeriod is how long after an outage of the store a target that is no
// longer listed is retained. Entries that expired during the outage reappear
// within about two seconds if the target is alive.
const outageGracePeriod = 2200 * time.Millisecond

// mergeListing returns the entries that result from a listing read at now. Targets
// that are not listed are dropped; before retainUntil, those that were not leaving
// are retained until then instead. See supersedes for rewriting.
func mergeListing(old map[string]*Entry, listed map[string]*deployment.Target, now, retainUntil time.Time, rewriting bool) map[string]*Entry {
	out := make(map[string]*Entry, len(listed))
	for id, t := range listed {
		prev := old[id]
		e := &Entry{Target: *t, ReadAt: now, FirstListed: now, WarmupUntil: now.Add(t.WarmupLeft)}
		switch {
		case prev == nil:
		case prev.supersedes(t, now, rewriting):
			e = prev
		case !prev.SameIncarnation(t):
			if prev.WarmupUntil.After(e.WarmupUntil) {
				e.WarmupUntil = prev.WarmupUntil
			}
		default:
			e.FirstListed = prev.FirstListed
			if t.Sequence == prev.Sequence {
				// The listing was read before; its remaining warm-up counts from then.
				e.WarmupUntil, e.ReadAt = prev.WarmupUntil, prev.ReadAt
			}
		}
		out[id] = e
	}
	for id, prev := range old {
		if out[id] != nil || prev.Leaving {
			continue
		}
		kept := *prev
		if !kept.Retained() {
			kept.RetainedUntil = retainUntil
		}
		if now.Before(kept.RetainedUntil) {
			out[id] = &kept
		}
	}
	return out
}

// lateEntryPeriod is how long after the first entry of an incarnation one of an
// earlier incarnation may still arrive.
const lateEntryPeriod = 5 * time.Second

// supersedes reports whether t is an outdated entry of the target: another writer has
// restored it, or an earlier incarnation wrote it late. Of two incarnations the one
// that started later is the newer one, but only for lateEntryPeriod or while rewriting
// is set, since the clock of the target may have been set back. rewriting says that the
// store may hold entries of an older copy; see rewritePeriod.
func (e *Entry) supersedes(t *deployment.Target, now time.Time, rewriting bool) bool {
	if e.SameIncarnation(t) {
		return t.Sequence < e.Sequence
	}
	return t.StartedMS < e.StartedMS && (rewriting || now.Sub(e.FirstListed) < lateEntryPeriod)
}

// warmupTolerance is how much later a warm-up may end before it counts as a change.
const warmupTolerance = 300 * time.Millisecond

// targetsDiffer reports whether the targets listed in b differ from those listed
// in a in a way that affects the choice of targets. Retained targets do not count,
// since snapshots do not hold them.
func targetsDiffer(a, b map[string]*Entry) bool {
	for id, x := range a {
		if y := b[id]; !x.Retained() && (y == nil || y.Retained() || entriesDiffer(x, y)) {
			return true
		}
	}
	for id, y := range b {
		if x := a[id]; !y.Retained() && (x == nil || x.Retained()) {
			return true
		}
	}
	return false
}

func entriesDiffer(x, y *Entry) bool {
	return !x.SameIncarnation(&y.Target) || x.Leaving != y.Leaving || x.Service != y.Service || x.Domain != y.Domain ||
		x.Slots != y.Slots || y.WarmupUntil.After(x.WarmupUntil.Add(warmupTolerance))
}

// publishedDiffers reports whether p has another configuration version or other
// evacuated failure domains than v. Retained ones do not count, since snapshots do not
// hold them.
func (v *View) publishedDiffers(p *deployment.PublishedState) bool {
	other := View{PublishedState: *p}
	return v.configVersion() != other.configVersion() || !maps.Equal(v.listedEvacuations(), p.Evacuated)
}

// withoutExpired returns the entries without those retained until now or earlier.
func withoutExpired(entries map[string]*Entry, now time.Time) map[string]*Entry {
	expired := func(_ string, e *Entry) bool { return e.Retained() && !now.Before(e.RetainedUntil) }
	for id, e := range entries {
		if expired(id, e) {
			out := maps.Clone(entries)
			maps.DeleteFunc(out, expired)
			return out
		}
	}
	return entries
}

// evacuationsEnded returns old with now added for each failure domain that is
// evacuated in before but not in after.
func evacuationsEnded(old map[string]time.Time, before, after map[string]bool, now time.Time) map[string]time.Time {
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
