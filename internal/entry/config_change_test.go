package entry_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/wigeonhill/wigeonhill/internal/admission"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routing"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

func withdrawKey(cfg *config.Config)    { clear(cfg.Keys) }
func allowSouthOnly(cfg *config.Config) { cfg.Models[model].Residency = "south only" }

// Guards the last check before each dispatch: a request that the configuration
// came to forbid while it waited for admission must not reach a target.
func TestConfigChangesInQueue(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*config.Config)
		code   result.Code
		region string
	}{
		"key withdrawn":              {withdrawKey, result.KeyWithdrawn, ""},
		"team may not use the model": {func(cfg *config.Config) { cfg.Teams["ramdin"].Models = map[string]bool{"other": true} }, result.RouteNotAllowed, ""},
		"residency tightened":        {allowSouthOnly, 0, "south"},
		"target removed":             {func(cfg *config.Config) { delete(cfg.Targets, "t1") }, 0, "south"},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t)
			var north atomic.Int32
			cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { north.Add(1); writeEvents(rw, finalEvents(0)) })
			cluster.startTarget("t2", "south", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, tokenEvent(0), finalEvents(1)) })
			n := cluster.startInstance("n", "north")
			cluster.startInstance("s", "south")
			var once atomic.Bool
			n.admitter.onAdmit = func(admission.Request) {
				if once.CompareAndSwap(false, true) {
					cluster.updateConfig(c.change)
				}
			}
			r := n.sendChat(true)
			if code, ran := r.errorCode(); code != c.code || code != 0 && ran != "not_run" || north.Load() != 0 {
				t.Fatalf("%+v, %d runs in the north", r, north.Load())
			}
			if rec := recv(t, n.records); c.code == 0 && rec.Region != c.region {
				t.Fatalf("served in %q", rec.Region)
			}
			if busy, _, used := n.admitter.usage(); busy != 0 || used[0] != 0 {
				t.Fatalf("busy %d, used %v", busy, used)
			}
		})
	}
}

// Guards the check of running requests: a stream ends when its key is withdrawn
// or its region is no longer allowed, in the local region and over the hop.
func TestConfigChangeEndsStreams(t *testing.T) {
	for name, c := range map[string]struct {
		region string
		change func(*config.Config)
		code   result.Code
	}{
		"key withdrawn":                 {"north", withdrawKey, result.KeyWithdrawn},
		"residency tightened":           {"north", allowSouthOnly, result.NoRegionAllowed},
		"key withdrawn over the hop":    {"south", withdrawKey, result.KeyWithdrawn},
		"region forbidden over the hop": {"south", func(cfg *config.Config) { cfg.Models[model].Residency = "north only" }, result.NoRegionAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t)
			ended := make(chan struct{})
			cluster.startTarget("t1", c.region, config.Engine, func(rw http.ResponseWriter, r *http.Request) {
				writeEvents(rw, tokenEvent(0))
				<-r.Context().Done()
				close(ended)
			})
			n := cluster.startInstance("n", "north")
			cluster.startInstance("s", "south")
			resp := n.startStream(t.Context())
			n.local.RecheckRunning() // the configuration has not changed
			cluster.updateConfig(c.change)
			n.local.RecheckRunning()
			n.expectError(t, readResponse(resp), c.code, "may_have_run")
			recv(t, ended)
			if busy, _, used := n.admitter.usage(); busy != 0 || used[0] != 3 {
				t.Fatalf("busy %d, used %v", busy, used)
			}
		})
	}
}

