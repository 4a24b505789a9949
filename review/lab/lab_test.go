//go:build review

// Package lab holds the stand-ins of the review: the platform's store, replicas,
// clients and the machines on which target/wigeonhill runs. It is built as a test
// binary; LAB_CASE names the case to play.
package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

const heartbeatInterval = 1200 * time.Millisecond

var cases = map[string]func(l *lab) int{}

func TestMain(*testing.M) {
	name := os.Getenv("LAB_CASE")
	play := cases[name]
	if play == nil {
		fmt.Println("unknown case", name)
		os.Exit(couldNot)
	}
	os.Exit(playCase(name, play))
}

func playCase(name string, play func(l *lab) int) (code int) {
	l, err := newLab()
	if err != nil {
		fmt.Println("could not run:", err)
		return couldNot
	}
	defer l.close()
	defer func() {
		if r := recover(); r != nil {
			l.note("could not run: %v", r)
			code = couldNot
		}
		l.note("exit %d", code)
	}()
	l.note("case %s, trouble %v", name, l.trouble)
	return play(l)
}

// lab is one small deployment.
type lab struct {
	trouble  bool
	dir      string
	network  string // first three bytes of the machines' addresses
	began    time.Time
	recordMu sync.Mutex
	record   *bufio.Writer
	file     *os.File
	store    *store
	machines []*machine
	replicas []*replica
	lastID   atomic.Int64
}

func newLab() (*lab, error) {
	path := os.Getenv("LAB_RECORD")
	if path == "" {
		return nil, fmt.Errorf("LAB_RECORD is not set")
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &lab{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), file: f, record: bufio.NewWriter(f),
		network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	l.store = newStore(l)
	return l, nil
}

// close ends all processes that the lab has started.
func (l *lab) close() {
	for _, m := range l.machines {
		m.stop()
	}
	for _, r := range l.replicas {
		r.server.Close()
	}
	l.recordMu.Lock()
	_ = l.record.Flush()
	_ = l.file.Close()
	l.recordMu.Unlock()
	if os.Getenv("LAB_KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs of the processes:", l.dir)
	}
}

// note writes a line to the record, and for summaries to standard output.
func (l *lab) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	l.log("%s", text)
}

