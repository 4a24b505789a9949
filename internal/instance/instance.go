package instance

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/balance"
	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/gateway"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/intake"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/quota"
	"github.com/wigeonhill/wigeonhill/internal/roster"
	"github.com/wigeonhill/wigeonhill/internal/settings"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// memoryLimitFraction is the fraction of the instance's memory that is set
	// as the soft memory limit of the Go runtime; close to it the garbage
	// collector runs more often.
	memoryLimitFraction = 0.6
	// heartbeatReadInterval is the interval at which the latest heartbeats of
	// the members are applied.
	heartbeatReadInterval = 100 * time.Millisecond
	// settingsPollInterval is the interval between checks of the settings file,
	// which may change without a signal.
	settingsPollInterval = 2 * time.Second
	// signalCheckInterval is the interval at which it is noted that no signal has been
	// noticed.
	signalCheckInterval = 100 * time.Millisecond
)

// Instance is one gateway process on the platform.
type Instance struct {
	settingsPath string
	started      time.Time
	settings     *deployment.Settings
	self         *peerv1.Identity
	log          *event.Logger
	asyncLog     *event.AsyncWriter

	catalog     *catalog.Manager
	heartbeats  *heartbeat.Manager
	clients     *peerapi.Clients
	roster      *roster.Roster
	tracker     *placement.Tracker
	quota       *quota.Limiter
	retryBudget *gateway.RetryBudget
	crashes     *crash.Tracker
	gateway     *gateway.Gateway
	prober      *prober
	meter       *balance.Meter

	directoryCache directoryCache

	callers, ready, directory, control, metrics *http.Server
	listeners                                   map[*http.Server]net.Listener
	intake                                      intakePorts
}

// New creates an instance from the settings file at path and opens its
// listeners.
func New(path string, log *event.Logger, asyncLog *event.AsyncWriter) (*Instance, error) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	var incarnation [8]byte
	if _, err := rand.Read(incarnation[:]); err != nil {
		return nil, errors.Wrap(err, "generate the incarnation")
	}
	i := &Instance{settingsPath: path, started: time.Now(), settings: s, log: log.With(zap.String("instance", s.Instance)), asyncLog: asyncLog,
		listeners: map[*http.Server]net.Listener{}}
	i.self = &peerv1.Identity{
		Instance: s.Instance, Incarnation: max(binary.BigEndian.Uint64(incarnation[:]), 1),
		PeerAddress: s.Listen.Control, Region: s.Region, Domain: s.Domain,
	}
	if err := i.build(); err != nil {
		return nil, err
	}
	return i, i.listen()
}

func (i *Instance) build() (err error) {
	s := i.settings
	i.heartbeats, err = heartbeat.NewManager(heartbeat.Config{
		Self: i.self, IP: s.IP, Port: s.FirstPort, FillHeartbeat: i.fillHeartbeat, Log: i.log,
	})
	if err != nil {
		return err
	}
	i.heartbeats.SetSeeds(s.Seeds)
	i.clients = peerapi.NewFastFailClients()
	i.catalog = catalog.New(platform.NewStore(s.StoreAddress), &catalogPeers{self: i.self, heartbeats: i.heartbeats, clients: i.clients}, i.log, time.Now)
	i.roster = roster.New(roster.Config{Self: i.self, Seeds: s.Seeds, RegionByDomain: s.RegionByDomain})
	systemClock := clock.NewSystem()
	i.tracker = placement.NewTracker(s, i.roster, time.Now(), func() time.Duration { return systemClock.Now().Upper }, i.onWake)
	domains := make([]string, 0, len(s.RegionByDomain))
	for d := range s.RegionByDomain {
		domains = append(domains, d)
	}
	i.quota = quota.New(s.Domain, domains)
	i.retryBudget = gateway.NewRetryBudget(s.Bounds, time.Now)
	i.crashes = crash.New(crash.Config{Clock: systemClock, OnBlock: crash.LogChanges(i.log)})
	i.meter = balance.NewMeter(s)
	i.prober = newProber(i.catalog, i.tracker, i.log)
	registry, metrics := i.newMetrics()
	i.metrics = i.metricsServer(registry)
	budget := gateway.NewIntakeBudget(s)
	i.intake = i.newIntakePorts(budget)
	registry.MustRegister(intake.NewCollector(budget, i.intake.callers, i.intake.ready, i.intake.directory, i.intake.control, i.intake.metrics))
	i.gateway = gateway.New(gateway.Config{
		Metrics: metrics, Intake: budget,
		Self: i.self, Settings: s, Catalog: i.catalog, Members: i.heartbeats, Clients: i.clients, Tracker: i.tracker,
		Quota: i.quota, RetryBudget: i.retryBudget, Crashes: i.crashes, OnTargetDown: i.prober.wake, Log: i.log,
	})
	i.registerGauges(registry)
	return nil
}

// onWake is called after the process was frozen. What happened meanwhile is not known
// before the list of targets is read again.
func (i *Instance) onWake(frozen time.Duration) {
	i.log.Emit(event.ProcessResumed, zap.Duration("frozen", frozen))
	i.catalog.Refresh()
}

