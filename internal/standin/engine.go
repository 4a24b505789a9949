package standin

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	Name, Region string
	Capacity     int
	// Models are loaded at the start; if empty, the engine serves any model.
	Models []string
	// PrefillPerToken is the processing time of each prompt token that is not
	// cached, OutputPerToken that of each output token.
	PrefillPerToken, OutputPerToken time.Duration
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// MaxLoadAge is the age up to which a load report is served again.
	MaxLoadAge time.Duration
	// ChecksFencing makes the engine refuse commands whose fencing token is
	// lower than one that it has seen.
	ChecksFencing bool
	// ModelRegistry is the base URL of the model registry; if empty, loading a
	// model takes no time.
	ModelRegistry string
	// Journal is the path of the journal of runs; if empty, none is written.
	Journal string
	// Crash is called to crash the process.
	Crash func()
}

// Load is the response to GET /load.
type Load struct {
	Running      int   `json:"running"`
	Queued       int   `json:"queued"`
	Capacity     int   `json:"capacity"`
	CachedTokens int   `json:"cached_tokens"`
	AgeMs        int64 `json:"age_ms"`
	Fencing      int64 `json:"fencing"`
	// Models are the loaded models; absent if the engine serves any model.
	Models []string `json:"models,omitempty"`
}

// EngineCommand is the body of POST /orders.
type EngineCommand struct {
	Kind    string `json:"kind"` // load_model, load_adapter or set_role
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	Fencing int64  `json:"fencing"`
	// Refused is set in the record for a command that was refused because of
	// a stale fencing token.
	Refused bool `json:"refused,omitempty"`
}

// Engine simulates a model engine.
type Engine struct {
	opt    EngineOptions
	rec    *Recorder
	faults *FaultInjector
	cache  *prefixCache
	slots  *prioritySlots
	mu     struct {
		sync.Mutex
		models       map[string]bool
		fencingToken int64
		loadReport   Load
		loadReportAt time.Time
	}
}

// NewEngine returns an engine. It fails if the journal cannot be opened.
func NewEngine(opt EngineOptions) (*Engine, error) {
	rec, err := NewRecorder(opt.Name, opt.Region, opt.Capacity, opt.Journal)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		opt: opt, rec: rec, faults: NewFaultInjector(opt.Crash),
		cache: newPrefixCache(opt.CacheTokens), slots: newPrioritySlots(opt.Capacity),
	}
	e.mu.models = map[string]bool{}
	for _, m := range opt.Models {
		e.mu.models[m] = true
	}
	return e, nil
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion("chat"))
	mux.HandleFunc("POST /v1/completions", e.serveCompletion("completion"))
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	mux.HandleFunc("POST /orders", e.serveCommand)
	mux.Handle("POST /control", e.faults)
	mux.Handle("GET /record", e.rec)
	return mux
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	f, _ := e.faults.Get()
	e.mu.Lock()
	if e.mu.loadReportAt.IsZero() || (!f.Stale && time.Since(e.mu.loadReportAt) >= e.opt.MaxLoadAge) {
		// Counts requests in flight and not slots in use, because a request that
		// hangs before it has a slot is in flight too.
		_, queued := e.slots.counts()
		running := max(0, e.rec.InFlight()-queued)
		e.mu.loadReport = Load{Running: running, Queued: queued, Capacity: e.opt.Capacity, CachedTokens: e.cache.storedTokens(), Fencing: e.mu.fencingToken, Models: slices.Sorted(maps.Keys(e.mu.models))}
		e.mu.loadReportAt = time.Now()
	}
	load := e.mu.loadReport
	// Rounded up, so that AgeMs is never less than the real age.
	load.AgeMs = time.Since(e.mu.loadReportAt).Milliseconds() + 1
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(load)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	events := []CacheEvent{}
	if f, _ := e.faults.Get(); !f.Stale {
		events = e.cache.eventsAfter(after)
	}
	_ = json.NewEncoder(w).Encode(map[string][]CacheEvent{"events": events})
}

func (e *Engine) serveCommand(w http.ResponseWriter, r *http.Request) {
	var cmd EngineCommand
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes)).Decode(&cmd); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	stale := cmd.Fencing < e.mu.fencingToken
	e.mu.fencingToken = max(e.mu.fencingToken, cmd.Fencing)
	e.mu.Unlock()
	cmd.Refused = stale && e.opt.ChecksFencing
	e.rec.UpdateRecord(func(rec *Record) {
		rec.Commands = append(rec.Commands, cmd)
		if stale {
			rec.StaleCommands++
		}
	})
	if cmd.Refused {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if cmd.Kind == "load_model" {
		if err := e.loadModel(r.Context(), cmd.Name); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// ClientConfig is for the calls of stand-ins and of the tools that run them. Each
// call has a deadline of its own.
var ClientConfig = httpclient.Config{ConnectTimeout: 10 * time.Second, MaxHead: 64 << 10, MaxBody: 64 << 20, IdleTimeout: 30 * time.Second}

// registryClient calls the model registry.
var registryClient = httpclient.New(ClientConfig)

func (e *Engine) loadModel(ctx context.Context, name string) error {
	if e.opt.ModelRegistry != "" {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.opt.ModelRegistry+"/v1/weights/"+name, nil)
		if err != nil {
			return err
		}
		resp, err := registryClient.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.mu.models) > 0 {
		e.mu.models[name] = true
	}
	return nil
}

func (e *Engine) hasModel(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.mu.models) == 0 || e.mu.models[name]
}
