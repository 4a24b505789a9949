// Package load sends requests to a running set of instances as callers do, with
// a given mix, seed, rate and duration, and checks every response against what
// the stand-ins recorded.
package load
