// Package idempotency makes non-idempotent requests with an idempotency key run
// at most once. Only the instance and incarnation named in the key decide
// whether a request runs, from a record in memory that is created before the
// request is dispatched.
package idempotency
