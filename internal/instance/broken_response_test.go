package instance

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// rawTargets are targets that answer requests before they have read the bodies, all in
// the same way.
type rawTargets struct {
	mu sync.Mutex
	// runs counts the requests by their id; refused has those that the caller was told
	// were not run.
	runs    map[string]int
	refused map[string]int
	// response returns the response to a request, given the header lines that it needs.
	response func(headers string) (string, standin.UploadEnd)
}

// startRawTargets starts so many targets that some are usable while others are avoided
// for their responses, and an instance. With a hop, they are in another region.
func startRawTargets(t *testing.T, hop bool) (*testInstance, *rawTargets) {
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
	targets := &rawTargets{runs: map[string]int{}, refused: map[string]int{}, response: func(headers string) (string, standin.UploadEnd) {
		return standin.Response("HTTP/1.1 200 OK\r\n"+headers, "length", ""), standin.FinishUpload
	}}
	for i := range 40 {
		l, err := standin.ListenForUploads()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		id := fmt.Sprintf("t-%02d", i)
		go standin.ServeUploads(l, func(r *http.Request) (string, standin.UploadEnd) { return targets.respond(id, r) })
		d.store.put("servers/"+id, storeEntryAt(l.Addr().String(), "orders", domain, "ready", 1))
	}
	eventually(t, "a request is served", func() bool { return sendRequest("GET", front.url("/safe/x"), nil).status == http.StatusOK })
	t.Cleanup(func() {
		for id, status := range targets.refused {
			if n := targets.runsOf(id); n > 0 {
				t.Errorf("request %s was answered with %d and ran %d times", id, status, n)
			}
		}
	})
	return front, targets
}

func (targets *rawTargets) respond(id string, r *http.Request) (string, standin.UploadEnd) {
	if r.URL.Path == "/health" {
		return standin.Response("HTTP/1.1 200 OK\r\nX-Instance-Id: "+id+"\r\n", "length", ""), standin.FinishUpload
	}
	targets.mu.Lock()
	defer targets.mu.Unlock()
	requestID := r.Header.Get("X-Request-Id")
	targets.runs[requestID]++
	return targets.response(fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Signature: signed-by-%s\r\n", requestID, id))
}

func (targets *rawTargets) setResponse(response func(headers string) (string, standin.UploadEnd)) {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	targets.response = response
}

func (targets *rawTargets) runsOf(id string) int {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	return targets.runs[id]
}

// rawKind is a kind of request for tests with raw responses.
type rawKind struct {
	method, path, contentType string
	once                      bool
}

// rawKinds has streams that cannot be resumed, so that they may run once only.
var rawKinds = []rawKind{
	{"POST", "/unsafe/x", "text/plain", true},
	{"POST", "/safe/x", "text/plain", false},
	{"POST", "/stream/x", "text/event-stream", true},
}

// send sends requests with a body until one has reached a target, and returns its
// response. It fails the test if a request that may run once only has run more often.
func (targets *rawTargets) send(t *testing.T, front *testInstance, kind rawKind, body string) (got callerResponse) {
	t.Helper()
	eventually(t, "a target gets the request", func() bool {
		id := ""
		got = sendBody(kind.method, front.url(kind.path), body, func(h http.Header) { id = h.Get("X-Request-Id") })
		switch got.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			targets.refused[id] = got.status
		}
		runs := targets.runsOf(id)
		if runs > 1 && kind.once {
			t.Errorf("request %s ran %d times", id, runs)
		}
		return runs > 0
	})
	return got
}

// checkNotDelivered fails the test if a response that is broken is delivered as that of a
// target, or if the caller is told that its request, which has run, was not run.
func checkNotDelivered(t *testing.T, name string, got callerResponse) {
	t.Helper()
	if got.err == nil && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout {
		t.Errorf("%s: arrived as %d with header %v and %.80q", name, got.status, got.header, got.body)
	}
}

func TestResponseWithInvalidHeadIsNotDelivered(t *testing.T) {
	body := streamText(2, "\n")
	for _, hop := range []bool{false, true} {
		for _, kind := range rawKinds {
			t.Run(fmt.Sprintf("hop=%v%s", hop, kind.path), func(t *testing.T) {
				t.Parallel()
				front, targets := startRawTargets(t, hop)
				for i, broken := range standin.BrokenResponses("", "") {
					targets.setResponse(func(headers string) (string, standin.UploadEnd) {
						return standin.BrokenResponses(headers+"Content-Type: "+kind.contentType+"\r\n", body)[i].Text, standin.FinishUpload
					})
					checkNotDelivered(t, broken.Name, targets.send(t, front, kind, "body"))
				}
			})
		}
	}
}

// uploadRounds is how often each case is played: which side of a connection sees its reset
// first depends on the timing.
var uploadRounds = map[standin.UploadEnd]int{standin.FinishUpload: 2, standin.ResetUpload: 6}

// What a target sends before it resets the connection of a long upload is not delivered
// as a whole response.
func TestResetDuringUploadIsNotDeliveredAsWhole(t *testing.T) {
	body := streamText(2, "\n")
	upload := strings.Repeat("x", 4<<20) // more than the buffers of sockets hold
	for _, hop := range []bool{false, true} {
		for _, kind := range rawKinds {
			t.Run(fmt.Sprintf("hop=%v%s", hop, kind.path), func(t *testing.T) {
				t.Parallel()
				front, targets := startRawTargets(t, hop)
				for _, framing := range append([]string{"HTTP/1.0"}, standin.Framings...) {
					for _, end := range []standin.UploadEnd{standin.FinishUpload, standin.ResetUpload} {
						targets.setResponse(func(headers string) (string, standin.UploadEnd) {
							return standin.EarlyResponse(framing, headers+"Content-Type: "+kind.contentType+"\r\n", body, end), end
						})
						for range uploadRounds[end] {
							got := targets.send(t, front, kind, upload)
							if end == standin.ResetUpload {
								checkNotDelivered(t, framing, got)
							} else if got.err != nil || got.status != http.StatusOK || got.body != body {
								t.Errorf("%s: whole response arrived as %+v", framing, got)
							}
						}
					}
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
