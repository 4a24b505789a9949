package catalog

import (
	"maps"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

// rewritePeriod is how long after its return from an older copy the store may lack what
// had been written before: operators write evacuations again within seconds, targets
// with their next heartbeat.
const rewritePeriod = 10 * time.Second

// restored reports whether the store has come back from an older copy between two
// revisions; known is zero if nothing was known before.
func restored(known, revision deployment.Revision) bool {
	return !known.IsZero() && revision.Era > known.Era
}

// setEvacuated sets the evacuated failure domains to those that the store lists. If it
// has been restored, those that were evacuated before stay so until they have been
// listed again, for at most rewritePeriod.
func (v *View) setEvacuated(listed map[string]bool, restored bool, now time.Time) {
	retained := map[string]time.Time{}
	for d := range v.Evacuated {
		until := v.EvacuationRetained[d]
		if restored {
			until = now.Add(rewritePeriod)
		}
		if !listed[d] && now.Before(until) {
			retained[d] = until
		}
	}
	effective := make(map[string]bool, len(listed)+len(retained))
	maps.Copy(effective, listed)
	for d := range retained {
		effective[d] = true
	}
	v.EvacuationEnded = evacuationsEnded(v.EvacuationEnded, v.Evacuated, effective, now)
	v.Evacuated, v.EvacuationRetained = effective, retained
}

// listedEvacuations returns the evacuated failure domains without the retained ones.
func (v *View) listedEvacuations() map[string]bool {
	listed := maps.Clone(v.Evacuated)
	for d := range v.EvacuationRetained {
		delete(listed, d)
	}
	return listed
}

func (v *View) hasExpiredEvacuation(now time.Time) bool {
	for _, until := range v.EvacuationRetained {
		if !now.Before(until) {
			return true
		}
	}
	return false
}
