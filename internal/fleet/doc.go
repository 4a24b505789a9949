// Package fleet starts a set of instances and stand-ins as separate processes
// on loopback addresses, with generated settings and a generated configuration,
// for the demo, measurements and tests with real processes. It terminates only
// processes that it started.
package fleet
