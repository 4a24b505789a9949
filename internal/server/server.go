package server

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
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/enginecmd"
	"github.com/wigeonhill/wigeonhill/internal/entry"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/idempotency"
	"github.com/wigeonhill/wigeonhill/internal/intake"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/membership"
	"github.com/wigeonhill/wigeonhill/internal/ops"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/routing"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// leaveTimeout bounds the announcement to other members that this instance
// leaves.
const leaveTimeout = 2 * time.Second

// Server is one instance: its managers and servers.
type Server struct {
	settings *settings.Settings
	version  string
	log      *event.Logger
	clock    *clock.System
	self     *peerv1.Identity
	started  time.Time

	peerClients     *peerapi.Clients
	configClient    *confservice.Client
	configs         *configversion.Manager
	members         *membership.Manager
	leadership      *leadership.Manager
	leases          *lease.Manager
	admitter        *admission.Manager
	router          *router
	warmup          *warmup
	gate            *dispatch.Gate
	localDispatcher *dispatch.LocalDispatcher
	memoryBudget    *dispatch.MemoryBudget
	intakeBudget    *intake.Budget
	idempotency     *idempotency.Store
	auditTrail      *audit.MemoryTrail
	requestRecords  *audit.RequestRecords
	teamStats       *ops.TeamStats
	metrics         *ops.Metrics

	callersServer   *entry.Server
	peersServer     *http.Server
	peersPort       *intake.Port
	operatorsServer *ops.Server

	callersListener, peersListener net.Listener
	instanceListChanged            chan struct{} // receives a value when a new instance list arrived
}

// New builds the server of one instance and opens its listeners.
func New(s *settings.Settings, version string, log *event.Logger) (*Server, error) {
	clients, err := peerapi.NewClients(s.Peers)
	if err != nil {
		return nil, err
	}
	return newServer(s, version, log, clients)
}

// newServer is New with the given clients for calls to other instances.
func newServer(s *settings.Settings, version string, log *event.Logger, clients *peerapi.Clients) (*Server, error) {
	srv := &Server{
		settings: s, version: version, clock: clock.NewSystem(), started: time.Now(),
		log:                 log.With(zap.String("instance", s.Instance.Name)),
		instanceListChanged: make(chan struct{}, 1), peerClients: clients,
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	srv.self = &peerv1.Identity{
		Instance: s.Instance.Name, Incarnation: incarnation, PeerAddress: s.Listen.Peers,
		Region: s.Instance.Region, Domain: s.Instance.Domain,
	}
	srv.intakeBudget = intake.NewBudget(s.Bounds.IntakeBuffer)
	srv.buildManagers()
	srv.buildRequestPath()
	return srv, srv.listen()
}

// newIncarnation returns the random number that distinguishes this process from
// others with the same instance name. It is never 0, which means unknown.
func newIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "generate the incarnation")
	}
	return max(binary.BigEndian.Uint64(b[:]), 1), nil
}

// buildManagers builds the managers of configuration versions, membership,
// leadership leases and token and slot leases, then the local dispatcher.
func (srv *Server) buildManagers() {
	s, peers := srv.settings, peerClient{srv.peerClients}
	srv.auditTrail = audit.NewMemoryTrail(s.Operators.AuditEntries, srv.log, time.Now)
	srv.requestRecords = audit.NewRequestRecords(s.Operators.RequestRecords, time.Now)
	srv.teamStats = ops.NewTeamStats(time.Now)
	srv.metrics = ops.NewMetrics(srv.teamStats)
	srv.configClient = confservice.NewClient(s.Platform.ConfigServiceURL)
	srv.configs = configversion.NewManager(configversion.Config{
		Service: srv.configClient, PeerClient: peers, Bootstrap: s.Peers.Bootstrap, Clock: srv.clock,
		Log: srv.log, AuditTrail: srv.auditTrail, MaxAge: s.Bounds.MaxConfigAge,
	})
	crashes := crash.New(crash.Config{Clock: srv.clock, OnBlock: crash.LogChanges(srv.log)})
	srv.gate = dispatch.NewGate(configConfirmer{srv.configs})
	srv.members = membership.NewManager(membership.Config{
		Self: membership.Member{
			Name: s.Instance.Name, Incarnation: srv.self.Incarnation, PeerAddress: s.Listen.Peers,
			CallersAddress: s.Listen.Callers, Region: s.Instance.Region, Domain: s.Instance.Domain,
		},
		Bootstrap: s.Peers.Bootstrap, Clock: srv.clock, PeerClient: peers, VersionExchange: srv.configs,
		CrashExchange: crashExchange{crashes}, Load: func() uint32 { return uint32(srv.gate.Running()) },
		Log: srv.log, AuditTrail: srv.auditTrail, Seed: srv.self.Incarnation, Generation: uint32(time.Now().Unix()),
	})
	srv.configs.SetMembers(srv.members)
	srv.configs.ListStore().Subscribe(func(_, _ *confservice.InstanceList) {
		select {
		case srv.instanceListChanged <- struct{}{}:
		default:
		}
	})
	srv.leadership = leadership.NewManager(leadership.Config{
		Self: srv.self, Clock: srv.clock, ConfigSource: srv.configs, PeerClient: peers, Rank: srv.candidateRank,
		HighestFencingToken: func(shard leadership.Shard) uint64 { return srv.leases.HighestFencingToken(shard) },
		Log:                 srv.log, Trail: srv.auditTrail,
	})
	srv.leases = lease.NewManager(lease.Config{
		Self: srv.self, Clock: srv.clock, ConfigSource: srv.configs, Leadership: srv.leadership, PeerClient: peers,
		LoadClient: lease.NewLoadClient(newTargetClient(targetCallTimeout)), Log: srv.log, AuditTrail: srv.auditTrail,
	})
	srv.buildLocalDispatcher(crashes)
}

