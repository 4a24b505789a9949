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

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/platform"
)

// Every caller header that only the system may set is dropped, the team comes
// from the key, and the key itself reaches no target.
func TestRequestReachesTarget(t *testing.T) {
	w := newWorld(t)
	x := newTarget(t, "t-1")
	w.operator(nil)
	w.list(x, "a", "ready", 1)
	p := w.start("a")
	eventually(t, "the request is served", func() bool {
		return call("POST", p.url("/unsafe/book?board=7%2F8"), nil).status == http.StatusOK
	})
	before := x.ran()
	got := call("POST", p.url("/unsafe/book?board=7%2F8"), func(h http.Header) {
		h.Set("X-Tenant", "somebody-else")
		h.Set("X-Hold", "h-1")
		h.Set("Kv-From", "10.0.0.1:80/x")
		h.Set("X-Note", "kept")
	})
	if got.status != http.StatusOK || got.body != "t-1 /unsafe/book?board=7%2F8 body" || got.header.Get("X-Response-Signature") != "signed-by-t-1" {
		t.Fatalf("answer: %+v", got)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.seen[before]
	if h.Get("X-Tenant") != "hotel" || h.Get("X-Hold") != "" || h.Get("Kv-From") != "" || h.Get("X-Note") != "kept" {
		t.Errorf("headers at the target: %v", h)
	}
	for name, values := range h {
		if strings.Contains(strings.Join(values, " "), "key-of-the-hotel") {
			t.Errorf("the key reached the target in %s", name)
		}
	}
}

// A request that one hop's receiver ran is run at most once more: the receiver
// must not use up attempts that the sender does not know of.
func TestHopRunsOnOneTarget(t *testing.T) {
	w := newWorld(t)
	fails := func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	var targets []*target
	for _, id := range []string{"b-1", "b-2", "c-1", "c-2"} {
		x := newTarget(t, id)
		x.set(fails)
		targets = append(targets, x)
		w.list(x, id[:1], "ready", 1)
	}
	w.operator(nil)
	p := w.start("a")
	w.start("b")
	w.start("c")
	eventually(t, "both regions are known", func() bool { return len(p.entries()) == 3 })
	eventually(t, "the hop is possible", func() bool {
		return call("GET", p.url("/safe/stock"), nil).status == http.StatusInternalServerError
	})
	runs := func() (n int) {
		for _, x := range targets {
			n += x.ran()
		}
		return n
	}
	before := runs()
	if got := call("GET", p.url("/safe/stock"), nil); got.status != http.StatusInternalServerError {
		t.Fatalf("answer: %+v", got)
	}
	if n := runs() - before; n > 2 {
		t.Errorf("the request ran on %d targets, its route allows 2", n)
	}
}

// Requests that are bound to a region must not enter at a third one because the
// directory named it.
func TestDirectoryKeepsToHomes(t *testing.T) {
	all := []entry{{"10.1.0.1:80", "east", "a"}, {"10.1.0.2:80", "east", "a2"}, {"10.2.0.1:80", "west", "b"}, {"10.3.0.1:80", "south", "c"}}
	homes := map[string]bool{"east": true, "west": true}
	for _, c := range []struct {
		name, region, domain string
		entries              []entry
		homes                map[string]bool
		want                 string
	}{
		{"own failure domain", "east", "a", all, homes, "10.1.0.1:80"},
		{"own region", "east", "a3", all, homes, "10.1.0.1:80 10.1.0.2:80"},
		{"own region that is no home", "south", "c", all, homes, "10.3.0.1:80"},
		{"no instance in the own region", "west", "b", []entry{all[0], all[3]}, homes, "10.1.0.1:80"},
		{"no instance in any home", "west", "b", []entry{all[3]}, homes, "10.3.0.1:80"},
		{"no homes", "west", "b", []entry{all[0], all[3]}, nil, "10.1.0.1:80 10.3.0.1:80"},
	} {
		if got := strings.Join(where(whereabouts(c.region, c.domain), c.entries, c.homes), " "); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

func whereabouts(region, domain string) platform.CallerLocation {
	return platform.CallerLocation{Region: region, Domain: domain}
}

// Routes of one host may have different homes, some of them without traffic; the
// regions that suit the most routes are the ones to name.
func TestHomesOfHost(t *testing.T) {
	c := &deployment.Config{Routes: []*deployment.Route{
		{Host: "shop", AllowedRegions: []string{"east", "west"}}, {Host: "shop", AllowedRegions: []string{"east", "west"}},
		{Host: "shop"}, {Host: "shop", AllowedRegions: []string{"south"}}, {Host: "other", AllowedRegions: []string{"north"}},
	}}
	if got := homesOf(c, "shop"); len(got) != 2 || !got["east"] || !got["west"] {
		t.Errorf("homes: %v", got)
	}
	if got := homesOf(nil, "shop"); len(got) != 0 {
		t.Errorf("homes without a configuration: %v", got)
	}
}

// An instance that stops waits for requests, not for the idle connections of
// its peers.
func TestStopDoesNotWaitForIdlePeers(t *testing.T) {
	w := newWorld(t)
	x := newTarget(t, "b-1")
	w.list(x, "b", "ready", 1)
	w.operator(nil)
	p, q := w.start("a"), w.start("b")
	eventually(t, "a hop is served", func() bool { return call("GET", p.url("/safe/stock"), nil).status == http.StatusOK })
	q.cancel()
	<-q.done
	q.done <- nil
	if strings.Contains(q.log.String(), event.DrainCut.Name) {
		t.Error("the drain was cut short although nothing was running")
	}
}

// events answers with a stream of n events; it breaks off after the first whole
// ones if that is less than n.
func events(n, whole int) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := after + 1; i <= n; i++ {
			if i > whole {
				_, _ = fmt.Fprintf(w, "id: %d\nda", i)
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		return true
	}
}

// A stream that breaks off is resumed at another target; the caller gets every
// event once.
func TestStreamIsResumedElsewhere(t *testing.T) {
	w := newWorld(t)
	x, y := newTarget(t, "t-1"), newTarget(t, "t-2")
	w.operator(nil)
	w.list(x, "a", "ready", 1)
	p := w.start("a")
	eventually(t, "the request is served", func() bool { return call("GET", p.url("/safe/x"), nil).status == http.StatusOK })
	x.set(events(6, 3))
	y.set(events(6, 6))
	w.list(y, "a", "ready", 1)
	eventually(t, "the second target is known", func() bool { return len(p.catalog.Current().Targets) == 2 })
	for range 5 {
		got := call("POST", p.url("/stream/ask"), nil)
		want := ""
		for i := 1; i <= 6; i++ {
			want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		}
		if got.status != http.StatusOK || got.body != want || got.err != nil {
			t.Fatalf("answer: %+v", got)
		}
	}
}

// A request that must run once is sent once, also if its connection breaks, and
// the answer does not say that it was not run.
func TestOnceIsOnce(t *testing.T) {
	w := newWorld(t)
	x, y := newTarget(t, "t-1"), newTarget(t, "t-2")
	breaks := func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }
	x.set(breaks)
	y.set(breaks)
	w.operator(nil)
	w.list(x, "a", "ready", 1)
	w.list(y, "a", "ready", 1)
	p := w.start("a")
	eventually(t, "both targets are known", func() bool { return len(p.catalog.Current().Targets) == 2 && p.gateway.Ready() })
	for _, id := range []string{"a", "b", "c"} {
		before := x.ran() + y.ran()
		got := call("POST", p.url("/unsafe/book"), func(h http.Header) { h.Set("X-Request-Id", id); h.Set("Idempotency-Key", "k") })
		if ran := x.ran() + y.ran() - before; ran > 1 || ran == 1 && got.status != http.StatusBadGateway {
			t.Errorf("ran %d times, answer %+v", ran, got)
		}
	}
}

// A rejected request has not run and goes to another target; what every target
// rejects is answered as not run, with the time to come back.
func TestRejectedRequestGoesElsewhere(t *testing.T) {
	w := newWorld(t)
	x, y := newTarget(t, "t-1"), newTarget(t, "t-2")
	rejects := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	x.set(rejects)
	w.operator(nil)
	w.list(x, "a", "ready", 1)
	w.list(y, "a", "ready", 1)
	p := w.start("a")
	eventually(t, "both targets are known", func() bool { return len(p.catalog.Current().Targets) == 2 && p.gateway.Ready() })
	for range 10 {
		if got := call("POST", p.url("/unsafe/book"), nil); got.status != http.StatusOK {
			t.Fatalf("answer: %+v", got)
		}
	}
	y.set(rejects)
	if got := call("POST", p.url("/unsafe/book"), nil); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("answer: %+v", got)
	}
}

// A key that was taken away and a target that leaves get no more requests.
func TestOperatorsAndTargetsAreFollowed(t *testing.T) {
	w := newWorld(t)
	x, y := newTarget(t, "t-1"), newTarget(t, "t-2")
	w.operator(nil)
	w.list(x, "a", "ready", 1)
	w.list(y, "a", "ready", 1)
	p := w.start("a")
	eventually(t, "both targets serve", func() bool { call("GET", p.url("/safe/x"), nil); return x.ran() > 0 && y.ran() > 0 })
	w.list(x, "a", "draining", 2)
	eventually(t, "the leaving target is known", func() bool { return p.catalog.Current().Targets["t-1"].Leaving })
	before := x.ran()
	for range 20 {
		call("GET", p.url("/safe/x"), nil)
	}
	if x.ran() != before {
		t.Error("a leaving target got requests")
	}
	w.store.put("op/evacuate/a", map[string]any{})
	eventually(t, "the evacuation is in force", func() bool { return call("GET", p.url("/safe/x"), nil).status == http.StatusServiceUnavailable })
	w.store.remove("op/evacuate/a")
	eventually(t, "the evacuation is taken back", func() bool { return call("GET", p.url("/safe/x"), nil).status == http.StatusOK })
	w.operator(func(c map[string]any) {
		c["tenants"] = []any{map[string]any{"name": "hotel", "api_keys": []string{"new"}}}
	})
	eventually(t, "the key is withdrawn", func() bool { return call("GET", p.url("/safe/x"), nil).status == http.StatusUnauthorized })
	if got := call("GET", p.url("/nowhere"), nil); got.status != http.StatusNotFound {
		t.Errorf("no route: %+v", got)
	}
}

// An instance that the store turns away follows the others, and one that starts
// then learns the configuration from them.
func TestStoreTurnsEverybodyAway(t *testing.T) {
	w := newWorld(t)
	x := newTarget(t, "t-1")
	w.operator(nil)
	w.list(x, "a", "ready", 1)
	p := w.start("a")
	eventually(t, "the request is served", func() bool { return call("GET", p.url("/safe/x"), nil).status == http.StatusOK })
	w.store.refuse.Store(true)
	q := w.start("a")
	eventually(t, "the new instance serves", func() bool { return call("GET", q.url("/safe/x"), nil).status == http.StatusOK })
	if got := call("GET", p.url("/safe/x"), nil); got.status != http.StatusOK {
		t.Errorf("the old instance: %+v", got)
	}
}

// No key of a caller stands in any log line or metric, whatever becomes of its
// requests.
func TestKeysAreNotWritten(t *testing.T) {
	w := newWorld(t)
	x := newTarget(t, "t-1")
	w.operator(nil)
	w.list(x, "a", "ready", 1)
	p := w.start("a")
	eventually(t, "the request is served", func() bool { return call("GET", p.url("/safe/x"), nil).status == http.StatusOK })
	keys := []string{"key-of-the-hotel", "key-of-nobody"}
	for i, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/nowhere"} {
		for _, key := range keys {
			call("POST", p.url(path), func(h http.Header) {
				h.Set("Api-Key", key)
				if i == 1 {
					h.Set("X-Deadline-Ms", "1")
				}
			})
		}
	}
	x.set(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	})
	call("GET", p.url("/safe/x"), nil)
	res, err := http.Get("http://" + p.metricsAddress() + metricsPath)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	metrics, err := io.ReadAll(res.Body)
	if err != nil || !strings.Contains(string(metrics), "wigeonhill_requests_total") {
		t.Fatalf("metrics: %.200s, %v", metrics, err)
	}
	p.cancel()
	<-p.done
	p.done <- nil
	written := string(metrics) + p.log.String()
	if !strings.Contains(written, event.RequestPlaced.Name) || !strings.Contains(written, event.RequestRefused.Name) {
		t.Error("the log lacks the decisions about the requests")
	}
	for _, key := range keys {
		if strings.Contains(written, key) || strings.Contains(written, hex.EncodeToString([]byte(key))) {
			t.Errorf("%s was written", key)
		}
	}
}

