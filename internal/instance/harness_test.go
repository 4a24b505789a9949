package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

// fakeStore serves the API of the platform's store from memory.
type fakeStore struct {
	*httptest.Server
	mu sync.Mutex
	storeContent
	// era is the number of the store's life; it rises whenever it is restored.
	era     int64
	changed chan struct{}
	// refuse makes every call fail; calls counts all calls.
	refuse atomic.Bool
	calls  atomic.Int64
}

// storeContent is what a store holds at some time.
type storeContent struct {
	items    map[string]storeItem
	changes  []storeChange
	revision int64
}

func (c *storeContent) clone() storeContent {
	return storeContent{items: maps.Clone(c.items), changes: slices.Clone(c.changes), revision: c.revision}
}

type storeChange struct {
	key      string
	removed  bool
	value    string
	revision int64
}

func newFakeStore(t testing.TB) *fakeStore {
	s := &fakeStore{storeContent: storeContent{items: map[string]storeItem{}, revision: 1}, era: 1, changed: make(chan struct{})}
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

func (s *fakeStore) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(storeChange{key: key, value: string(text)})
}

func (s *fakeStore) remove(key string) { s.apply(storeChange{key: key, removed: true}) }

func (s *fakeStore) apply(c storeChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c.revision = s.revision
	if c.removed {
		delete(s.items, c.key)
	} else {
		s.items[c.key] = storeItem{Key: c.key, Value: []byte(c.value), Revision: c.revision}
	}
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// content returns a copy of what the store holds.
func (s *fakeStore) content() storeContent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clone()
}

// restore replaces what the store holds by an older copy of it, and gives the
// revisions after the copy out again.
func (s *fakeStore) restore(older storeContent) {
	s.mu.Lock()
	s.storeContent = older.clone()
	s.era++
	s.mu.Unlock()
	s.CloseClientConnections()
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (s *fakeStore) readRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items []storeItem `json:"items"`
		More  bool        `json:"more_pages"`
		AsOf  int64       `json:"as_of"`
	}{Items: []storeItem{}, AsOf: s.revision}
	for k, item := range s.items {
		if strings.HasPrefix(k, r.URL.Query().Get("prefix")) {
			out.Items = append(out.Items, item)
		}
	}
	s.setEra(w)
	_ = json.NewEncoder(w).Encode(out)
}

// setEra sets the header that the store has in all its responses. The caller holds
// s.mu.
func (s *fakeStore) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
}

func (s *fakeStore) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, asOf, changed := s.changesAfter(w, after, r.URL.Query().Get("prefix"))
		if after > asOf {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": []storeItem{}, "as_of": asOf})
			return
		}
	}
}

func (s *fakeStore) changesAfter(w http.ResponseWriter, revision int64, prefix string) ([]storeItem, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	var out []storeItem
	for _, c := range s.changes {
		if c.revision > revision && strings.HasPrefix(c.key, prefix) {
			out = append(out, storeItem{Key: c.key, Value: []byte(c.value), Revision: c.revision, Tombstone: c.removed})
		}
	}
	return out, s.revision, s.changed
}

// fakeTarget is an HTTP server in the role of a target. Requests that handler
// does not respond to, or all if it is nil, succeed.
type fakeTarget struct {
	*httptest.Server
	id string
	mu sync.Mutex
	// requestIDs, headers and paths have one element for each request, in
	// order.
	requestIDs []string
	headers    []http.Header
	paths      []string
	// handler reports whether it has written a response.
	handler func(w http.ResponseWriter, r *http.Request) bool
	// warmupMS is the remaining warm-up that health checks report.
	warmupMS atomic.Int64
}

func newFakeTarget(t testing.TB, id string) *fakeTarget {
	target := &fakeTarget{id: id}
	target.Server = httptest.NewServer(target)
	t.Cleanup(target.Close)
	return target
}

func (target *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", target.id)
		if left := target.warmupMS.Load(); left > 0 {
			w.Header().Set("X-Warmup-Ms", strconv.FormatInt(left, 10))
		}
		return
	}
	if r.Header.Get("X-Expect-Instance") != target.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	target.mu.Lock()
	target.requestIDs = append(target.requestIDs, r.Header.Get("X-Request-Id"))
	target.headers = append(target.headers, r.Header.Clone())
	target.paths = append(target.paths, r.URL.Path)
	handler := target.handler
	target.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "signed-by-"+target.id)
	if handler != nil && handler(w, r) {
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", target.id, r.RequestURI, body)
}

func (target *fakeTarget) setHandler(handler func(w http.ResponseWriter, r *http.Request) bool) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.handler = handler
}

func (target *fakeTarget) runCount() int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return len(target.requestIDs)
}

func (target *fakeTarget) address() string { return target.Listener.Addr().String() }

// storeEntry returns the target's entry in the store.
func (target *fakeTarget) storeEntry(service, domain, state string, sequence int) map[string]any {
	return storeEntryAt(target.address(), service, domain, state, sequence)
}

func storeEntryAt(address, service, domain, state string, sequence int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": domain, "version": "v1", "slots": 8, "state": state,
		"warmup_left_ms": 0, "sequence": sequence, "born": 1000,
	}
}

