package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/settings"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// rawKind is a kind of request for tests with raw responses. path and body may hold
// NUMBER, by which no two requests are equal, so that none is blocked as the cause of a
// crash, and PADDING.
type rawKind struct {
	name, method, path, body, contentType string
	// response is whole, part is the begin of it.
	response, part string
	target         config.TargetKind
	once           bool
}

var rawKinds = []rawKind{
	{"booking", "POST", bookingsPath, "NUMBER PADDING", "text/plain", "booked", "book", config.PlainService, true},
	{"stock", "PUT", "/orders/stock/NUMBER", "PADDING", "text/plain", "seven", "seve", config.PlainService, false},
	{"whole", "POST", "/v1/completions", `{"model":"` + model + `","max_tokens":5,"prompt":"NUMBER PADDING"}`, "application/json",
		completeResponse, completeResponse[:20], config.Engine, false},
	{"stream", "POST", "/v1/completions", `{"model":"` + model + `","stream":true,"max_tokens":5,"prompt":"NUMBER PADDING"}`, "text/event-stream",
		tokenEvent(0) + finalEvents(1), tokenEvent(0), config.Engine, false},
}

// rawTarget is a target that answers requests before it has read the bodies.
type rawTarget struct {
	runs     atomic.Int64
	response atomic.Pointer[func() (string, standin.UploadEnd)]
}

// startRawTarget starts a rawTarget and an instance. With a hop, the target is in
// another region.
func startRawTarget(t *testing.T, hop bool, kind rawKind) (*testInstance, *rawTarget) {
	cluster := newTestCluster(t)
	region := "north"
	if hop {
		region = "south"
	}
	l, err := standin.ListenForUploads()
	check(t, err)
	t.Cleanup(func() { _ = l.Close() })
	target := &rawTarget{}
	go standin.ServeUploads(l, func(*http.Request) (string, standin.UploadEnd) {
		target.runs.Add(1)
		return (*target.response.Load())()
	})
	cluster.addTarget("t1", region, kind.target, l.Addr().String())
	largeBodies := func(b *settings.Bounds) { b.MaxBody, b.TeamBuffer, b.ProcessBuffer = 16<<20, 128<<20, 256<<20 }
	n := cluster.startInstance("n", "north", largeBodies)
	if hop {
		cluster.startInstance("s", "south", largeBodies)
	}
	return n, target
}

// send sends the nth request of a kind. It fails the test if a request that may run once
// only has run more often.
func (target *rawTarget) send(t *testing.T, n *testInstance, kind rawKind, number int, padding string, response func() (string, standin.UploadEnd)) reply {
	t.Helper()
	target.response.Store(&response)
	before := target.runs.Load()
	fill := strings.NewReplacer("NUMBER", fmt.Sprint(number), "PADDING", padding)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	resp, err := n.send(ctx, kind.method, fill.Replace(kind.path), fill.Replace(kind.body))
	if err != nil {
		t.Fatalf("request %d: %v", number, err)
	}
	r := readResponse(resp)
	if runs := target.runs.Load() - before; runs == 0 || runs > 1 && kind.once {
		t.Errorf("request %d ran %d times: %d %.80q, %v", number, runs, r.status, r.body, r.err)
	}
	return r
}

// A response with an invalid head is not delivered, and is no reason to say that the
// request was not run.
func TestResponseWithInvalidHeadIsNotDelivered(t *testing.T) {
	for _, hop := range []bool{false, true} {
		for _, kind := range rawKinds {
			t.Run(fmt.Sprintf("%s,hop=%v", kind.name, hop), func(t *testing.T) {
				n, target := startRawTarget(t, hop, kind)
				for i, broken := range standin.BrokenResponses("Content-Type: "+kind.contentType+"\r\n", kind.response) {
					r := target.send(t, n, kind, i, "", func() (string, standin.UploadEnd) { return broken.Text, standin.FinishUpload })
					if _, ran := r.errorCode(); r.status < http.StatusInternalServerError || ran != "may_have_run" {
						t.Errorf("%s: arrived as %d with header %v and %.80q, %v", broken.Name, r.status, r.header, r.body, r.err)
					}
				}
			})
		}
	}
}

// uploadRounds is how often each case is played: which side of a connection sees its reset
// first depends on the timing.
var uploadRounds = map[standin.UploadEnd]int{standin.FinishUpload: 1, standin.ResetUpload: 2}

// What a target sends before it resets the connection of a long upload is not delivered
// as a whole response.
func TestResetDuringUploadIsNotDeliveredAsWhole(t *testing.T) {
	padding := strings.Repeat("x", 3<<20) // more than the buffers of sockets hold
	for _, hop := range []bool{false, true} {
		for _, kind := range rawKinds {
			t.Run(fmt.Sprintf("%s,hop=%v", kind.name, hop), func(t *testing.T) {
				t.Parallel()
				n, target := startRawTarget(t, hop, kind)
				number := 0
				for _, framing := range append([]string{"HTTP/1.0"}, standin.Framings...) {
					for _, end := range []standin.UploadEnd{standin.FinishUpload, standin.ResetUpload} {
						body := kind.response
						if end == standin.ResetUpload {
							body = kind.part
						}
						text := standin.EarlyResponse(framing, "Content-Type: "+kind.contentType+"\r\n", body, end)
						for range uploadRounds[end] {
							number++
							r := target.send(t, n, kind, number, padding, func() (string, standin.UploadEnd) { return text, end })
							code, ran := r.errorCode()
							switch {
							case end == standin.FinishUpload && (r.err != nil || r.status != http.StatusOK || r.body != body):
								t.Errorf("%s: whole response arrived as %+v", framing, r)
							case end == standin.ResetUpload && r.err == nil && (code == 0 || ran != "may_have_run"):
								t.Errorf("%s: part of a response arrived as %+v", framing, r)
							}
						}
					}
				}
			})
		}
	}
}
