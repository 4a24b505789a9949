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

// Peers fetches an edition from a peer address.
type Peers interface {
	FetchEdition(ctx context.Context, address string, req *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error)
}

// Service is the configuration service; *confservice.Client implements it.
type Service interface {
	confservice.Source
	Read(ctx context.Context, name string) (confservice.Value, error)
}

// Members is the part of member.Manager that this package uses.
type Members interface {
	Self() membership.Member
	Live(region string) []membership.Member
	Random(n int) []membership.Member
	// Tell sends the IDs in force to the addresses.
	Tell(ctx context.Context, addresses []string)
}

// Config of a Manager. Trail may be nil.
type Config struct {
	Service   Service
	Peers     Peers
	Bootstrap []string // peer addresses
	Clock     clock.Clock
	Log       *event.Logger
	Trail     audit.Trail
	// MaxAge is the longest time without a confirmation by the service or by
	// a peer; max_edition_age of the settings.
	MaxAge time.Duration
}

// Timing of the manager.
const (
	// rolePeriod between decisions who watches.
	rolePeriod = 500 * time.Millisecond
	// askPeriod between questions to peers of an instance without a text; it
	// doubles up to maxAskPeriod. Probes show later that a peer has one.
	askPeriod    = time.Second
	maxAskPeriod = 8 * time.Second
	// maxAsked peers at one time.
	maxAsked = 3
	// maxTrail bounds the changes of one edition in the audit trail.
	maxTrail = 200
)

// Manager distributes the table and the instance list.
type Manager struct {
	cfg     Config
	members Members
	store   Store
	lists   ListStore
	table   *value
	list    *value

	// ctx ends with Run; pushes outlive the fetch that caused them.
	ctx        context.Context
	cancel     context.CancelFunc
	serviceUp  atomic.Bool // the service answered since the start
	background sync.WaitGroup
	guard      guard
	conflicts  atomic.Uint64
	rejections atomic.Uint64
	lastReject atomic.Pointer[Rejection]
}

// Rejection describes the last text that had faults.
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
	m.table = newValue(m, confservice.TableName, m.parseTable)
	m.list = newValue(m, confservice.InstancesName, m.parseList)
	m.guard.init(m.now())
	return m
}

// SetMembers must be called before Run. It is separate from NewManager because
// the member manager needs this one.
func (m *Manager) SetMembers(members Members) { m.members = members }

// Store returns the edition in force.
func (m *Manager) Store() *Store { return &m.store }

// Lists returns the instance list in force.
func (m *Manager) Lists() *ListStore { return &m.lists }

// Current returns the edition in force; nil before the first one.
func (m *Manager) Current() *config.Config { return m.store.Current() }

func (m *Manager) now() time.Duration { return m.cfg.Clock.Now().Upper }

// Run distributes until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.cancel()
	var running sync.WaitGroup
	running.Go(func() { m.runGuard(ctx) })
	for _, v := range []*value{m.list, m.table} {
		running.Go(func() { v.fetchOffers(ctx) })
	}
	// The list comes first: it tells who watches, so that a fleet that starts
	// at once does not read the table all together. While the service is down
	// only the list is tried.
	running.Go(func() { m.list.start(ctx, func() bool { return true }) })
	running.Go(func() {
		m.waitListed(ctx)
		m.table.start(ctx, func() bool { return m.listed() || m.serviceUp.Load() })
	})
	m.runRoles(ctx)
	m.cancel()
	running.Wait()
	m.background.Wait()
	return nil
}

func (m *Manager) listed() bool { return m.list.current().Revision > 0 }

// waitListed waits for the instance list, but not longer than its first read
// takes.
func (m *Manager) waitListed(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-m.list.known:
	case <-m.table.known:
	case <-time.After(startSpread + askPeriod):
	}
}

// runRoles watches the service while this instance is among the watchers.
func (m *Manager) runRoles(ctx context.Context) {
	ticker := time.NewTicker(rolePeriod)
	defer ticker.Stop()
	var watches sync.WaitGroup
	defer watches.Wait()
	var stop [2]context.CancelFunc
	for {
		watching := m.watches()
		for i, v := range []*value{m.list, m.table} {
			// An instance without a text is in start, which reads by itself.
			want := watching && v.current().Revision > 0
			switch {
			case want && stop[i] == nil:
				sub, cancel := context.WithCancel(ctx)
				stop[i] = cancel
				watches.Go(func() { v.watch(sub) })
			case !watching && stop[i] != nil:
				stop[i]()
				stop[i] = nil
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range stop {
				if cancel != nil {
					cancel()
				}
			}
			return
		case <-ticker.C:
		}
	}
}

func (m *Manager) watches() bool {
	return m.members == nil || Watches(m.members.Self(), m.members.Live(""))
}

func (m *Manager) identity() *peerv1.Identity {
	if m.members == nil {
		return nil
	}
	self := m.members.Self()
	return self.Identity()
}

// peersToAsk returns random members, or bootstrap addresses if too few members
// are known.
func (m *Manager) peersToAsk() []string {
	var out []string
	own := ""
	if m.members != nil {
		own = m.members.Self().PeerAddress
		for _, one := range m.members.Random(maxAsked) {
			out = append(out, one.PeerAddress)
		}
	}
	for _, i := range rand.Perm(len(m.cfg.Bootstrap)) {
		if a := m.cfg.Bootstrap[i]; len(out) < maxAsked && a != own {
			out = append(out, a)
		}
	}
	return out
}

// IDs implements member.Editions.
func (m *Manager) IDs() (table, instances *peerv1.EditionID) {
	return m.table.id(), m.list.id()
}

// Offered implements member.Editions.
func (m *Manager) Offered(from *peerv1.Identity, table, instances *peerv1.EditionID) {
	m.table.offer(from, table)
	m.list.offer(from, instances)
}

// HandleFetchEdition answers a peer.
func (m *Manager) HandleFetchEdition(_ context.Context, req *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error) {
	var v *value
	switch req.Name {
	case "", confservice.TableName:
		v = m.table
	case confservice.InstancesName:
		v = m.list
	default:
		return nil, errors.Newf("there is no value %q", req.Name)
	}
	paused := m.Paused()
	v.mu.Lock()
	defer v.mu.Unlock()
	res := v.mu.keeper.Serve(v.name, req.Have)
	res.Paused = paused
	return res, nil
}

func (m *Manager) parseTable(t Text) (func(), error) {
	e, err := config.Parse(t.Body)
	if err != nil {
		return nil, err
	}
	e = e.WithRevision(t.Revision)
	return func() {
		old := m.store.Current()
		m.store.publish(e)
		m.recordEdition(old, e)
	}, nil
}

func (m *Manager) parseList(t Text) (func(), error) {
	list, err := confservice.ParseList(t.Body)
	if err != nil {
		return nil, err
	}
	list.Revision = t.Revision
	return func() {
		m.lists.publish(list)
		m.cfg.Log.Emit(event.ListTaken, zap.Int64("revision", list.Revision), zap.Int("instances", len(list.Instances)))
	}, nil
}
