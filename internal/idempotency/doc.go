// Package idempotency makes non-idempotent requests with an idempotency key run at
// most once. The instance and incarnation named in the key alone decide, from
// a record in memory that is made before the request is dispatched.
package idempotency
