package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// brokenKinds are the kinds of requests for tests with broken responses. path or body
// contains a number, so that no two requests are equal and none is blocked as the cause
// of a crash.
var brokenKinds = []struct {
	name, method, path, body, contentType, response string
	target                                          config.TargetKind
	once                                            bool
}{
	{"booking", "POST", bookingsPath, "%d", "text/plain", "booked", config.PlainService, true},
	{"stock", "PUT", "/orders/stock/%d", "", "text/plain", "seven", config.PlainService, false},
	{"whole", "POST", "/v1/completions", `{"model":"` + model + `","max_tokens":5,"prompt":"%d"}`, "application/json", completeResponse, config.Engine, false},
	{"stream", "POST", "/v1/completions", `{"model":"` + model + `","stream":true,"max_tokens":5,"prompt":"%d"}`, "text/event-stream", tokenEvent(0) + finalEvents(1), config.Engine, false},
}

// doInTime is do for requests that may get no response.
func (n *testInstance) doInTime(method, path, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, err := n.send(ctx, method, path, body)
	if err != nil {
		return reply{err: err}
	}
	return readResponse(resp)
}

// A response with an invalid head is not passed on, and is no reason to say that the
// request was not run or to send it again if it may run once only.
func TestResponseWithInvalidHeadIsNotDelivered(t *testing.T) {
	for _, hop := range []bool{false, true} {
		for _, kind := range brokenKinds {
			t.Run(fmt.Sprintf("%s,hop=%v", kind.name, hop), func(t *testing.T) {
				cluster := newTestCluster(t)
				region := "north"
				if hop {
					region = "south"
				}
				var text atomic.Pointer[string]
				var runs atomic.Int64
				cluster.startTarget("t1", region, kind.target, func(rw http.ResponseWriter, _ *http.Request) {
					runs.Add(1)
					respondRaw(t, rw, *text.Load())
				})
				n := cluster.startInstance("n", "north")
				if hop {
					cluster.startInstance("s", "south")
				}
				for i, broken := range standin.BrokenResponses("Content-Type: "+kind.contentType+"\r\n", kind.response) {
					text.Store(&broken.Text)
					runs.Store(0)
					path, body := kind.path, kind.body
					if strings.Contains(path, "%d") {
						path = fmt.Sprintf(path, i)
					} else {
						body = fmt.Sprintf(body, i)
					}
					r := n.doInTime(kind.method, path, body)
					if _, ran := r.errorCode(); r.status < http.StatusInternalServerError || ran != "may_have_run" {
						t.Errorf("%s: arrived as %d with header %v and %.80q, %v", broken.Name, r.status, r.header, r.body, r.err)
					}
					if r.err != nil {
						t.FailNow() // each further one may take as long
					}
					if got := runs.Load(); kind.once && got != 1 {
						t.Errorf("%s: ran %d times", broken.Name, got)
					}
				}
			})
		}
	}
}
