package directory

import (
	"sync"
	"time"
)

// countWindow is the length of the window in which assignments are counted.
const countWindow = baseLifetime

// AssignmentCounter counts, for each instance, the callers that the local
// instance recently told to use it first. With few callers, hashing alone
// distributes them unevenly: at 7 callers per instance, the instance with the
// most callers has about twice the mean.
type AssignmentCounter struct {
	mu struct {
		sync.Mutex
		windowStart       time.Duration
		current, previous map[string]int
	}
}

// RecordAssignment counts a caller that was told to use the instance first.
func (a *AssignmentCounter) RecordAssignment(instance string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(now)
	a.mu.current[instance]++
}

// Counts returns the number of callers assigned to each instance during
// approximately the last lifetime of a response.
func (a *AssignmentCounter) Counts(now time.Duration) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(now)
	out := make(map[string]int, len(a.mu.current))
	for name, n := range a.mu.current {
		out[name] = n
	}
	// The fraction of the previous window that is less than one lifetime ago.
	remaining := 1 - float64(now-a.mu.windowStart)/float64(countWindow)
	for name, n := range a.mu.previous {
		out[name] += int(remaining * float64(n))
	}
	return out
}

// rotate starts a new window if the current one has ended.
func (a *AssignmentCounter) rotate(now time.Duration) {
	switch age := now - a.mu.windowStart; {
	case a.mu.current == nil || age >= 2*countWindow:
		a.mu.current, a.mu.previous, a.mu.windowStart = make(map[string]int), nil, now
	case age >= countWindow:
		a.mu.previous, a.mu.current = a.mu.current, make(map[string]int)
		a.mu.windowStart += countWindow
	}
}