func (l *lab) log(format string, args ...any) {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	fmt.Fprintf(l.record, "%9.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) newID() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), l.lastID.Add(1))
}

// store is the platform's store. Each machine has an address of its own there, so
// that it can turn machines away.
type store struct {
	l        *lab
	mu       sync.Mutex
	items    map[string]storeItem
	changes  []storeItem
	revision int64
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"tombstone,omitempty"`
}

func newStore(l *lab) *store {
	return &store{l: l, items: map[string]storeItem{}, revision: 1, changed: make(chan struct{})}
}

func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := storeItem{Key: key, Value: text, Revision: s.revision, Created: created}
	s.items[key] = it
	s.publish(it)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.publish(storeItem{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) publish(it storeItem) {
	s.changes = append(s.changes, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// door is the address of the store for one machine.
type door struct {
	s       *store
	address string
	silent  atomic.Bool // calls get no response
}

func (s *store) open(address string) *door {
	d := &door{s: s, address: address}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", d.readRange)
	mux.HandleFunc("GET /kv-watch", d.watch)
	mustServe(address, &http.Server{Handler: mux})
	return d
}

func mustServe(address string, server *http.Server) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	go func() { _ = server.Serve(ln) }()
}

// answer writes a response, unless the machine is turned away; it then waits until
// the caller has gone.
func (d *door) answer(w http.ResponseWriter, r *http.Request, body any) {
	if d.silent.Load() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (d *door) readRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	d.s.mu.Lock()
	items, asOf := []storeItem{}, d.s.revision
	for k, it := range d.s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			items = append(items, it)
		}
	}
	d.s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	time.Sleep(4 * time.Millisecond)
	d.answer(w, r, map[string]any{"items": items, "more_pages": false, "as_of": asOf})
}

func (d *door) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		d.s.mu.Lock()
		events, asOf, changed := []storeItem{}, d.s.revision, d.s.changed
		for _, it := range d.s.changes {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		d.s.mu.Unlock()
		if len(events) > 0 || !waiting {
			d.answer(w, r, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// run is a request that a replica began to work on.
type run struct {
	at                                 time.Time
	id, tenant, method, target, header string
	service, replica, region           string
	bodyBytes                          int64
}

// replica is one server of a service. It follows the pages and has no faults.
type replica struct {
	l                         *lab
	id, service, zone, region string
	address                   string
	slots                     int
	work                      time.Duration
	born                      int64
	server                    *http.Server
	places, queue             chan struct{}
	mu                        sync.Mutex
	runs                      []run
	connMu                    sync.Mutex
	busy                      atomic.Int64
	sequence                  int64
}

func (l *lab) newReplica(service, zone, region string, host, port, slots int, work time.Duration) *replica {
	r := &replica{
		l: l, id: fmt.Sprintf("i-%s-%d", l.newID()[:8], host), service: service, zone: zone, region: region, slots: slots, work: work,
		address: fmt.Sprintf("%s%d:%d", l.network, host, port), born: time.Now().UnixMilli(),
		places: make(chan struct{}, slots), queue: make(chan struct{}, slots*4),
	}
	r.server = &http.Server{Handler: r, IdleTimeout: 30 * time.Second}
	mustServe(r.address, r.server)
	l.replicas = append(l.replicas, r)
	r.report()
	go func() {
		for range time.Tick(heartbeatInterval) {
			r.report()
		}
	}()
	return r
}

// report writes the replica's entry in the store.
func (r *replica) report() {
	r.sequence++
	r.l.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"warmup_left_ms": 0, "sequence": r.sequence, "born": r.born,
	})
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", r.id)
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if expect := req.Header.Get("X-Expect-Instance"); expect != "" && expect != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case r.queue <- struct{}{}:
		defer func() { <-r.queue }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
	case <-req.Context().Done():
		return
	}
	if req.RequestURI == "/health" {
		return
	}
	n, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return // it arrived in part and doesn't run
	}
	x := run{at: time.Now(), id: id, tenant: req.Header.Get("X-Tenant"), method: req.Method, target: req.RequestURI, service: r.service, replica: r.id, region: r.region, bodyBytes: n}
	r.mu.Lock()
	r.runs = append(r.runs, x)
	r.mu.Unlock()
	r.l.log("run %s %s %s by %s (%s in %s), %d bytes", id, x.method, x.target, r.id, r.service, r.region, n)
	r.busy.Add(1)
	defer r.busy.Add(-1)
	select {
	case <-time.After(r.work):
	case <-req.Context().Done():
		r.l.log("run %s is cut: its channel closed", id)
		return
	}
	body := []byte(fmt.Sprintf("%s %s %s", r.service, r.id, id))
	w.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%s.%d", r.id, id, len(body)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (l *lab) allRuns() []run {
	var out []run
	for _, r := range l.replicas {
		r.mu.Lock()
		out = append(out, r.runs...)
		r.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].at.Before(out[j].at) })
	return out
}

// machine runs target/wigeonhill.
type machine struct {
	l            *lab
	name, ip     string
	zone, region string
	settings     string
	door         *door
	memoryMB     int
	mu           sync.Mutex
	cmd          *exec.Cmd
	stopped      bool
	done         chan struct{}
	peakKB       atomic.Int64
	memoryKills  atomic.Int64
	onMemoryKill func()
}

const (
	portFront     = 8221
	portReady     = 8224
	portControl   = 8229
	portDirectory = 8220
	portStore     = 8225
	portUDP       = 7600
)

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, portFront) }

// placement of machines: one zone for each region.
type place struct{ zone, region string }

// startMachines starts one machine for each place; the seeds are the first three.
func (l *lab) startMachines(places []place, memoryMB int) {
	zones, seeds := map[string]string{}, []string{}
	for i, p := range places {
		zones[p.zone] = p.region
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:%d", l.network, 10+i, portControl)))
		}
	}
	for i, p := range places {
		m := &machine{l: l, name: fmt.Sprintf("front-%s-%d", p.zone, i+1), ip: fmt.Sprintf("%s%d", l.network, 10+i), zone: p.zone, region: p.region, memoryMB: memoryMB}
		m.door = l.store.open(fmt.Sprintf("%s%d:%d", l.network, 100+i, portStore))
		m.settings = filepath.Join(l.dir, m.name+".toml")
		if err := os.WriteFile(m.settings, []byte(m.settingsText(seeds, zones)), 0o600); err != nil {
			panic(err)
		}
		l.machines = append(l.machines, m)
		m.start()
	}
	for _, m := range l.machines {
		m.awaitReady(15 * time.Second)
	}
	l.log("%d machines are ready", len(l.machines))
}

func (m *machine) settingsText(seeds []string, zones map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\",\"control\",\"directory\"]\nip = %q\nzone = %q\nregion = %q\n", m.name, m.ip, m.zone, m.region)
	fmt.Fprintf(&b, "port_range = [%d,%d]\nseeds = [%s]\nbootstrap = true\ncounts_toward_loss = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = 1200\n", portUDP, portUDP+15, strings.Join(seeds, ","))
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"places\",\"tenants\",\"quota\",\"pressure\",\"platform\"]\n[zones]\n")
	for z, r := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z, r)
	}
	fmt.Fprintf(&b, "[listen]\nfront = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\ndirectory = \"%s:%d\"\n", m.ip, portFront, m.ip, portReady, m.ip, portControl, m.ip, portDirectory)
	fmt.Fprintf(&b, "[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = %d\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 1\n", m.memoryMB)
	b.WriteString("[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 5000\nack_ms = 6000\nsync_s = 4\ndrain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 3000\ndowngrade_slack_ms = 250\nmax_stretch_ms = 8000\nstrict_revoke = false\nrevoke_ms = 5000\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 58\nquota_window_s = 8\nquota_overage = 0.25\nquota_slack = 190000\nwarmup_overage = 1.5\nwarmup_slack = 3\nevacuate_ms = 5000\nrecovery_s = 12\npass_ms = 600\nretry_after_s = 10\nttl_max_s = 5\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n", m.door.address)
	return b.String()
}

// start starts the process with the command of the deploy file.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	log, err := os.OpenFile(filepath.Join(m.l.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command("target/wigeonhill", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WIGEONHILL_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	m.cmd, m.done = cmd, make(chan struct{})
	done := m.done
	m.l.log("%s starts", m.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		m.l.log("%s ended: %v", m.name, err)
		close(done)
	}()
}

func (m *machine) stop() {
	m.mu.Lock()
	m.stopped = true
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-done
	}
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(sig)
}

func (m *machine) awaitReady(timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			return
		}
	}
	panic(m.name + " is not ready")
}

func (m *machine) isReady() bool {
	c := &http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// watchMemory kills the process as the platform does if it exceeds memory_mb, and
// starts it again after a short delay.
func (m *machine) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		cmd, done := m.cmd, m.done
		m.mu.Unlock()
		kb := residentKB(cmd.Process.Pid)
		if kb > m.peakKB.Load() {
			m.peakKB.Store(kb)
		}
		if kb <= int64(m.memoryMB)<<10 {
			continue
		}
		m.memoryKills.Add(1)
		if m.onMemoryKill != nil {
			m.onMemoryKill()
		}
		m.l.note("%s has %d MB, more than memory_mb = %d: the platform kills it", m.name, kb>>10, m.memoryMB)
		_ = cmd.Process.Kill()
		<-done
		time.Sleep(500 * time.Millisecond)
		m.start()
	}
}

func residentKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb
		}
	}
	return 0
}

// channel is a client's kept channel to a machine.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
	used int // requests that were answered on it
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, r: bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// request is one client attempt.
type request struct {
	id, method, host, target, key string
	deadline                      time.Duration
	body                          []byte
	// bytesPerSecond is how fast the body is sent; 0 for no limit.
	bytesPerSecond int
}

// answer is what a client got.
type answer struct {
	status    int
	signature string
	body      []byte
	err       error // the channel ended without a complete answer, or the time limit passed
	sentAt    time.Time
}

// ask sends a request and waits for its answer.
func (c *channel) ask(q *request) answer {
	a := answer{sentAt: time.Now()}
	_ = c.conn.SetDeadline(a.sentAt.Add(q.deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.target, q.host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Api-Key: %s\r\n", q.key)
	}
	if q.body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	if _, a.err = c.conn.Write(b.Bytes()); a.err != nil {
		return a
	}
	if a.err = c.sendBody(q); a.err != nil {
		// The machine may have answered before it read the whole body.
		if resp, err := http.ReadResponse(c.r, nil); err == nil {
			a.err, a.status = nil, resp.StatusCode
		}
		return a
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signature = resp.StatusCode, resp.Header.Get("X-Response-Signature")
	a.body, a.err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if a.err == nil && !resp.Close {
		c.used++
	}
	if resp.Close {
		c.close()
	}
	return a
}

func (c *channel) sendBody(q *request) error {
	if q.bytesPerSecond == 0 {
		_, err := c.conn.Write(q.body)
		return err
	}
	const tick = 10 * time.Millisecond
	part := q.bytesPerSecond / int(time.Second/tick)
	next := time.Now()
	for rest := q.body; len(rest) > 0; {
		n := min(part, len(rest))
		if _, err := c.conn.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		next = next.Add(tick)
		time.Sleep(time.Until(next))
	}
	return nil
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// route, service and tenant build a configuration.
func route(name, prefix, kind, service string, attempts int, homes ...string) map[string]any {
	if homes == nil {
		homes = []string{}
	}
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
		"service": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false, "home_regions": homes,
	}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0}
}

const (
	host   = "ficu95.example"
	apiKey = "i9n73hh2b9wu3fexd9dn"
)

func (l *lab) configure(version int, services []map[string]any, routes ...map[string]any) {
	l.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "huka270", "api_keys": []string{apiKey}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0, "home_regions": []string{}}},
	})
	l.log("the store confirms configuration %d", version)
}
