package directory

import (
	"sync"
	"time"
)

// window over which recent answers are counted.
const window = lifetime

// Assigned counts, per instance, the callers that this instance sent there
// lately. With few callers hashing alone spreads them unevenly: at 7 callers
// per instance the fullest one has about twice the mean.
type Assigned struct {
	mu struct {
		sync.Mutex
		began             time.Duration
		current, previous map[string]int
	}
}

// Note counts a caller that was told to use the instance first.
func (a *Assigned) Note(instance string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.turn(now)
	a.mu.current[instance]++
}

// Counts returns the callers of about the last lifetime.
func (a *Assigned) Counts(now time.Duration) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.turn(now)
	out := make(map[string]int, len(a.mu.current))
	for name, n := range a.mu.current {
		out[name] = n
	}
	// The share of the previous window that still lies within one lifetime.
	rest := 1 - float64(now-a.mu.began)/float64(window)
	for name, n := range a.mu.previous {
		out[name] += int(rest * float64(n))
	}
	return out
}

func (a *Assigned) turn(now time.Duration) {
	switch age := now - a.mu.began; {
	case a.mu.current == nil || age >= 2*window:
		a.mu.current, a.mu.previous, a.mu.began = make(map[string]int), nil, now
	case age >= window:
		a.mu.previous, a.mu.current = a.mu.current, make(map[string]int)
		a.mu.began += window
	}
}
