package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/placement"
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

// streamOf returns a response of a target that is an event stream.
func streamOf(r io.Reader) *targetResponse {
	return &targetResponse{status: http.StatusOK, header: http.Header{"Content-Type": {"text/event-stream"}}, body: io.NopCloser(r), target: "t", framing: closeFraming}
}

// recordingSink holds what the caller received.
type recordingSink struct {
	status int
	body   bytes.Buffer
}

func (s *recordingSink) Head(status int, _ http.Header, _ int64, _ string) error {
	s.status = status
	return nil
}

func (s *recordingSink) Data(p []byte) error { s.body.Write(p); return nil }

func newTestGateway() *Gateway {
	return New(Config{Settings: &deployment.Settings{MemoryBytes: 256 << 20}, Log: event.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()), Crashes: crash.New(crash.Config{Clock: &clock.Virtual{}}), RetryBudget: NewRetryBudget(deployment.Bounds{RetrySlack: 10, RetryWindow: time.Second}, time.Now)})
}

func TestTruncatedBodyIsNotContinuedByStream(t *testing.T) {
	g, s, c := newTestGateway(), &recordingSink{}, resumableCall()
	d := &delivery{sink: s}
	body := strings.Repeat("x", 2*maxBufferedResponse)
	resp := &targetResponse{status: http.StatusOK, header: http.Header{}, body: io.NopCloser(io.MultiReader(strings.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF))), framing: lengthFraming}
	f := g.deliver(c, resp, d, func() {})
	if f == nil || s.body.Len() == 0 {
		t.Fatalf("%v after %d bytes", f, s.body.Len())
	}
	if g.canRetry(t.Context(), c, d, f) {
		t.Errorf("the response would be continued by another target after %d bytes of it", s.body.Len())
	}
}

func TestLargeErrorResponseIsNotTruncated(t *testing.T) {
	for _, size := range []int{maxBufferedResponse, maxBufferedResponse + 1, 3 * maxBufferedResponse} {
		g, s, c := newTestGateway(), &recordingSink{}, resumableCall()
		d := &delivery{sink: s}
		resp := &targetResponse{status: http.StatusInternalServerError, header: http.Header{}, body: io.NopCloser(strings.NewReader(strings.Repeat("x", size))), framing: lengthFraming}
		var err error
		if f := g.deliver(c, resp, d, func() {}); f != nil {
			err = g.finishFailed(c, d, f, f.err)
		}
		if err != nil || s.status != http.StatusInternalServerError || s.body.Len() != size {
			t.Errorf("%d bytes: %v, status %d, %d bytes delivered", size, err, s.status, s.body.Len())
		}
	}
}

func resumableCall() *call {
	return &call{route: &deployment.Route{Kind: deployment.Stream, Resumable: true, MaxTargets: 3}, possibleRuns: 1, failedAttempts: 1}
}

// leavingCaller is a context that is cancelled after the first call of Err.
type leavingCaller struct {
	context.Context
	asked bool
}

func (c *leavingCaller) Err() error {
	if c.asked {
		return context.Canceled
	}
	c.asked = true
	return nil
}

// Guards against sending a request again that would crash another target, also if
// the loss of its target is confirmed only while the retry is considered.
func TestLostRequestWithSuspectedPartIsNotSentAgain(t *testing.T) {
	synctest.Test(t, testLostRequestWithSuspectedPart)
}

func testLostRequestWithSuspectedPart(t *testing.T) {
	g, c := newTestGateway(), resumableCall()
	c.PromptParts = []deployment.PromptPart{{ID: "bad"}, {ID: "own"}}
	clk := &clock.Virtual{}
	g.Crashes = crash.New(crash.Config{Clock: clk})
	lose := func(target string) {
		clk.Advance(time.Second)
		a, _ := g.Crashes.Begin(target, "pool", c.suspects(), true)
		g.Crashes.RecordLoss(a)
		a.End()
	}
	lose("t1")
	lose("t2")
	lost := mayHaveRunFailure(placement.ConnectionLost, result.TargetFailed, "lost")
	if !g.canRetry(t.Context(), c, &delivery{}, lost) {
		t.Error("not sent again after two crashes")
	}
	confirmed := make(chan struct{})
	lost.crashConfirmed = confirmed
	go func() {
		time.Sleep(crashConfirmWait / 2)
		lose("t3")
		close(confirmed)
	}()
	if g.canRetry(t.Context(), c, &delivery{}, lost) {
		t.Error("sent again after three crashes")
	}
	if !g.canRetry(t.Context(), c, &delivery{}, notRunFailure(placement.Refused, true, "refused")) {
		t.Error("not sent again though it has not run")
	}
	g.Crashes = crash.New(crash.Config{Clock: clk})
	if g.canRetry(&leavingCaller{Context: t.Context()}, c, &delivery{}, lost) {
		t.Error("sent again after the caller has left")
	}
}

