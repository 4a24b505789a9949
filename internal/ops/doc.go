// Package ops serves the operators' endpoints of an instance: Prometheus metrics,
// liveness and readiness checks, and the status pages that `wigeonhill status`
// reads.
package ops
