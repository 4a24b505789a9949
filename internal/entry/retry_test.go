package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// Guards targets against a request that crashes them: it is stopped after its
// second crash, also when it is sent again, and other requests go on.
func TestCrashingRequestIsBlocked(t *testing.T) {
	for _, stream := range []bool{false, true} {
		w := newWorld(t)
		var crashes atomic.Int32
		for i := 1; i < 5; i++ {
			w.target(fmt.Sprintf("t%d", i), "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
				if b, _ := io.ReadAll(r.Body); strings.Contains(string(b), "poison") {
					crashes.Add(1)
					crash()
				}
				_, _ = io.WriteString(rw, whole)
			})
		}
		n := w.node("n", "north")
		poison := fmt.Sprintf(`{"model":%q,"prompt":"poison","stream":%v}`, model, stream)
		n.expect(t, n.do("POST", "/v1/completions", poison), result.FingerprintBlock, "may_have_run")
		n.expect(t, n.do("POST", "/v1/completions", poison), result.FingerprintBlock, "not_run")
		if crashes.Load() != 2 {
			t.Fatalf("%d targets crashed", crashes.Load())
		}
		if r := n.chat(false); r.body != whole {
			t.Fatalf("%+v", r)
		}
	}
}

// Guards the retry budget: when every request fails once, about a tenth of them
// are repeated, and the others say that they may have run.
func TestRetriesAreBounded(t *testing.T) {
	w := newWorld(t)
	var bad, good int32
	w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		atomic.AddInt32(&bad, 1)
		rw.WriteHeader(http.StatusInternalServerError)
	})
	w.target("t2", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		atomic.AddInt32(&good, 1)
		_, _ = io.WriteString(rw, whole)
	})
	n := w.node("n", "north")
	for range 100 {
		if r := n.chat(false); r.status != 200 {
			n.expect(t, r, result.TargetFailed, "may_have_run")
		}
	}
	// The budget starts at 10.
	if b, g := atomic.LoadInt32(&bad), atomic.LoadInt32(&good); b != 100 || g < 15 || g > 20 {
		t.Fatalf("%d requests, %d retries", b, g)
	}
}

// Guards "not run" of an engine that refuses, and passes on its other answers.
func TestEngineRefuses(t *testing.T) {
	w := newWorld(t)
	w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if strings.Contains(string(b), "bad") {
			rw.WriteHeader(http.StatusUnprocessableEntity)
			_, _ = io.WriteString(rw, "no such tool")
			return
		}
		rw.Header().Set("X-Not-Run", "true")
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	n := w.node("n", "north")
	n.expect(t, n.chat(true), result.TargetFailed, "not_run")
	if _, _, used := n.adm.settled(); used[0] != 0 {
		t.Fatalf("used %v", used)
	}
	if r := n.do("POST", "/v1/completions", `{"model":"planner","prompt":"bad","stream":true}`); r.status != 422 || r.body != "no such tool" {
		t.Fatalf("%+v", r)
	}
}

// Guards "not run" over the hop: an instance that cannot be reached has run
// nothing; one that dies after it got a booking may have.
func TestHopFailures(t *testing.T) {
	w := newWorld(t)
	var runs atomic.Int32
	var s *node
	w.target("t1", "south", config.Plain, func(rw http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_ = s.peers.Close()
		<-r.Context().Done()
	})
	n := w.node("n", "north")
	s = w.node("s", "south")
	n.expect(t, n.do("POST", bookings, "x"), result.TargetFailed, "may_have_run")
	n.expect(t, n.do("POST", bookings, "x"), result.RegionUnreachable, "not_run")
	if runs.Load() != 1 || n.disp.InFlight("south") != 0 {
		t.Fatalf("%d runs", runs.Load())
	}
}

// Guards the requests that ran beside one that crashes targets: after a crash
// they are kept apart, so that the second crash tells which one it was.
func TestCompanionsAreKeptApart(t *testing.T) {
	w := newWorld(t)
	var crashes atomic.Int32
	both := make(chan struct{}, 2)
	for i := 1; i < 6; i++ {
		w.target(fmt.Sprintf("t%d", i), "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			if r.Header.Get("X-Attempt") == "1" {
				both <- struct{}{}
				await(t, func() bool { return len(both) == 2 })
				crash()
			}
			if strings.Contains(string(b), "poison") {
				crashes.Add(1)
				crash()
			}
			await(t, func() bool { return crashes.Load() > 0 })
			_, _ = io.WriteString(rw, whole)
		})
	}
	n := w.node("n", "north")
	innocent := make(chan reply, 1)
	go func() { innocent <- n.chat(false) }()
	r := n.do("POST", "/v1/completions", `{"model":"planner","prompt":"poison"}`)
	n.expect(t, r, result.FingerprintBlock, "may_have_run")
	if r := recv(t, innocent); r.body != whole || crashes.Load() != 1 {
		t.Fatalf("%+v after %d further crashes", r, crashes.Load())
	}
}

// Guards the choice of a region against answers of a region that is gone, and
// the other region against more than one question a second.
func TestPoolAsker(t *testing.T) {
	w := newWorld(t)
	n, s := w.node("n", "north"), w.node("s", "south")
	clients, err := peerapi.NewClients(settings.Peers{Insecure: true})
	check(t, err)
	defer clients.Close()
	a := dispatch.NewPoolStatusCache(n, clients, n.clock, nil)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = a.Run(ctx); close(ended) }()
	state := func() dispatch.PoolStatus { st, _ := a.Status("south", model, ""); return st }
	if _, ok := a.Status("south", model, ""); ok {
		t.Fatal("an answer before the question")
	}
	await(t, func() bool {
		return state() == dispatch.PoolStatus{Capacity: 4, Running: 1, Queued: 2, QueueWait: time.Second, Reachable: true}
	})
	_ = s.peers.Close()
	if asked := s.asked.Load(); !state().Reachable || asked != 1 {
		t.Fatalf("asked %d times within a second", asked)
	}
	n.clock.Advance(time.Second)
	await(t, func() bool { return !state().Reachable })
	cancel()
	recv(t, ended)
}
