package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

// A target that stops at any byte of the head of its response, and closes or resets
// its connection, does not lead to a response that looks whole.
func TestResponseCutInHeadIsNotDeliveredAsWhole(t *testing.T) {
	for _, hop := range []bool{false, true} {
		for _, kind := range []struct {
			name, method, path, body, contentType, response string
			target                                          config.TargetKind
		}{
			{"booking", "POST", bookingsPath, "%d", "text/plain", "booked", config.PlainService},
			{"stock", "GET", "/orders/stock/%d", "", "text/plain", "seven", config.PlainService},
			{"whole", "POST", "/v1/completions", `{"model":"` + model + `","max_tokens":5,"prompt":"%d"}`, "application/json", completeResponse, config.Engine},
			{"stream", "POST", "/v1/completions", `{"model":"` + model + `","stream":true,"max_tokens":5,"prompt":"%d"}`, "text/event-stream", tokenEvent(0) + finalEvents(1), config.Engine},
		} {
			t.Run(fmt.Sprintf("%s,hop=%v", kind.name, hop), func(t *testing.T) {
				cluster := newTestCluster(t)
				region := "north"
				if hop {
					region = "south"
				}
				var text atomic.Pointer[string]
				var reset atomic.Bool
				cluster.startTarget("t1", region, kind.target, func(rw http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(rw).Hijack()
					check(t, err)
					_, _ = conn.Write([]byte(*text.Load()))
					if reset.Load() {
						time.Sleep(time.Millisecond) // the bytes arrive before the reset
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				})
				n := cluster.startInstance("n", "north")
				if hop {
					cluster.startInstance("s", "south")
				}
				sent := 0
				send := func() reply {
					sent++ // no two requests are equal, so none is blocked as the cause of a crash
					path, body := kind.path, kind.body
					if strings.Contains(path, "%d") {
						path = fmt.Sprintf(path, sent)
					}
					if body != "" {
						body = fmt.Sprintf(body, sent)
					}
					return n.do(kind.method, path, body)
				}
				for _, framing := range []string{fmt.Sprintf("Content-Length: %d", len(kind.response)), "Transfer-Encoding: chunked", "Connection: close"} {
					head := "HTTP/1.1 200 OK\r\nContent-Type: " + kind.contentType + "\r\n" + framing + "\r\n\r\n"
					for cut := range len(head) {
						part := head[:cut]
						text.Store(&part)
						reset.Store(cut%2 == 1)
						if r := send(); r.err == nil && r.status < http.StatusInternalServerError {
							t.Errorf("%s: head cut after %d of %d bytes arrived as %d with %q", framing, cut, len(head), r.status, r.body)
						}
					}
				}
				whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", kind.contentType, len(kind.response), kind.response)
				text.Store(&whole)
				reset.Store(false)
				if r := send(); r.status != http.StatusOK || r.err != nil || r.body != kind.response {
					t.Errorf("whole response: %+v", r)
				}
			})
		}
	}
}
