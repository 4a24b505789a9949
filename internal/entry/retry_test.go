package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
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
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// Guards targets against a request that crashes them: it is blocked after its
// second crash, also when it is resent, and other requests are still served.
func TestCrashingRequestIsBlocked(t *testing.T) {
	for _, stream := range []bool{false, true} {
		cluster := newTestCluster(t)
		var crashes atomic.Int32
		for i := 1; i < 5; i++ {
			cluster.startTarget(fmt.Sprintf("t%d", i), "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
				if b, _ := io.ReadAll(r.Body); strings.Contains(string(b), "poison") {
					crashes.Add(1)
					abortConnection()
				}
				_, _ = io.WriteString(rw, completeResponse)
			})
		}
		n := cluster.startInstance("n", "north")
		poison := fmt.Sprintf(`{"model":%q,"prompt":"poison","stream":%v}`, model, stream)
		n.expectError(t, n.do("POST", "/v1/completions", poison), result.RequestBlocked, "may_have_run")
		n.expectError(t, n.do("POST", "/v1/completions", poison), result.RequestBlocked, "not_run")
		if crashes.Load() != 2 {
			t.Fatalf("%d targets crashed", crashes.Load())
		}
		if r := n.sendChat(false); r.body != completeResponse {
			t.Fatalf("%+v", r)
		}
	}
}

func TestRequestWhoseResponsesEndWithTheirConnectionIsSuspected(t *testing.T) {
	for name, c := range map[string]struct {
		stream            bool
		contentType, body string
	}{
		"inside an event":       {true, "text/event-stream", tokenEvent(0) + tokenEvent(1)[:9]},
		"before the end marker": {true, "text/event-stream", tokenEvent(0)},
		"inside the body":       {false, "application/json", completeResponse[:20]},
	} {
		cluster := newTestCluster(t)
		var crashes atomic.Int32
		for i := 1; i < 5; i++ {
			cluster.startTarget(fmt.Sprintf("t%d", i), "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) {
				crashes.Add(1)
				respondRaw(t, rw, "HTTP/1.1 200 OK\r\nContent-Type: "+c.contentType+"\r\n\r\n"+c.body)
			})
		}
		n := cluster.startInstance("n", "north")
		for range 3 {
			n.sendChat(c.stream)
		}
		n.expectError(t, n.sendChat(c.stream), result.RequestBlocked, "not_run")
		if crashes.Load() != 2 {
			t.Errorf("%s: the request reached %d targets", name, crashes.Load())
		}
	}
}

// respondRaw writes a response to the connection as it is and closes it.
func respondRaw(t *testing.T, w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// Guards the retry budget: when every request fails once, about a tenth of them
// are retried, and the responses to the others say that they may have run.
func TestRetriesAreBounded(t *testing.T) {
	cluster := newTestCluster(t)
	var bad, good int32
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		atomic.AddInt32(&bad, 1)
		rw.WriteHeader(http.StatusInternalServerError)
	})
	cluster.startTarget("t2", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		atomic.AddInt32(&good, 1)
		_, _ = io.WriteString(rw, completeResponse)
	})
	n := cluster.startInstance("n", "north")
	for range 100 {
		if r := n.sendChat(false); r.status != 200 {
			n.expectError(t, r, result.TargetFailed, "may_have_run")
		}
	}
	// The budget starts at 10.
	if b, g := atomic.LoadInt32(&bad), atomic.LoadInt32(&good); b != 100 || g < 15 || g > 20 {
		t.Fatalf("%d requests, %d retries", b, g)
	}
}

// Guards "not run" for a request that the engine refused, and that other error
// responses of an engine are passed on to the caller.
func TestEngineRefuses(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if strings.Contains(string(b), "bad") {
			rw.WriteHeader(http.StatusUnprocessableEntity)
			_, _ = io.WriteString(rw, "no such tool")
			return
		}
		rw.Header().Set("X-Not-Run", "true")
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	n := cluster.startInstance("n", "north")
	n.expectError(t, n.sendChat(true), result.TargetFailed, "not_run")
	if _, _, used := n.admitter.usage(); used[0] != 0 {
		t.Fatalf("used %v", used)
	}
	if r := n.do("POST", "/v1/completions", `{"model":"planner","prompt":"bad","stream":true}`); r.status != 422 || r.body != "no such tool" {
		t.Fatalf("%+v", r)
	}
}

