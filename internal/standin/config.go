package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxValue is the largest value of the configuration service.
	maxValue = 1 << 20
	// maxWatch bounds a long-poll.
	maxWatch = time.Minute
	// weightTime is the time the weight store takes for one load; loads are
	// served one after another, which is its rate limit.
	weightTime = 200 * time.Millisecond
)

type value struct {
	revision int64
	text     string
}

// ConfigControl is the body of POST /control of the configuration service.
// Fields that are absent change nothing.
type ConfigControl struct {
	// Put sets values; each gets the next revision.
	Put map[string]string `json:"put,omitempty"`
	// Down closes every connection without an answer.
	Down *bool `json:"down,omitempty"`
	// StaleAt answers the values as they were at this revision; 0 ends that.
	StaleAt *int64 `json:"stale_at,omitempty"`
}

// Config is the configuration service, with the weight store and the client
// directory.
type Config struct {
	mu struct {
		sync.Mutex
		values   map[string][]value // ascending revisions
		staleAt  int64              // 0: not stale
		down     bool
		changed  chan struct{}
		revision int64
	}
	weights sync.Mutex
	rec     *Recorder
}

// NewConfig returns a configuration service without values.
func NewConfig() *Config {
	rec, _ := NewRecorder("config", "", 0, "")
	c := &Config{rec: rec}
	c.mu.values = map[string][]value{}
	c.mu.changed = make(chan struct{})
	return c
}

// Apply executes a control request and returns the latest revision.
func (c *Config) Apply(ctl ConfigControl) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctl.StaleAt != nil {
		c.mu.staleAt = *ctl.StaleAt
	}
	for name, text := range ctl.Put {
		c.mu.revision++
		c.mu.values[name] = append(c.mu.values[name], value{c.mu.revision, text})
	}
	if ctl.Down != nil {
		c.mu.down = *ctl.Down
	}
	close(c.mu.changed)
	c.mu.changed = make(chan struct{})
	return c.mu.revision
}

func (c *Config) get(name string) (v value, ok, down bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.mu.values[name] {
		if c.mu.staleAt == 0 || x.revision <= c.mu.staleAt {
			v, ok = x, true
		}
	}
	return v, ok, c.mu.down, c.mu.changed
}

// Handler returns the HTTP interface.
func (c *Config) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", c.serveValue)
	mux.HandleFunc("GET /v1/weights/{name}", c.serveWeights)
	mux.HandleFunc("GET /v1/clients/{name}", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]string{"name": r.PathValue("name"), "state": "active"})
	})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var ctl ConfigControl
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4*maxValue)).Decode(&ctl); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("X-Revision", strconv.FormatInt(c.Apply(ctl), 10))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.Handle("GET /record", c.rec)
	return mux
}

func (c *Config) serveValue(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	c.rec.Edit(func(rec *Record) { rec.Calls[name]++ })
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	limit := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatch))
	defer limit.Stop()
	for {
		v, ok, down, changed := c.get(name)
		switch {
		case down:
			panic(http.ErrAbortHandler) // closes the connection
		case ok && v.revision > after:
			w.Header().Set("X-Revision", strconv.FormatInt(v.revision, 10))
			_, _ = fmt.Fprint(w, v.text)
			return
		case !ok && ms == 0:
			http.NotFound(w, r)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (c *Config) serveWeights(w http.ResponseWriter, r *http.Request) {
	c.rec.Edit(func(rec *Record) { rec.Calls["weights"]++ })
	c.weights.Lock()
	defer c.weights.Unlock()
	time.Sleep(weightTime)
	_, _ = fmt.Fprintf(w, "weights of %s\n", r.PathValue("name"))
}
