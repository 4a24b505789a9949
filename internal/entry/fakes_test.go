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
	"github.com/wigeonhill/wigeonhill/internal/crash"
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
	apiKey = "sk-ramdin-0123456789"
	model  = "planner"
	// testTimeout ends a test that hangs; no test depends on its length.
	testTimeout = 20 * time.Second
)

// testCluster holds the configuration, targets and instances of one test.
type testCluster struct {
	t         testing.TB
	current   atomic.Pointer[config.Config]
	mu        sync.Mutex
	instances map[string]*testInstance
	// callersListener, if set, replaces the listeners for callers, and onConnState, if set,
	// runs after each change of the state of their connections.
	callersListener func(net.Listener) net.Listener
	onConnState     func(http.ConnState)
}

// testInstance is one instance that listens for callers and for peers.
type testInstance struct {
	cluster     *testCluster
	url         string
	peerAddress string
	region      string
	incarnation uint64
	admitter    *fakeAdmitter
	gate        *dispatch.Gate
	suspects    *crash.Tracker
	local       *dispatch.LocalDispatcher
	dispatcher  *dispatch.Dispatcher
	memory      *dispatch.MemoryBudget
	responses   *dispatch.MemoryBudget
	server      *entry.Server
	records     chan entry.Record
	clock       *clock.Virtual
	// chooseFunc, if set, replaces the default choice of Choose.
	chooseFunc      func(q routing.Query) routing.Choice
	peerServer      *http.Server
	poolStatusCalls atomic.Int32
	// confirmations lets the configuration be confirmed once for each value sent.
	confirmations chan struct{}
}

func newTestCluster(t testing.TB) *testCluster {
	c := &testCluster{t: t, instances: map[string]*testInstance{}}
	hash := config.KeyHash(sha256.Sum256([]byte(apiKey)))
	cfg := &config.Config{
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
	c.current.Store(cfg)
	return c
}

// Current implements dispatch.ConfigSource.
func (c *testCluster) Current() *config.Config { return c.current.Load() }

// updateConfig publishes a changed copy of the configuration.
func (c *testCluster) updateConfig(mutate func(cfg *config.Config)) {
	old := c.Current()
	cfg := *old
	cfg.Revision++
	cfg.Keys, cfg.Teams, cfg.Targets, cfg.Models = map[config.KeyHash]*config.Key{}, map[string]*config.Team{}, map[string]*config.Target{}, map[string]*config.Model{}
	for k, v := range old.Keys {
		cfg.Keys[k] = v
	}
	for k, v := range old.Teams {
		team := *v
		cfg.Teams[k] = &team
	}
	for k, v := range old.Targets {
		cfg.Targets[k] = v
	}
	for k, v := range old.Models {
		m := *v
		cfg.Models[k] = &m
	}
	mutate(&cfg)
	c.current.Store(&cfg)
}

// startTarget starts a target in the region that serves requests with handler.
func (c *testCluster) startTarget(name, region string, kind config.TargetKind, handler http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		// net/http notices a closed connection only after the body has been read.
		c.checkNoKey("a request to a target", r)
		handler(rw, r)
	}))
	c.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	c.addTarget(name, region, kind, s.Listener.Addr().String())
	return s
}

// checkNoKey guards invariant I5: it fails the test if the request contains the
// API key.
func (c *testCluster) checkNoKey(what string, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(b))
	if strings.Contains(fmt.Sprint(r.URL, r.Header, string(b)), apiKey) {
		c.t.Errorf("%s contains the API key", what)
	}
}

