package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// A target that writes an earlier refusal again on a kept connection.
func TestRepeatedRefusalIsNotTakenForAnotherRequest(t *testing.T) {
	for _, hop := range []bool{false, true} {
		d := newTestDeployment(t)
		domain := "a"
		if hop {
			domain = "b"
		}
		target := newRepeatingTarget(t)
		d.publishConfig(nil)
		d.store.put("servers/t-1", map[string]any{"service": "orders", "address": target.Addr().String(), "zone": domain, "version": "v1", "slots": 8, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1000})
		inst := d.startInstance("a")
		if hop {
			d.startInstance("b")
		}
		eventually(t, "the target is reached", func() bool { sendRequest("POST", inst.url("/unsafe/x"), nil); return target.runs() > 0 })
		for i := range 30 {
			got := sendRequest("POST", inst.url("/unsafe/x"), func(h http.Header) { h.Set("X-Request-Id", fmt.Sprintf("unsafe-%t-%d", hop, i)) })
			if ran := target.ran(fmt.Sprintf("unsafe-%t-%d", hop, i)); ran != 0 && got.status == http.StatusServiceUnavailable || ran > 1 {
				t.Errorf("hop %t, request %d ran %d times, status %d", hop, i, ran, got.status)
			}
		}
	}
}

// repeatingTarget refuses every second request, and writes the refusal once more,
// also in place of the response to the next request on the connection.
type repeatingTarget struct {
	net.Listener
	mu    sync.Mutex
	count int
	byID  map[string]int
}

func newRepeatingTarget(t *testing.T) *repeatingTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &repeatingTarget{Listener: l, byID: map[string]int{}}
	t.Cleanup(func() { _ = l.Close() })
	go standin.ServeConns(l, target.serve)
	return target
}

// serve keeps the connection open if the sender does.
func (target *repeatingTarget) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-Id")
		target.mu.Lock()
		target.count++
		refuse := target.count%2 == 0
		if !refuse {
			target.byID[id]++
		}
		target.mu.Unlock()
		head := fmt.Sprintf("X-Request-Id: %s\r\nContent-Length: 0\r\n", id)
		if refuse {
			refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + head + "\r\n"
			_, _ = io.WriteString(conn, refusal+refusal)
			continue
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Response-Signature: signed-by-t-1\r\n"+head+"\r\n")
	}
}

func (target *repeatingTarget) runs() int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return len(target.byID)
}

func (target *repeatingTarget) ran(id string) int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.byID[id]
}
