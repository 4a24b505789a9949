//go:build race

package lease

// The race detector slows the simulation, which uses one goroutine, about
// tenfold.
const raceEnabled = true
