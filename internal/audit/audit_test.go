package audit

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

func fixedTime() time.Time { return time.Unix(1000, 0) }

// Guards against a ring buffer that loses its latest entries, or their order,
// after it wraps around.
func TestTrailKeepsLatestInOrder(t *testing.T) {
	r := NewMemoryTrail(3, event.Nop(), fixedTime)
	for i := range 5 {
		r.Add(Change{Kind: VersionApplied, Subject: fmt.Sprint(i)})
	}
	got := r.Select(Filter{})
	if len(got) != 3 || got[0].Subject != "2" || got[2].Subject != "4" {
		t.Fatalf("got %+v", got)
	}
}

// Guards against a filter that returns changes of another team or from before
// the start time.
func TestFilterByTeamAndTime(t *testing.T) {
	r := NewMemoryTrail(10, event.Nop(), fixedTime)
	r.Add(Change{Team: "a", At: time.Unix(1, 0)})
	r.Add(Change{Team: "b", At: time.Unix(2, 0)})
	r.Add(Change{Team: "a", At: time.Unix(3, 0)})
	got := r.Select(Filter{Team: "a", Since: time.Unix(2, 0)})
	if len(got) != 1 || !got[0].At.Equal(time.Unix(3, 0)) {
		t.Fatalf("got %+v", got)
	}
}

// Guards against memory use that grows with the number of requests or with the
// steps of one request.
func TestRecordsAreBounded(t *testing.T) {
	r := NewRequestRecords(2, fixedTime)
	for i := range 3 {
		r.AddStep(fmt.Sprint(i), "admit", "x")
	}
	if _, ok := r.Get("0"); ok {
		t.Fatal("oldest record was kept")
	}
	for range 3 * maxSteps {
		r.AddStep("2", "retry", "x")
	}
	rec, _ := r.Get("2")
	if len(rec.Steps) != maxSteps || rec.Dropped != 2*maxSteps+1 {
		t.Fatalf("steps %d, dropped %d", len(rec.Steps), rec.Dropped)
	}
}
