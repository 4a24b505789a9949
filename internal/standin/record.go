package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Values of Run.Outcome.
const (
	Running   = "running" // also if the process was killed during the run
	Done      = "done"
	Cancelled = "cancelled" // the connection was closed
	TimedOut  = "timed_out" // X-Run-Timeout-Ms elapsed
	Failed    = "failed"    // injected by a control request
)

// Run is the record that a target keeps of one request.
type Run struct {
	Seq       int    `json:"seq"`
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt,omitempty"`
	Kind      string `json:"kind"`
	Tag       Tag    `json:"tag"`
	StartMs   int64  `json:"start_ms"` // Unix time
	EndMs     int64  `json:"end_ms,omitempty"`
	Outcome   string `json:"outcome"`
	// PromptTokens and OutputTokens are those processed by this target;
	// ResumedFrom is the number of output tokens that an earlier attempt had
	// delivered.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	CachedTokens int `json:"cached_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	ResumedFrom  int `json:"resumed_from,omitempty"`
	// InFlight is the number of requests in flight at the start, with this one.
	InFlight int `json:"in_flight"`
}

// Record is the response to GET /record.
type Record struct {
	Name     string `json:"name"`
	Region   string `json:"region"`
	Capacity int    `json:"capacity"`
	// HighestInFlight is the maximum of requests in flight, Overruns the number
	// of requests that arrived while Capacity was exceeded. Requests count as
	// in flight from arrival to end, whether they run or wait in the target.
	HighestInFlight int `json:"highest_in_flight"`
	Overruns        int `json:"overruns"`
	// SawAuthorization and SawKey count requests with an Authorization header
	// and requests with KeyMarker in any header, the path or the body.
	SawAuthorization int    `json:"saw_authorization"`
	SawKey           int    `json:"saw_key"`
	Runs             []*Run `json:"runs"`
	// Calls counts the requests of the configuration service by value name;
	// model loads are counted under "weights".
	Calls         map[string]int  `json:"calls,omitempty"`
	Commands      []EngineCommand `json:"orders,omitempty"`
	StaleCommands int             `json:"stale_orders,omitempty"`
}

// Recorder keeps the Record of one simulated system. With a journal, it also
// appends the start and end of each run to a file, which is still there after
// the process was killed.
type Recorder struct {
	mu struct {
		sync.Mutex
		rec      Record
		inFlight int
		journal  io.Writer
	}
}

// NewRecorder returns a Recorder. journal is the path of the journal; if empty,
// none is written.
func NewRecorder(name, region string, capacity int, journal string) (*Recorder, error) {
	r := &Recorder{}
	r.mu.rec = Record{Name: name, Region: region, Capacity: capacity, Calls: map[string]int{}}
	if journal == "" {
		return r, nil
	}
	f, err := os.OpenFile(journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	r.mu.journal = f
	return r, nil
}

// Begin records the start of a run. The caller must call End for it.
func (r *Recorder) Begin(kind string, req *http.Request, body string) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := &r.mu.rec
	if req.Header.Get("Authorization") != "" {
		rec.SawAuthorization++
	}
	if containsKey(req, body) {
		rec.SawKey++
	}
	r.mu.inFlight++
	rec.HighestInFlight = max(rec.HighestInFlight, r.mu.inFlight)
	if r.mu.inFlight > rec.Capacity {
		rec.Overruns++
	}
	run := &Run{
		Seq: len(rec.Runs) + 1, Kind: kind, Outcome: Running,
		RequestID: req.Header.Get("X-Request-Id"), Attempt: req.Header.Get("X-Attempt"),
		StartMs: time.Now().UnixMilli(), InFlight: r.mu.inFlight,
	}
	if tag, ok := FindTag(body); ok {
		run.Tag = tag
	} else if item := req.PathValue("item"); item != "" {
		run.Tag = TagFromItem(item)
	}
	rec.Runs = append(rec.Runs, run)
	r.write(run)
	return run
}

func containsKey(req *http.Request, body string) bool {
	if strings.Contains(body, KeyMarker) || strings.Contains(req.RequestURI, KeyMarker) {
		return true
	}
	for _, values := range req.Header {
		if strings.Contains(strings.Join(values, " "), KeyMarker) {
			return true
		}
	}
	return false
}

// UpdateRun calls change on a run with the lock held.
func (r *Recorder) UpdateRun(run *Run, change func(*Run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(run)
}

// End records the outcome of a run. Only the first call for a run has an effect,
// so a handler may end a run before it writes the last byte and again on return.
func (r *Recorder) End(run *Run, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.EndMs != 0 {
		return
	}
	run.EndMs, run.Outcome = time.Now().UnixMilli(), outcome
	r.mu.inFlight--
	r.write(run)
}

func (r *Recorder) write(run *Run) {
	if r.mu.journal == nil {
		return
	}
	line, _ := json.Marshal(run)
	_, _ = r.mu.journal.Write(append(line, '\n'))
}

// UpdateRecord calls change on the record with the lock held.
func (r *Recorder) UpdateRecord(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.mu.rec)
}

// InFlight returns the number of requests that arrived and have not ended.
func (r *Recorder) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.inFlight
}

// ServeHTTP handles GET /record.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	body, err := json.Marshal(r.mu.rec)
	r.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// ReadJournal returns the runs in a journal. It replaces GET /record for a
// process that was killed.
func ReadJournal(path string) ([]*Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	bySeq := map[int]*Run{}
	var runs []*Run
	for sc := bufio.NewScanner(f); sc.Scan(); {
		run := &Run{}
		if json.Unmarshal(sc.Bytes(), run) != nil {
			continue // line truncated when the process was killed
		}
		if old, ok := bySeq[run.Seq]; ok {
			*old = *run
			continue
		}
		bySeq[run.Seq] = run
		runs = append(runs, run)
	}
	return runs, nil
}
