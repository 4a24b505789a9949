package catalog

import (
	"maps"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

// departedPeriod is how long the last entry of a target is remembered after it was no
// longer listed. An older copy of the store is some seconds old.
const departedPeriod = time.Minute

// departures holds the last entries of targets that are no longer listed, by id.
type departures map[string]departure

type departure struct {
	target deployment.Target
	// era is that of the list that no longer had the target, and at when it was read.
	era int64
	at  time.Time
}

// add adds the targets that are in before and not in after, a list of the given era,
// and forgets those that departed long ago.
func (d departures) add(before, after map[string]*Entry, era int64, now time.Time) {
	for id, e := range before {
		if after[id] == nil {
			d[id] = departure{e.Target, era, now}
		}
	}
	maps.DeleteFunc(d, func(_ string, x departure) bool { return now.Sub(x.at) > departedPeriod })
}

// withoutOutdated returns the targets listed in an era without the outdated entries of
// targets that have departed and are not in current. See Entry.supersedes for rewriting.
func (d departures) withoutOutdated(listed map[string]*deployment.Target, current map[string]*Entry, era int64, rewriting bool) map[string]*deployment.Target {
	outdated := func(id string, t *deployment.Target) bool {
		x, ok := d[id]
		return ok && current[id] == nil && x.supersedes(t, era, rewriting)
	}
	for id, t := range listed {
		if outdated(id, t) {
			out := maps.Clone(listed)
			maps.DeleteFunc(out, outdated)
			return out
		}
	}
	return listed
}

// supersedes reports whether t, which is listed in the given era, is an outdated entry
// of the target: one of an older copy of the store, or one that another writer has
// restored. An entry that is listed again in the era of the departure is a new one.
func (x *departure) supersedes(t *deployment.Target, era int64, rewriting bool) bool {
	if t.StartedMS == 0 && era == x.era {
		return false // the incarnations of the target cannot be told apart
	}
	if x.target.SameIncarnation(t) {
		return t.Sequence < x.target.Sequence || t.Sequence == x.target.Sequence && era > x.era
	}
	return rewriting && t.StartedMS < x.target.StartedMS
}
