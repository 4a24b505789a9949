package instance

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against refusing requests for which a slot is free a moment later, against
// sending a plain target more than it holds, and against requests that are left in the
// queue or run when the instance stops.
func TestRequestsWaitForPlainTarget(t *testing.T) {
	const slots, limit = 1, 3 // limit is what the gateway keeps at the target
	d := newTestDeployment(t)
	target := newFakeTarget(t, "t-1")
	d.publishConfig(nil)
	entry := target.storeEntry("orders", "a", "ready", 1)
	entry["slots"] = slots
	d.store.put("servers/t-1", entry)
	inst := d.startInstance("a")
	eventually(t, "the request is served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	for range 10 {
		sendRequest("GET", inst.url("/safe/x"), nil)
	}
	var running, most atomic.Int32
	hold := func(wait func()) {
		target.setHandler(func(http.ResponseWriter, *http.Request) bool {
			n := running.Add(1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
			wait()
			running.Add(-1)
			return false
		})
	}
	send := func(n int) chan callerResponse {
		out := make(chan callerResponse, n)
		for range n {
			go func() { out <- sendRequest("GET", inst.url("/safe/x"), nil) }()
		}
		return out
	}
	hold(func() { time.Sleep(30 * time.Millisecond) })
	answers := send(6)
	for range 6 {
		if got := <-answers; got.status != http.StatusOK {
			t.Errorf("response %+v", got)
		}
	}
	if most.Load() > limit {
		t.Errorf("%d requests at a target with %d slots", most.Load(), slots)
	}
	release := make(chan struct{})
	hold(func() { <-release })
	before := target.runCount()
	answers = send(5)
	eventually(t, "requests wait", func() bool { return inst.gateway.Queue.Waiting("orders") == 5-limit })
	inst.gateway.Queue.Stop()
	for range 5 - limit {
		if got := <-answers; got.status != http.StatusServiceUnavailable {
			t.Errorf("waiting request when the instance stops: %+v", got)
		}
	}
	close(release)
	for range limit {
		if got := <-answers; got.status != http.StatusOK {
			t.Errorf("running request when the instance stops: %+v", got)
		}
	}
	if ran := target.runCount() - before; ran != limit {
		t.Errorf("%d requests ran, expected %d", ran, limit)
	}
}
