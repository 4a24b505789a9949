package gateway

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// All instances together stay within the published retry budget, whatever part
// of the requests each of them has.
func TestBudgetHoldsOverAllInstances(t *testing.T) {
	bounds := deployment.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 58}
	now := time.Unix(1000, 0)
	var budgets []*RetryBudget
	for range 9 {
		b := NewRetryBudget(bounds, func() time.Time { return now })
		b.SetInstances(9)
		budgets = append(budgets, b)
	}
	var taken []time.Time
	requests := 0
	for range 3000 { // 30 s
		now = now.Add(10 * time.Millisecond)
		for i, b := range budgets {
			if i < 3 { // the others have no requests
				b.RecordRequest("s")
				requests++
			}
			for b.AllowRetry("s") {
				taken = append(taken, now)
			}
		}
	}
	most, first := 0, 0
	for i, at := range taken {
		for at.Sub(taken[first]) > bounds.RetryWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	limit := bounds.RetryRatio*float64(requests)/3 + bounds.RetrySlack
	if float64(most) > limit {
		t.Errorf("%d repeats in a window, the bound is %.0f", most, limit)
	}
	if float64(most) < 0.5*limit {
		t.Errorf("%d repeats in a window, half of the bound of %.0f is not used", most, limit)
	}
}

func TestEventsAreCutWhole(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid:3\r\ndata: d\r\n\r\nrest"
	for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		e, all, ids := newEventReader(r), "", []string{}
		for {
			event, id, err := e.next()
			all += string(event)
			if id != "" {
				ids = append(ids, id)
			}
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if all != text || strings.Join(ids, " ") != "1 2 3" {
			t.Errorf("events %q with ids %v", all, ids)
		}
	}
}

// A stream that breaks off is passed on up to its last whole event, and a resumed
// one from there on.
func TestBrokenStreamEndsAtAnEvent(t *testing.T) {
	e := newEventReader(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	event, id, err := e.next()
	if string(event) != "id: 1\ndata: a\n\n" || id != "1" || err != nil {
		t.Fatalf("first event %q, %s, %v", event, id, err)
	}
	if event, _, err := e.next(); len(event) != 0 || err == nil || err == io.EOF {
		t.Errorf("a half event was passed on: %q, %v", event, err)
	}
	e = newEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	e.skipTo("1")
	if event, id, _ := e.next(); id != "2" || string(event) != "id: 2\ndata: b\n\n" {
		t.Errorf("resumed at %s: %q", id, event)
	}
}

// Statuses that promise that a request was not run are never given to one that
// may have run.
func TestStatusesKeepTheirPromise(t *testing.T) {
	for _, in := range result.Table() {
		for _, ran := range []result.Ran{result.NotRun, result.MayHaveRun} {
			status := statusOf(result.New(in.Code, ran, "x"))
			promise := promisesNotRun(status) || status == 421
			if ran == result.MayHaveRun && (promise || status < 500) {
				t.Errorf("%s that may have run is answered %d", in.Name, status)
			}
			if ran == result.NotRun && status >= 500 && !promise {
				t.Errorf("%s that was not run is answered %d, which does not say so", in.Name, status)
			}
		}
	}
}
