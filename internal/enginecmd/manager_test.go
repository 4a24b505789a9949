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

// fakeEngine refuses stale fencing tokens if checksFencing is set.
type fakeEngine struct {
	mu            sync.Mutex
	checksFencing bool
	models        []string
	fencingToken  uint64
	commands      []Command
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/load" {
		_ = json.NewEncoder(w).Encode(EngineState{Models: append([]string{}, e.models...), FencingToken: e.fencingToken})
		return
	}
	var command Command
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.checksFencing && command.FencingToken < e.fencingToken {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	e.fencingToken = command.FencingToken
	e.commands = append(e.commands, command)
	e.models = append(e.models, command.Name)
}

type stubConfigSource struct{ cfg *config.Config }

func (s stubConfigSource) Current() *config.Config { return s.cfg }

type stubLeadership struct{ leases []leadership.Lease }

func (s *stubLeadership) HeldLeases(now clock.Reading) []leadership.Lease {
	var out []leadership.Lease
	for _, lease := range s.leases {
		if now.Upper < lease.Until {
			out = append(out, lease)
		}
	}
	return out
}

type fakeAuditTrail struct{ changes []audit.Change }

func (t *fakeAuditTrail) Add(c audit.Change) { t.changes = append(t.changes, c) }

type testEnv struct {
	engine     *fakeEngine
	clock      *clock.Virtual
	leadership *stubLeadership
	trail      *fakeAuditTrail
	m          *Manager
}

func newTestEnv(t *testing.T, checksFencing bool) *testEnv {
	t.Helper()
	env := &testEnv{engine: &fakeEngine{checksFencing: checksFencing}, clock: &clock.Virtual{}, trail: &fakeAuditTrail{}}
	srv := httptest.NewServer(env.engine)
	t.Cleanup(srv.Close)
	cfg := &config.Config{
		Regions: map[string]*config.Region{"north": {Name: "north", Shards: 1}},
		Targets: map[string]*config.Target{"e1": {
			Name: "e1", Kind: config.Engine, Region: "north", Address: strings.TrimPrefix(srv.URL, "http://"),
			Models: map[string]bool{"care": true, "question": true},
		}},
	}
	env.leadership = &stubLeadership{[]leadership.Lease{{Shard: leadership.Shard{Region: "north"}, Ballot: 7, Until: 2 * time.Second}}}
	env.m = NewManager(Config{Clock: env.clock, ConfigSource: stubConfigSource{cfg}, Leadership: env.leadership, HTTPClient: srv.Client(), Log: event.Nop(), AuditTrail: env.trail})
	return env
}

// Guards against an engine that is never told to load a model of the configuration,
// and against repeated commands while the engine loads one.
func TestMissingModelsAreLoadedOneByOne(t *testing.T) {
	env := newTestEnv(t, true)
	env.m.RunRound(context.Background())
	env.m.RunRound(context.Background())
	if got := env.engine.commands; len(got) != 1 || got[0] != (Command{Kind: kindLoadModel, Name: "care", FencingToken: 7}) {
		t.Fatalf("commands %+v", got)
	}
	env.clock.Advance(resendDelay)
	env.leadership.leases[0].Until = resendDelay + 2*time.Second
	env.m.RunRound(context.Background())
	env.clock.Advance(resendDelay)
	env.leadership.leases[0].Until = 2*resendDelay + 2*time.Second
	env.m.RunRound(context.Background())
	if got := env.engine.commands; len(got) != 2 || got[1].Name != "question" {
		t.Fatalf("commands %+v", got)
	}
}

// Guards against a command that reaches an engine which ignores fencing tokens
// after the leadership lease of the sender has expired.
func TestNoCommandNearLeaseExpiry(t *testing.T) {
	for _, left := range []time.Duration{0, commandTimeout / 2, commandTimeout} {
		env := newTestEnv(t, false)
		env.clock.Advance(2*time.Second - left)
		env.m.RunRound(context.Background())
		if len(env.engine.commands) != 0 {
			t.Fatalf("command sent with %v left of the lease", left)
		}
	}
}

// Guards against a refused command that operators cannot see in the audit trail.
func TestRefusedCommandIsInAuditTrail(t *testing.T) {
	env := newTestEnv(t, true)
	env.engine.fencingToken = 8
	env.m.RunRound(context.Background())
	if len(env.engine.commands) != 0 || len(env.trail.changes) != 1 || env.trail.changes[0].Reason != errStaleFencingToken.Error() {
		t.Fatalf("commands %+v, trail %+v", env.engine.commands, env.trail.changes)
	}
}

// Guards against commands to engines whose loaded models are not known.
func TestNoCommandForUnknownState(t *testing.T) {
	env := newTestEnv(t, true)
	cfg := env.m.cfg.ConfigSource.Current()
	shard := leadership.Shard{Region: "north"}
	if got := PlanCommands(cfg, shard, 7, map[string]EngineState{"e1": {}}, nil, maxCommandsPerRound); len(got) != 0 {
		t.Fatalf("commands %+v", got)
	}
	if got := PlanCommands(cfg, shard, 7, nil, nil, maxCommandsPerRound); len(got) != 0 {
		t.Fatalf("commands %+v", got)
	}
}
