package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults is what POST /control sets on an engine or order service. Each
// request replaces all of it; {} ends every fault.
type Faults struct {
	// SlowFactor multiplies all times; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// Hang holds requests until the caller gives up or the fault ends.
	Hang bool `json:"hang"`
	// Fail answers 500 after the request counts as run.
	Fail bool `json:"fail"`
	// Refuse answers 503 with X-Not-Run: true.
	Refuse bool `json:"refuse"`
	// CrashMarker ends the process when a request contains it.
	CrashMarker string `json:"crash_marker"`
	// CutAfter closes the connection of a stream after this many tokens.
	CutAfter int `json:"cut_after"`
	// Stale freezes the load report and the cache events.
	Stale bool `json:"stale"`
}

// Control holds the current faults.
type Control struct {
	mu struct {
		sync.Mutex
		f       Faults
		changed chan struct{}
	}
	// Crash ends the process; tests replace it.
	Crash func()
}

// NewControl returns a Control without faults.
func NewControl(crash func()) *Control {
	c := &Control{Crash: crash}
	c.mu.changed = make(chan struct{})
	return c
}

// Get returns the faults and a channel that is closed on the next change.
func (c *Control) Get() (Faults, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.f, c.mu.changed
}

// Set replaces the faults.
func (c *Control) Set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.f = f
	close(c.mu.changed)
	c.mu.changed = make(chan struct{})
}

// ServeHTTP answers POST /control.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// scale applies SlowFactor.
func (c *Control) scale(d time.Duration) time.Duration {
	if f, _ := c.Get(); f.SlowFactor > 0 {
		return time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

// wait sleeps for d, scaled, or until done is closed.
func (c *Control) wait(done <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(c.scale(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-done:
		return false
	}
}

// before applies the faults that hit a request at its start; false means that
// the request was answered or given up.
func (c *Control) before(w http.ResponseWriter, r *http.Request, body string) (ok bool, outcome string) {
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
