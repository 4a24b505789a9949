package catalog

import (
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
