package configversion

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/membership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// PeerClient fetches a version of a named value from a peer address.
type PeerClient interface {
	FetchEdition(ctx context.Context, address string, req *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error)
}

// Service reads and watches values of the configuration service;
// *confservice.Client implements it.
type Service interface {
	confservice.ValueSource
	Read(ctx context.Context, name string) (confservice.Value, error)
}

// Members is the part of membership.Manager that this package uses.
type Members interface {
	Self() membership.Member
	Live(region string) []membership.Member
	Random(n int) []membership.Member
	// SendProbes probes the addresses at once. The probes carry the IDs of the
	// current versions, so that receivers fetch what is new to them.
	SendProbes(ctx context.Context, addresses []string)
}

// Config of a Manager. Log and AuditTrail may be nil.
type Config struct {
	Service    Service
	PeerClient PeerClient
	Bootstrap  []string // peer addresses
	Clock      clock.Clock
	Log        *event.Logger
	AuditTrail audit.Trail
	// MaxAge is the longest time that the configuration version may go without
	// confirmation by the service or a peer; max_edition_age in the settings.
	MaxAge time.Duration
}

// Timing of the manager.
const (
	// watcherCheckInterval is the time between decisions on whether this
	// instance watches the service.
	watcherCheckInterval = 500 * time.Millisecond
	// firstFetchInterval is the time between requests to peers from an instance
	// without a version; it doubles up to maxFirstFetchInterval. Long intervals
	// are enough because probes announce the versions of peers.
	firstFetchInterval    = time.Second
	maxFirstFetchInterval = 8 * time.Second
	// maxFetchPeers bounds the peers that are asked at the same time.
	maxFetchPeers = 3
	// maxAuditChanges bounds the changes of one configuration version that are
	// written to the audit trail.
	maxAuditChanges = 200
)

// Manager distributes the configuration and the instance list.
type Manager struct {
	cfg         Config
	members     Members
	configStore ConfigStore
	listStore   InstanceListStore
	configSync  *valueSync
	listSync    *valueSync

	// ctx ends with Run. Notifications of peers use it because they outlive the
	// fetch that caused them.
	ctx              context.Context
	cancel           context.CancelFunc
	serviceResponded atomic.Bool // the service has responded since the start
	background       sync.WaitGroup
	confirmation     confirmation
	conflicts        atomic.Uint64
	rejections       atomic.Uint64
	lastRejection    atomic.Pointer[Rejection]
}

// Rejection describes the last version that was rejected as invalid.
type Rejection struct {
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	Source   string `json:"source"`
	Faults   string `json:"faults"`
}

// NewManager returns a Manager that does nothing until Run.
func NewManager(cfg Config) *Manager {
	if cfg.Log == nil {
		cfg.Log = event.Nop()
	}
	m := &Manager{cfg: cfg}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.configSync = newValueSync(m, confservice.ConfigName, m.parseConfig)
	m.listSync = newValueSync(m, confservice.InstanceListName, m.parseInstanceList)
	m.confirmation.init(m.now())
	return m
}

// SetMembers must be called before Run. It is separate from NewManager because
// membership.NewManager needs this Manager.
func (m *Manager) SetMembers(members Members) { m.members = members }

// ConfigStore returns the store of the current configuration.
func (m *Manager) ConfigStore() *ConfigStore { return &m.configStore }

// ListStore returns the store of the current instance list.
func (m *Manager) ListStore() *InstanceListStore { return &m.listStore }

// Current returns the current configuration; nil before the first one.
func (m *Manager) Current() *config.Config { return m.configStore.Current() }

func (m *Manager) now() time.Duration { return m.cfg.Clock.Now().Upper }

// Run distributes the configuration and the instance list until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.cancel()
	var running sync.WaitGroup
	running.Go(func() { m.runPauseDetection(ctx) })
	for _, s := range []*valueSync{m.listSync, m.configSync} {
		running.Go(func() { s.fetchOffers(ctx) })
	}
	// The instance list comes first: it determines the watchers, so that the
	// instances of a fleet that starts at once do not all read the configuration
	// from the service. While the service is down, only the list is tried.
	running.Go(func() { m.listSync.fetchFirst(ctx, func() bool { return true }) })
	running.Go(func() {
		m.waitForInstanceList(ctx)
		m.configSync.fetchFirst(ctx, func() bool { return m.hasInstanceList() || m.serviceResponded.Load() })
	})
	m.runWatcherRole(ctx)
	m.cancel()
	running.Wait()
	m.background.Wait()
	return nil
}

