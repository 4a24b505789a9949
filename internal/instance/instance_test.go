package instance

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/balance"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/platform"
)

// Guards against callers who set headers that only the system may set, or
// choose the team themselves: such headers are dropped, the team follows from
// the API key, and the key itself reaches no target.
func TestCallerHeadersAreFiltered(t *testing.T) {
	d := newTestDeployment(t)
	target := newFakeTarget(t, "t-1")
	d.publishConfig(nil)
	d.listTarget(target, "a", "ready", 1)
	inst := d.startInstance("a")
	eventually(t, "the request is served", func() bool {
		return sendRequest("POST", inst.url("/unsafe/book?board=7%2F8"), nil).status == http.StatusOK
	})
	before := target.runCount()
	got := sendRequest("POST", inst.url("/unsafe/book?board=7%2F8"), func(h http.Header) {
		h.Set("X-Tenant", "somebody-else")
		h.Set("X-Hold", "h-1")
		h.Set("Kv-From", "10.0.0.1:80/x")
		h.Set("X-Note", "kept")
	})
	if got.status != http.StatusOK || got.body != "t-1 /unsafe/book?board=7%2F8 body" || got.header.Get("X-Response-Signature") != "signed-by-t-1" {
		t.Fatalf("response: %+v", got)
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	header := target.headers[before]
	if header.Get("X-Tenant") != "hotel" || header.Get("X-Hold") != "" || header.Get("Kv-From") != "" || header.Get("X-Note") != "kept" {
		t.Errorf("headers at the target: %v", header)
	}
	for name, values := range header {
		if strings.Contains(strings.Join(values, " "), "key-of-the-hotel") {
			t.Errorf("the key reached the target in %s", name)
		}
	}
}

// An instance that receives a request over a hop runs it on at most one target.
// If it used more attempts, the sender would not know of them, and the request
// would run on more targets than its route allows.
func TestHopRunsOnOneTarget(t *testing.T) {
	d := newTestDeployment(t)
	fails := func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	var targets []*fakeTarget
	for _, id := range []string{"b-1", "b-2", "c-1", "c-2"} {
		target := newFakeTarget(t, id)
		target.setHandler(fails)
		targets = append(targets, target)
		d.listTarget(target, id[:1], "ready", 1)
	}
	d.publishConfig(nil)
	inst := d.startInstance("a")
	d.startInstance("b")
	d.startInstance("c")
	eventually(t, "both regions are known", func() bool { return len(inst.readyInstances()) == 3 })
	eventually(t, "the hop is possible", func() bool {
		return sendRequest("GET", inst.url("/safe/stock"), nil).status == http.StatusInternalServerError
	})
	runs := func() (n int) {
		for _, target := range targets {
			n += target.runCount()
		}
		return n
	}
	before := runs()
	if got := sendRequest("GET", inst.url("/safe/stock"), nil); got.status != http.StatusInternalServerError {
		t.Fatalf("response: %+v", got)
	}
	if n := runs() - before; n > 2 {
		t.Errorf("the request ran on %d targets, its route allows 2", n)
	}
}

// Guards against a request that is restricted to certain regions entering
// through another one because the directory named an instance there.
func TestDirectoryPrefersAllowedRegions(t *testing.T) {
	ready := func(address, region, domain string) directoryEntry {
		return directoryEntry{balance.Instance{Address: address, Health: 1}, region, domain}
	}
	all := []directoryEntry{ready("10.1.0.1:80", "east", "a"), ready("10.1.0.2:80", "east", "a2"), ready("10.2.0.1:80", "west", "b"), ready("10.3.0.1:80", "south", "c")}
	allowed := map[string]bool{"east": true, "west": true}
	for _, c := range []struct {
		name, region, domain string
		instances            []directoryEntry
		allowed              map[string]bool
		want                 string
	}{
		{"failure domain of the caller", "east", "a", all, allowed, "10.1.0.1:80"},
		{"region of the caller", "east", "a3", all, allowed, "10.1.0.1:80 10.1.0.2:80"},
		{"region of the caller is not allowed", "south", "c", all, allowed, "10.3.0.1:80"},
		{"no instance in the region of the caller", "west", "b", []directoryEntry{all[0], all[3]}, allowed, "10.1.0.1:80"},
		{"no instance in any allowed region", "west", "b", []directoryEntry{all[3]}, allowed, "10.3.0.1:80"},
		{"no allowed regions", "west", "b", []directoryEntry{all[0], all[3]}, nil, "10.1.0.1:80 10.3.0.1:80"},
	} {
		if got := strings.Join(addressesFor(callerLocation(c.region, c.domain), "10.1.9.9", c.instances, c.allowed), " "); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

func callerLocation(region, domain string) platform.CallerLocation {
	return platform.CallerLocation{Region: region, Domain: domain}
}

// The routes of one host may allow different regions, and some of the routes
// may have no traffic. The directory prefers the regions that the most routes
// allow.
func TestAllowedRegionsOfHost(t *testing.T) {
	config := &deployment.Config{Routes: []*deployment.Route{
		{Host: "shop", AllowedRegions: []string{"east", "west"}}, {Host: "shop", AllowedRegions: []string{"east", "west"}},
		{Host: "shop"}, {Host: "shop", AllowedRegions: []string{"south"}}, {Host: "other", AllowedRegions: []string{"north"}},
	}}
	if got := allowedRegionsOf(config, "shop"); len(got) != 2 || !got["east"] || !got["west"] {
		t.Errorf("allowed regions: %v", got)
	}
	if got := allowedRegionsOf(nil, "shop"); len(got) != 0 {
		t.Errorf("allowed regions without a configuration: %v", got)
	}
}

// A stopping instance waits for running requests, not for idle connections of
// its peers.
func TestDrainDoesNotWaitForIdleConnections(t *testing.T) {
	d := newTestDeployment(t)
	target := newFakeTarget(t, "b-1")
	d.listTarget(target, "b", "ready", 1)
	d.publishConfig(nil)
	inst, stopping := d.startInstance("a"), d.startInstance("b")
	eventually(t, "a hop is served", func() bool { return sendRequest("GET", inst.url("/safe/stock"), nil).status == http.StatusOK })
	stopping.cancel()
	<-stopping.done
	stopping.done <- nil
	if strings.Contains(stopping.log.String(), event.DrainTimedOut.Name) {
		t.Error("the drain was cut short although nothing was running")
	}
}

// eventStream returns a handler that responds with a stream of n events, or
// with those after Last-Event-Id. If complete is less than n, it aborts the
// connection within the event that follows number complete.
func eventStream(n, complete int) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := after + 1; i <= n; i++ {
			if i > complete {
				_, _ = fmt.Fprintf(w, "id: %d\nda", i)
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		return true
	}
}

// A stream that breaks off is resumed at another target, and the caller
// receives every event exactly once.
func TestInterruptedStreamIsResumed(t *testing.T) {
	d := newTestDeployment(t)
	first, second := newFakeTarget(t, "t-1"), newFakeTarget(t, "t-2")
	d.publishConfig(nil)
	d.listTarget(first, "a", "ready", 1)
	inst := d.startInstance("a")
	eventually(t, "the request is served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	first.setHandler(eventStream(6, 3))
	second.setHandler(eventStream(6, 6))
	d.listTarget(second, "a", "ready", 1)
	eventually(t, "the second target is known", func() bool { return len(inst.catalog.Current().Targets) == 2 })
	for range 5 {
		got := sendRequest("POST", inst.url("/stream/ask"), nil)
		want := ""
		for i := 1; i <= 6; i++ {
			want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		}
		if got.status != http.StatusOK || got.body != want || got.err != nil {
			t.Fatalf("response: %+v", got)
		}
	}
}

// A request that must run at most once is sent to one target only, even if the
// connection breaks, and the response does not say that it was not run.
func TestAtMostOnceRequestIsNotRetried(t *testing.T) {
	d := newTestDeployment(t)
	first, second := newFakeTarget(t, "t-1"), newFakeTarget(t, "t-2")
	breaks := func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }
	first.setHandler(breaks)
	second.setHandler(breaks)
	d.publishConfig(nil)
	d.listTarget(first, "a", "ready", 1)
	d.listTarget(second, "a", "ready", 1)
	inst := d.startInstance("a")
	eventually(t, "both targets are known", func() bool { return len(inst.catalog.Current().Targets) == 2 && inst.gateway.Ready() })
	for _, id := range []string{"a", "b", "c"} {
		before := first.runCount() + second.runCount()
		got := sendRequest("POST", inst.url("/unsafe/book"), func(h http.Header) { h.Set("X-Request-Id", id); h.Set("Idempotency-Key", "k") })
		if ran := first.runCount() + second.runCount() - before; ran > 1 || ran == 1 && got.status != http.StatusBadGateway {
			t.Errorf("ran %d times, response %+v", ran, got)
		}
	}
}

// A request that a target rejected has not run and goes to another target. If
// every target rejects it, the response says that it was not run and when to
// retry.
func TestRejectedRequestIsRetriedElsewhere(t *testing.T) {
	d := newTestDeployment(t)
	first, second := newFakeTarget(t, "t-1"), newFakeTarget(t, "t-2")
	rejects := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	first.setHandler(rejects)
	d.publishConfig(nil)
	d.listTarget(first, "a", "ready", 1)
	d.listTarget(second, "a", "ready", 1)
	inst := d.startInstance("a")
	eventually(t, "both targets are known", func() bool { return len(inst.catalog.Current().Targets) == 2 && inst.gateway.Ready() })
	for range 10 {
		if got := sendRequest("POST", inst.url("/unsafe/book"), nil); got.status != http.StatusOK {
			t.Fatalf("response: %+v", got)
		}
	}
	second.setHandler(rejects)
	if got := sendRequest("POST", inst.url("/unsafe/book"), nil); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("response: %+v", got)
	}
}

// Guards against stale state: a draining target gets no more requests, an
// evacuation takes effect and ends, and a withdrawn API key is refused.
func TestConfigAndTargetChangesTakeEffect(t *testing.T) {
	d := newTestDeployment(t)
	first, second := newFakeTarget(t, "t-1"), newFakeTarget(t, "t-2")
	d.publishConfig(nil)
	d.listTarget(first, "a", "ready", 1)
	d.listTarget(second, "a", "ready", 1)
	inst := d.startInstance("a")
	eventually(t, "both targets serve", func() bool {
		sendRequest("GET", inst.url("/safe/x"), nil)
		return first.runCount() > 0 && second.runCount() > 0
	})
	d.listTarget(first, "a", "draining", 2)
	eventually(t, "the leaving target is known", func() bool { return inst.catalog.Current().Targets["t-1"].Leaving })
	before := first.runCount()
	for range 20 {
		sendRequest("GET", inst.url("/safe/x"), nil)
	}
	if first.runCount() != before {
		t.Error("a leaving target got requests")
	}
	d.store.put("op/evacuate/a", map[string]any{})
	eventually(t, "the evacuation is in force", func() bool {
		return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusServiceUnavailable
	})
	d.store.remove("op/evacuate/a")
	eventually(t, "the evacuation has ended", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	d.publishConfig(func(c map[string]any) {
		c["tenants"] = []any{map[string]any{"name": "hotel", "api_keys": []string{"new"}}}
	})
	eventually(t, "the key is withdrawn", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusUnauthorized })
	if got := sendRequest("GET", inst.url("/nowhere"), nil); got.status != http.StatusNotFound {
		t.Errorf("no route: %+v", got)
	}
}

// While the store refuses all calls, a running instance goes on serving, and an
// instance that starts then gets the configuration from its peers.
func TestSnapshotFromPeersDuringStoreOutage(t *testing.T) {
	d := newTestDeployment(t)
	target := newFakeTarget(t, "t-1")
	d.publishConfig(nil)
	d.listTarget(target, "a", "ready", 1)
	inst := d.startInstance("a")
	eventually(t, "the request is served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	d.store.refuse.Store(true)
	newInst := d.startInstance("a")
	eventually(t, "the new instance serves", func() bool { return sendRequest("GET", newInst.url("/safe/x"), nil).status == http.StatusOK })
	if got := sendRequest("GET", inst.url("/safe/x"), nil); got.status != http.StatusOK {
		t.Errorf("running instance: %+v", got)
	}
}

// No API key of a caller, known or unknown, appears in a log line or metric,
// whatever the outcome of the request.
func TestAPIKeysAreNotLogged(t *testing.T) {
	d := newTestDeployment(t)
	target := newFakeTarget(t, "t-1")
	d.publishConfig(nil)
	d.listTarget(target, "a", "ready", 1)
	inst := d.startInstance("a")
	eventually(t, "the request is served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	keys := []string{"key-of-the-hotel", "key-of-nobody"}
	for i, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/nowhere"} {
		for _, key := range keys {
			sendRequest("POST", inst.url(path), func(h http.Header) {
				h.Set("Api-Key", key)
				if i == 1 {
					h.Set("X-Deadline-Ms", "1")
				}
			})
		}
	}
	target.setHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	})
	sendRequest("GET", inst.url("/safe/x"), nil)
	res, err := http.Get("http://" + inst.metricsAddress() + metricsPath)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	metrics, err := io.ReadAll(res.Body)
	if err != nil || !strings.Contains(string(metrics), "wigeonhill_requests_total") {
		t.Fatalf("metrics: %.200s, %v", metrics, err)
	}
	inst.cancel()
	<-inst.done
	inst.done <- nil
	written := string(metrics) + inst.log.String()
	if !strings.Contains(written, event.RequestPlaced.Name) || !strings.Contains(written, event.RequestRefused.Name) {
		t.Error("the log lacks placed or refused requests")
	}
	for _, key := range keys {
		if strings.Contains(written, key) || strings.Contains(written, hex.EncodeToString([]byte(key))) {
			t.Errorf("%s is in the log or the metrics", key)
		}
	}
}

// A request that crashes the targets that run it is blocked at every instance
// after two crashes. A request whose connection is reset by a target that is
// still alive is not blocked.
func TestRequestThatCrashesTargetsIsBlocked(t *testing.T) {
	d := newTestDeployment(t)
	d.publishConfig(nil)
	var targets []*fakeTarget
	for _, id := range []string{"t-1", "t-2", "t-3", "t-4"} {
		target := newFakeTarget(t, id)
		targets = append(targets, target)
		d.listTarget(target, "a", "ready", 1)
	}
	crashing := atomic.Bool{}
	for _, target := range targets {
		target.setHandler(func(_ http.ResponseWriter, r *http.Request) bool {
			switch r.URL.Path {
			case "/unsafe/poison":
				if crashing.Load() {
					_ = target.Listener.Close()
				}
				panic(http.ErrAbortHandler)
			}
			return false
		})
	}
	inst, peer := d.startInstance("a"), d.startInstance("a")
	eventually(t, "the instances know the targets and each other", func() bool {
		return len(inst.catalog.Current().Targets) == 4 && len(peer.catalog.Current().Targets) == 4 && len(inst.readyInstances()) == 2 && len(peer.readyInstances()) == 2
	})
	for range 4 {
		if got := sendRequest("POST", inst.url("/unsafe/poison"), nil); got.status != http.StatusBadGateway {
			t.Fatalf("connection reset by a live target: %+v", got)
		}
		sendRequest("GET", inst.url("/safe/x"), nil)
	}
	crashing.Store(true)
	runs := func() (n int) {
		for _, target := range targets {
			n += target.runCount()
		}
		return n
	}
	before := runs()
	eventually(t, "the request is blocked at both instances", func() bool {
		a, b := sendRequest("POST", inst.url("/unsafe/poison"), nil), sendRequest("POST", peer.url("/unsafe/poison"), nil)
		return a.status == http.StatusServiceUnavailable && b.status == http.StatusServiceUnavailable
	})
	if n := runs() - before; n > 3 {
		t.Errorf("it ran on %d targets", n)
	}
	eventually(t, "other requests are served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
}

// A request is cancelled at its target when the caller disconnects, also over a
// hop and before the first byte of the response.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	d := newTestDeployment(t)
	target := newFakeTarget(t, "t-1")
	d.publishConfig(nil)
	d.listTarget(target, "b", "ready", 1)
	local, remote := d.startInstance("b"), d.startInstance("a")
	for _, inst := range []*testInstance{local, remote} {
		eventually(t, "the request is served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	}
	started, ended := make(chan struct{}), make(chan struct{})
	target.setHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
		return true
	})
	for _, path := range []string{"/safe/leave", "/stream/leave", "/unsafe/leave"} {
		for _, inst := range []*testInstance{local, remote} {
			ctx, disconnect := context.WithCancel(context.Background())
			req, err := http.NewRequestWithContext(ctx, "GET", inst.url(path), nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "shop.example"
			req.Header.Set("X-Request-Id", fmt.Sprintf("leaves-%d", requestCount.Add(1)))
			req.Header.Set("X-Deadline-Ms", "600000")
			req.Header.Set("Api-Key", "key-of-the-hotel")
			done := make(chan error)
			go func() {
				_, err := callerTransport.RoundTrip(req)
				done <- err
			}()
			<-started
			disconnect()
			<-ended // the test times out if the request is not cancelled
			if err := <-done; err == nil {
				t.Errorf("%s: got a response although the caller disconnected", path)
			}
		}
	}
}
