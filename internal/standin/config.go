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
	// maxValueBytes bounds a value of the configuration service and the body of
	// an engine command or booking.
	maxValueBytes = 1 << 20
	// maxLongPoll bounds the wait of a long poll.
	maxLongPoll = time.Minute
	// modelLoadTime is the time that the model registry takes to serve one load.
	// It serves loads one after another, which limits their rate.
	modelLoadTime = 200 * time.Millisecond
)

type configValue struct {
	revision int64
	text     string
}

// ConfigControl is the body of POST /control of the configuration service.
// Absent fields leave the state as it is.
type ConfigControl struct {
	// Put sets values; each one gets the next revision.
	Put map[string]string `json:"put,omitempty"`
	// Down makes the service close each connection without a response.
	Down *bool `json:"down,omitempty"`
	// StaleAt makes the service return the values as of this revision; 0
	// returns to the latest values.
	StaleAt *int64 `json:"stale_at,omitempty"`
}

// ConfigService simulates the configuration service, the model registry and the
// client directory.
type ConfigService struct {
	mu struct {
		sync.Mutex
		values   map[string][]configValue // ascending revisions
		staleAt  int64                    // 0: the latest values
		down     bool
		changed  chan struct{}
		revision int64
	}
	loadMu sync.Mutex
	rec    *Recorder
}

// NewConfigService returns a configuration service without values.
func NewConfigService() *ConfigService {
	rec, _ := NewRecorder("config", "", 0, "")
	c := &ConfigService{rec: rec}
	c.mu.values = map[string][]configValue{}
	c.mu.changed = make(chan struct{})
	return c
}

// Apply applies a control request and returns the latest revision.
func (c *ConfigService) Apply(ctl ConfigControl) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctl.StaleAt != nil {
		c.mu.staleAt = *ctl.StaleAt
	}
	for name, text := range ctl.Put {
		c.mu.revision++
		c.mu.values[name] = append(c.mu.values[name], configValue{c.mu.revision, text})
	}
	if ctl.Down != nil {
		c.mu.down = *ctl.Down
	}
	close(c.mu.changed)
	c.mu.changed = make(chan struct{})
	return c.mu.revision
}

func (c *ConfigService) get(name string) (v configValue, ok, down bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.mu.values[name] {
		if c.mu.staleAt == 0 || x.revision <= c.mu.staleAt {
			v, ok = x, true
		}
	}
	return v, ok, c.mu.down, c.mu.changed
}

// Handler returns the HTTP handler of the service.
func (c *ConfigService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", c.serveValue)
	mux.HandleFunc("GET /v1/weights/{name}", c.serveModel)
	mux.HandleFunc("GET /v1/clients/{name}", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]string{"name": r.PathValue("name"), "state": "active"})
	})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var ctl ConfigControl
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4*maxValueBytes)).Decode(&ctl); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("X-Revision", strconv.FormatInt(c.Apply(ctl), 10))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.Handle("GET /record", c.rec)
	return mux
}

func (c *ConfigService) serveValue(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	c.rec.UpdateRecord(func(rec *Record) { rec.Calls[name]++ })
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxLongPoll))
	defer timer.Stop()
	for {
		v, ok, down, changed := c.get(name)
		switch {
		case down:
			panic(http.ErrAbortHandler) // closes the connection without a response
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
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (c *ConfigService) serveModel(w http.ResponseWriter, r *http.Request) {
	c.rec.UpdateRecord(func(rec *Record) { rec.Calls["weights"]++ })
	c.loadMu.Lock()
	defer c.loadMu.Unlock()
	time.Sleep(modelLoadTime)
	_, _ = fmt.Fprintf(w, "weights of %s\n", r.PathValue("name"))
}
