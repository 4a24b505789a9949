package instance

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

const (
	// storeAway is how long a store that is restored answers nothing.
	storeAway = time.Second
	// readDelay is longer than an instance takes to read the store again.
	readDelay = 2 * time.Second
	// rewriteDelay is how long after its return a store holds only the older copy.
	rewriteDelay = 2 * time.Second
)

// restoredStores are the ways in which the revisions of a store that is restored differ
// from those that instances know: written is the number of writes after the copy, and
// rewritten that of the writes before the store answers again.
var restoredStores = map[string]struct{ written, rewritten int }{
	"far back": {written: 200}, "a little back": {written: 4}, "equal": {written: 4, rewritten: 4}, "overtaken": {written: 4, rewritten: 30},
}

// heartbeats writes the entry of a target count times, with increasing sequences from
// first.
func (d *testDeployment) heartbeats(target *fakeTarget, domain string, first, count int) {
	for n := range count {
		d.listTarget(target, domain, "ready", first+n)
	}
}

// restoreStore lets the store fail for storeAway and come back from an older copy;
// rewrite changes it before it answers again.
func (d *testDeployment) restoreStore(older storeContent, rewrite func()) {
	d.store.refuse.Store(true)
	d.store.restore(older)
	time.Sleep(storeAway)
	rewrite()
	d.store.refuse.Store(false)
}

// publishAddedRoute publishes a configuration with a further route and another API key.
func (d *testDeployment) publishAddedRoute() {
	d.publishConfig(func(config map[string]any) {
		added := map[string]any{}
		for name, value := range config["routes"].([]any)[0].(map[string]any) {
			added[name] = value
		}
		added["name"], added["prefix"] = "added", "/added/"
		config["routes"] = append(config["routes"].([]any), added)
		config["tenants"].([]any)[0].(map[string]any)["api_keys"] = []string{"new-key"}
	})
}

func (inst *testInstance) statusWithKey(path, key string) int {
	return sendRequest("POST", inst.url(path), func(h http.Header) { h.Set("Api-Key", key) }).status
}

// getsNone reports whether none of the requests to the instances reaches the target.
func getsNone(target *fakeTarget, instances []*testInstance) bool {
	before := target.runCount()
	for n := range 10 * len(instances) {
		sendRequest("POST", instances[n%len(instances)].url("/safe/x"), nil)
	}
	return target.runCount() == before
}

// Guards against changes that never take effect after the store has come back from an
// older copy, because its revisions are lower or mean other changes.
func TestChangesTakeEffectAfterStoreIsRestored(t *testing.T) {
	for name, c := range restoredStores {
		for _, returns := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s/returns=%d", name, returns), func(t *testing.T) {
				t.Parallel()
				d := newTestDeployment(t)
				leaving, staying := newFakeTarget(t, "t-1"), newFakeTarget(t, "t-2")
				d.publishConfig(nil)
				d.listTarget(leaving, "a", "ready", 1)
				d.listTarget(staying, "a", "ready", 1)
				instances := []*testInstance{d.startInstance("a"), d.startInstance("a")}
				door := newSilentStore(t, d.store)
				d.storeProxyAddress = door.Listener.Addr().String()
				cutOff := d.startInstance("a")
				d.storeProxyAddress = ""
				instances = append(instances, cutOff)
				for _, inst := range instances {
					eventually(t, "the instances are ready", func() bool {
						return len(inst.readyInstances()) == len(instances) && len(inst.catalog.Current().Targets) == 2
					})
				}
				door.silent.Store(true)
				older := d.store.content()
				for range returns {
					d.heartbeats(staying, "a", 2, c.written)
					time.Sleep(readDelay)
					d.restoreStore(older, func() { d.heartbeats(staying, "a", 2+c.written, c.rewritten) })
				}
				instances = append(instances, d.startInstance("a"))
				d.publishAddedRoute()
				d.listTarget(leaving, "a", "draining", 2)
				for i, inst := range instances {
					eventually(t, fmt.Sprintf("instance %d serves the added route", i), func() bool { return inst.statusWithKey("/added/x", "new-key") == http.StatusOK })
					eventually(t, fmt.Sprintf("instance %d refuses the removed key", i), func() bool {
						return inst.statusWithKey("/safe/x", "key-of-the-hotel") == http.StatusUnauthorized
					})
				}
				eventually(t, "the target that leaves gets no requests", func() bool {
					return getsNone(leaving, instances)
				})
			})
		}
	}
}