// Guards the receiver of forwarded requests: it checks each request itself, so
// that an invalid one does not run, and it never forwards one again.
func TestReceiverRefusesInvalidForward(t *testing.T) {
	cluster := newTestCluster(t)
	var runs atomic.Int32
	cluster.startTarget("t1", "south", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { runs.Add(1); writeEvents(rw, finalEvents(0)) })
	s := cluster.startInstance("s", "south")
	clients, err := peerapi.NewClients(settings.Peers{Insecure: true})
	check(t, err)
	defer clients.Close()
	for name, change := range map[string]func(m *peerv1.ForwardRequest){
		"second hop":               func(m *peerv1.ForwardRequest) { m.Hop = 2 },
		"no hop count":             func(m *peerv1.ForwardRequest) { m.Hop = 0 },
		"region not allowed there": func(m *peerv1.ForwardRequest) { m.AllowedRegions = []string{"north"} },
		"unknown team":             func(m *peerv1.ForwardRequest) { m.Team = "nobody" },
		"no team":                  func(m *peerv1.ForwardRequest) { m.Team = "" },
		"other model in the body":  func(m *peerv1.ForwardRequest) { m.Model = "other" },
		"model on a service path":  func(m *peerv1.ForwardRequest) { m.Path = bookingsPath },
		"route of another path":    func(m *peerv1.ForwardRequest) { m.Model, m.Route, m.Path = "", "stock", bookingsPath },
		"region not allowed here": func(*peerv1.ForwardRequest) {
			cluster.updateConfig(func(cfg *config.Config) { cfg.Models[model].Residency = "north only" })
		},
	} {
		m := &peerv1.ForwardRequest{RequestId: "r1", Hop: 1, Team: "ramdin", AllowedRegions: []string{"north", "south"}, RemainingMs: 60000,
			Method: "POST", Path: "/v1/completions", Model: model, Body: []byte(`{"model":"planner","prompt":"x","max_tokens":3,"stream":true}`), Stream: true}
		cluster.updateConfig(func(cfg *config.Config) { cfg.Models[model].Residency = "" })
		change(m)
		st, err := clients.Client(s.peerAddress).Forward(t.Context(), connect.NewRequest(m))
		check(t, err)
		if !st.Receive() || st.Msg().GetTail().GetCode() != uint32(result.HopRefused) || st.Msg().GetTail().GetMayHaveRun() {
			t.Errorf("%s: %v %v", name, st.Msg(), st.Err())
		}
		_ = st.Close()
	}
	cluster.updateConfig(func(cfg *config.Config) { cfg.Models[model].Residency = "" })
	// A chooser that forwards a forwarded request again would create a loop.
	s.chooseFunc = func(q routing.Query) routing.Choice {
		if !q.LocalOnly || len(q.AllowedRegions) != 1 {
			t.Errorf("query %+v", q)
		}
		return routing.Choice{Region: "north"}
	}
	n := cluster.startInstance("n", "north")
	r := n.sendChat(true)
	// The entry instance forwards to no instance of the region twice.
	n.expectError(t, r, result.HopRefused, "not_run")
	if runs.Load() != 0 {
		t.Fatalf("%d runs", runs.Load())
	}
}

// Guards against sending a request under an expired debit: a request whose token
// lease has expired returns to the queue, is debited again, and is sent only
// under the new debit.
func TestExpiredDebitIsRequeued(t *testing.T) {
	cluster := newTestCluster(t)
	var runs atomic.Int32
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		writeEvents(rw, tokenEvent(0), finalEvents(1))
	})
	n := cluster.startInstance("n", "north")
	n.admitter.invalidChecks = 2
	if r := n.sendChat(true); r.text() != "w0 " || runs.Load() != 1 {
		t.Fatalf("%+v", r)
	}
	if busy, _, used := n.admitter.usage(); busy != 0 || n.admitter.admissions != 3 || used[0] != 0 || used[1] != 0 || used[2] != 3 {
		t.Fatalf("busy %d, used %v", busy, used)
	}
}

// Guards the time between the last check and the first byte: a configuration
// that arrives then is applied to the request by the check of running requests.
func TestConfigChangesAtDispatch(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		writeEvents(rw, tokenEvent(0))
		<-r.Context().Done()
	})
	n := cluster.startInstance("n", "north")
	n.admitter.onValid = func() {
		cluster.updateConfig(allowSouthOnly)
		n.local.RecheckRunning()
	}
	r := n.sendChat(true)
	if code, _ := r.errorCode(); code != result.NoRegionAllowed || r.text() != "" {
		t.Fatalf("%+v", r)
	}
}

// Guards the validity of a debit over the hop: the receiver does not start a
// request after the sender's token lease has expired.
func TestDebitExpiresDuringHop(t *testing.T) {
	cluster := newTestCluster(t)
	var runs atomic.Int32
	cluster.startTarget("t1", "south", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { runs.Add(1); writeEvents(rw, finalEvents(0)) })
	n, s := cluster.startInstance("n", "north"), cluster.startInstance("s", "south")
	n.admitter.validUntil = 1 // one nanosecond after the start of the virtual clock
	n.expectError(t, n.sendChat(true), result.DeadlineTooNear, "not_run")
	if _, _, used := n.admitter.usage(); runs.Load() != 0 || used[0] != 0 {
		t.Fatalf("%d runs, used %v", runs.Load(), used)
	}
	n.admitter.validUntil = time.Minute
	if r := n.sendChat(true); r.status != 200 || runs.Load() != 1 {
		t.Fatalf("%+v", r)
	}
	if busy, _, _ := s.admitter.usage(); busy != 0 {
		t.Fatal("a slot was not released")
	}
}