// Guards "not run" over the hop: an unreachable instance has run nothing; one
// that fails after it received a booking may have run it.
func TestHopFailures(t *testing.T) {
	cluster := newTestCluster(t)
	var runs atomic.Int32
	var s *testInstance
	cluster.startTarget("t1", "south", config.PlainService, func(rw http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_ = s.peerServer.Close()
		<-r.Context().Done()
	})
	n := cluster.startInstance("n", "north")
	s = cluster.startInstance("s", "south")
	n.expectError(t, n.do("POST", bookingsPath, "x"), result.TargetFailed, "may_have_run")
	n.expectError(t, n.do("POST", bookingsPath, "x"), result.RegionUnreachable, "not_run")
	if runs.Load() != 1 || n.dispatcher.InFlight("south") != 0 {
		t.Fatalf("%d runs", runs.Load())
	}
}

// Guards requests that ran on a target together with one that crashed it: after
// the crash these co-suspects are sent to different targets, so that the second
// crash tells which request caused it.
func TestCoSuspectsAreSeparated(t *testing.T) {
	cluster := newTestCluster(t)
	var crashes atomic.Int32
	arrived := make(chan struct{}, 2)
	for i := 1; i < 6; i++ {
		cluster.startTarget(fmt.Sprintf("t%d", i), "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			if r.Header.Get("X-Attempt") == "1" {
				arrived <- struct{}{}
				await(t, func() bool { return len(arrived) == 2 })
				abortConnection()
			}
			if strings.Contains(string(b), "poison") {
				crashes.Add(1)
				abortConnection()
			}
			await(t, func() bool { return crashes.Load() > 0 })
			_, _ = io.WriteString(rw, completeResponse)
		})
	}
	n := cluster.startInstance("n", "north")
	harmless := make(chan reply, 1)
	go func() { harmless <- n.sendChat(false) }()
	r := n.do("POST", "/v1/completions", `{"model":"planner","prompt":"poison"}`)
	n.expectError(t, r, result.RequestBlocked, "may_have_run")
	if r := recv(t, harmless); r.body != completeResponse || crashes.Load() != 1 {
		t.Fatalf("%+v after %d further crashes", r, crashes.Load())
	}
}

// Guards the choice of a region against the old status of a region that has
// become unreachable, and the other region against more than one status request
// a second.
func TestPoolStatusCache(t *testing.T) {
	cluster := newTestCluster(t)
	n, s := cluster.startInstance("n", "north"), cluster.startInstance("s", "south")
	clients, err := peerapi.NewClients(settings.Peers{Insecure: true})
	check(t, err)
	defer clients.Close()
	cache := dispatch.NewPoolStatusCache(n, clients, n.clock, nil)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = cache.Run(ctx); close(ended) }()
	status := func() dispatch.PoolStatus { st, _ := cache.Status("south", model, ""); return st }
	if _, ok := cache.Status("south", model, ""); ok {
		t.Fatal("a status is known before the first status request")
	}
	await(t, func() bool {
		return status() == dispatch.PoolStatus{Capacity: 4, Running: 1, Queued: 2, QueueWait: time.Second, Reachable: true}
	})
	_ = s.peerServer.Close()
	if asked := s.poolStatusCalls.Load(); !status().Reachable || asked != 1 {
		t.Fatalf("%d status requests within a second", asked)
	}
	n.clock.Advance(time.Second)
	await(t, func() bool { return !status().Reachable })
	cancel()
	recv(t, ended)
}

// A target that writes the response to the request before once more, when the next
// one arrives on a connection that it keeps.
func TestRepeatedResponseIsNotTakenForThatToAnotherRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go standin.ServeConns(l, func(conn net.Conn) {
		defer conn.Close()
		in, earlier := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			response := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
			_, _ = io.WriteString(conn, earlier+response)
			earlier = response
		}
	})
	cluster := newTestCluster(t)
	cluster.addTarget("t1", "north", config.PlainService, l.Addr().String())
	n := cluster.startInstance("n", "north")
	for i := range 20 {
		if path := fmt.Sprintf("/orders/stock/%d", i); n.do("GET", path, "").body != path {
			t.Errorf("request for %s got another response", path)
		}
	}
}