// A request that crashes the targets that run it is stopped after two of them, at
// every instance. Requests whose connection is reset by a target that lives are
// not taken for such a one.
func TestRequestThatCrashesTargetsIsStopped(t *testing.T) {
	w := newWorld(t)
	w.operator(nil)
	var targets []*target
	for _, id := range []string{"t-1", "t-2", "t-3", "t-4"} {
		x := newTarget(t, id)
		targets = append(targets, x)
		w.list(x, "a", "ready", 1)
	}
	crashing := atomic.Bool{}
	for _, x := range targets {
		x.set(func(_ http.ResponseWriter, r *http.Request) bool {
			switch r.URL.Path {
			case "/unsafe/poison":
				if crashing.Load() {
					_ = x.Listener.Close()
				}
				panic(http.ErrAbortHandler)
			}
			return false
		})
	}
	p, q := w.start("a"), w.start("a")
	eventually(t, "the instances know the targets and each other", func() bool {
		return len(p.catalog.Current().Targets) == 4 && len(q.catalog.Current().Targets) == 4 && len(p.entries()) == 2 && len(q.entries()) == 2
	})
	for range 4 {
		if got := call("POST", p.url("/unsafe/poison"), nil); got.status != http.StatusBadGateway {
			t.Fatalf("reset by a living target: %+v", got)
		}
		call("GET", p.url("/safe/x"), nil)
	}
	crashing.Store(true)
	ran := func() (n int) {
		for _, x := range targets {
			n += x.ran()
		}
		return n
	}
	before := ran()
	eventually(t, "the request is stopped at both instances", func() bool {
		a, b := call("POST", p.url("/unsafe/poison"), nil), call("POST", q.url("/unsafe/poison"), nil)
		return a.status == http.StatusServiceUnavailable && b.status == http.StatusServiceUnavailable
	})
	if n := ran() - before; n > 3 {
		t.Errorf("it ran on %d targets", n)
	}
	eventually(t, "other requests are served", func() bool { return call("GET", p.url("/safe/x"), nil).status == http.StatusOK })
}

