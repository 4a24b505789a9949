//go:build !race

package heartbeat

const raceEnabled = false
