package instance

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// brokenTargets are targets that all give the same raw response, and record the
// requests that they read.
type brokenTargets struct {
	mu sync.Mutex
	// respond writes the response to a request; nil for a sound one.
	respond func(w http.ResponseWriter, r *http.Request, target string)
	// runs counts the requests by their id.
	runs map[string]int
}

// startBrokenTargets lists so many targets in a failure domain that some are usable
// while others are avoided for their broken responses.
func startBrokenTargets(t *testing.T, d *testDeployment, domain string) *brokenTargets {
	b := &brokenTargets{runs: map[string]int{}}
	for i := range 40 {
		target := newFakeTarget(t, fmt.Sprintf("t-%02d", i))
		target.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
			b.mu.Lock()
			respond := b.respond
			b.runs[r.Header.Get("X-Request-Id")]++
			b.mu.Unlock()
			if respond == nil {
				return false
			}
			respond(w, r, target.id)
			return true
		})
		d.listTarget(target, domain, "ready", 1)
	}
	return b
}

func (b *brokenTargets) setResponse(respond func(w http.ResponseWriter, r *http.Request, target string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.respond = respond
}

func (b *brokenTargets) runsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

var brokenKinds = []struct {
	method, path, contentType string
	once                      bool
}{
	{"POST", "/unsafe/x", "text/plain", true},
	{"POST", "/safe/x", "text/plain", false},
	{"POST", "/stream/x", "text/event-stream", true},
}

// startBrokenTest starts an instance whose only targets are in its own region or, with
// a hop, in another one. Streams cannot be resumed, so that they may run once only.
func startBrokenTest(t *testing.T, hop bool) (*testInstance, *brokenTargets) {
	d := newTestDeployment(t)
	d.publishConfig(func(config map[string]any) {
		config["routes"].([]any)[2].(map[string]any)["resumable"] = false
		config["limits"].(map[string]any)["max_body_bytes"] = 16 << 20
	})
	domain, front := "a", d.startInstance("a")
	if hop {
		domain = "b"
		d.startInstance("b")
	}
	targets := startBrokenTargets(t, d, domain)
	eventually(t, "a request is served", func() bool { return sendRequest("GET", front.url("/safe/x"), nil).status == http.StatusOK })
	return front, targets
}

// checkNotDelivered fails the test if the response to a request that has run is taken
// for that of a target, if it tells that the request was not run, or if a request that
// may run once only ran more often.
func (b *brokenTargets) checkNotDelivered(t *testing.T, name string, got callerResponse, id string, once bool) {
	t.Helper()
	if got.err == nil && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout {
		t.Errorf("%s: arrived as %d with header %v and %.80q", name, got.status, got.header, got.body)
	}
	if n := b.runsOf(id); once && n > 1 {
		t.Errorf("%s: ran %d times", name, n)
	}
}

// A response with an invalid head is not passed on, and is no reason to say that the
// request was not run or to send it again if it may run once only.
func TestResponseWithInvalidHeadIsNotDelivered(t *testing.T) {
	for _, hop := range []bool{false, true} {
		for _, kind := range brokenKinds {
			t.Run(fmt.Sprintf("hop=%v%s", hop, kind.path), func(t *testing.T) {
				t.Parallel()
				front, targets := startBrokenTest(t, hop)
				body := streamText(2, "\n")
				for i, broken := range standin.BrokenResponses("", "") {
					targets.setResponse(func(w http.ResponseWriter, r *http.Request, target string) {
						headers := fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Signature: signed-by-%s\r\nContent-Type: %s\r\n", r.Header.Get("X-Request-Id"), target, kind.contentType)
						writeAndClose(w, standin.BrokenResponses(headers, body)[i].Text, false, 0)
					})
					var got callerResponse
					id := ""
					eventually(t, "a target gets the request", func() bool {
						got = sendRequest(kind.method, front.url(kind.path), func(h http.Header) { id = h.Get("X-Request-Id") })
						return targets.runsOf(id) > 0
					})
					targets.checkNotDelivered(t, broken.Name, got, id, kind.once)
				}
			})
		}
	}
}

// A target is not taken for healthy because of a response whose head is not valid.
func TestHealthCheckWithInvalidHeadFails(t *testing.T) {
	d := newTestDeployment(t)
	d.publishConfig(nil)
	var text atomic.Pointer[string]
	health := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeAndClose(w, *text.Load(), false, 0) }))
	t.Cleanup(health.Close)
	d.store.put("servers/t-1", storeEntryAt(health.Listener.Addr().String(), "orders", "a", "ready", 1))
	inst := d.startInstance("a")
	const headers = "X-Instance-Id: t-1\r\n"
	sound := standin.Response("HTTP/1.1 200 OK\r\n"+headers, "length", "")
	text.Store(&sound)
	eventually(t, "the target is healthy", func() bool {
		got, ok := inst.prober.healthOf(t.Context(), "t-1")
		return ok && got.Healthy
	})
	for _, broken := range standin.BrokenResponses(headers, "") {
		text.Store(&broken.Text)
		if got, ok := inst.prober.healthOf(t.Context(), "t-1"); ok {
			t.Errorf("%s: %+v", broken.Name, got)
		}
	}
}