// Write implements zapcore.WriteSyncer for the logs of all instances. It fails
// the test if a line contains the API key.
func (c *testCluster) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(apiKey)) {
		c.t.Errorf("a log line contains the API key: %s", p)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (c *testCluster) Sync() error { return nil }

func (c *testCluster) addTarget(name, region string, kind config.TargetKind, address string) {
	t := &config.Target{Name: name, Kind: kind, Address: address, Region: region, Capacity: 4}
	if kind == config.Engine {
		t.Models = map[string]bool{model: true}
	} else {
		t.Service = "orders"
	}
	c.updateConfig(func(cfg *config.Config) { cfg.Targets[name] = t })
}

// Choose implements dispatch.Chooser: local targets by name, or another region if
// there are none.
func (n *testInstance) Choose(q routing.Query) routing.Choice {
	if n.chooseFunc != nil {
		return n.chooseFunc(q)
	}
	var c routing.Choice
	other := ""
	cfg := n.cluster.Current()
	for i := range 10 {
		name := fmt.Sprintf("t%d", i)
		t := cfg.Targets[name]
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
func (n *testInstance) InRegion(region string) []dispatch.Member {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var out []dispatch.Member
	for name, m := range n.cluster.instances {
		if m != n && m.region == region {
			out = append(out, dispatch.Member{Name: name, Incarnation: m.incarnation, PeerAddress: m.peerAddress, Region: m.region})
		}
	}
	return out
}

// ByName implements dispatch.Members.
func (n *testInstance) ByName(name string) (dispatch.Member, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	m := n.cluster.instances[name]
	if m == nil {
		return dispatch.Member{}, false
	}
	return dispatch.Member{Name: name, Incarnation: m.incarnation, PeerAddress: m.peerAddress, Region: m.region}, true
}

// RequestDone implements entry.Observer.
func (n *testInstance) RequestDone(r entry.Record) {
	select {
	case n.records <- r:
	default: // only benchmarks fill the channel
	}
}

// InstancesFor implements entry.Directory.
func (n *testInstance) InstancesFor(caller, region string) any {
	return map[string]string{"asked": region + "/" + caller}
}

// PoolStatus implements dispatch.PoolStatusSource.
func (n *testInstance) PoolStatus(string, string) (capacity, running, queued int, wait time.Duration) {
	n.poolStatusCalls.Add(1)
	return 4, 1, 2, time.Second
}

// fakeAdmitter admits each request at once and counts slots and tokens.
type fakeAdmitter struct {
	mu         sync.Mutex
	slotsInUse int
	debited    float64
	usedTokens []float64
	admissions int
	nextSlot   uint64
	// invalidChecks is the number of coming calls of Valid that return false.
	invalidChecks int
	// onAdmit, if set, runs at the start of Admit.
	onAdmit  func(r admission.Request)
	admitErr error
	// onValid, if set, runs in Valid, the last check before a request is sent.
	onValid func()
	// validUntil is the end of validity of each debit, on the virtual clock.
	validUntil time.Duration
}

func (a *fakeAdmitter) Admit(_ context.Context, r admission.Request) (admission.Ticket, error) {
	if a.onAdmit != nil {
		a.onAdmit(r)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admitErr != nil {
		return admission.Ticket{}, a.admitErr
	}
	a.admissions++
	t := admission.Ticket{Debit: lease.Debit{Team: r.Team, Tokens: r.Tokens, ValidUntil: a.validUntil}}
	if !r.Prepaid {
		a.debited += r.Tokens
	}
	if len(r.Targets) > 0 {
		t.Slot, t.HasSlot = a.slot(r), true
	}
	return t, nil
}

func (a *fakeAdmitter) slot(r admission.Request) lease.Slot {
	a.slotsInUse++
	a.nextSlot++
	return lease.Slot{Target: r.Targets[0], ID: a.nextSlot}
}

func (a *fakeAdmitter) AcquireSlot(_ context.Context, r admission.Request) (lease.Slot, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slot(r), nil
}

func (a *fakeAdmitter) Valid(admission.Ticket) bool {
	if a.onValid != nil {
		a.onValid()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.invalidChecks--
	return a.invalidChecks < 0
}

func (a *fakeAdmitter) Done(t admission.Ticket, used float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.HasSlot {
		a.slotsInUse--
	}
	a.usedTokens = append(a.usedTokens, used)
}

func (a *fakeAdmitter) Usable(lease.Slot) bool { return true }

func (a *fakeAdmitter) Release(lease.Slot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slotsInUse--
}

// usage returns the slots in use, the tokens debited, and the tokens reported to
// Done for each request.
func (a *fakeAdmitter) usage() (slotsInUse int, debited float64, usedTokens []float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slotsInUse, a.debited, append([]float64(nil), a.usedTokens...)
}

// fakeConfirmer confirms the configuration once for each value sent.
type fakeConfirmer struct{ confirmations chan struct{} }

func (c *fakeConfirmer) Confirm(ctx context.Context) error {
	select {
	case <-c.confirmations:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
func (c *fakeConfirmer) CheckAge() error { return nil }

type nopAudit struct{}

func (nopAudit) AddStep(string, string, string)         {}
func (nopAudit) End(string, string, int, time.Duration) {}
func (nopAudit) Add(audit.Change)                       {}

// peerHandler serves the methods of the peer protocol that Receiver implements.
type peerHandler struct {
	unimplemented
	*dispatch.Receiver
}

// unimplemented embeds its handler one level deeper than peerHandler embeds
// Receiver, so that the methods of Receiver take precedence.
type unimplemented struct {
	peerv1connect.UnimplementedPeerHandler
}

type boundsOption func(b *settings.Bounds)

// startInstance starts an instance and waits until it serves requests.
func (c *testCluster) startInstance(name, region string, opts ...boundsOption) *testInstance {
	n := &testInstance{cluster: c, region: region, incarnation: 0xabc, admitter: &fakeAdmitter{}, records: make(chan entry.Record, 1000), clock: &clock.Virtual{}}
	n.confirmations = make(chan struct{}, 1)
	n.confirmations <- struct{}{}
	confirmer := &fakeConfirmer{n.confirmations}
	b := settings.Bounds{MaxBody: 1 << 20, MaxHeader: 16 << 10, MaxStreams: 2000, StreamBuffer: 64 << 10, TeamBuffer: 8 << 20, ProcessBuffer: 16 << 20,
		RequestTimeout: time.Minute, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute}
	for _, o := range opts {
		o(&b)
	}
	log := event.NewLogger(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "m"}), c, zapcore.DebugLevel)))
	inst := settings.Instance{Name: name, Region: region, Domain: "d1"}
	n.gate = dispatch.NewGate(confirmer)
	n.suspects = crash.New(crash.Config{Clock: n.clock})
	n.memory = dispatch.NewMemoryBudget(b)
	n.responses = dispatch.NewMemoryBudget(settings.Bounds{ProcessBuffer: b.ResponseBuffer})
	n.local = dispatch.NewLocalDispatcher(dispatch.LocalConfig{Instance: inst, Bounds: b, ConfigSource: c, Chooser: n, Admitter: n.admitter, Slots: n.admitter,
		Gate: n.gate, Crashes: n.suspects, Memory: n.memory, ResponseMemory: n.responses, RetryBudget: dispatch.NewRetryBudget(), Requests: nopAudit{}, Trail: nopAudit{}, Clock: n.clock, Log: log})
	store := idempotency.New(idempotency.Config{Instance: name, Incarnation: n.incarnation, Clock: n.clock, Start: time.Now()})
	clients, err := peerapi.NewClients(settings.Peers{Insecure: true})
	check(c.t, err)
	n.dispatcher = dispatch.NewDispatcher(dispatch.Config{Local: n.local, Members: n, PeerClients: clients, Idempotency: store, Incarnation: n.incarnation})
	n.server = entry.New(entry.Config{Instance: inst, Bounds: b, ConfigSource: c, Gate: n.gate, Dispatcher: n.dispatcher, Directory: n, MemoryBudget: n.memory,
		Requests: nopAudit{}, Observer: n, Log: log})
	receiver := dispatch.NewReceiver(dispatch.ReceiverConfig{Local: n.local, Idempotency: store, PoolStatusSource: n})
	n.peerServer, err = peerapi.NewServer(settings.Peers{Insecure: true}, peerHandler{Receiver: receiver})
	check(c.t, err)
	inner := n.peerServer.Handler
	n.peerServer.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		c.checkNoKey("a peer message", r)
		inner.ServeHTTP(rw, r)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.gate.Run(ctx) })
	if c.onConnState != nil {
		n.server.OnConnState(c.onConnState)
	}
	n.url = "http://" + serve(c.t, &wg, func(l net.Listener) error {
		if c.callersListener != nil {
			l = c.callersListener(l)
		}
		return n.server.Serve(l)
	})
	n.peerAddress = serve(c.t, &wg, n.peerServer.Serve)
	c.t.Cleanup(func() { cancel(); _ = n.server.Close(); _ = n.peerServer.Close(); clients.Close(); wg.Wait() })
	c.mu.Lock()
	c.instances[name] = n
	c.mu.Unlock()
	await(c.t, func() bool { return n.gate.Check() == nil })
	return n
}

func serve(t testing.TB, wg *sync.WaitGroup, run func(net.Listener) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	wg.Go(func() { _ = run(l) })
	return l.Addr().String()
}
