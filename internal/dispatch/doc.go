// Package dispatch runs an authorized request: it chooses a target or region
// with package routing, obtains admission, makes attempts on targets or forwards
// the request over at most one hop, retries within a retry budget, resumes
// streams, and rechecks running requests against the newest configuration.
//
// LocalDispatcher runs requests on targets of the local region and knows no other
// instances. Receiver, which serves the peer protocol, holds only a
// LocalDispatcher, so that a forwarded request cannot be forwarded again.
// Dispatcher adds the hop.
package dispatch
