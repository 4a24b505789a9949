// Package gateway serves callers on a platform that publishes configurations
// and targets: it reads a request, checks its key and its team's allowance,
// sends it to a target of the own region or over one hop to another region, and
// passes the answer on. What may be repeated follows from the kind of the route:
// once a byte of a request that runs at most once may have reached a target, it
// is not sent again, and a refusal that says "not run" is only given before.
//
// Where a request runs is decided in package placing, how much a team may send
// in package quota; names and formats of the wire are those of package platform.
package gateway