// Guards against passing on a partial event of an interrupted stream, and against
// repeating events that were delivered before the stream was resumed.
func TestInterruptedStreamResumesAfterLastWholeEvent(t *testing.T) {
	for name, end := range map[string]error{"reset": errors.New("connection reset"), "closed": io.EOF, "cut short": io.ErrUnexpectedEOF} {
		g, s, c := newTestGateway(), &recordingSink{}, resumableCall()
		d := &delivery{sink: s}
		f := g.deliver(c, streamOf(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), iotest.ErrReader(end))), d, func() {})
		if f == nil || f.outcome != placement.ConnectionLost || f.err.Ran != result.MayHaveRun || s.body.String() != "id: 1\ndata: a\n\n" || !g.canRetry(t.Context(), c, d, f) {
			t.Fatalf("%s: %v after %q", name, f, s.body.String())
		}
		f = g.deliver(c, streamOf(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")), d, func() {})
		if f != nil || s.body.String() != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
			t.Errorf("%s: resumed: %v, %q", name, f, s.body.String())
		}
	}
}

func TestStreamCutInsideLongEventIsNotResumed(t *testing.T) {
	long := "id: 1\n" + strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 600) + "\n"
	for _, cut := range []int{300 << 10, len(long) - 1} {
		g, s, c := newTestGateway(), &recordingSink{}, resumableCall()
		d := &delivery{sink: s}
		f := g.deliver(c, streamOf(strings.NewReader(long[:cut])), d, func() {})
		if f == nil || f.outcome != placement.ConnectionLost || !strings.HasPrefix(long, s.body.String()) {
			t.Fatalf("cut after %d bytes: %v, %d bytes delivered", cut, f, s.body.Len())
		}
		if g.canRetry(t.Context(), c, d, f) {
			t.Errorf("cut after %d bytes: the stream would be resumed after event %q with %d bytes of the next one delivered", cut, d.lastEventID, s.body.Len())
		}
	}
}

func TestStreamIsNotResumedAfterEventWithoutID(t *testing.T) {
	for text, resumable := range map[string]bool{
		"": true, ": comment\n\n": true, "data: a\n\n": false, "id: 1\ndata: a\n\n: comment\n\n": true, "id: 1\ndata: a\n\ndata: b\n\n": false,
		"data: a\n\nid: 2\ndata: b\n\n": true,
	} {
		g, s, c := newTestGateway(), &recordingSink{}, resumableCall()
		d := &delivery{sink: s}
		f := g.deliver(c, streamOf(strings.NewReader(text+"id: 9\nda")), d, func() {})
		if f == nil || s.body.String() != text || g.canRetry(t.Context(), c, d, f) != resumable {
			t.Errorf("%q: %v, delivered %q, last id %q, resumable %v", text, f, s.body.String(), d.lastEventID, !resumable)
		}
	}
}