const (
	// targetCallTimeout bounds one load poll of a target and one engine command.
	targetCallTimeout = 2 * time.Second
	// maxTargetCallHeadBytes and maxTargetCallBodyBytes bound the response to such a
	// call, or to a poll for cache events.
	maxTargetCallHeadBytes = 8 << 10
	maxTargetCallBodyBytes = 256 << 10
	// targetCallIdleTimeout is many times the interval between two polls.
	targetCallIdleTimeout = 90 * time.Second
)

// newTargetClient returns a client for calls to targets that are no requests of
// callers.
func newTargetClient(timeout time.Duration) *http.Client {
	return httpclient.New(httpclient.Config{
		ConnectTimeout: timeout, CallTimeout: timeout, MaxHead: maxTargetCallHeadBytes, MaxBody: maxTargetCallBodyBytes, IdleTimeout: targetCallIdleTimeout,
	})
}

// buildLocalDispatcher builds admission, routing and the dispatcher of requests to
// targets of the local region.
func (srv *Server) buildLocalDispatcher(crashes *crash.Tracker) {
	s := srv.settings
	metrics := metricsObserver{region: s.Instance.Region, metrics: srv.metrics, configs: srv.configs}
	srv.admitter = admission.New(admission.Config{
		Tokens: srv.leases, Slots: srv.leases, Limits: srv.teamLimits, Observer: metrics, Log: srv.log,
	})
	tracker := routing.New(routing.Config{
		Region: s.Instance.Region, Clock: srv.clock, Loads: srv.leases,
		EstimateWait: func(targets []string) time.Duration { wait, _ := srv.admitter.EstimateWait(targets); return wait },
		Seed:         srv.self.Incarnation, Log: srv.log,
	})
	srv.router = &router{
		region: s.Instance.Region, tracker: tracker, configs: srv.configs, members: srv.members,
		admitter: srv.admitter, leaderMissingFor: srv.leases.LeaderMissingFor, targetLoads: srv.leases, now: time.Now,
	}
	srv.router.poolStatus = dispatch.NewPoolStatusCache(dispatchMembers{srv.members}, srv.peerClients, srv.clock, srv.router.recordPoolStatus)
	srv.router.cachePoller = newCachePoller(srv.router.engineAddress, tracker.ApplyCacheEvents)
	srv.router.mu.backoffs = make(map[string]targetBackoff)
	srv.warmup = &warmup{region: s.Instance.Region, currentConfig: srv.configs.Current, admitter: srv.admitter}
	srv.memoryBudget = dispatch.NewMemoryBudget(s.Bounds)
	srv.idempotency = idempotency.New(idempotency.Config{
		Instance: s.Instance.Name, Incarnation: srv.self.Incarnation, Clock: srv.clock, Start: time.Now(),
	})
	srv.localDispatcher = dispatch.NewLocalDispatcher(dispatch.LocalConfig{
		Instance: s.Instance, Bounds: s.Bounds, ConfigSource: srv.configs, Chooser: srv.router,
		Admitter: srv.admitter, Slots: srv.leases, Gate: srv.gate, Crashes: crashes,
		Memory: srv.memoryBudget, ResponseMemory: dispatch.NewMemoryBudget(settings.Bounds{ProcessBuffer: s.Bounds.ResponseBuffer}),
		RetryBudget: dispatch.NewRetryBudget(), Requests: srv.requestRecords, Trail: srv.auditTrail, Clock: srv.clock,
		Log: srv.log, AttemptObserver: srv.router,
	})
}

