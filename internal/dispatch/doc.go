// Package dispatch runs an authorized request: it chooses a place with the
// help of route, obtains admission, makes attempts on targets or over the one
// hop, retries within a budget, resumes streams, and checks running requests
// against the newest edition.
//
// Local runs requests on targets of the own region and knows nothing of other
// instances; Receiver, which serves the inner protocol, holds a Local only, so
// that a forwarded request cannot be forwarded again. Dispatcher adds the hop.
package dispatch
