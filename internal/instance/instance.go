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

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/gateway"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/quota"
	"github.com/wigeonhill/wigeonhill/internal/settings"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// memoryLimitPart is the part of the instance's memory up to which the Go
	// heap may grow before the collector works harder.
	memoryLimitPart = 0.6
	// reportInterval is the pause between two readings of the members' rows.
	reportInterval = 100 * time.Millisecond
	// settingsInterval is the pause between two readings of the settings file,
	// which may change without a signal.
	settingsInterval = 2 * time.Second
)

// Instance is one process on the platform.
type Instance struct {
	path     string // of the settings
	settings *deployment.Settings
	self     *peerv1.Identity
	log      *event.Logger
	lines    *event.Async

	catalog  *catalog.Manager
	roster   *heartbeat.Manager
	clients  *peerapi.Clients
	tracker  *placement.Tracker
	quota    *quota.Limiter
	budget   *gateway.RetryBudget
	suspects *dispatch.Suspects
	gateway  *gateway.Gateway
	prober   *prober

	callers, ready, directory, control, metrics *http.Server
	listeners                                   map[*http.Server]net.Listener
}

// New builds an instance from the settings file at path and opens its listeners.
func New(path string, log *event.Logger, lines *event.Async) (*Instance, error) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitPart * float64(s.MemoryBytes)))
	}
	var incarnation [8]byte
	if _, err := rand.Read(incarnation[:]); err != nil {
		return nil, errors.Wrap(err, "draw the incarnation")
	}
	i := &Instance{path: path, settings: s, log: log.With(zap.String("instance", s.Instance)), lines: lines,
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
	i.roster, err = heartbeat.NewManager(heartbeat.Config{
		Self: i.self, IP: s.IP, Port: s.FirstPort, FillHeartbeat: i.ownRow, Log: i.log,
	})
	if err != nil {
		return err
	}
	i.roster.SetSeeds(s.Seeds)
	i.clients = peerapi.NewImpatientClients()
	i.catalog = catalog.New(platform.NewStore(s.StoreAddress), snapshots{i.self, i.roster, i.clients}, i.log, time.Now)
	i.tracker = placement.NewTracker(s, time.Now())
	domains := make([]string, 0, len(s.RegionByDomain))
	for d := range s.RegionByDomain {
		domains = append(domains, d)
	}
	i.quota = quota.New(s.Domain, domains)
	i.budget = gateway.NewRetryBudget(s.Bounds, time.Now)
	i.suspects = dispatch.NewSuspects(clock.NewSystem())
	i.prober = newProber(i.catalog, i.tracker, i.log)
	registry, metrics := i.newMetrics()
	i.metrics = i.metricsServer(registry)
	i.gateway = gateway.New(gateway.Config{
		Metrics: metrics,
		Self:    i.self, Settings: s, Catalog: i.catalog, Members: i.roster, Clients: i.clients, Tracker: i.tracker,
		Quota: i.quota, RetryBudget: i.budget, CrashSuspects: i.suspects, OnTargetDown: i.prober.wake, Log: i.log,
	})
	i.registerGauges(registry)
	return nil
}

func (i *Instance) listen() error {
	l := i.settings.Listen
	i.callers = i.gateway.NewServer()
	i.ready = i.readyServer()
	i.directory = i.directoryServer()
	var err error
	if i.control, err = peerapi.NewServer(settings.Peers{Insecure: true}, &gateway.PeerServer{Gateway: i.gateway}); err != nil {
		return err
	}
	for _, x := range []struct {
		server  *http.Server
		address string
	}{{i.callers, l.Callers}, {i.ready, l.Ready}, {i.directory, l.Directory}, {i.control, l.Control}, {i.metrics, i.metricsAddress()}} {
		if i.listeners[x.server], err = gateway.Listen(x.address); err != nil {
			return err
		}
	}
	return nil
}

// Run serves until ctx ends or a manager fails, then drains.
func (i *Instance) Run(ctx context.Context, hangups <-chan os.Signal) error {
	i.log.Emit(event.Started, zap.String("region", i.settings.Region), zap.String("domain", i.settings.Domain),
		zap.String("callers", i.settings.Listen.Callers), zap.Strings("seeds", i.settings.Seeds))
	var g run.Group
	add := func(f func(context.Context) error) {
		sub, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return f(sub) }, func(error) { cancel() })
	}
	add(func(ctx context.Context) error { return i.lines.Run(ctx, i.log) })
	add(i.catalog.Run)
	add(i.roster.Run)
	add(i.reports)
	add(i.prober.Run)
	add(func(ctx context.Context) error { return i.followSettings(ctx, hangups) })
	for server, listener := range i.listeners {
		stopped := make(chan struct{})
		g.Add(func() error { return serve(server, listener, stopped) }, func(error) { close(stopped); _ = server.Close() })
	}
	stop, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-stop.Done()
		i.drain()
		return nil
	}, func(error) { cancel() })
	return g.Run()
}

// serve ends when stopped is closed. A server that is shut down by the drain
// must not end the others before.
func serve(server *http.Server, l net.Listener, stopped <-chan struct{}) error {
	err := server.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}

// drain leaves the directory, then lets requests end.
func (i *Instance) drain() {
	i.log.Emit(event.Stopping, zap.Int("running", i.gateway.RunningRequests()))
	i.gateway.BeginDrain()
	i.roster.Announce()
	if err := i.gateway.Drain(i.settings.Bounds.TerminationGrace, i.callers, i.control); err != nil {
		i.log.Emit(event.DrainCut, zap.Int("running", i.gateway.RunningRequests()), zap.Error(err))
	}
	i.log.Emit(event.Stopped)
}

// followSettings takes new seeds from the settings file after a signal and when
// it has changed.
func (i *Instance) followSettings(ctx context.Context, hangups <-chan os.Signal) error {
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	var seen time.Time
	if info, err := os.Stat(i.path); err == nil {
		seen = info.ModTime()
	}
	for {
		forced := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			forced = true
		case <-tick.C:
		}
		info, err := os.Stat(i.path)
		if err != nil || !forced && info.ModTime().Equal(seen) {
			continue // missing for a moment while it is replaced
		}
		seen = info.ModTime()
		i.reread()
	}
}

func (i *Instance) reread() {
	s, err := platform.LoadSettings(i.path)
	if err != nil {
		i.log.Emit(event.SettingsBad, zap.Error(err))
		return
	}
	i.roster.SetSeeds(s.Seeds)
	i.log.Emit(event.SettingsReread, zap.Strings("seeds", s.Seeds))
}
