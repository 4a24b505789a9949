package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/admission"
	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/enginecmd"
	"github.com/wigeonhill/wigeonhill/internal/entry"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/idempotency"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/membership"
	"github.com/wigeonhill/wigeonhill/internal/ops"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	routing1 "github.com/wigeonhill/wigeonhill/internal/routing"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// leaveTimeout bounds the announcement to other members that this one leaves.
const leaveTimeout = 2 * time.Second

// Node is one instance: its managers and servers.
type Node struct {
	settings *settings.Settings
	version  string
	log      *event.Logger
	clock    *clock.System
	self     *peerv1.Identity
	started  time.Time

	clients  *peerapi.Clients
	service  *confservice.Client
	editions *configversion.Manager
	members  *membership.Manager
	terms    *leadership.Manager
	grants   *lease.Manager
	admitter *admission.Manager
	routing  *routing
	warmup   *warmup
	gate     *dispatch.Gate
	local    *dispatch.LocalDispatcher
	memory   *dispatch.MemoryBudget
	once     *idempotency.Store
	trail    *audit.Ring
	records  *audit.Records
	teams    *ops.TeamStats
	metrics  *ops.Metrics

	entry *entry.Server
	peers *http.Server
	ops   *ops.Server

	callersListener, peersListener net.Listener
	lists                          chan struct{} // signalled by a new instance list
}

// New builds an instance and opens its listeners.
func New(s *settings.Settings, version string, log *event.Logger) (*Node, error) {
	clients, err := peerapi.NewClients(s.Peers)
	if err != nil {
		return nil, err
	}
	return newNode(s, version, log, clients)
}

func newNode(s *settings.Settings, version string, log *event.Logger, clients *peerapi.Clients) (*Node, error) {
	n := &Node{
		settings: s, version: version, clock: clock.NewSystem(), started: time.Now(),
		log:   log.With(zap.String("instance", s.Instance.Name)),
		lists: make(chan struct{}, 1), clients: clients,
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	n.self = &peerv1.Identity{
		Instance: s.Instance.Name, Incarnation: incarnation, PeerAddress: s.Listen.Peers,
		Region: s.Instance.Region, Domain: s.Instance.Domain,
	}
	n.buildState()
	n.buildPath()
	return n, n.listen()
}

// newIncarnation draws the number that tells this process from others under
// the same name; 0 means unknown and is not used.
func newIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "draw the incarnation")
	}
	return max(binary.BigEndian.Uint64(b[:]), 1), nil
}

// buildState builds what holds editions, members, terms and grants.
func (n *Node) buildState() {
	s, calls := n.settings, peerCalls{n.clients}
	n.trail = audit.NewRing(s.Operators.AuditEntries, n.log, time.Now)
	n.records = audit.NewRecords(s.Operators.RequestRecords, time.Now)
	n.teams = ops.NewTeamStats(time.Now)
	n.metrics = ops.NewMetrics(n.teams)
	n.service = confservice.NewClient(s.Platform.Config)
	n.editions = configversion.NewManager(configversion.Config{
		Service: n.service, Peers: calls, Bootstrap: s.Peers.Bootstrap, Clock: n.clock,
		Log: n.log, Trail: n.trail, MaxAge: s.Bounds.MaxEditionAge,
	})
	suspects := dispatch.NewCrashSuspects(n.clock)
	n.gate = dispatch.NewGate(confirmer{n.editions})
	n.members = membership.NewManager(membership.Config{
		Self: membership.Member{
			Name: s.Instance.Name, Incarnation: n.self.Incarnation, PeerAddress: s.Listen.Peers,
			CallersAddress: s.Listen.Callers, Region: s.Instance.Region, Domain: s.Instance.Domain,
		},
		Bootstrap: s.Peers.Bootstrap, Clock: n.clock, Peers: calls, Editions: n.editions,
		Crashes: crashes{suspects}, Load: func() uint32 { return uint32(n.gate.Running()) },
		Log: n.log, Trail: n.trail, Seed: n.self.Incarnation, Generation: uint32(time.Now().Unix()),
	})
	n.editions.SetMembers(n.members)
	n.editions.Lists().Subscribe(func(_, _ *confservice.InstanceList) {
		select {
		case n.lists <- struct{}{}:
		default:
		}
	})
	n.terms = leadership.NewManager(leadership.Config{
		Self: n.self, Clock: n.clock, ConfigSource: n.editions, Peers: calls, Rank: n.rank,
		HighestFencingToken: func(shard leadership.Shard) uint64 { return n.grants.HighestFencingToken(shard) },
		Log:                 n.log, Trail: n.trail,
	})
	n.grants = lease.NewManager(lease.Config{
		Self: n.self, Clock: n.clock, ConfigSource: n.editions, Leadership: n.terms, PeerClient: calls,
		LoadClient: lease.NewLoadClient(&http.Client{Timeout: loadTimeout}), Log: n.log, AuditTrail: n.trail,
	})
	n.buildLocal(suspects)
}

