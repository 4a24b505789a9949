package instance

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// silentStore passes calls on to the store of a deployment until it is silenced; from
// then on calls get no response.
type silentStore struct {
	*httptest.Server
	silent atomic.Bool
}

func newSilentStore(t *testing.T, store *fakeStore) *silentStore {
	s := &silentStore{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		if !s.silent.Load() {
			store.Config.Handler.ServeHTTP(recorder, r)
		}
		if s.silent.Load() {
			<-r.Context().Done()
			return
		}
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	t.Cleanup(s.CloseClientConnections)
	return s
}

// moveRoute publishes a configuration with the route for /unsafe/ at a service.
func (d *testDeployment) moveRoute(service string) {
	d.publishConfig(func(config map[string]any) {
		other := map[string]any{}
		for k, v := range config["services"].([]any)[0].(map[string]any) {
			other[k] = v
		}
		other["name"] = "orders-new"
		config["services"] = append(config["services"].([]any), other)
		route := config["routes"].([]any)[1].(map[string]any)
		route["service"], route["home_regions"] = service, []string{"west"}
	})
}

// failDials makes the calls of an instance to other instances fail.
func failDials(t *testing.T) func(*Instance) {
	clients, err := peerapi.NewClientsWithDial(settings.Peers{Insecure: true}, func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("cut off")
	})
	if err != nil {
		t.Fatal(err)
	}
	return func(i *Instance) { i.gateway.Clients = clients }
}

// Guards against a forwarded request that is decided by the older configuration of its
// receiver, which the store has stopped answering: the receiver fetches the state of
// the sender or, if it cannot, refuses the request as not run, and the sender uses
// another instance of the region.
func TestForwardedRequestIsDecidedByVersionOfSender(t *testing.T) {
	for name, c := range map[string]struct{ cutOff, second bool }{
		"fetched": {}, "refused": {cutOff: true}, "another instance": {cutOff: true, second: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDeployment(t)
			old, moved := newFakeTarget(t, "t-old"), newFakeTarget(t, "t-new")
			d.moveRoute("orders")
			d.listTarget(old, "b", "ready", 1)
			d.store.put("servers/t-new", moved.storeEntry("orders-new", "b", "ready", 1))
			entry := d.startInstance("a")
			door := newSilentStore(t, d.store)
			d.storeProxyAddress = door.Listener.Addr().String()
			var change []func(*Instance)
			if c.cutOff {
				change = append(change, failDials(t))
			}
			receiver := d.startInstance("b", change...)
			d.storeProxyAddress = ""
			if c.second {
				d.startInstance("b")
			}
			count := 2
			if c.second {
				count++
			}
			eventually(t, "the instances know each other", func() bool { return len(entry.readyInstances()) == count && len(receiver.readyInstances()) == count })
			eventually(t, "the hop is possible", func() bool { return sendRequest("POST", entry.url("/unsafe/x"), nil).status == http.StatusOK })
			door.silent.Store(true)
			d.moveRoute("orders-new")
			eventually(t, "the entry has the new version", func() bool { return entry.catalog.Current().Config.Version == int64(d.version) })
			before, served := old.runCount(), 0
			for range 20 {
				got := sendRequest("POST", entry.url("/unsafe/x"), nil)
				switch got.status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
				default:
					t.Errorf("status %d, %v", got.status, got.err)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if n := old.runCount() - before; n > 0 {
				t.Errorf("%d of 20 requests were decided by the older version", n)
			}
			if want := !c.cutOff || c.second; want && served != 20 {
				t.Errorf("%d of 20 requests were served", served)
			}
			if served != moved.runCount() {
				t.Errorf("%d requests were served, %d were run", served, moved.runCount())
			}
		})
	}
}
