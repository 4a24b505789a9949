package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Guards against retries that exceed the published budget over all instances
// together when the requests are spread unevenly over the instances, and against a
// budget that leaves more than half of the published one unused.
func TestRetryBudgetHoldsAcrossInstances(t *testing.T) {
	bounds := deployment.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 58}
	now := time.Unix(1000, 0)
	var budgets []*RetryBudget
	for range 9 {
		b := NewRetryBudget(bounds, func() time.Time { return now })
		b.SetInstances(9)
		budgets = append(budgets, b)
	}
	var retryTimes []time.Time
	requests := 0
	for range 3000 { // 30 s
		now = now.Add(10 * time.Millisecond)
		for i, b := range budgets {
			if i < 3 { // the others have no requests
				b.RecordRequest("s")
				requests++
			}
			for b.AllowRetry("s") {
				retryTimes = append(retryTimes, now)
			}
		}
	}
	most, first := 0, 0
	for i, at := range retryTimes {
		for at.Sub(retryTimes[first]) > bounds.RetryWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	limit := bounds.RetryRatio*float64(requests)/3 + bounds.RetrySlack
	if float64(most) > limit {
		t.Errorf("%d retries in a window, the bound is %.0f", most, limit)
	}
	if float64(most) < 0.5*limit {
		t.Errorf("%d retries in a window, less than half of the bound of %.0f", most, limit)
	}
}

// readEvents returns the events of a stream, joined, their ids and the error that
// ended it.
func readEvents(r io.Reader) (all string, ids []string, err error) {
	e := newEventReader(r)
	for {
		event, id, err := e.next()
		all += string(event)
		if id != "" {
			ids = append(ids, id)
		}
		if err != nil {
			return all, ids, err
		}
	}
}

// Guards against events that are split, lost or returned in part when the stream
// arrives in pieces or ends at any byte, with either line ending.
func TestEventReaderReturnsWholeEvents(t *testing.T) {
	const comment = ": the end\n"
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n: c\ndata: c\n\n", "id:3\r\ndata: d\r\n\r\n"}
	text := strings.Join(events, "") + comment
	for cut := range len(text) + 1 {
		want, wantErr := "", io.ErrUnexpectedEOF
		wantIDs := 0
		for _, event := range append(events, comment) {
			if len(want+event) > cut {
				break
			}
			want += event
			wantIDs = min(wantIDs+1, len(events))
		}
		if len(want) == cut {
			wantErr = io.EOF
		}
		for _, r := range []io.Reader{strings.NewReader(text[:cut]), iotest.OneByteReader(strings.NewReader(text[:cut]))} {
			all, ids, err := readEvents(r)
			if all != want || err != wantErr || len(ids) != wantIDs {
				t.Errorf("cut after %d bytes: events %q with ids %v, %v", cut, all, ids, err)
			}
		}
	}
}

// endlessReader returns the same byte without end and counts the bytes read.
type endlessReader struct{ n int64 }

func (r *endlessReader) Read(p []byte) (int, error) {
	if r.n > 64<<20 {
		return 0, errors.New("the reader took 64 MB")
	}
	for i := range p {
		p[i] = 'x'
	}
	r.n += int64(len(p))
	return len(p), nil
}

// A target that sends bytes without a line end must not fill the memory.
func TestEndlessLineOfTargetIsBounded(t *testing.T) {
	endless := &endlessReader{}
	event, _, err := newEventReader(endless).next()
	if err == nil || len(event) > 0 || endless.n > 2*maxEventBytes {
		t.Errorf("read %d bytes, returned %d and %v", endless.n, len(event), err)
	}
}

// Guards against passing on a partial event of an interrupted stream, and against
// repeating events that were delivered before the stream was resumed.
func TestInterruptedStreamResumesAfterLastWholeEvent(t *testing.T) {
	e := newEventReader(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	event, id, err := e.next()
	if string(event) != "id: 1\ndata: a\n\n" || id != "1" || err != nil {
		t.Fatalf("first event %q, %s, %v", event, id, err)
	}
	if event, _, err := e.next(); len(event) != 0 || err == nil || err == io.EOF {
		t.Errorf("a partial event was returned: %q, %v", event, err)
	}
	e = newEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	e.skipThrough("1")
	if event, id, _ := e.next(); id != "2" || string(event) != "id: 2\ndata: b\n\n" {
		t.Errorf("resumed at %s: %q", id, event)
	}
}

// Guards against a status that tells the caller that a request was not run when it
// may have run, and against one that does not say so when it was not run. Callers
// decide by the status whether to send a request again.
func TestStatusMatchesWhetherRequestRan(t *testing.T) {
	for _, in := range result.Table() {
		for _, ran := range []result.Ran{result.NotRun, result.MayHaveRun} {
			status := httpStatus(result.New(in.Code, ran, "x"))
			saysNotRun := impliesNotRun(status) || status == 421
			if ran == result.MayHaveRun && (saysNotRun || status < 500) {
				t.Errorf("%s that may have run gets status %d", in.Name, status)
			}
			if ran == result.NotRun && status >= 500 && !saysNotRun {
				t.Errorf("%s that was not run gets status %d, which does not say so", in.Name, status)
			}
		}
	}
}
