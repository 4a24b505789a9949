// Package gateway serves callers on a platform that publishes configurations
// and targets: it reads a request, checks its API key and its team's rate limit,
// sends it to a target of the local region or forwards it to an instance of
// another region (at most one hop), and passes the response on. What may be
// retried follows from the kind of the route: once a byte of an at-most-once
// request may have reached a target, the request is not sent again, and an error
// that says "not run" is only returned before that.
//
// Package placement decides where a request runs and package quota how much a
// team may send; names and formats on the wire are defined in package platform.
package gateway
