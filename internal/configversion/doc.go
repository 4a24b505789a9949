// Package configversion distributes the published configuration and the
// instance list to all instances. In each failure domain two instances watch
// the configuration service; the others learn of a new revision from peers. A
// version is accepted only if its revision is higher than that of the current
// one and it parses, so that neither a stale replica of the service nor a peer
// can move an instance back to an older version.
//
// Lock order: configversion before membership. This package may call
// membership while it holds its own lock, never the other way round.
package configversion
