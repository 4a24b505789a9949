package instance

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
)

// Guards against responses without end that fill the memory.
func TestEndlessResponseOfTargetIsCutOff(t *testing.T) {
	d := newTestDeployment(t)
	target := newFakeTarget(t, "t-1")
	d.publishConfig(nil)
	d.listTarget(target, "a", "ready", 1)
	inst := d.startInstance("a")
	eventually(t, "the request is served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	const maxBytes = 64 << 20 // far more than any buffers in between hold
	for name, head := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX-Endless: ",
		"body": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Response-Signature: s\r\n\r\ndata: ",
	} {
		sent := make(chan int, 10)
		target.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return true
			}
			defer conn.Close()
			if name == "body" {
				head = fmt.Sprintf(head, r.Header.Get("X-Request-Id"))
			}
			_, err = conn.Write([]byte(head))
			n, chunk := 0, bytes.Repeat([]byte("x"), 32<<10)
			for ; err == nil && n < maxBytes; n += len(chunk) {
				_, err = conn.Write(chunk)
			}
			sent <- n
			return true
		})
		got := sendRequest("POST", inst.url("/stream/x"), func(h http.Header) { h.Set("X-Deadline-Ms", "600000") })
		if got.err == nil && got.status < http.StatusInternalServerError {
			t.Errorf("%s: response with status %d and %d bytes", name, got.status, len(got.body))
		}
		if n := <-sent; n >= maxBytes {
			t.Errorf("%s: the instance took %d bytes", name, n)
		}
	}
}
