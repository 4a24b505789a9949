package catalog

import "github.com/wigeonhill/wigeonhill/internal/deployment"

// restored reports whether the store has come back from an older copy between two
// revisions; known is zero if nothing was known before.
func restored(known, revision deployment.Revision) bool {
	return !known.IsZero() && revision.Era > known.Era
}
