package audit

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

// Ring is a Trail that keeps the latest changes in memory and writes each one
// to the log.
type Ring struct {
	log *event.Logger
	now func() time.Time
	mu  struct {
		sync.Mutex
		entries []Change // ring; the oldest is at next once full
		next    int
		full    bool
	}
}

// NewRing returns a Ring of at most size changes. now is read for changes
// without a time.
func NewRing(size int, log *event.Logger, now func() time.Time) *Ring {
	r := &Ring{log: log, now: now}
	r.mu.entries = make([]Change, max(size, 1))
	return r
}

// Add implements Trail.
func (r *Ring) Add(c Change) {
	if c.At.IsZero() {
		c.At = r.now()
	}
	r.log.Emit(event.AuditChange,
		zap.String("kind", string(c.Kind)), zap.String("subject", c.Subject),
		zap.String("team", c.Team), zap.String("target", c.Target),
		zap.String("old", c.Old), zap.String("new", c.New),
		zap.String("reason", c.Reason), zap.Int64("revision", c.Revision))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.entries[r.mu.next] = c
	r.mu.next++
	if r.mu.next == len(r.mu.entries) {
		r.mu.next, r.mu.full = 0, true
	}
}

// Filter selects changes; zero fields match everything.
type Filter struct {
	Team, Target, Kind string
	Since              time.Time
	Limit              int // newest entries to return; 0: all
}

func (f Filter) matches(c Change) bool {
	return (f.Team == "" || f.Team == c.Team) &&
		(f.Target == "" || f.Target == c.Target) &&
		(f.Kind == "" || f.Kind == string(c.Kind)) &&
		!c.At.Before(f.Since)
}

// Select returns the matching changes, oldest first.
func (r *Ring) Select(f Filter) []Change {
	var out []Change
	for _, c := range r.snapshot() {
		if f.matches(c) {
			out = append(out, c)
		}
	}
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}

func (r *Ring) snapshot() []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mu.full {
		return slices.Clone(r.mu.entries[:r.mu.next])
	}
	return slices.Concat(r.mu.entries[r.mu.next:], r.mu.entries[:r.mu.next])
}
