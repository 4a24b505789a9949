package instance

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// The store does not answer. A target that turns cold then must not go on getting what
// a warm one bears; case 5 of the review. One that stays warm is not throttled.
func TestTargetThatTurnsColdDuringStoreOutageIsSpared(t *testing.T) {
	d := newTestDeployment(t)
	d.publishConfig(func(config map[string]any) {
		service := config["services"].([]any)[0].(map[string]any)
		service["warmup_s"], service["warmup_per_s"] = 60, 3.3
	})
	target := newFakeTarget(t, "t-1")
	d.listTarget(target, "a", "ready", 1)
	instances := []*testInstance{d.startInstance("a"), d.startInstance("a")}
	served := func(inst *testInstance) bool {
		return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK
	}
	for _, inst := range instances {
		eventually(t, "the instance has a share", func() bool { _, ok := inst.roster.State(); return ok })
		eventually(t, "the target is used", func() bool { return served(inst) })
	}
	d.store.refuse.Store(true)
	time.Sleep(6 * time.Second)
	warm := 0
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, inst := range instances {
			if served(inst) {
				warm++
			}
		}
	}
	var mu sync.Mutex
	var arrivals []time.Time
	target.setHandler(func(http.ResponseWriter, *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
		return false
	})
	target.warmupMS.Store(60_000)
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, inst := range instances {
			served(inst)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	bounds := instances[0].settings.Bounds
	if allowed := 3.3*bounds.WarmupRateFactor + bounds.WarmupSlack; float64(most) > allowed {
		t.Errorf("%d requests in a second reached the target while it was cold, allowed %.1f", most, allowed)
	}
	if warm < 20 {
		t.Errorf("only %d requests were served in 2 s while the target was warm", warm)
	}
	for _, inst := range instances {
		if !strings.Contains(inst.log.String(), `"event":877`) {
			t.Error("no line says that the list is unconfirmed")
		}
	}
}
