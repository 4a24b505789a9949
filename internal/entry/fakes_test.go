package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/wigeonhill/wigeonhill/internal/admission"
	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/entry"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/idempotency"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/routing"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

const (
	key   = "sk-ramdin-0123456789"
	model = "planner"
	// safety only ends a test that hangs.
	safety = 20 * time.Second
)

// world is the set of tables, targets and instances of one test.
type world struct {
	t       testing.TB
	edition atomic.Pointer[config.Config]
	mu      sync.Mutex
	nodes   map[string]*node
}

// node is one instance with a caller and a peer address.
type node struct {
	w        *world
	url      string
	peer     string
	region   string
	inc      uint64
	adm      *admitter
	gate     *dispatch.Gate
	suspects *dispatch.CrashSuspects
	local    *dispatch.LocalDispatcher
	disp     *dispatch.Dispatcher
	mem      *dispatch.MemoryBudget
	srv      *entry.Server
	records  chan entry.Record
	clock    *clock.Virtual
	// prefer, if set, replaces the choice of the default chooser.
	prefer func(q routing.Query) routing.Choice
	peers  *http.Server
	asked  atomic.Int32
	// confirm lets the edition be confirmed once for each value.
	confirm chan struct{}
}

func newWorld(t testing.TB) *world {
	w := &world{t: t, nodes: map[string]*node{}}
	hash := config.KeyHash(sha256.Sum256([]byte(key)))
	e := &config.Config{
		Revision: 1,
		Regions:  map[string]*config.Region{"north": {Name: "north"}, "south": {Name: "south"}},
		Residency: map[string]*config.Residency{
			"north only": {Name: "north only", Regions: map[string]bool{"north": true}},
			"south only": {Name: "south only", Regions: map[string]bool{"south": true}},
		},
		Teams:    map[string]*config.Team{"ramdin": {Name: "ramdin", Weight: 1}},
		Keys:     map[config.KeyHash]*config.Key{hash: {Name: "k1", Team: "ramdin", Hash: hash}},
		Models:   map[string]*config.Model{model: {Name: model, MaxOutput: 50, MaxRun: time.Minute}},
		Services: map[string]*config.Service{"orders": {Name: "orders", MaxRun: time.Minute}},
		Routes: []*config.Route{
			{Name: "bookings", Prefix: "/orders/bookings", Service: "orders", Tokens: 5,
				Methods: map[string]bool{"POST": true, "GET": true}, Idempotent: map[string]bool{"GET": true}},
			{Name: "stock", Prefix: "/orders/stock", Service: "orders",
				Methods: map[string]bool{"GET": true, "PUT": true}, Idempotent: map[string]bool{"GET": true, "PUT": true}},
		},
		Targets: map[string]*config.Target{},
	}
	w.edition.Store(e)
	return w
}

// Current implements dispatch.Editions.
func (w *world) Current() *config.Config { return w.edition.Load() }

// edit publishes a changed copy of the edition.
func (w *world) edit(change func(e *config.Config)) {
	old := w.Current()
	e := *old
	e.Revision++
	e.Keys, e.Teams, e.Targets, e.Models = map[config.KeyHash]*config.Key{}, map[string]*config.Team{}, map[string]*config.Target{}, map[string]*config.Model{}
	for k, v := range old.Keys {
		e.Keys[k] = v
	}
	for k, v := range old.Teams {
		team := *v
		e.Teams[k] = &team
	}
	for k, v := range old.Targets {
		e.Targets[k] = v
	}
	for k, v := range old.Models {
		m := *v
		e.Models[k] = &m
	}
	change(&e)
	w.edition.Store(&e)
}

// target serves h as a target of the region.
func (w *world) target(name, region string, kind config.TargetKind, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		// net/http notices a closed connection only after the body was read.
		w.noKey("a request to a target", r)
		h(rw, r)
	}))
	w.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	w.address(name, region, kind, s.Listener.Addr().String())
	return s
}

// noKey guards invariant I5: it reads the request and looks for the key.
func (w *world) noKey(what string, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(b))
	if strings.Contains(fmt.Sprint(r.URL, r.Header, string(b)), key) {
		w.t.Errorf("%s holds the key", what)
	}
}

