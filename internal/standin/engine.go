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
)

// EngineOptions configures an engine.
type EngineOptions struct {
	Name, Region string
	Capacity     int
	// Models that are loaded at the start; empty: every model is accepted.
	Models []string
	// PrefillPerToken is the time for each prompt token that is not cached,
	// OutputPerToken the time for each output token.
	PrefillPerToken, OutputPerToken time.Duration
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// LoadLag is the age that a load report may reach.
	LoadLag time.Duration
	// ChecksFencing makes the engine refuse orders with old numbers.
	ChecksFencing bool
	// Weights is the base URL of the weight store; empty: loading is free.
	Weights string
	Journal string
	Crash   func()
}

// Load is the answer of GET /load.
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

// Order is the body of POST /orders.
type Order struct {
	Kind    string `json:"kind"` // load_model, load_adapter or set_role
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	Fencing int64  `json:"fencing"`
	// Refused is set in the record for an order with an old number.
	Refused bool `json:"refused,omitempty"`
}

// Engine is a model engine.
type Engine struct {
	opt   EngineOptions
	rec   *Recorder
	ctl   *Control
	cache *prefixCache
	slots *prioritySlots
	mu    struct {
		sync.Mutex
		models  map[string]bool
		fencing int64
		load    Load
		sampled time.Time
	}
}

// NewEngine returns an engine.
func NewEngine(opt EngineOptions) (*Engine, error) {
	rec, err := NewRecorder(opt.Name, opt.Region, opt.Capacity, opt.Journal)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		opt: opt, rec: rec, ctl: NewControl(opt.Crash),
		cache: newPrefixCache(opt.CacheTokens), slots: newPrioritySlots(opt.Capacity),
	}
	e.mu.models = map[string]bool{}
	for _, m := range opt.Models {
		e.mu.models[m] = true
	}
	return e, nil
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion("chat"))
	mux.HandleFunc("POST /v1/completions", e.serveCompletion("completion"))
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.Handle("POST /control", e.ctl)
	mux.Handle("GET /record", e.rec)
	return mux
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	f, _ := e.ctl.Get()
	e.mu.Lock()
	if e.mu.sampled.IsZero() || (!f.Stale && time.Since(e.mu.sampled) >= e.opt.LoadLag) {
		// A request that hangs before it got a slot of the engine is in flight too.
		_, queued := e.slots.counts()
		running := max(0, e.rec.InFlight()-queued)
		e.mu.load = Load{Running: running, Queued: queued, Capacity: e.opt.Capacity, CachedTokens: e.cache.tokens(), Fencing: e.mu.fencing, Models: slices.Sorted(maps.Keys(e.mu.models))}
		e.mu.sampled = time.Now()
	}
	load := e.mu.load
	// Rounded up, so that a report never claims to be younger than it is.
	load.AgeMs = time.Since(e.mu.sampled).Milliseconds() + 1
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(load)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	events := []CacheEvent{}
	if f, _ := e.ctl.Get(); !f.Stale {
		events = e.cache.eventsAfter(after)
	}
	_ = json.NewEncoder(w).Encode(map[string][]CacheEvent{"events": events})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValue)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	old := o.Fencing < e.mu.fencing
	e.mu.fencing = max(e.mu.fencing, o.Fencing)
	e.mu.Unlock()
	o.Refused = old && e.opt.ChecksFencing
	e.rec.Edit(func(rec *Record) {
		rec.Orders = append(rec.Orders, o)
		if old {
			rec.StaleOrders++
		}
	})
	if o.Refused {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if o.Kind == "load_model" {
		if err := e.loadModel(r.Context(), o.Name); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) loadModel(ctx context.Context, name string) error {
	if e.opt.Weights != "" {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.opt.Weights+"/v1/weights/"+name, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
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
