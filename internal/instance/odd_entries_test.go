package instance

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Entries of other writers must not keep any instance from following the list,
// whether it reads the store itself or takes snapshots.
func TestOddEntriesStopNoInstance(t *testing.T) {
	d := newTestDeployment(t)
	first, second := newFakeTarget(t, "t-1"), newFakeTarget(t, "t-2")
	d.publishConfig(nil)
	d.listTarget(first, "a", "ready", 1)
	var instances []*testInstance
	for range 4 { // two of which read the store
		instances = append(instances, d.startInstance("a"))
	}
	eventually(t, "all instances know each other and the target", func() bool {
		for _, inst := range instances {
			if len(inst.readyInstances()) != len(instances) || inst.catalog.Current().Targets["t-1"] == nil {
				return false
			}
		}
		return true
	})
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for i, change := range []struct{ old, new string }{
		{`"slots":8`, `"slots":` + nested}, {`"slots":8`, `"slots":1e400`}, {`"slots":8`, `"slots":9000000000000000000`},
		{`"sequence":1`, `"sequence":1e300`}, {`"warmup_left_ms":0`, `"warmup_left_ms":1e300`}, {`"version":"v1"`, `"version":` + nested},
		{`:8080"`, `:99999"`}, {`:8080"`, `:-1"`}, {`"ready"`, `"ready`}, {`"ready"`, `"else"`},
	} {
		entry := `{"service":"orders","address":"127.0.0.1:8080","zone":"a","version":"v1","slots":8,"state":"ready","warmup_left_ms":0,"sequence":1,"born":1000}`
		d.store.apply(storeChange{key: fmt.Sprintf("servers/odd-%d", i), value: strings.Replace(entry, change.old, change.new, 1)})
	}
	d.listTarget(second, "a", "ready", 1)
	d.store.remove("servers/t-1")
	for i, inst := range instances {
		eventually(t, fmt.Sprintf("instance %d follows the list", i), func() bool {
			targets := inst.catalog.Current().Targets
			return len(targets) == 1 && targets["t-2"] != nil
		})
		if got := sendRequest("GET", inst.url("/safe/x"), nil); got.status != http.StatusOK {
			t.Errorf("instance %d: response %+v", i, got)
		}
	}
}
