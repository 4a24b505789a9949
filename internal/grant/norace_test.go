//go:build !race

package grant

const raceEnabled = false
