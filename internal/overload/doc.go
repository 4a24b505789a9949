// Package overload decides which requests wait at an instance when their service has
// no free capacity, in which order they start, which are refused, and when refused
// callers should return.
//
// Queue and the types that it uses make the decisions. They have no clock, no lock and
// no goroutine: each call gets the time. Manager adds locks and wake-ups, and keeps a
// Queue for each service.
package overload