// loadTimeout bounds one question for a target's load.
const loadTimeout = 2 * time.Second

// buildLocal builds admission, routing and the attempts on targets.
func (n *Node) buildLocal(suspects *dispatch.CrashSuspects) {
	s := n.settings
	watch := observer{region: s.Instance.Region, metrics: n.metrics, editions: n.editions}
	n.admitter = admission.New(admission.Config{
		Tokens: n.grants, Slots: n.grants, Limits: n.limits, Observer: watch, Log: n.log,
	})
	tracker := routing1.New(routing1.Config{
		Region: s.Instance.Region, Clock: n.clock, Loads: n.grants,
		EstimateWait: func(targets []string) time.Duration { wait, _ := n.admitter.EstimateWait(targets); return wait },
		Seed:         n.self.Incarnation, Log: n.log,
	})
	n.routing = &routing{
		region: s.Instance.Region, tracker: tracker, editions: n.editions, members: n.members,
		admitter: n.admitter, missing: n.grants.LeaderMissingFor, loads: n.grants, now: time.Now,
	}
	n.routing.pools = dispatch.NewPoolStatusCache(dispatchMembers{n.members}, n.clients, n.clock, n.routing.told)
	n.routing.caches = newCacheWatch(n.routing.engineAddress, tracker.ApplyCacheEvents)
	n.routing.mu.failed = make(map[string]failure)
	n.warmup = &warmup{region: s.Instance.Region, edition: n.editions.Current, admitter: n.admitter}
	n.memory = dispatch.NewMemoryBudget(s.Bounds)
	n.once = idempotency.New(idempotency.Config{
		Instance: s.Instance.Name, Incarnation: n.self.Incarnation, Clock: n.clock, Start: time.Now(),
	})
	n.local = dispatch.NewLocalDispatcher(dispatch.LocalConfig{
		Instance: s.Instance, Bounds: s.Bounds, ConfigSource: n.editions, Chooser: n.routing,
		Admitter: n.admitter, Slots: n.grants, Gate: n.gate, CrashSuspects: suspects, Memory: n.memory,
		RetryBudget: dispatch.NewRetryBudget(), Requests: n.records, Trail: n.trail, Clock: n.clock,
		Log: n.log, AttemptObserver: n.routing,
	})
}

// limits implements admit.Limits.
func (n *Node) limits(team string) (rate, burst float64, ok bool) {
	e := n.editions.Current()
	if e == nil || e.Teams[team] == nil {
		return 0, 0, false
	}
	return e.Teams[team].Rate, e.Teams[team].Burst, true
}

// buildPath builds the servers of callers and operators.
func (n *Node) buildPath() {
	s := n.settings
	dispatcher := dispatch.NewDispatcher(dispatch.Config{
		Local: n.local, Members: dispatchMembers{n.members}, PeerClients: n.clients, Idempotency: n.once,
		Incarnation: n.self.Incarnation, PeerAddress: s.Listen.Peers,
	})
	n.entry = entry.New(entry.Config{
		Instance: s.Instance, Bounds: s.Bounds, ConfigSource: n.editions, Gate: n.gate, Dispatcher: dispatcher,
		Directory: answers{n.members, n.editions}, MemoryBudget: n.memory, Requests: n.records,
		Observer: observer{region: s.Instance.Region, metrics: n.metrics, editions: n.editions}, Log: n.log,
	})
	n.registerGauges()
}

// listen opens the three listeners and builds the servers that need them.
func (n *Node) listen() error {
	l := n.settings.Listen
	var err error
	if n.callersListener, err = net.Listen("tcp", l.Callers); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if n.peersListener, err = net.Listen("tcp", l.Peers); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	operators, err := net.Listen("tcp", l.Operators)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	n.ops = ops.NewServer(ops.Config{
		Listener: operators, Metrics: n.metrics, Teams: n.teams, Trail: n.trail, Records: n.records,
		Status: n.status, Team: n.teamStatus, Ready: n.ready, Alive: func() error { return nil },
	})
	n.peers, err = peerapi.NewServer(n.settings.Peers, &peerServer{
		Receiver: dispatch.NewReceiver(dispatch.ReceiverConfig{Local: n.local, Idempotency: n.once, PoolStatusSource: n.routing}),
		terms:    n.terms, grants: n.grants, members: n.members, editions: n.editions,
	})
	return err
}

