package instance

import (
	"net/http"
	"testing"
)

// coldTarget lists a target that is warming up, of a service that bears 3.3 requests
// a second then.
func (d *testDeployment) coldTarget(t *testing.T) *fakeTarget {
	d.publishConfig(func(config map[string]any) {
		service := config["services"].([]any)[0].(map[string]any)
		service["warmup_s"], service["warmup_per_s"] = 60, 3.3
	})
	target := newFakeTarget(t, "t-1")
	entry := target.storeEntry("orders", "a", "ready", 1)
	entry["warmup_left_ms"] = 60_000
	d.store.put("servers/t-1", entry)
	return target
}

// Instances that start without hearing each other, or most seeds, cannot know how many
// others send to a target.
func TestInstancesThatHearNobodyLeaveColdTargetAlone(t *testing.T) {
	d := newTestDeployment(t)
	d.seeds = []string{"127.7.250.1:9", "127.7.250.2:9", "127.7.250.3:9"}
	target := d.coldTarget(t)
	var instances []*testInstance
	for range 3 {
		instances = append(instances, d.startInstance("a"))
	}
	for _, inst := range instances {
		eventually(t, "the target is known", func() bool { return inst.catalog.Current().Targets["t-1"] != nil })
		eventually(t, "the instance refuses", func() bool {
			return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusServiceUnavailable
		})
		for range 300 {
			// A loaded machine may take too long to accept a connection.
			if got := sendRequest("GET", inst.url("/safe/x"), nil); got.err == nil && (got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "") {
				t.Fatalf("response %+v", got)
			}
		}
	}
	if n := target.runCount(); n > 0 {
		t.Errorf("%d requests reached the target", n)
	}
}

func TestInstancesThatHearEachOtherUseColdTarget(t *testing.T) {
	d := newTestDeployment(t)
	target := d.coldTarget(t)
	instances := []*testInstance{d.startInstance("a"), d.startInstance("a"), d.startInstance("a")}
	for _, inst := range instances {
		eventually(t, "the instance has a share", func() bool { _, ok := inst.roster.State(); return ok })
		before := target.runCount()
		eventually(t, "the target is used", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
		if target.runCount() == before {
			t.Error("the request did not reach the target")
		}
	}
	stopping := instances[2]
	stopping.cancel()
	<-stopping.done
	stopping.done <- nil
	if _, ok := stopping.roster.State(); ok {
		t.Error("an instance that has left has a share")
	}
}