// Write takes the log lines of all instances.
func (w *world) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(key)) {
		w.t.Errorf("a log line holds the key: %s", p)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *world) Sync() error { return nil }

func (w *world) address(name, region string, kind config.TargetKind, address string) {
	t := &config.Target{Name: name, Kind: kind, Address: address, Region: region, Capacity: 4}
	if kind == config.Engine {
		t.Models = map[string]bool{model: true}
	} else {
		t.Service = "orders"
	}
	w.edit(func(e *config.Config) { e.Targets[name] = t })
}

// choose is the default chooser: own targets by name, then another region.
func (n *node) Choose(q routing.Query) routing.Choice {
	if n.prefer != nil {
		return n.prefer(q)
	}
	var c routing.Choice
	other := ""
	e := n.w.Current()
	for i := range 10 {
		name := fmt.Sprintf("t%d", i)
		t := e.Targets[name]
		switch {
		case t == nil || q.Exclude[name] || !q.AllowedRegions[t.Region] || (q.Model != "") != (t.Kind == config.Engine):
		case t.Region == n.region:
			c.Targets = append(c.Targets, name)
		case other == "" && !q.LocalOnly && !q.Exclude[t.Region]:
			other = t.Region
		}
	}
	if len(c.Targets) == 0 {
		c.Region = other
	}
	return c
}

// InRegion implements dispatch.Members.
func (n *node) InRegion(region string) []dispatch.Member {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	var out []dispatch.Member
	for name, m := range n.w.nodes {
		if m != n && m.region == region {
			out = append(out, dispatch.Member{Name: name, Incarnation: m.inc, PeerAddress: m.peer, Region: m.region})
		}
	}
	return out
}

// ByName implements dispatch.Members.
func (n *node) ByName(name string) (dispatch.Member, bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	m := n.w.nodes[name]
	if m == nil {
		return dispatch.Member{}, false
	}
	return dispatch.Member{Name: name, Incarnation: m.inc, PeerAddress: m.peer, Region: m.region}, true
}

// RequestDone implements entry.Observer.
func (n *node) RequestDone(r entry.Record) {
	select {
	case n.records <- r:
	default: // only benchmarks make so many
	}
}

// Answer implements entry.Directory.
func (n *node) Answer(caller, region string) any {
	return map[string]string{"asked": region + "/" + caller}
}

// PoolStatus implements dispatch.Pools.
func (n *node) PoolStatus(string, string) (capacity, running, queued int, wait time.Duration) {
	n.asked.Add(1)
	return 4, 1, 2, time.Second
}

// admitter admits at once and counts what is held.
type admitter struct {
	mu       sync.Mutex
	busy     int
	debit    float64
	used     []float64
	admitted int
	nextSlot uint64
	// expire makes that many admissions unspendable.
	expire int
	// onAdmit runs before an admission is given.
	onAdmit func(r admission.Request)
	refuse  error
	// onSpend runs at the last check before a request is sent.
	onSpend func()
	// validUntil is that of each admission, on the virtual clock.
	validUntil time.Duration
}