func TestLongEventIsDeliveredOnceAfterResumption(t *testing.T) {
	long := "id: 1\n" + strings.Repeat("data: "+strings.Repeat("x", 200<<10)+"\n", 3) + "\n"
	g, s, c := newTestGateway(), &recordingSink{}, resumableCall()
	d := &delivery{sink: s}
	f := g.deliver(c, streamOf(strings.NewReader(long+"id: 2\nda")), d, func() {})
	if f == nil || s.body.String() != long || !g.canRetry(t.Context(), c, d, f) {
		t.Fatalf("%v after %d bytes", f, s.body.Len())
	}
	if f := g.deliver(c, streamOf(strings.NewReader(long+"id: 2\ndata: b\n\n")), d, func() {}); f != nil || s.body.String() != long+"id: 2\ndata: b\n\n" {
		t.Errorf("resumed: %v, %d bytes", f, s.body.Len())
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

func TestStreamIsRecognizedByMediaType(t *testing.T) {
	for _, contentType := range []string{"text/event-stream", "Text/Event-Stream; charset=UTF-8"} {
		g, s := newTestGateway(), &recordingSink{}
		resp := streamOf(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))
		resp.header.Set("Content-Type", contentType)
		if f := g.deliver(resumableCall(), resp, &delivery{sink: s}, func() {}); f == nil || s.body.String() != "id: 1\ndata: a\n\n" {
			t.Errorf("%s: %v, %q", contentType, f, s.body.String())
		}
	}
}

func TestStreamWithoutEventsThatEndsWithConnectionIsNotComplete(t *testing.T) {
	for _, text := range []string{"", ": comment\n\n"} {
		for fr, complete := range map[framing]bool{closeFraming: false, lengthFraming: true, chunkFraming: true, tailFraming: true} {
			for _, resumed := range []bool{false, true} {
				g, s := newTestGateway(), &recordingSink{}
				d := &delivery{sink: s}
				if resumed {
					d.started, d.resumable, d.lastEventID = true, true, "3"
				}
				resp := streamOf(strings.NewReader(text))
				resp.framing = fr
				if f := g.deliver(resumableCall(), resp, d, func() {}); (f == nil) != complete {
					t.Errorf("%q, %s, resumed %v: %v", text, fr, resumed, f)
				}
			}
		}
	}
	g := newTestGateway()
	d := &delivery{sink: &recordingSink{}}
	d.started, d.resumable, d.lastEventID = true, true, "3"
	if f := g.deliver(resumableCall(), streamOf(strings.NewReader("id: 3\ndata: c\n\n")), d, func() {}); f != nil {
		t.Errorf("resumed with an event that was delivered before: %v", f)
	}
}

func TestBrokenResponseIsNotCountedAsAnswered(t *testing.T) {
	for _, complete := range []bool{true, false} {
		registry := prometheus.NewRegistry()
		g, c := newTestGateway(), resumableCall()
		g.Metrics = NewMetrics(registry)
		text := "id: 1\ndata: a\n\n"
		if !complete {
			text += "id: 2\nda"
		}
		d := &delivery{sink: &recordingSink{}}
		var err error
		if f := g.deliver(c, streamOf(strings.NewReader(text)), d, func() {}); f != nil {
			err = f
		}
		g.Metrics.recordRequest(c, d, err, time.Now())
		families, gatherErr := registry.Gather()
		if gatherErr != nil {
			t.Fatal(gatherErr)
		}
		got := map[string]string{}
		for _, family := range families {
			for _, m := range family.GetMetric() {
				for _, label := range m.GetLabel() {
					got[family.GetName()+" "+label.GetName()] = label.GetValue()
				}
			}
		}
		wantCode, wantEnd := "0", "complete"
		if !complete {
			wantCode, wantEnd = "403", "stream_interrupted"
		}
		if got["wigeonhill_requests_total code"] != wantCode || got["wigeonhill_responses_total end"] != wantEnd || got["wigeonhill_responses_total framing"] != "close" {
			t.Errorf("complete %v: %v", complete, got)
		}
		if _, answered := got["wigeonhill_answer_seconds kind"]; answered != complete {
			t.Errorf("complete %v: counted in answer_seconds: %v", complete, answered)
		}
	}
}

// Of the 5xx responses of several targets only the last is held, until the request
// ends; a response that was passed on or interrupted is not.
func TestHeldResponsesAreReleased(t *testing.T) {
	g, s, c := newTestGateway(), &recordingSink{}, resumableCall()
	d := &delivery{sink: s}
	answer := func(status int, body io.Reader) *failure {
		return g.deliver(c, &targetResponse{status: status, header: http.Header{}, body: io.NopCloser(body), framing: lengthFraming}, d, func() {})
	}
	text := strings.Repeat("x", 100<<10)
	for range 3 {
		if f := answer(http.StatusInternalServerError, strings.NewReader(text)); f == nil {
			t.Fatal("a 5xx response was passed on at once")
		}
		if n := g.BufferedResponseBytes(); n < 100<<10-initialResponseBuffer || n > 200<<10 {
			t.Errorf("%d bytes are reserved for one response of 100 KB", n)
		}
	}
	held := g.BufferedResponseBytes()
	if f := answer(http.StatusOK, io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF))); f == nil {
		t.Error("an interrupted response counts as complete")
	}
	if n := g.BufferedResponseBytes(); n != held {
		t.Errorf("%d bytes are reserved after an interrupted response, %d before", n, held)
	}
	if err := g.finishFailed(c, d, notRunFailure(placement.Refused, true, "refused"), result.New(result.NoTarget, result.NotRun, "no target")); err != nil || s.body.String() != text {
		t.Errorf("the last response was not passed on whole: %v, %d bytes", err, s.body.Len())
	}
	if d.close(); g.BufferedResponseBytes() != 0 {
		t.Errorf("%d bytes are still reserved", g.BufferedResponseBytes())
	}
}
