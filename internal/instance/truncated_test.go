package instance

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawResponse is a response that a target writes to its connection as it is,
// before it closes or resets the connection.
type rawResponse struct {
	framing string // "length", "chunks", "close", or "HTTP/1.0", which ends with the connection too
	body    string
	// complete is the body that the framing announces; body if empty.
	complete    string
	contentType string
	reset       bool
}

func (raw rawResponse) handler(target string) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		writeAndClose(w, raw.text(target, r.Header.Get("X-Request-Id")), raw.reset, 0)
		return true
	}
}

// writeAndClose writes text to the connection of a request and closes it, or resets
// it after a delay.
func writeAndClose(w http.ResponseWriter, text string, reset bool, delay time.Duration) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = conn.Write([]byte(text))
	if reset {
		time.Sleep(delay)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

func (raw rawResponse) text(target, requestID string) string {
	announced := raw.complete
	if announced == "" {
		announced = raw.body
	}
	version := "HTTP/1.1"
	if raw.framing == "HTTP/1.0" {
		version = raw.framing
	}
	head := fmt.Sprintf("%s 200 OK\r\nX-Request-Id: %s\r\nX-Response-Signature: signed-by-%s\r\nContent-Type: %s\r\n",
		version, requestID, target, raw.contentType)
	switch raw.framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(announced)) + raw.body
	case "chunks":
		body := ""
		if raw.body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(raw.body), raw.body)
		}
		if raw.body == announced {
			body += "0\r\n\r\n"
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n" + body
	}
	if raw.framing == "close" {
		head += "Connection: close\r\n"
	}
	return head + "\r\n" + raw.body
}

// startTruncationTest starts an instance with a target in its own region or, with
// a hop, in another one. Streams cannot be resumed.
func startTruncationTest(t *testing.T, hop bool) (*testInstance, *fakeTarget) {
	d := newTestDeployment(t)
	domain := "a"
	if hop {
		domain = "b"
	}
	target := newFakeTarget(t, "t-1")
	d.listTarget(target, domain, "ready", 1)
	d.publishConfig(func(config map[string]any) {
		config["routes"].([]any)[2].(map[string]any)["resumable"] = false
	})
	inst := d.startInstance("a")
	if hop {
		d.startInstance("b")
	}
	eventually(t, "a request is served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	return inst, target
}

func streamText(n int, lineEnd string) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d%sdata: piece %d%s%s", i, lineEnd, i, lineEnd, lineEnd)
	}
	return b.String()
}

func TestStreamCutInsideEventIsNotDeliveredAsComplete(t *testing.T) {
	for _, hop := range []bool{false, true} {
		t.Run(fmt.Sprintf("hop=%v", hop), func(t *testing.T) {
			inst, target := startTruncationTest(t, hop)
			for _, lineEnd := range []string{"\n", "\r\n"} {
				whole, third := streamText(4, lineEnd), streamText(3, lineEnd)
				for _, framing := range []string{"length", "chunks", "close", "HTTP/1.0"} {
					a := rawResponse{framing: framing, body: whole, contentType: "text/event-stream"}
					target.setHandler(a.handler(target.id))
					if got := sendRequest("POST", inst.url("/stream/ask"), nil); got.status != http.StatusOK || got.err != nil || got.body != whole {
						t.Errorf("%s, line end %q: whole stream arrived as %+v", framing, lineEnd, got)
					}
					for _, cut := range []int{len(third) + 1, len(whole) - len(lineEnd), len(whole) - 1} {
						eventually(t, "the target is used again", func() bool { return sendRequest("GET", inst.url("/stream/ask"), nil).status == http.StatusOK })
						target.setHandler(rawResponse{framing: framing, body: whole[:cut], contentType: "text/event-stream"}.handler(target.id))
						if got := sendRequest("POST", inst.url("/stream/ask"), nil); got.status != http.StatusOK || got.err == nil || !strings.HasPrefix(third, got.body) {
							t.Errorf("%s, line end %q: stream cut after %d of %d bytes arrived as %+v", framing, lineEnd, cut, len(whole), got)
						}
						target.setHandler(a.handler(target.id))
					}
				}
			}
		})
	}
}

// callOverHTTP10 sends a request in HTTP/1.0 and returns the response up to the end
// of the connection, with the error if the connection was reset.
func callOverHTTP10(t *testing.T, inst *testInstance, path string) (body string, served bool, err error) {
	conn, err := net.Dial("tcp", inst.settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: shop.example\r\nX-Request-Id: request-%d\r\nApi-Key: key-of-the-hotel\r\nContent-Length: 0\r\n\r\n", path, requestCount.Add(1))
	text, err := io.ReadAll(conn)
	head, body, _ := strings.Cut(string(text), "\r\n\r\n")
	return body, strings.HasPrefix(head, "HTTP/1.0 200"), err
}

func TestTruncatedResponseOverHTTP10EndsWithReset(t *testing.T) {
	inst, target := startTruncationTest(t, false)
	large := strings.Repeat("0123456789abcdef", 64<<10)
	for name, whole := range map[string]rawResponse{
		"stream": {body: streamText(4, "\n"), contentType: "text/event-stream"},
		"body":   {body: large, contentType: "text/plain"},
	} {
		for _, framing := range []string{"length", "chunks", "close"} {
			whole.framing, whole.complete = framing, whole.body
			cut := whole
			cut.body, cut.reset = whole.body[:len(whole.body)-5], framing == "close" && name == "body"
			target.setHandler(whole.handler(target.id))
			eventually(t, "the target is used", func() bool {
				body, _, err := callOverHTTP10(t, inst, "/stream/ask")
				return body == whole.body && err == nil
			})
			target.setHandler(cut.handler(target.id))
			// A target that resets its connection at once may lose all of its response.
			body, served, err := callOverHTTP10(t, inst, "/stream/ask")
			if served && err == nil || !served && !cut.reset || served && !strings.HasPrefix(whole.body, body) {
				t.Errorf("%s, %s: %d of %d bytes arrived with the usual end: served %v, %v", name, framing, len(body), len(whole.body), served, err)
			}
		}
	}
}

func TestResponseThatBreaksOffBehindHopIsLoggedAsFailed(t *testing.T) {
	d := newTestDeployment(t)
	target := newFakeTarget(t, "t-1")
	d.listTarget(target, "b", "ready", 1)
	d.publishConfig(func(config map[string]any) { config["routes"].([]any)[2].(map[string]any)["resumable"] = false })
	inst, remote := d.startInstance("a"), d.startInstance("b")
	eventually(t, "a request is served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	target.setHandler(rawResponse{framing: "close", body: "id: 1\ndata: a\n\nid: 2\nda", contentType: "text/event-stream"}.handler(target.id))
	if got := sendRequest("POST", inst.url("/stream/ask"), func(h http.Header) { h.Set("X-Request-Id", "broken-off") }); got.err == nil {
		t.Errorf("response: %+v", got)
	}
	for _, i := range []*testInstance{inst, remote} {
		i.cancel()
		<-i.done
		i.done <- nil
		found := false
		for line := range strings.Lines(i.log.String()) {
			found = found || strings.Contains(line, `"broken-off"`) && strings.Contains(line, `"event":832`) && strings.Contains(line, `"framing":`)
		}
		if !found {
			t.Errorf("%s did not log the request as failed", i.ip)
		}
	}
}
