package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// preparedConn is a connection of a caller that has not sent anything yet.
type preparedConn struct {
	net.Conn
	t  *testing.T
	id string
}

func (inst *testInstance) prepareConn(t *testing.T, id string) *preparedConn {
	conn, err := net.Dial("tcp", inst.settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &preparedConn{Conn: conn, t: t, id: id}
}

// send sends a request and returns the status of its complete response, 0 if there
// is none.
func (c *preparedConn) send(method, path string) int {
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nApi-Key: key-of-the-hotel\r\nContent-Length: 4\r\n\r\nbody", method, path, c.id)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.ReadAll(res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// A request that comes at any moment of the grace period is answered if it is
// passed on to a target: with its response, or with an error before the process
// ends.
func TestRequestsOfWholeGracePeriodAreAnswered(t *testing.T) {
	kinds := []struct{ method, path string }{{"POST", "/unsafe/x"}, {"GET", "/safe/x"}, {"POST", "/stream/x"}}
	for i := range 2 * len(kinds) {
		hop, first := i%2 == 1, i/2
		t.Run(fmt.Sprintf("hop=%v,first=%s", hop, kinds[first].path[1:]), func(t *testing.T) {
			t.Parallel()
			d := newTestDeployment(t)
			d.publishConfig(nil)
			target := newFakeTarget(t, "t-1")
			d.listTarget(target, "b", "ready", 1)
			stopping := d.startInstance("b")
			front := stopping
			if hop {
				front = d.startInstance("a")
			}
			eventually(t, "a request is served", func() bool { return sendRequest("GET", front.url("/safe/x"), nil).status == http.StatusOK })
			target.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
				delay := 500 * time.Millisecond
				if strings.HasPrefix(r.URL.Path, "/safe/long") {
					delay = 3 * time.Second // keeps the instance draining to the end
				}
				select {
				case <-time.After(delay):
				case <-r.Context().Done():
				}
				return strings.HasPrefix(r.URL.Path, "/stream/") && eventStream(3, 3)(w, r)
			})
			const step = 100 * time.Millisecond
			var wg sync.WaitGroup
			var mu sync.Mutex
			statuses := map[string]int{}
			start := make(chan struct{})
			for n := range 23 {
				k, moment := kinds[(first+n)%len(kinds)], time.Duration(n)*step
				c := front.prepareConn(t, fmt.Sprintf("grace-%v-%s-%v", hop, k.path[1:], moment-2*step))
				wg.Go(func() {
					<-start
					time.Sleep(moment)
					status := c.send(k.method, k.path)
					mu.Lock()
					defer mu.Unlock()
					statuses[c.id] = status
				})
			}
			long := front.prepareConn(t, "grace-long")
			wg.Go(func() {
				<-start
				status := long.send("GET", "/safe/long")
				mu.Lock()
				defer mu.Unlock()
				statuses[long.id] = status
			})
			close(start)
			time.Sleep(2 * step)
			stopping.cancel()
			wg.Wait()
			<-stopping.done
			stopping.done <- nil
			target.mu.Lock()
			defer target.mu.Unlock()
			answered := map[int]int{}
			for _, id := range target.requestIDs {
				status, ours := statuses[id]
				if !ours {
					continue
				}
				answered[status]++
				switch status {
				case 0:
					t.Errorf("%s reached the target and got no answer", id)
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					t.Errorf("%s reached the target and was answered %d", id, status)
				}
			}
			t.Logf("statuses of the requests that reached the target: %v", answered)
			// A peer stops forwarding as soon as it hears of the stop.
			if least := map[bool]int{false: 5, true: 1}[hop]; answered[http.StatusOK] < least {
				t.Errorf("%d requests were served", answered[http.StatusOK])
			}
		})
	}
}