// teamLimits implements admission.TeamLimits.
func (srv *Server) teamLimits(team string) (rate, burst float64, ok bool) {
	cfg := srv.configs.Current()
	if cfg == nil || cfg.Teams[team] == nil {
		return 0, 0, false
	}
	return cfg.Teams[team].Rate, cfg.Teams[team].Burst, true
}

// buildRequestPath builds the dispatcher and the server for callers, and
// registers the gauges.
func (srv *Server) buildRequestPath() {
	s := srv.settings
	dispatcher := dispatch.NewDispatcher(dispatch.Config{
		Local: srv.localDispatcher, Members: dispatchMembers{srv.members}, PeerClients: srv.peerClients, Idempotency: srv.idempotency,
		Incarnation: srv.self.Incarnation, PeerAddress: s.Listen.Peers,
	})
	srv.callersServer = entry.New(entry.Config{
		Instance: s.Instance, Bounds: s.Bounds, ConfigSource: srv.configs, Gate: srv.gate, Dispatcher: dispatcher,
		Directory: instanceDirectory{srv.members, srv.configs}, MemoryBudget: srv.memoryBudget, Intake: srv.intakeBudget, Requests: srv.requestRecords,
		Observer: metricsObserver{region: s.Instance.Region, metrics: srv.metrics, configs: srv.configs}, Log: srv.log,
	})
	srv.registerGauges()
}

// listen opens the three listeners and builds the servers for operators and
// peers.
func (srv *Server) listen() error {
	l := srv.settings.Listen
	var err error
	if srv.callersListener, err = net.Listen("tcp", l.Callers); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if srv.peersListener, err = net.Listen("tcp", l.Peers); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	operatorsListener, err := net.Listen("tcp", l.Operators)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	srv.operatorsServer = ops.NewServer(ops.Config{
		Listener: operatorsListener, Intake: srv.intakeBudget, Log: srv.log, Metrics: srv.metrics, Teams: srv.teamStats, Trail: srv.auditTrail, Records: srv.requestRecords,
		Status: srv.status, Team: srv.teamStatus, Ready: srv.ready, Alive: func() error { return nil },
	})
	srv.peersServer, err = peerapi.NewServer(srv.settings.Peers, &peerServer{
		Receiver:   dispatch.NewReceiver(dispatch.ReceiverConfig{Local: srv.localDispatcher, Idempotency: srv.idempotency, PoolStatusSource: srv.router}),
		leadership: srv.leadership, leases: srv.leases, members: srv.members, configs: srv.configs,
	})
	if err != nil {
		return err
	}
	// Connections of instances end by the timeouts of their server.
	limits := intake.Limits{MaxConns: srv.settings.Bounds.MaxPeerConns, HeadTimeout: srv.settings.Bounds.ReadTimeout, BodyTimeout: srv.settings.Bounds.ReadTimeout}
	srv.peersPort = intake.NewPort("peers", func() intake.Limits { return limits }, srv.intakeBudget, srv.log)
	srv.peersPort.ReserveMessages(peerapi.CallBytes, peerapi.MessageFactor)
	srv.peersPort.Configure(srv.peersServer)
	srv.peersListener = srv.peersPort.Listen(srv.peersListener)
	srv.metrics.MustRegister(intake.NewCollector(srv.intakeBudget, srv.callersServer.Port(), srv.operatorsServer.Port(), srv.peersPort))
	return nil
}

// Run serves until ctx ends or a manager fails, then drains running requests.
func (srv *Server) Run(ctx context.Context) error {
	srv.log.Emit(event.Started, zap.String("version", srv.version), zap.String("region", srv.settings.Instance.Region),
		zap.String("domain", srv.settings.Instance.Domain), zap.String("callers", srv.settings.Listen.Callers))
	var g run.Group
	for _, m := range srv.managers() {
		managerCtx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return srv.runManager(managerCtx, m) }, func(error) { cancel() })
	}
	stopCtx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-stopCtx.Done()
		srv.drain()
		return nil
	}, func(error) { cancel() })
	err := g.Run()
	srv.peerClients.Close()
	srv.log.Emit(event.Stopped)
	return err
}

// manager is a part of the server that runs until the server stops. Its name
// appears in log lines and errors.
type manager struct {
	name string
	run  func(context.Context) error
}

