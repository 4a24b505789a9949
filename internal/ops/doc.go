// Package ops is the operators' side of an instance: Prometheus metrics,
// liveness and readiness, and the status pages that `wigeonhill status` reads.
package ops