func (a *admitter) Admit(_ context.Context, r admission.Request) (admission.Ticket, error) {
	if a.onAdmit != nil {
		a.onAdmit(r)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refuse != nil {
		return admission.Ticket{}, a.refuse
	}
	a.admitted++
	t := admission.Ticket{Debit: lease.Debit{Team: r.Team, Tokens: r.Tokens, ValidUntil: a.validUntil}}
	if !r.Prepaid {
		a.debit += r.Tokens
	}
	if len(r.Targets) > 0 {
		t.Slot, t.HasSlot = a.slot(r), true
	}
	return t, nil
}

func (a *admitter) slot(r admission.Request) lease.Slot {
	a.busy++
	a.nextSlot++
	return lease.Slot{Target: r.Targets[0], ID: a.nextSlot}
}

func (a *admitter) AcquireSlot(_ context.Context, r admission.Request) (lease.Slot, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slot(r), nil
}

func (a *admitter) Valid(admission.Ticket) bool {
	if a.onSpend != nil {
		a.onSpend()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire--
	return a.expire < 0
}

func (a *admitter) Done(t admission.Ticket, used float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.HasSlot {
		a.busy--
	}
	a.used = append(a.used, used)
}

func (a *admitter) Usable(lease.Slot) bool { return true }

func (a *admitter) Release(lease.Slot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy--
}

// settled returns the slots in use, the debits and what Done was told.
func (a *admitter) settled() (busy int, debit float64, used []float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy, a.debit, append([]float64(nil), a.used...)
}

// confirmer confirms once for each value sent.
type confirmer struct{ allow chan struct{} }

func (c *confirmer) Confirm(ctx context.Context) error {
	select {
	case <-c.allow:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
func (c *confirmer) CheckAge() error { return nil }

type noAudit struct{}

func (noAudit) Note(string, string, string)            {}
func (noAudit) End(string, string, int, time.Duration) {}
func (noAudit) Add(audit.Change)                       {}

// peerHandler serves what the receiver has of the inner protocol.
type peerHandler struct {
	unimplemented
	*dispatch.Receiver
}

// unimplemented is one level deeper than Receiver, whose methods then prevail.
type unimplemented struct {
	peerv1connect.UnimplementedPeerHandler
}

type option func(b *settings.Bounds)

// node starts an instance.
func (w *world) node(name, region string, opts ...option) *node {
	n := &node{w: w, region: region, inc: 0xabc, adm: &admitter{}, records: make(chan entry.Record, 1000), clock: &clock.Virtual{}}
	n.confirm = make(chan struct{}, 1)
	n.confirm <- struct{}{}
	conf := &confirmer{n.confirm}
	b := settings.Bounds{MaxBody: 1 << 20, MaxHeader: 16 << 10, MaxStreams: 2000, StreamBuffer: 64 << 10, TeamBuffer: 8 << 20, ProcessBuffer: 16 << 20,
		RequestTimeout: time.Minute, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute}
	for _, o := range opts {
		o(&b)
	}
	log := event.NewLogger(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "m"}), w, zapcore.DebugLevel)))
	inst := settings.Instance{Name: name, Region: region, Domain: "d1"}
	n.gate = dispatch.NewGate(conf)
	n.suspects = dispatch.NewCrashSuspects(n.clock)
	n.mem = dispatch.NewMemoryBudget(b)
	n.local = dispatch.NewLocalDispatcher(dispatch.LocalConfig{Instance: inst, Bounds: b, ConfigSource: w, Chooser: n, Admitter: n.adm, Slots: n.adm,
		Gate: n.gate, CrashSuspects: n.suspects, Memory: n.mem, RetryBudget: dispatch.NewRetryBudget(), Requests: noAudit{}, Trail: noAudit{}, Clock: n.clock, Log: log})
	store := idempotency.New(idempotency.Config{Instance: name, Incarnation: n.inc, Clock: n.clock, Start: time.Now()})
	clients, err := peerapi.NewClients(settings.Peers{Insecure: true})
	check(w.t, err)
	n.disp = dispatch.NewDispatcher(dispatch.Config{Local: n.local, Members: n, PeerClients: clients, Idempotency: store, Incarnation: n.inc})
	n.srv = entry.New(entry.Config{Instance: inst, Bounds: b, ConfigSource: w, Gate: n.gate, Dispatcher: n.disp, Directory: n, MemoryBudget: n.mem,
		Requests: noAudit{}, Observer: n, Log: log})
	recv := dispatch.NewReceiver(dispatch.ReceiverConfig{Local: n.local, Idempotency: store, PoolStatusSource: n})
	n.peers, err = peerapi.NewServer(settings.Peers{Insecure: true}, peerHandler{Receiver: recv})
	check(w.t, err)
	inner := n.peers.Handler
	n.peers.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.noKey("an inner message", r)
		inner.ServeHTTP(rw, r)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.gate.Run(ctx) })
	n.url = "http://" + serve(w.t, &wg, n.srv.Serve)
	n.peer = serve(w.t, &wg, n.peers.Serve)
	w.t.Cleanup(func() { cancel(); _ = n.srv.Close(); _ = n.peers.Close(); clients.Close(); wg.Wait() })
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
	await(w.t, func() bool { return n.gate.Check() == nil })
	return n
}

func serve(t testing.TB, wg *sync.WaitGroup, run func(net.Listener) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	wg.Go(func() { _ = run(l) })
	return l.Addr().String()
}
