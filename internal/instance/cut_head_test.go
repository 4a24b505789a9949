package instance

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A target that stops at any byte of the head of its response, and closes or resets
// its connection, does not lead to a response that looks whole.
func TestResponseCutInHeadIsNotDeliveredAsWhole(t *testing.T) {
	for _, hop := range []bool{false, true} {
		for _, kind := range []struct{ method, path, contentType string }{{"POST", "/unsafe/x", "text/plain"}, {"GET", "/safe/x", "text/plain"}, {"POST", "/stream/x", "text/event-stream"}} {
			t.Run(fmt.Sprintf("hop=%v%s", hop, kind.path), func(t *testing.T) {
				t.Parallel()
				d := newTestDeployment(t)
				d.publishConfig(nil)
				domain, front := "a", d.startInstance("a")
				if hop {
					domain = "b"
					d.startInstance("b")
				}
				body := streamText(1, "\n")
				// next is the response as it is written to the connection; seen counts
				// the requests at all targets.
				var next atomic.Pointer[rawText]
				var seen atomic.Int64
				for i := range 40 {
					target := newFakeTarget(t, fmt.Sprintf("t-%02d", i))
					target.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
						text := next.Load()
						if text == nil {
							return false
						}
						seen.Add(1)
						return text.handler(target.id)(w, r)
					})
					d.listTarget(target, domain, "ready", 1)
				}
				eventually(t, "a request is served", func() bool { return sendRequest("GET", front.url("/safe/x"), nil).status == http.StatusOK })
				for _, framing := range []string{"length", "chunks", "close"} {
					raw := rawResponse{framing: framing, body: body, contentType: kind.contentType}
					whole := raw.text("t-00", "request-000000")
					headLength := strings.Index(whole, "\r\n\r\n") + 4
					for cut := range headLength {
						next.Store(&rawText{raw: raw, cut: cut, reset: cut%2 == 1})
						before := seen.Load()
						var got callerResponse
						eventually(t, "a target gets the request", func() bool {
							got = sendRequest(kind.method, front.url(kind.path), func(h http.Header) {
								h.Set("X-Request-Id", fmt.Sprintf("request-%06d", requestCount.Add(1))) // as long as in whole
							})
							return seen.Load() > before
						})
						if got.err == nil && got.status < http.StatusInternalServerError {
							t.Errorf("%s: cut after %d of %d bytes arrived as %d with %q", framing, cut, headLength, got.status, got.body)
						}
					}
					next.Store(&rawText{raw: raw, cut: len(whole) + 100})
					eventually(t, "the whole response is delivered", func() bool {
						got := sendRequest(kind.method, front.url(kind.path), nil)
						return got.status == http.StatusOK && got.body == body && got.err == nil
					})
				}
			})
		}
	}
}

// rawText is a response that is cut after a number of bytes.
type rawText struct {
	raw   rawResponse
	cut   int
	reset bool
}

func (c *rawText) handler(target string) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		text := c.raw.text(target, r.Header.Get("X-Request-Id"))
		writeAndClose(w, text[:min(c.cut, len(text))], c.reset, time.Millisecond) // the bytes arrive before the reset
		return true
	}
}
