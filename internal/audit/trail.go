package audit

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

// MemoryTrail is a Trail that keeps the latest changes in memory and writes each
// one to the log.
type MemoryTrail struct {
	log *event.Logger
	now func() time.Time
	mu  struct {
		sync.Mutex
		entries []Change // ring buffer; when full, the oldest entry is at next
		next    int
		full    bool
	}
}

// NewMemoryTrail returns a MemoryTrail of at most size changes, at least 1. now
// gives the time of changes that have none.
func NewMemoryTrail(size int, log *event.Logger, now func() time.Time) *MemoryTrail {
	r := &MemoryTrail{log: log, now: now}
	r.mu.entries = make([]Change, max(size, 1))
	return r
}

// Add implements Trail. The time of c is set if it is zero.
func (r *MemoryTrail) Add(c Change) {
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

// Filter selects changes; zero fields match all.
type Filter struct {
	Team, Target, Kind string
	Since              time.Time
	Limit              int // number of latest changes to return; 0: all
}

func (f Filter) matches(c Change) bool {
	return (f.Team == "" || f.Team == c.Team) &&
		(f.Target == "" || f.Target == c.Target) &&
		(f.Kind == "" || f.Kind == string(c.Kind)) &&
		!c.At.Before(f.Since)
}

// Select returns the changes that match f, oldest first.
func (r *MemoryTrail) Select(f Filter) []Change {
	var out []Change
	for _, c := range r.entriesInOrder() {
		if f.matches(c) {
			out = append(out, c)
		}
	}
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}

// entriesInOrder returns a copy of all entries, oldest first.
func (r *MemoryTrail) entriesInOrder() []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mu.full {
		return slices.Clone(r.mu.entries[:r.mu.next])
	}
	return slices.Concat(r.mu.entries[r.mu.next:], r.mu.entries[:r.mu.next])
}
