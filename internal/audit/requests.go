package audit

import (
	"slices"
	"sync"
	"time"
)

// maxSteps bounds the record of one request. The first and the latest steps
// tell the most about a request, so steps between them are dropped.
const maxSteps = 40

// Record lists the decisions about one request and its result.
type Record struct {
	RequestID string        `json:"request_id"`
	Team      string        `json:"team,omitempty"`
	Arrived   time.Time     `json:"arrived"`
	Steps     []Step        `json:"steps"`
	Dropped   int           `json:"dropped_steps,omitempty"`
	Ended     bool          `json:"ended"`
	Code      int           `json:"code"`
	Duration  time.Duration `json:"duration_ns"`
}

// RequestRecords is a RequestRecorder that keeps records of the latest requests
// in memory.
type RequestRecords struct {
	size int
	now  func() time.Time
	mu   struct {
		sync.Mutex
		byID  map[string]*Record
		order []string // ring buffer of request ids in order of arrival
		next  int
	}
}

// NewRequestRecords returns RequestRecords of at most size requests, at least 1.
// now returns the current time.
func NewRequestRecords(size int, now func() time.Time) *RequestRecords {
	r := &RequestRecords{size: max(size, 1), now: now}
	r.mu.byID = make(map[string]*Record)
	r.mu.order = make([]string, r.size)
	return r
}

// AddStep implements RequestRecorder. It drops a middle step when the record has
// maxSteps.
func (r *RequestRecords) AddStep(requestID, decision, reason string) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.recordLocked(requestID, now)
	if len(rec.Steps) == maxSteps {
		rec.Steps = slices.Delete(rec.Steps, maxSteps/2, maxSteps/2+1)
		rec.Dropped++
	}
	rec.Steps = append(rec.Steps, Step{At: now.Sub(rec.Arrived), Decision: decision, Reason: reason})
}

// End implements RequestRecorder.
func (r *RequestRecords) End(requestID, team string, code int, d time.Duration) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.recordLocked(requestID, now)
	rec.Team, rec.Code, rec.Duration, rec.Ended = team, code, d, true
}

// Get returns a copy of the record of a request; the bool is false if there is
// none.
func (r *RequestRecords) Get(requestID string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.mu.byID[requestID]
	if !ok {
		return Record{}, false
	}
	c := *rec
	c.Steps = slices.Clone(rec.Steps)
	return c, true
}

// recordLocked returns the record of a request. A new record replaces the
// oldest one if there is no room.
func (r *RequestRecords) recordLocked(requestID string, now time.Time) *Record {
	if rec, ok := r.mu.byID[requestID]; ok {
		return rec
	}
	if old := r.mu.order[r.mu.next]; old != "" {
		delete(r.mu.byID, old)
	}
	rec := &Record{RequestID: requestID, Arrived: now}
	r.mu.byID[requestID] = rec
	r.mu.order[r.mu.next] = requestID
	r.mu.next = (r.mu.next + 1) % r.size
	return rec
}
