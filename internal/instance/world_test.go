package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

// store stands in for the platform's store.
type store struct {
	*httptest.Server
	mu       sync.Mutex
	items    map[string]string
	changes  []change
	revision int64
	wake     chan struct{}
	// refuse makes every call fail; calls counts them.
	refuse atomic.Bool
	calls  atomic.Int64
}

type change struct {
	key      string
	removed  bool
	value    string
	revision int64
}

func newStore(t *testing.T) *store {
	s := &store{items: map[string]string{}, wake: make(chan struct{}), revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.readRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		if s.refuse.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(change{key: key, value: string(text)})
}

func (s *store) remove(key string) { s.change(change{key: key, removed: true}) }

func (s *store) change(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c.revision = s.revision
	if c.removed {
		delete(s.items, c.key)
	} else {
		s.items[c.key] = c.value
	}
	s.changes = append(s.changes, c)
	close(s.wake)
	s.wake = make(chan struct{})
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items []storeItem `json:"items"`
		More  bool        `json:"more_pages"`
		AsOf  int64       `json:"as_of"`
	}{Items: []storeItem{}, AsOf: s.revision}
	for k, v := range s.items {
		if strings.HasPrefix(k, r.URL.Query().Get("prefix")) {
			out.Items = append(out.Items, storeItem{Key: k, Value: []byte(v), Revision: s.revision})
		}
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, asOf, wake := s.after(after, r.URL.Query().Get("prefix"))
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		case <-timeout:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": []storeItem{}, "as_of": asOf})
			return
		}
	}
}

func (s *store) after(revision int64, prefix string) ([]storeItem, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []storeItem
	for _, c := range s.changes {
		if c.revision > revision && strings.HasPrefix(c.key, prefix) {
			out = append(out, storeItem{Key: c.key, Value: []byte(c.value), Revision: c.revision, Tombstone: c.removed})
		}
	}
	return out, s.revision, s.wake
}

// target stands in for a target. handle decides about each request; nil answers
// with success.
type target struct {
	*httptest.Server
	id   string
	mu   sync.Mutex
	runs []string // request ids, in order
	seen []http.Header
	// paths are those of the requests.
	paths []string
	// handle reports whether it has answered.
	handle func(w http.ResponseWriter, r *http.Request) bool
}

func newTarget(t *testing.T, id string) *target {
	x := &target{id: id}
	x.Server = httptest.NewServer(x)
	t.Cleanup(x.Close)
	return x
}

func (x *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", x.id)
		return
	}
	if r.Header.Get("X-Expect-Instance") != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	x.mu.Lock()
	x.runs = append(x.runs, r.Header.Get("X-Request-Id"))
	x.seen = append(x.seen, r.Header.Clone())
	x.paths = append(x.paths, r.URL.Path)
	handle := x.handle
	x.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "signed-by-"+x.id)
	if handle != nil && handle(w, r) {
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", x.id, r.RequestURI, body)
}

func (x *target) set(handle func(w http.ResponseWriter, r *http.Request) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.handle = handle
}

func (x *target) ran() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.runs)
}

func (x *target) address() string { return x.Listener.Addr().String() }

// entryOf is the target's entry in the store.
func (x *target) entry(service, zone, state string, sequence int) map[string]any {
	return map[string]any{
		"service": service, "address": x.address(), "zone": zone, "version": "v1", "slots": 8, "state": state,
		"warmup_left_ms": 0, "sequence": sequence, "born": 1000,
	}
}

// world is a deployment on loopback addresses.
type world struct {
	t     *testing.T
	store *store
	port  int
	// nextIP numbers the instances.
	nextIP  int
	version int
	seeds   []string
	// behind is the address of a proxy before the store; empty for none.
	behind string
}

func (w *world) storeAddress() string {
	if w.behind != "" {
		return w.behind
	}
	return w.store.Listener.Addr().String()
}

// hosts numbers the loopback networks of worlds.
var hosts atomic.Int32

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: newStore(t), nextIP: 1, port: 21000 + 20*int(hosts.Add(1))}
	return w
}

