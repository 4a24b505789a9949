//go:build race

package lease

// The race detector slows the fake, which uses one goroutine, about tenfold.
const raceEnabled = true
