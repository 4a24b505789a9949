// Package configversion distributes the published table and the instance list. In
// each failure domain two instances watch the configuration service; the
// others hear of a new revision from peers. A text is taken only if its
// revision is higher than the one in force and it parses, so that no stale
// replica of the service and no peer can take an instance back.
//
// Lock order: edition < member; this package may call member while it holds
// its own lock, never the other way round.
package configversion