// operator publishes a configuration; change may be nil.
func (w *world) operator(change func(config map[string]any)) {
	w.version += 3
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": prefix, "kind": kind, "timeout_ms": 8000, "target_latency_ms": 2000,
			"priority": 0, "service": service, "max_attempts": attempts, "gap_aim_ms": 400, "home_regions": []string{},
			"resumable": kind == "streaming",
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_conns": 100, "warmup_s": 0, "warmup_per_s": 0}
	}
	c := map[string]any{
		"version": w.version,
		"routes": []any{
			route("safe", "/safe/", "safe", "orders", 2), route("unsafe", "/unsafe/", "unsafe", "orders", 1),
			route("stream", "/stream/", "streaming", "orders", 2),
		},
		"services": []any{service("orders")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hotel", "api_keys": []string{"key-of-the-hotel"}, "unit": "requests", "rate_per_s": 0, "burst": 0, "home_regions": []string{},
		}},
	}
	if change != nil {
		change(c)
	}
	w.store.put("op/config", c)
}

// list puts a target into the store.
func (w *world) list(x *target, zone, state string, sequence int) {
	w.store.put("servers/"+x.id, x.entry("orders", zone, state, sequence))
}

// process is an instance under test.
type process struct {
	*Instance
	ip     string
	cancel context.CancelFunc
	done   chan error
	log    *bytes.Buffer
}

var zones = map[string]string{"a": "east", "b": "west", "c": "south"}

// settings writes the settings of a new instance in a failure domain.
func (w *world) settings(zone string) (path, ip string) {
	w.t.Helper()
	ip = fmt.Sprintf("127.7.%d.%d", (w.port-21000)/20, w.nextIP)
	w.nextIP++
	control := fmt.Sprintf("%s:%d", ip, w.port+3)
	if len(w.seeds) == 0 {
		w.seeds = []string{control}
	}
	seeds, _ := json.Marshal(w.seeds)
	text := fmt.Sprintf(`
node_name = "entry-%s-%d"
ip = %q
zone = %q
region = %q
port_range = [%d,%d]
seeds = %s
unknown_field = "ignored"
[zones]
a = "east"
b = "west"
c = "south"
[listen]
front = "%s:%d"
ready = "%s:%d"
control = %q
directory = "%s:%d"
[limits]
cpu_share = 0.4
memory_mb = 284
[bounds]
addr_reuse_s = 2
drain_ms = 3000
grace_s = 2
config_apply_ms = 3000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 400
warmup_overage = 1.5
warmup_slack = 3
evacuate_ms = 5000
ttl_max_s = 5
[platform]
address = %q
`, zone, w.nextIP, ip, zone, zones[zone], w.port+8, w.port+15, seeds, ip, w.port, ip, w.port+1, control, ip, w.port+2,
		w.storeAddress())
	path = filepath.Join(w.t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path, ip
}

// start starts an instance in a failure domain.
func (w *world) start(zone string) *process {
	w.t.Helper()
	path, ip := w.settings(zone)
	p := &process{ip: ip, done: make(chan error, 1), log: &bytes.Buffer{}}
	log, lines, err := event.BuildAsync(p.log, "info")
	if err != nil {
		w.t.Fatal(err)
	}
	if p.Instance, err = New(path, log, lines); err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.done <- p.Run(ctx, nil) }()
	w.t.Cleanup(func() {
		cancel()
		<-p.done
		if w.t.Failed() {
			w.t.Logf("log of %s:\n%s", ip, p.log.String())
		}
	})
	return p
}

func (p *process) url(path string) string { return "http://" + p.settings.Listen.Callers + path }

// eventually waits until check holds; a test that never sees it fails.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for range 2000 {
		if check() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

// reply is an answer as the caller saw it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

var callerTransport = &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}

var requests atomic.Int64

// call sends a request as a client of the platform does.
func call(method, url string, change func(h http.Header)) reply {
	req, err := http.NewRequest(method, url, strings.NewReader("body"))
	if err != nil {
		return reply{err: err}
	}
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", fmt.Sprintf("request-%d", requests.Add(1)))
	req.Header.Set("X-Deadline-Ms", "6000")
	req.Header.Set("Api-Key", "key-of-the-hotel")
	if change != nil {
		change(req.Header)
	}
	res, err := callerTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, string(body), err}
}
