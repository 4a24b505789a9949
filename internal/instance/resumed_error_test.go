package instance

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
)

// An error that answers the resumption of a stream must reach the caller neither in
// the stream nor as its end.
func TestErrorAfterStreamBrokeOffStaysOutOfStream(t *testing.T) {
	const text = "error text of the second target"
	answer := func(status int, contentType string, headers ...string) func(w http.ResponseWriter, r *http.Request) bool {
		return func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Content-Type", contentType)
			for _, name := range headers {
				w.Header().Set(name, "1")
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, text)
			return true
		}
	}
	for name, second := range map[string]func(w http.ResponseWriter, r *http.Request) bool{
		"error": answer(500, "text/plain"), "error as stream": answer(500, "text/event-stream"), "not found": answer(404, "text/plain"),
		"rejection": answer(503, "text/plain", "X-Not-Executed"), "refusal": answer(503, "text/plain"), "success of another type": answer(200, "text/plain"),
		"no content":         func(w http.ResponseWriter, _ *http.Request) bool { w.WriteHeader(http.StatusNoContent); return true },
		"head of a response": rawResponse{framing: "close", contentType: "text/event-stream", body: "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n" + text}.handler("t-1"),
	} {
		for _, domains := range [][]string{{"a", "a"}, {"b", "c"}} { // b and c are a hop away
			t.Run(name+" "+domains[0], func(t *testing.T) {
				t.Parallel()
				d := newTestDeployment(t)
				d.publishConfig(nil)
				var targets []*fakeTarget
				var breaks atomic.Bool
				for i, domain := range domains {
					target := newFakeTarget(t, fmt.Sprint("t-", i+1))
					target.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
						switch {
						case !strings.HasPrefix(r.URL.Path, "/stream/"):
							return false
						case r.Header.Get("Last-Event-Id") == "" && breaks.Load():
							return eventStream(6, 3)(w, r)
						case r.Header.Get("Last-Event-Id") == "":
							return eventStream(6, 6)(w, r)
						}
						return second(w, r)
					})
					d.listTarget(target, domain, "ready", 1)
					targets = append(targets, target)
				}
				inst := d.startInstance("a")
				for _, domain := range domains {
					if domain != "a" {
						d.startInstance(domain)
					}
				}
				eventually(t, "a stream is to be resumed", func() bool {
					// Targets that broke all streams would be avoided in turn, so that none
					// is there to resume that of the other.
					breaks.Store(false)
					for range 3 {
						if got := sendRequest("POST", inst.url("/stream/ask"), nil); got.status != http.StatusOK || got.err != nil {
							return false
						}
					}
					breaks.Store(true)
					id := fmt.Sprintf("%s-%d", t.Name(), requestCount.Add(1))
					got := sendRequest("POST", inst.url("/stream/ask"), func(h http.Header) { h.Set("X-Request-Id", id) })
					if !targets[0].wasResumed(id) && !targets[1].wasResumed(id) {
						return false
					}
					if strings.Contains(got.body, text) || strings.Contains(got.body, "HTTP/1") || got.err == nil {
						t.Fatalf("response: %+v", got)
					}
					return true
				})
			})
		}
	}
}

// wasResumed reports whether the target was asked to resume the stream of a request.
func (target *fakeTarget) wasResumed(requestID string) bool {
	target.mu.Lock()
	defer target.mu.Unlock()
	return slices.ContainsFunc(target.headers, func(h http.Header) bool {
		return h.Get("X-Request-Id") == requestID && h.Get("Last-Event-Id") != ""
	})
}