// Guards against new requests to a target that has left and that the older copy still
// lists.
func TestTargetThatLeftGetsNoRequestsAfterStoreIsRestored(t *testing.T) {
	for name, c := range restoredStores {
		for _, announced := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/announced=%t", name, announced), func(t *testing.T) {
				t.Parallel()
				d := newTestDeployment(t)
				left, staying := newFakeTarget(t, "t-1"), newFakeTarget(t, "t-2")
				d.publishConfig(nil)
				d.listTarget(left, "a", "ready", 1)
				d.listTarget(staying, "a", "ready", 1)
				instances := []*testInstance{d.startInstance("a"), d.startInstance("a")}
				for _, inst := range instances {
					eventually(t, "the targets are known", func() bool { return len(inst.catalog.Current().Targets) == 2 })
				}
				older := d.store.content()
				if announced {
					d.listTarget(left, "a", "draining", 2)
				}
				d.store.remove("servers/t-1")
				d.heartbeats(staying, "a", 2, c.written)
				for _, inst := range instances {
					eventually(t, "the target has left", func() bool { return inst.catalog.Current().Targets["t-1"] == nil })
				}
				d.restoreStore(older, func() { d.heartbeats(staying, "a", 2+c.written, c.rewritten) })
				before := left.runCount()
				for end := time.Now().Add(rewriteDelay); time.Now().Before(end); {
					if !getsNone(left, instances) {
						t.Fatalf("%d requests reached a target that had left", left.runCount()-before)
					}
				}
				d.store.remove("servers/t-1")
				d.heartbeats(staying, "a", 100, 1)
				returned := newFakeTarget(t, "t-1") // a new incarnation of the target
				d.store.put("servers/t-1", returned.storeEntry("orders", "a", "ready", 1))
				eventually(t, "the target that has started again gets requests", func() bool { return !getsNone(returned, instances) })
			})
		}
	}
}

// Guards against an evacuation that ends because the older copy does not have it.
func TestEvacuationHoldsAfterStoreIsRestored(t *testing.T) {
	for name, c := range restoredStores {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newTestDeployment(t)
			target := newFakeTarget(t, "t-1")
			d.publishConfig(nil)
			d.listTarget(target, "a", "ready", 1)
			instances := []*testInstance{d.startInstance("a"), d.startInstance("a")}
			older := d.store.content()
			d.store.put("op/evacuate/a", map[string]any{})
			d.heartbeats(target, "a", 2, c.written)
			for _, inst := range instances {
				eventually(t, "the failure domain is evacuated", func() bool { return inst.catalog.Current().Evacuated["a"] })
			}
			d.restoreStore(older, func() { d.heartbeats(target, "a", 2+c.written, c.rewritten) })
			for end := time.Now().Add(rewriteDelay); time.Now().Before(end); {
				if !getsNone(target, instances) {
					t.Fatal("requests reached a target of the evacuated failure domain")
				}
			}
			d.store.put("op/evacuate/a", map[string]any{})
			time.Sleep(rewriteDelay)
			if !getsNone(target, instances) {
				t.Error("requests reached a target after the evacuation was written again")
			}
			d.store.remove("op/evacuate/a")
			eventually(t, "the evacuation ends", func() bool { return !getsNone(target, instances) })
		})
	}
}

// Guards against an instance that starts while the store holds an older copy and lets
// the older configuration take effect that others have replaced.
func TestInstanceThatStartsOnOlderCopyHasLaterConfiguration(t *testing.T) {
	for name, c := range restoredStores {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newTestDeployment(t)
			target := newFakeTarget(t, "t-1")
			d.publishConfig(nil)
			d.listTarget(target, "a", "ready", 1)
			running := d.startInstance("a")
			older := d.store.content()
			d.publishAddedRoute()
			d.heartbeats(target, "a", 2, c.written)
			later := int64(d.version)
			eventually(t, "the configuration is in force", func() bool {
				v := running.catalog.Current()
				return v.Config != nil && v.Config.Version == later
			})
			d.restoreStore(older, func() { d.heartbeats(target, "a", 2+c.written, c.rewritten) })
			time.Sleep(storeAway)
			started := d.startInstance("a")
			eventually(t, "the instance that has started knows the later configuration", func() bool {
				v := started.catalog.Current()
				return v.Config != nil && v.Config.Version == later
			})
			if v := running.catalog.Current().Config.Version; v != later {
				t.Errorf("the instance that was running went back to version %d", v)
			}
		})
	}
}
