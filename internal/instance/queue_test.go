package instance

import (
	"net/http"
	"sync/atomic"
	"testing"
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
	hold := func() (release chan struct{}) {
		release = make(chan struct{})
		target.setHandler(func(http.ResponseWriter, *http.Request) bool {
			n := running.Add(1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
			<-release
			running.Add(-1)
			return false
		})
		return release
	}
	// send sends requests one after another; two that arrive at the same moment may
	// both see the last slot.
	send := func(n int) chan callerResponse {
		out := make(chan callerResponse, n)
		for i := range n {
			go func() { out <- sendRequest("GET", inst.url("/safe/x"), nil) }()
			eventually(t, "the request runs or waits", func() bool { return int(running.Load())+inst.gateway.Queue.Waiting("orders") == i+1 })
		}
		return out
	}
	release := hold()
	answers := send(limit + 3)
	close(release)
	for range limit + 3 {
		if got := <-answers; got.status != http.StatusOK {
			t.Errorf("response %+v", got)
		}
	}
	release = hold()
	before := target.runCount()
	answers = send(limit + 2)
	if most.Load() > limit {
		t.Errorf("%d requests at a target with %d slots", most.Load(), slots)
	}
	inst.gateway.Queue.Stop()
	for range 2 {
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
