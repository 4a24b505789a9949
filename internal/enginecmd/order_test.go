package enginecmd

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
)

// engine is a fake that refuses old fencing numbers if checks is set.
type engine struct {
	mu      sync.Mutex
	checks  bool
	models  []string
	fencing uint64
	orders  []Order
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/load" {
		_ = json.NewEncoder(w).Encode(State{Models: append([]string{}, e.models...), Fencing: e.fencing})
		return
	}
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.checks && o.Fencing < e.fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencing = o.Fencing
	e.orders = append(e.orders, o)
	e.models = append(e.models, o.Name)
}

type fixedEdition struct{ e *config.Config }

func (f fixedEdition) Current() *config.Config { return f.e }

type fixedTerms struct{ terms []leadership.Lease }

func (f *fixedTerms) HeldLeases(now clock.Reading) []leadership.Lease {
	var out []leadership.Lease
	for _, t := range f.terms {
		if now.Upper < t.Until {
			out = append(out, t)
		}
	}
	return out
}

type trail struct{ changes []audit.Change }

func (t *trail) Add(c audit.Change) { t.changes = append(t.changes, c) }

type world struct {
	engine *engine
	clock  *clock.Virtual
	terms  *fixedTerms
	trail  *trail
	m      *Manager
}

func newWorld(t *testing.T, checks bool) *world {
	t.Helper()
	w := &world{engine: &engine{checks: checks}, clock: &clock.Virtual{}, trail: &trail{}}
	srv := httptest.NewServer(w.engine)
	t.Cleanup(srv.Close)
	e := &config.Config{
		Regions: map[string]*config.Region{"north": {Name: "north", Shards: 1}},
		Targets: map[string]*config.Target{"e1": {
			Name: "e1", Kind: config.Engine, Region: "north", Address: strings.TrimPrefix(srv.URL, "http://"),
			Models: map[string]bool{"care": true, "question": true},
		}},
	}
	w.terms = &fixedTerms{[]leadership.Lease{{Shard: leadership.Shard{Region: "north"}, Ballot: 7, Until: 2 * time.Second}}}
	w.m = NewManager(Config{Clock: w.clock, ConfigSource: fixedEdition{e}, Leadership: w.terms, HTTP: srv.Client(), Log: event.Nop(), Trail: w.trail})
	return w
}

// Guards against an engine that never gets a model of the table, and against
// a flood of orders while it loads.
func TestMissingModelsAreOrderedOneByOne(t *testing.T) {
	w := newWorld(t, true)
	w.m.Round(context.Background())
	w.m.Round(context.Background())
	if got := w.engine.orders; len(got) != 1 || got[0] != (Order{Kind: loadModel, Name: "care", Fencing: 7}) {
		t.Fatalf("orders %+v", got)
	}
	w.clock.Advance(retryAfter)
	w.terms.terms[0].Until = retryAfter + 2*time.Second
	w.m.Round(context.Background())
	w.clock.Advance(retryAfter)
	w.terms.terms[0].Until = 2*retryAfter + 2*time.Second
	w.m.Round(context.Background())
	if got := w.engine.orders; len(got) != 2 || got[1].Name != "question" {
		t.Fatalf("orders %+v", got)
	}
}

// Guards against an order that reaches an engine which ignores fencing numbers
// after the term of its sender.
func TestNoOrderNearTheEndOfTheTerm(t *testing.T) {
	for _, left := range []time.Duration{0, orderTimeout / 2, orderTimeout} {
		w := newWorld(t, false)
		w.clock.Advance(2*time.Second - left)
		w.m.Round(context.Background())
		if len(w.engine.orders) != 0 {
			t.Fatalf("order sent with %v left", left)
		}
	}
}

// Guards against a refused order that operators cannot see.
func TestRefusedOrderIsInTheTrail(t *testing.T) {
	w := newWorld(t, true)
	w.engine.fencing = 8
	w.m.Round(context.Background())
	if len(w.engine.orders) != 0 || len(w.trail.changes) != 1 || w.trail.changes[0].Reason != errStaleFencing.Error() {
		t.Fatalf("orders %+v, trail %+v", w.engine.orders, w.trail.changes)
	}
}

// Guards against orders to engines that do not say what they have loaded.
func TestUnknownStateGetsNoOrder(t *testing.T) {
	w := newWorld(t, true)
	e := w.m.cfg.ConfigSource.Current()
	shard := leadership.Shard{Region: "north"}
	if got := Plan(e, shard, 7, map[string]State{"e1": {}}, nil, maxOrders); len(got) != 0 {
		t.Fatalf("steps %+v", got)
	}
	if got := Plan(e, shard, 7, nil, nil, maxOrders); len(got) != 0 {
		t.Fatalf("steps %+v", got)
	}
}