// A caller that leaves ends its request at the target, also over the hop and
// before the first byte of the answer.
func TestCallerThatLeavesEndsItsRequest(t *testing.T) {
	w := newWorld(t)
	x := newTarget(t, "t-1")
	w.operator(nil)
	w.list(x, "b", "ready", 1)
	near, far := w.start("b"), w.start("a")
	for _, p := range []*process{near, far} {
		eventually(t, "the request is served", func() bool { return call("GET", p.url("/safe/x"), nil).status == http.StatusOK })
	}
	begun, ended := make(chan struct{}), make(chan struct{})
	x.set(func(_ http.ResponseWriter, r *http.Request) bool {
		begun <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
		return true
	})
	for _, path := range []string{"/safe/leave", "/stream/leave", "/unsafe/leave"} {
		for _, p := range []*process{near, far} {
			ctx, leave := context.WithCancel(context.Background())
			req, err := http.NewRequestWithContext(ctx, "GET", p.url(path), nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "shop.example"
			req.Header.Set("X-Request-Id", fmt.Sprintf("leaves-%d", requests.Add(1)))
			req.Header.Set("X-Deadline-Ms", "600000")
			req.Header.Set("Api-Key", "key-of-the-hotel")
			gone := make(chan error)
			go func() {
				_, err := callerTransport.RoundTrip(req)
				gone <- err
			}()
			<-begun
			leave()
			<-ended // the test times out if the target is left to work
			if err := <-gone; err == nil {
				t.Errorf("%s: an answer for a caller that left", path)
			}
		}
	}
}
