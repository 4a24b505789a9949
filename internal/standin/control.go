package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults is the body of POST /control of an engine or order service. Each
// request replaces all faults; {} removes them.
type Faults struct {
	// SlowFactor multiplies all processing times; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// Hang blocks requests until the caller disconnects or the fault ends.
	Hang bool `json:"hang"`
	// Fail returns 500 for requests, which count as run.
	Fail bool `json:"fail"`
	// Refuse returns 503 with X-Not-Run: true.
	Refuse bool `json:"refuse"`
	// CrashMarker crashes the process when a request body contains it.
	CrashMarker string `json:"crash_marker"`
	// CutAfter closes the connection of a stream after this many tokens.
	CutAfter int `json:"cut_after"`
	// Stale freezes the load report and withholds cache events.
	Stale bool `json:"stale"`
}

// FaultInjector applies the current faults to requests.
type FaultInjector struct {
	mu struct {
		sync.Mutex
		faults  Faults
		changed chan struct{}
	}
	// Crash ends the process; tests replace it.
	Crash func()
}

// NewFaultInjector returns a FaultInjector without faults; crash is called to
// crash the process.
func NewFaultInjector(crash func()) *FaultInjector {
	c := &FaultInjector{Crash: crash}
	c.mu.changed = make(chan struct{})
	return c
}

// Get returns the faults and a channel that is closed on the next change.
func (c *FaultInjector) Get() (Faults, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.faults, c.mu.changed
}

// Set replaces the faults.
func (c *FaultInjector) Set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.faults = f
	close(c.mu.changed)
	c.mu.changed = make(chan struct{})
}

// ServeHTTP handles POST /control.
func (c *FaultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// scale multiplies d by SlowFactor.
func (c *FaultInjector) scale(d time.Duration) time.Duration {
	if f, _ := c.Get(); f.SlowFactor > 0 {
		return time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

// sleep waits for d times SlowFactor. It returns false if done is closed first.
func (c *FaultInjector) sleep(done <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(c.scale(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-done:
		return false
	}
}

// applyAtStart applies CrashMarker, Fail and Hang before a request is processed.
// If it returns false, the request has ended with the returned outcome.
func (c *FaultInjector) applyAtStart(w http.ResponseWriter, r *http.Request, body string) (ok bool, outcome string) {
	for {
		f, changed := c.Get()
		switch {
		case f.CrashMarker != "" && strings.Contains(body, f.CrashMarker):
			c.Crash()
			return false, Failed
		case f.Fail:
			http.Error(w, `{"error":{"message":"told to fail"}}`, http.StatusInternalServerError)
			return false, Failed
		case f.Hang:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return false, Cancelled
			}
		}
		return true, ""
	}
}