func (m *Manager) hasInstanceList() bool { return m.listSync.current().Revision > 0 }

// waitForInstanceList waits for the instance list, but not longer than its
// first read takes.
func (m *Manager) waitForInstanceList(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-m.listSync.firstVersion:
	case <-m.configSync.firstVersion:
	case <-time.After(firstReadSpread + firstFetchInterval):
	}
}

// runWatcherRole watches the service while this instance is one of the watchers
// of its failure domain.
func (m *Manager) runWatcherRole(ctx context.Context) {
	ticker := time.NewTicker(watcherCheckInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	var cancels [2]context.CancelFunc
	for {
		watching := m.isWatcher()
		for i, s := range []*valueSync{m.listSync, m.configSync} {
			// An instance without a version is in fetchFirst, which reads the
			// service itself.
			want := watching && s.current().Revision > 0
			switch {
			case want && cancels[i] == nil:
				watchCtx, cancel := context.WithCancel(ctx)
				cancels[i] = cancel
				running.Go(func() { s.watchService(watchCtx) })
			case !watching && cancels[i] != nil:
				cancels[i]()
				cancels[i] = nil
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range cancels {
				if cancel != nil {
					cancel()
				}
			}
			return
		case <-ticker.C:
		}
	}
}

func (m *Manager) isWatcher() bool {
	return m.members == nil || IsWatcher(m.members.Self(), m.members.Live(""))
}

func (m *Manager) identity() *peerv1.Identity {
	if m.members == nil {
		return nil
	}
	self := m.members.Self()
	return self.Identity()
}

// fetchPeers returns the addresses of random members, with bootstrap addresses
// if too few members are known.
func (m *Manager) fetchPeers() []string {
	var out []string
	selfAddress := ""
	if m.members != nil {
		selfAddress = m.members.Self().PeerAddress
		for _, member := range m.members.Random(maxFetchPeers) {
			out = append(out, member.PeerAddress)
		}
	}
	for _, i := range rand.Perm(len(m.cfg.Bootstrap)) {
		if a := m.cfg.Bootstrap[i]; len(out) < maxFetchPeers && a != selfAddress {
			out = append(out, a)
		}
	}
	return out
}

// VersionIDs implements membership.VersionExchange.
func (m *Manager) VersionIDs() (configuration, instances *peerv1.EditionID) {
	return m.configSync.probeID(), m.listSync.probeID()
}

// HandleOffer implements membership.VersionExchange.
func (m *Manager) HandleOffer(from *peerv1.Identity, configuration, instances *peerv1.EditionID) {
	m.configSync.handleOffer(from, configuration)
	m.listSync.handleOffer(from, instances)
}

// HandleFetchEdition answers a peer's request for a newer version.
func (m *Manager) HandleFetchEdition(_ context.Context, req *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error) {
	var s *valueSync
	switch req.Name {
	case "", confservice.ConfigName:
		s = m.configSync
	case confservice.InstanceListName:
		s = m.listSync
	default:
		return nil, errors.Newf("unknown value %q", req.Name)
	}
	paused := m.Paused()
	s.mu.Lock()
	defer s.mu.Unlock()
	res := s.mu.state.BuildResponse(s.name, req.Have)
	res.Paused = paused
	return res, nil
}

func (m *Manager) parseConfig(v Version) (func(), error) {
	parsed, err := config.Parse(v.Body)
	if err != nil {
		return nil, err
	}
	parsed = parsed.WithRevision(v.Revision)
	return func() {
		old := m.configStore.Current()
		m.configStore.publish(parsed)
		m.recordConfigChange(old, parsed)
	}, nil
}

func (m *Manager) parseInstanceList(v Version) (func(), error) {
	list, err := confservice.ParseList(v.Body)
	if err != nil {
		return nil, err
	}
	list.Revision = v.Revision
	return func() {
		m.listStore.publish(list)
		m.cfg.Log.Emit(event.InstanceListApplied, zap.Int64("revision", list.Revision), zap.Int("instances", len(list.Instances)))
	}, nil
}
