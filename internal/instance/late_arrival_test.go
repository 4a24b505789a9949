package instance

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// lateListener accepts connections only while it is open, as an instance does that is
// short of processor time or descriptors. Their requests wait in the kernel.
type lateListener struct {
	net.Listener
	open chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.open
	return l.Listener.Accept()
}

// newLateInstance starts an instance in domain that accepts nothing from callers until
// the channel is closed.
func newLateInstance(t *testing.T, d *testDeployment, domain string) (*testInstance, chan struct{}) {
	open := make(chan struct{})
	inst := d.startInstance(domain, func(i *Instance) { i.listeners[i.callers] = &lateListener{i.listeners[i.callers], open} })
	eventually(t, "the instance is ready", func() bool { return inst.gateway.Ready() })
	return inst, open
}

// dialAndSend sends a request on a new connection.
func dialAndSend(t *testing.T, inst *testInstance, id string, deadline time.Duration) net.Conn {
	conn, err := net.Dial("tcp", inst.settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: key-of-the-hotel\r\nContent-Length: 4\r\n\r\nbody", id, deadline.Milliseconds())
	return conn
}

// Guards against requests that reach a target, directly or over a hop, after their
// callers have disconnected while they waited to be accepted.
func TestRequestOfDisconnectedCallerIsDropped(t *testing.T) {
	for _, hop := range []bool{false, true} {
		d := newTestDeployment(t)
		target := newFakeTarget(t, "t-1")
		d.publishConfig(nil)
		domain := "a"
		if hop {
			domain = "b"
			d.startInstance("b")
		}
		d.listTarget(target, domain, "ready", 1)
		inst, open := newLateInstance(t, d, "a")
		if hop {
			eventually(t, "the instances know each other", func() bool { return len(inst.readyInstances()) == 2 })
			time.Sleep(time.Second) // the heartbeats tell of free slots
		}
		for i := range 40 {
			conn := dialAndSend(t, inst, fmt.Sprintf("gone-%t-%d", hop, i), 6*time.Second)
			if i%2 == 0 {
				_ = conn.(*net.TCPConn).SetLinger(0) // closed by a reset
			}
			_ = conn.Close()
		}
		time.Sleep(50 * time.Millisecond)
		close(open)
		eventually(t, "requests are served", func() bool {
			return sendRequest("POST", inst.url("/unsafe/x"), func(h http.Header) { h.Set("X-Request-Id", "stays") }).status == http.StatusOK
		})
		time.Sleep(200 * time.Millisecond)
		target.mu.Lock()
		for _, id := range target.requestIDs {
			if id != "stays" {
				t.Errorf("hop %t: request %s reached the target after its caller had left", hop, id)
			}
		}
		target.mu.Unlock()
	}
}

// Guards against a deadline that counts from the reading of a request instead of its
// arrival.
func TestTimeOfRequestRunsFromItsArrival(t *testing.T) {
	const wait = 600 * time.Millisecond
	d := newTestDeployment(t)
	target := newFakeTarget(t, "t-1")
	d.publishConfig(nil)
	d.listTarget(target, "a", "ready", 1)
	inst, open := newLateInstance(t, d, "a")
	late, early := dialAndSend(t, inst, "late", wait/2), dialAndSend(t, inst, "early", 5*time.Second)
	defer late.Close()
	defer early.Close()
	time.Sleep(wait)
	close(open)
	for _, c := range []struct {
		conn   net.Conn
		status int
	}{{late, http.StatusServiceUnavailable}, {early, http.StatusOK}} {
		_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil); err != nil || resp.StatusCode != c.status {
			t.Errorf("%v, %v, want status %d", resp, err, c.status)
		}
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if len(target.headers) != 1 || target.requestIDs[0] != "early" {
		t.Fatalf("the target received %v", target.requestIDs)
	}
	if left, err := strconv.Atoi(target.headers[0].Get("X-Deadline-Ms")); err != nil || left > int((5*time.Second-wait/2).Milliseconds()) {
		t.Errorf("the target got %d ms of 5 s, %s of which the request had waited", left, wait)
	}
}
