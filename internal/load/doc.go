// Package load drives a running set of instances as callers do, with a stated
// mix, seed, rate and duration, and checks every answer against what the
// stand-ins recorded.
package load
