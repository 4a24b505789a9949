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

func withdrawKey(e *config.Config)    { clear(e.Keys) }
func allowSouthOnly(e *config.Config) { e.Models[model].Residency = "south only" }

// Guards the last check before each dispatch: what the edition forbade while a
// request waited for admission must not reach a target.
func TestEditionChangesInQueue(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*config.Config)
		code   result.Code
		region string
	}{
		"key withdrawn":       {withdrawKey, result.KeyWithdrawn, ""},
		"team may not":        {func(e *config.Config) { e.Teams["ramdin"].Models = map[string]bool{"other": true} }, result.RouteNotAllowed, ""},
		"residency tightened": {allowSouthOnly, 0, "south"},
		"target removed":      {func(e *config.Config) { delete(e.Targets, "t1") }, 0, "south"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			var north atomic.Int32
			w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { north.Add(1); stream(rw, ending(0)) })
			w.target("t2", "south", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { stream(rw, token(0), ending(1)) })
			n := w.node("n", "north")
			w.node("s", "south")
			var once atomic.Bool
			n.adm.onAdmit = func(admission.Request) {
				if once.CompareAndSwap(false, true) {
					w.edit(c.change)
				}
			}
			r := n.chat(true)
			if code, ran := r.fault(); code != c.code || code != 0 && ran != "not_run" || north.Load() != 0 {
				t.Fatalf("%+v, %d runs in the north", r, north.Load())
			}
			if rec := recv(t, n.records); c.code == 0 && rec.Region != c.region {
				t.Fatalf("served in %q", rec.Region)
			}
			if busy, _, used := n.adm.settled(); busy != 0 || used[0] != 0 {
				t.Fatalf("busy %d, used %v", busy, used)
			}
		})
	}
}

// Guards the check of running requests: a stream ends when its key is withdrawn
// or its region is no longer allowed, here and over the hop.
func TestEditionEndsStreams(t *testing.T) {
	for name, c := range map[string]struct {
		region string
		change func(*config.Config)
		code   result.Code
	}{
		"key withdrawn":                 {"north", withdrawKey, result.KeyWithdrawn},
		"residency tightened":           {"north", allowSouthOnly, result.NoRegionAllowed},
		"key withdrawn over the hop":    {"south", withdrawKey, result.KeyWithdrawn},
		"region forbidden over the hop": {"south", func(e *config.Config) { e.Models[model].Residency = "north only" }, result.NoRegionAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			ended := make(chan struct{})
			w.target("t1", c.region, config.Engine, func(rw http.ResponseWriter, r *http.Request) {
				stream(rw, token(0))
				<-r.Context().Done()
				close(ended)
			})
			n := w.node("n", "north")
			w.node("s", "south")
			resp := n.firstToken(t.Context())
			n.local.RecheckRunning() // the edition has not changed
			w.edit(c.change)
			n.local.RecheckRunning()
			n.expect(t, rest(resp), c.code, "may_have_run")
			recv(t, ended)
			if busy, _, used := n.adm.settled(); busy != 0 || used[0] != 3 {
				t.Fatalf("busy %d, used %v", busy, used)
			}
		})
	}
}

// Guards the receiver's own checks and that it never forwards again.
func TestReceiverRefuses(t *testing.T) {
	w := newWorld(t)
	var runs atomic.Int32
	w.target("t1", "south", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { runs.Add(1); stream(rw, ending(0)) })
	s := w.node("s", "south")
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
		"model on a service path":  func(m *peerv1.ForwardRequest) { m.Path = bookings },
		"route of another path":    func(m *peerv1.ForwardRequest) { m.Model, m.Route, m.Path = "", "stock", bookings },
		"region not allowed here": func(*peerv1.ForwardRequest) {
			w.edit(func(e *config.Config) { e.Models[model].Residency = "north only" })
		},
	} {
		m := &peerv1.ForwardRequest{RequestId: "r1", Hop: 1, Team: "ramdin", AllowedRegions: []string{"north", "south"}, RemainingMs: 60000,
			Method: "POST", Path: "/v1/completions", Model: model, Body: []byte(`{"model":"planner","prompt":"x","max_tokens":3,"stream":true}`), Stream: true}
		w.edit(func(e *config.Config) { e.Models[model].Residency = "" })
		change(m)
		st, err := clients.Client(s.peer).Forward(t.Context(), connect.NewRequest(m))
		check(t, err)
		if !st.Receive() || st.Msg().GetTail().GetCode() != uint32(result.HopRefused) || st.Msg().GetTail().GetMayHaveRun() {
			t.Errorf("%s: %v %v", name, st.Msg(), st.Err())
		}
		_ = st.Close()
	}
	w.edit(func(e *config.Config) { e.Models[model].Residency = "" })
	// A chooser that sends a forwarded request on would make a loop.
	s.prefer = func(q routing.Query) routing.Choice {
		if !q.LocalOnly || len(q.AllowedRegions) != 1 {
			t.Errorf("query %+v", q)
		}
		return routing.Choice{Region: "north"}
	}
	n := w.node("n", "north")
	r := n.chat(true)
	// The entry asks no instance of the region twice.
	n.expect(t, r, result.HopRefused, "not_run")
	if runs.Load() != 0 {
		t.Fatalf("%d runs", runs.Load())
	}
}

// Guards the admission's validity: a request whose grant ran out goes back to
// the queue, is debited again and was not sent under the old admission.
func TestExpiredAdmissionGoesBack(t *testing.T) {
	w := newWorld(t)
	var runs atomic.Int32
	w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { runs.Add(1); stream(rw, token(0), ending(1)) })
	n := w.node("n", "north")
	n.adm.expire = 2
	if r := n.chat(true); r.text() != "w0 " || runs.Load() != 1 {
		t.Fatalf("%+v", r)
	}
	if busy, _, used := n.adm.settled(); busy != 0 || n.adm.admitted != 3 || used[0] != 0 || used[1] != 0 || used[2] != 3 {
		t.Fatalf("busy %d, used %v", busy, used)
	}
}

// Guards the moment between the last check and the first byte: an edition that
// arrives then is noticed by the check of running requests.
func TestEditionChangesAtDispatch(t *testing.T) {
	w := newWorld(t)
	w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		stream(rw, token(0))
		<-r.Context().Done()
	})
	n := w.node("n", "north")
	n.adm.onSpend = func() {
		w.edit(allowSouthOnly)
		n.local.RecheckRunning()
	}
	r := n.chat(true)
	if code, _ := r.fault(); code != result.NoRegionAllowed || r.text() != "" {
		t.Fatalf("%+v", r)
	}
}

// Guards the admission's validity over the hop: the receiver does not start a
// request for which the sender's grant has ended.
func TestAdmissionEndsOnTheHop(t *testing.T) {
	w := newWorld(t)
	var runs atomic.Int32
	w.target("t1", "south", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { runs.Add(1); stream(rw, ending(0)) })
	n, s := w.node("n", "north"), w.node("s", "south")
	n.adm.validUntil = 1 // a nanosecond after the start of the virtual clock
	n.expect(t, n.chat(true), result.DeadlineTooNear, "not_run")
	if _, _, used := n.adm.settled(); runs.Load() != 0 || used[0] != 0 {
		t.Fatalf("%d runs, used %v", runs.Load(), used)
	}
	n.adm.validUntil = time.Minute
	if r := n.chat(true); r.status != 200 || runs.Load() != 1 {
		t.Fatalf("%+v", r)
	}
	if busy, _, _ := s.adm.settled(); busy != 0 {
		t.Fatal("a slot is kept")
	}
}