func (i *Instance) listen() error {
	addresses := i.settings.Listen
	i.callers = i.gateway.NewServer()
	i.ready = i.readyServer()
	i.directory = i.directoryServer()
	var err error
	if i.control, err = peerapi.NewServer(settings.Peers{Insecure: true}, &gateway.PeerServer{Gateway: i.gateway}); err != nil {
		return err
	}
	for _, binding := range []struct {
		server  *http.Server
		address string
		port    *intake.Port
	}{
		{i.callers, addresses.Callers, i.intake.callers}, {i.ready, addresses.Ready, i.intake.ready}, {i.directory, addresses.Directory, i.intake.directory},
		{i.control, addresses.Control, i.intake.control}, {i.metrics, i.metricsAddress(), i.intake.metrics},
	} {
		l, err := gateway.Listen(binding.address)
		if err != nil {
			return err
		}
		binding.port.Configure(binding.server)
		i.listeners[binding.server] = binding.port.Listen(l)
	}
	return nil
}

// Run serves until ctx is done or a component fails, then drains. A signal on
// reloads makes it reload the settings file.
func (i *Instance) Run(ctx context.Context, reloads <-chan os.Signal) error {
	i.log.Emit(event.Started, zap.String("region", i.settings.Region), zap.String("domain", i.settings.Domain),
		zap.String("callers", i.settings.Listen.Callers), zap.Strings("seeds", i.settings.Seeds))
	var g run.Group
	add := func(f func(context.Context) error) {
		taskCtx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return f(taskCtx) }, func(error) { cancel() })
	}
	add(func(ctx context.Context) error { return i.asyncLog.Run(ctx, i.log) })
	add(i.catalog.Run)
	add(i.heartbeats.Run)
	add(i.applyHeartbeats)
	add(i.measureLoad)
	add(i.prober.Run)
	add(func(ctx context.Context) error { return i.watchSettings(ctx, reloads) })
	for server, listener := range i.listeners {
		stopped := make(chan struct{})
		g.Add(func() error { return serve(server, listener, stopped) }, func(error) { close(stopped); _ = server.Close() })
	}
	stopCtx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		i.drain(awaitSignal(stopCtx))
		return nil
	}, func(error) { cancel() })
	return g.Run()
}

// serve runs server until stopped is closed. It does not return when the drain
// shuts the server down or closes its listener, because that would end the run group
// and with it the other servers.
func serve(server *http.Server, l net.Listener, stopped <-chan struct{}) error {
	err := server.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-stopped
	return nil
}

// signalWatch tells when a signal was sent that the process has noticed late.
type signalWatch struct{ checked, before time.Time }

// check notes that the signal had not been noticed at now.
func (w *signalWatch) check(now time.Time) { w.before, w.checked = w.checked, now }

// earliest returns the time at which the signal can have been sent at the earliest. It may
// have been on its way at the last check.
func (w *signalWatch) earliest() time.Time { return w.before }

// awaitSignal waits until ctx, which a signal ends, is done and returns when the signal can
// have been sent at the earliest.
func awaitSignal(ctx context.Context) time.Time {
	tick := time.NewTicker(signalCheckInterval)
	defer tick.Stop()
	w := signalWatch{checked: time.Now(), before: time.Now()}
	for {
		select {
		case <-ctx.Done():
			return w.earliest()
		case <-tick.C:
			if ctx.Err() == nil {
				w.check(time.Now())
			}
		}
	}
}

// drain takes the instance out of the directories, then waits for running requests to end.
// signaled is when the time to stop began.
func (i *Instance) drain(signaled time.Time) {
	i.log.Emit(event.Stopping, zap.Int("running", i.gateway.RunningRequests()), zap.Duration("noticed_after", time.Since(signaled)))
	i.roster.Leave()
	i.gateway.BeginDrain()
	i.heartbeats.Announce()
	drained := gateway.Drained{Callers: i.intake.callers, Directory: i.intake.directory, Peers: i.intake.control}
	if err := i.gateway.Drain(signaled, i.settings.Bounds.TerminationGrace, drained); err != nil {
		i.log.Emit(event.DrainTimedOut, zap.Int("running", i.gateway.RunningRequests()), zap.Error(err))
	}
	i.log.Emit(event.Stopped, zap.Int("unanswered", i.intake.callers.LogUnanswered()), zap.Int("connections", i.intake.callers.Connections()))
}

// watchSettings applies the seeds in the settings file after a signal and when
// the file has changed.
func (i *Instance) watchSettings(ctx context.Context, reloads <-chan os.Signal) error {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	var lastModified time.Time
	if info, err := os.Stat(i.settingsPath); err == nil {
		lastModified = info.ModTime()
	}
	for {
		reloadRequested := false
		select {
		case <-ctx.Done():
			return nil
		case <-reloads:
			reloadRequested = true
		case <-tick.C:
		}
		info, err := os.Stat(i.settingsPath)
		if err != nil || !reloadRequested && info.ModTime().Equal(lastModified) {
			continue // the file is missing for a moment while it is replaced
		}
		lastModified = info.ModTime()
		i.reloadSettings()
	}
}

func (i *Instance) reloadSettings() {
	s, err := platform.LoadSettings(i.settingsPath)
	if err != nil {
		i.log.Emit(event.SettingsRejected, zap.Error(err))
		return
	}
	i.heartbeats.SetSeeds(s.Seeds)
	i.log.Emit(event.SettingsReloaded, zap.Strings("seeds", s.Seeds))
}