func (srv *Server) managers() []manager {
	pauseWatchdog := &watchdog{clock: srv.clock, log: srv.log, onPause: []func(){
		srv.leadership.OnProcessPause, srv.leases.OnProcessPause, srv.configs.OnProcessPause, srv.gate.OnProcessPause,
	}}
	engineCommands := enginecmd.NewManager(enginecmd.Config{
		Clock: srv.clock, ConfigSource: srv.configs, Leadership: srv.leadership, HTTPClient: newTargetClient(targetCallTimeout), Log: srv.log, AuditTrail: srv.auditTrail,
	})
	return []manager{
		{"watchdog", pauseWatchdog.Run},
		{"editions", srv.configs.Run},
		{"members", srv.members.Run},
		{"lists", srv.runInstanceLists},
		{"terms", srv.leadership.Run},
		{"grants", srv.leases.Run},
		{"admission", srv.admitter.Run},
		{"routing", srv.router.Run},
		{"pool status", srv.router.poolStatus.Run},
		{"cache events", srv.router.cachePoller.Run},
		{"warmup", srv.warmup.Run},
		{"orders", engineCommands.Run},
		{"gate", srv.gate.Run},
		{"checks", srv.localDispatcher.RunRechecks},
		{"operators", srv.operatorsServer.Run},
		{"peers", srv.runPeers},
		{"callers", srv.runCallers},
	}
}

// runManager runs one manager and returns its error. If the manager returns nil
// before ctx ends, runManager waits for ctx.
func (srv *Server) runManager(ctx context.Context, m manager) error {
	err := m.run(ctx)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		err = nil // the manager was stopped by ctx
	}
	if err != nil {
		srv.log.Emit(event.ManagerFailed, zap.String("manager", m.name), zap.Error(err))
	}
	if err == nil && ctx.Err() == nil {
		<-ctx.Done() // run.Group stops all actors when one returns
	}
	return errors.Wrap(err, m.name)
}

// runInstanceLists passes new instance lists to the membership manager.
func (srv *Server) runInstanceLists(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-srv.instanceListChanged:
			if list := srv.configs.ListStore().Current(); list != nil {
				srv.members.SetInstanceList(list)
			}
		}
	}
}

func (srv *Server) runPeers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.peersServer.Close() })
	defer stop()
	serve := func() error { return srv.peersServer.Serve(srv.peersListener) }
	if !srv.settings.Peers.Insecure {
		serve = func() error { return srv.peersServer.ServeTLS(srv.peersListener, "", "") }
	}
	if err := serve(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (srv *Server) runCallers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.callersServer.Close() })
	defer stop()
	return srv.callersServer.Serve(srv.callersListener)
}

// drain announces to the members that this instance leaves, then waits until every
// request and call that has arrived is answered, up to the shutdown timeout. The managers
// keep running meanwhile, because the leases of running requests must still be renewed.
func (srv *Server) drain() {
	srv.log.Emit(event.Stopping, zap.Int("running", srv.gate.Running()))
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	srv.members.Leave(ctx)
	cancel()
	ctx, cancel = context.WithTimeout(context.Background(), srv.settings.Bounds.ShutdownTimeout)
	defer cancel()
	if err := srv.callersServer.Drain(ctx); err != nil {
		srv.log.Emit(event.DrainTimedOut, zap.Int("running", srv.gate.Running()), zap.Int("connections", srv.callersServer.Port().Connections()), zap.Error(err))
	}
	// Shutdown discards calls that it finds unread, and their senders cannot tell whether
	// they have run.
	if intake.AwaitNone(ctx, srv.peersPort.Unread) == nil {
		_ = srv.peersServer.Shutdown(ctx) // Close follows if ctx ends first
	}
}

// crashExchange implements membership.CrashExchange.
type crashExchange struct{ *crash.Tracker }

// OutgoingNews implements membership.CrashExchange.
func (c crashExchange) OutgoingNews() *peerv1.CrashNews { return c.Next() }

// HandleNews implements membership.CrashExchange.
func (c crashExchange) HandleNews(news *peerv1.CrashNews) { c.Merge(news) }

// localShards returns the shards of the local region.
func (srv *Server) localShards(cfg *config.Config) []leadership.Shard {
	region := cfg.Regions[srv.settings.Instance.Region]
	if region == nil {
		return nil
	}
	out := make([]leadership.Shard, 0, region.Shards)
	for i := range region.Shards {
		out = append(out, leadership.Shard{Region: region.Name, Index: uint32(i)})
	}
	return out
}