// testDeployment is a deployment on loopback addresses.
type testDeployment struct {
	t     testing.TB
	store *fakeStore
	port  int
	// nextIP is the last byte of the next instance's IP address.
	nextIP  int
	version int
	seeds   []string
	// storeProxyAddress is the address of a proxy in front of the store; empty
	// for none.
	storeProxyAddress string
	// memoryMB is the memory of an instance according to its settings.
	memoryMB int
	// maxDescriptors bounds the descriptors of an instance in its settings; 0 for no
	// bound.
	maxDescriptors int
	// cpuShare is the fraction of a core in the settings of an instance.
	cpuShare float64
	// graceSeconds is the time to stop in the settings of an instance.
	graceSeconds int
}

func (d *testDeployment) storeAddress() string {
	if d.storeProxyAddress != "" {
		return d.storeProxyAddress
	}
	return d.store.Listener.Addr().String()
}

// deploymentCount numbers the deployments, so that each gets its own loopback
// network and ports.
var deploymentCount atomic.Int32

func newTestDeployment(t testing.TB) *testDeployment {
	d := &testDeployment{t: t, store: newFakeStore(t), nextIP: 1, port: 21000 + 20*int(deploymentCount.Add(1)), memoryMB: 284, cpuShare: 0.4, graceSeconds: 2}
	return d
}

// publishConfig publishes a new version of the configuration. change modifies
// it first; it may be nil.
func (d *testDeployment) publishConfig(change func(config map[string]any)) {
	d.version += 3
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
	config := map[string]any{
		"version": d.version,
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
		change(config)
	}
	d.store.put("op/config", config)
}

// listTarget writes the entry of a target to the store.
func (d *testDeployment) listTarget(target *fakeTarget, domain, state string, sequence int) {
	d.store.put("servers/"+target.id, target.storeEntry("orders", domain, state, sequence))
}

// testInstance is an instance that runs in the test process.
type testInstance struct {
	*Instance
	ip     string
	cancel context.CancelFunc
	done   chan error
	log    *logBuffer
}

// loopbackNetwork is the second byte of the instances' addresses. It depends on the
// process because two runs of the tests at the same time would share addresses.
var loopbackNetwork = 16 + os.Getpid()%200

var regionByDomain = map[string]string{"a": "east", "b": "west", "c": "south"}

// writeSettings writes the settings file of a new instance in a failure domain.
func (d *testDeployment) writeSettings(domain string) (path, ip string) {
	d.t.Helper()
	ip = fmt.Sprintf("127.%d.%d.%d", loopbackNetwork, (d.port-21000)/20, d.nextIP)
	d.nextIP++
	control := fmt.Sprintf("%s:%d", ip, d.port+3)
	if len(d.seeds) == 0 {
		d.seeds = []string{control}
	}
	seeds, _ := json.Marshal(d.seeds)
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
cpu_share = %g
memory_mb = %d
max_fds = %d
[bounds]
addr_reuse_s = 2
drain_ms = 3000
grace_s = %d
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
`, domain, d.nextIP, ip, domain, regionByDomain[domain], d.port+8, d.port+15, seeds, ip, d.port, ip, d.port+1, control, ip, d.port+2,
		d.cpuShare, d.memoryMB, d.maxDescriptors, d.graceSeconds, d.storeAddress())
	path = filepath.Join(d.t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path, ip
}

// readyInstances returns what the directory of the instance may name.
func (inst *testInstance) readyInstances() (out []directoryEntry) {
	for _, e := range inst.directoryEntries(time.Now()) {
		if e.Health > 0 {
			out = append(out, e)
		}
	}
	return out
}

// startInstance runs a new instance in a failure domain until the test ends. change
// modifies it first.
func (d *testDeployment) startInstance(domain string, change ...func(*Instance)) *testInstance {
	d.t.Helper()
	path, ip := d.writeSettings(domain)
	inst := &testInstance{ip: ip, done: make(chan error, 1), log: &logBuffer{}}
	log, lines, err := event.BuildAsync(inst.log, "info")
	if err != nil {
		d.t.Fatal(err)
	}
	if inst.Instance, err = New(path, log, lines); err != nil {
		d.t.Fatal(err)
	}
	for _, f := range change {
		f(inst.Instance)
	}
	ctx, cancel := context.WithCancel(context.Background())
	inst.cancel = cancel
	go func() { inst.done <- inst.Run(ctx, nil) }()
	d.t.Cleanup(func() {
		cancel()
		<-inst.done
		if d.t.Failed() {
			d.t.Logf("log of %s:\n%s", ip, inst.log.String())
		}
	})
	return inst
}

func (inst *testInstance) url(path string) string {
	return "http://" + inst.settings.Listen.Callers + path
}

// eventually waits until check returns true. The test fails after 2000 calls of
// check, 10 ms apart.
func eventually(t testing.TB, what string, check func() bool) {
	t.Helper()
	for range 2000 {
		if check() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// callerResponse is a response as the caller received it.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

var callerTransport = &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}

var requestCount atomic.Int64

// sendRequest sends a short request with the headers that callers of the platform
// set.
func sendRequest(method, url string, change func(h http.Header)) callerResponse {
	return sendBody(method, url, "body", change)
}

// sendBody is sendRequest with a body.
func sendBody(method, url, body string, change func(h http.Header)) callerResponse {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", fmt.Sprintf("request-%d", requestCount.Add(1)))
	req.Header.Set("X-Deadline-Ms", "6000")
	req.Header.Set("Api-Key", "key-of-the-hotel")
	if change != nil {
		change(req.Header)
	}
	res, err := callerTransport.RoundTrip(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	return callerResponse{res.StatusCode, res.Header, string(got), err}
}

// logBuffer holds the log of an instance, which tests read while it runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
