package instance

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against a configuration that is not valid and takes the place of a valid one.
func TestInvalidConfigurationIsNotTaken(t *testing.T) {
	d := newTestDeployment(t)
	target := newFakeTarget(t, "t-1")
	d.publishConfig(nil)
	d.listTarget(target, "a", "ready", 1)
	inst := d.startInstance("a")
	eventually(t, "the request is served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	for n, text := range []string{
		`{"version":1000}`, `{"version":1001,"routes":[],"services":[]}`, `{"version":1002,"routes":null,"services":null,"limits":null,"tenants":null}`,
		`{"version":1003,"routes":[{"name":"safe","host":"shop.example","prefix":"/safe/","kind":"safe","service":"missing"}],"services":[{"name":"orders","health_path":"/health"}]}`,
		`{"version":1004,"routes":[{"name":"safe","host":"shop.example","prefix":"safe","kind":"safe","service":"orders"}],"services":[{"name":"orders","health_path":"/health"}]}`,
	} {
		d.store.apply(storeChange{key: "op/config", value: text})
		domain := fmt.Sprint("other-", n)
		d.store.put("op/evacuate/"+domain, map[string]any{})
		eventually(t, "the change is read", func() bool { return inst.catalog.Current().Evacuated[domain] })
		if got := sendRequest("GET", inst.url("/safe/x"), nil); got.status != http.StatusOK {
			t.Errorf("%s: status %d after it was published", text, got.status)
		}
	}
}
