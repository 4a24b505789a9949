//go:build race

package grant

// The race detector slows the fake, which uses one goroutine, about tenfold.
const raceEnabled = true