// Run serves until ctx ends or a manager fails, then drains.
func (n *Node) Run(ctx context.Context) error {
	n.log.Emit(event.Started, zap.String("version", n.version), zap.String("region", n.settings.Instance.Region),
		zap.String("domain", n.settings.Instance.Domain), zap.String("callers", n.settings.Listen.Callers))
	var g run.Group
	for _, m := range n.managers() {
		sub, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return n.runManager(sub, m) }, func(error) { cancel() })
	}
	stop, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-stop.Done()
		n.drain()
		return nil
	}, func(error) { cancel() })
	err := g.Run()
	n.clients.Close()
	n.log.Emit(event.Stopped)
	return err
}

type manager struct {
	name string
	run  func(context.Context) error
}

func (n *Node) managers() []manager {
	dog := &watchdog{clock: n.clock, log: n.log, paused: []func(){
		n.terms.OnProcessPause, n.grants.OnProcessPause, n.editions.NotePause, n.gate.OnProcessPause,
	}}
	orders := enginecmd.NewManager(enginecmd.Config{
		Clock: n.clock, ConfigSource: n.editions, Leadership: n.terms, HTTP: &http.Client{Timeout: loadTimeout}, Log: n.log, Trail: n.trail,
	})
	return []manager{
		{"watchdog", dog.Run},
		{"editions", n.editions.Run},
		{"members", n.members.Run},
		{"lists", n.runLists},
		{"terms", n.terms.Run},
		{"grants", n.grants.Run},
		{"admission", n.admitter.Run},
		{"routing", n.routing.Run},
		{"pool status", n.routing.pools.Run},
		{"cache events", n.routing.caches.Run},
		{"warmup", n.warmup.Run},
		{"orders", orders.Run},
		{"gate", n.gate.Run},
		{"checks", n.local.RunRechecks},
		{"operators", n.ops.Run},
		{"peers", n.runPeers},
		{"callers", n.runCallers},
	}
}

func (n *Node) runManager(ctx context.Context, m manager) error {
	err := m.run(ctx)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		err = nil // the manager was told to stop
	}
	if err != nil {
		n.log.Emit(event.ManagerFailed, zap.String("manager", m.name), zap.Error(err))
	}
	if err == nil && ctx.Err() == nil {
		<-ctx.Done() // a manager that has nothing left to do does not stop the others
	}
	return errors.Wrap(err, m.name)
}

// runLists passes new instance lists to the members.
func (n *Node) runLists(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.lists:
			if list := n.editions.Lists().Current(); list != nil {
				n.members.SetList(list)
			}
		}
	}
}

func (n *Node) runPeers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.peers.Close() })
	defer stop()
	serve := func() error { return n.peers.Serve(n.peersListener) }
	if !n.settings.Peers.Insecure {
		serve = func() error { return n.peers.ServeTLS(n.peersListener, "", "") }
	}
	if err := serve(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (n *Node) runCallers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.entry.Close() })
	defer stop()
	return n.entry.Serve(n.callersListener)
}

// drain leaves the directory, then lets running requests end. The managers
// keep running meanwhile, since requests still renew their grants.
func (n *Node) drain() {
	n.log.Emit(event.Stopping, zap.Int("running", n.gate.Running()))
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	n.members.Leave(ctx)
	cancel()
	ctx, cancel = context.WithTimeout(context.Background(), n.settings.Bounds.ShutdownTimeout)
	defer cancel()
	if err := n.entry.Drain(ctx); err != nil {
		n.log.Emit(event.DrainCut, zap.Int("running", n.gate.Running()), zap.Error(err))
	}
}

// crashes implements member.Crashes.
type crashes struct{ *dispatch.CrashSuspects }

// Outgoing implements member.Crashes.
func (c crashes) Outgoing() []*peerv1.Crash { return c.NextReports() }

// Incoming implements member.Crashes.
func (c crashes) Incoming(reports []*peerv1.Crash) { c.MergeReports(reports) }

// ownShards returns the shards of the instance's region.
func (n *Node) ownShards(e *config.Config) []leadership.Shard {
	region := e.Regions[n.settings.Instance.Region]
	if region == nil {
		return nil
	}
	out := make([]leadership.Shard, 0, region.Shards)
	for i := range region.Shards {
		out = append(out, leadership.Shard{Region: region.Name, Index: uint32(i)})
	}
	return out
}
