package membership

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// PeerClient sends probes by peer address.
type PeerClient interface {
	Probe(ctx context.Context, address string, req *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error)
}

// VersionExchange gives the versions in force at this instance and receives those
// of the members. Its methods are called without a lock of this package held.
type VersionExchange interface {
	// VersionIDs returns the versions of the configuration and of the instance
	// list in force; nil to send none.
	VersionIDs() (config, instances *peerv1.EditionID)
	// HandleOffer receives the versions in force at a member. It must not block.
	HandleOffer(from *peerv1.Identity, config, instances *peerv1.EditionID)
}

// CrashExchange exchanges what is known of crashes of targets with members. It
// bounds the size of its messages.
type CrashExchange interface {
	OutgoingNews() *peerv1.CrashNews
	HandleNews(*peerv1.CrashNews)
}

// Config of a Manager. CrashExchange, Load and AuditTrail may be nil.
type Config struct {
	// Self is this instance; Name, Incarnation, both addresses, Region and Domain
	// must be set.
	Self            Member
	Bootstrap       []string // peer addresses
	Clock           clock.Clock
	PeerClient      PeerClient
	VersionExchange VersionExchange
	CrashExchange   CrashExchange
	Load            func() uint32 // requests in progress
	Log             *event.Logger
	AuditTrail      audit.Trail
	Seed            uint64
	// Generation at the start: the wall-clock time in seconds, so that it is
	// larger than that of an earlier process of the same name.
	Generation uint32
}

// Bounds on concurrent probes.
const (
	maxProbes        = 16 // probes of this instance
	maxRelayedProbes = 16 // probes on behalf of others
	maxParallelSends = 8  // messages that SendProbes sends in parallel
	maxStartupProbes = 32 // members of the local region probed at once after the first instance list
)

// Manager runs the failure detector of one instance.
type Manager struct {
	cfg Config
	mu  struct {
		sync.Mutex
		detector     *Detector
		onChange     []func([]Transition)
		listReceived bool
	}
	snapshot         atomic.Pointer[snapshot]
	startupAddresses chan []string // capacity 1: addresses to probe after the first instance list
	probeSem         chan struct{}
	relaySem         chan struct{}
}

// snapshot is an immutable snapshot of the members.
type snapshot struct {
	self    Member
	members []Member // ordered by name, without the instance itself
}

// NewManager returns a Manager that does nothing until Run.
func NewManager(cfg Config) *Manager {
	if cfg.Log == nil {
		cfg.Log = event.Nop()
	}
	m := &Manager{cfg: cfg, startupAddresses: make(chan []string, 1), probeSem: make(chan struct{}, maxProbes), relaySem: make(chan struct{}, maxRelayedProbes)}
	m.mu.detector = NewDetector(cfg.Self, cfg.Generation, cfg.Bootstrap, cfg.Seed)
	m.snapshot.Store(&snapshot{self: m.mu.detector.Self()})
	return m
}

// now returns the elapsed time, including time while the process was paused.
func (m *Manager) now() time.Duration { return m.cfg.Clock.Now().Upper }

// Run probes until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	due := true
	for {
		var addresses []string
		if due {
			addresses, due = m.tick(), false
		}
		for _, address := range addresses {
			select {
			case m.probeSem <- struct{}{}:
			default:
				continue // too many probes wait for responses
			}
			running.Go(func() {
				defer func() { <-m.probeSem }()
				m.probe(ctx, address)
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case startup := <-m.startupAddresses:
			running.Go(func() { m.SendProbes(ctx, startup) })
		case <-ticker.C:
			due = true
		}
	}
}

func (m *Manager) tick() (addresses []string) {
	m.withDetector(func(d *Detector, now time.Duration) {
		if m.cfg.Load != nil {
			d.SetLoad(m.cfg.Load())
		}
		addresses = d.Tick(now)
	})
	return addresses
}

// withDetector runs f under the lock, publishes a new snapshot and reports the
// transitions.
func (m *Manager) withDetector(f func(d *Detector, now time.Duration)) {
	now := m.now()
	m.mu.Lock()
	f(m.mu.detector, now)
	transitions := m.mu.detector.TakeChanges()
	m.snapshot.Store(&snapshot{self: m.mu.detector.Self(), members: m.mu.detector.Members()})
	callbacks := m.mu.onChange
	m.mu.Unlock()
	if len(transitions) == 0 {
		return
	}
	m.recordTransitions(transitions)
	for _, f := range callbacks {
		f(transitions)
	}
}

// recordTransitions logs the transitions and adds them to the audit trail.
func (m *Manager) recordTransitions(transitions []Transition) {
	for _, t := range transitions {
		e := event.MemberAlive
		switch {
		case t.Removed:
			e = event.MemberRemoved
		case t.Member.State == Suspected:
			e = event.MemberSuspected
		case t.Member.State == Dead:
			e = event.MemberDead
		case t.Member.State == Leaving:
			e = event.MemberLeaving
		}
		m.cfg.Log.Emit(e, zap.String("member", t.Member.Name), zap.String("region", t.Member.Region), zap.Stringer("old", t.Old))
		if m.cfg.AuditTrail != nil {
			reason := e.Name
			if t.Old == t.Member.State {
				reason = "another incarnation"
			}
			m.cfg.AuditTrail.Add(audit.Change{At: time.Now(), Kind: audit.MemberChanged, Subject: t.Member.Name, Old: t.Old.String(), New: t.Member.State.String(), Reason: reason})
		}
	}
}

// probe probes the member at the address directly, and through relays if that
// fails. If both fail, the member becomes suspected.
func (m *Manager) probe(ctx context.Context, address string) {
	started := m.now()
	if m.probeDirect(ctx, address) || ctx.Err() != nil {
		return
	}
	var relays []string
	m.withDetector(func(d *Detector, _ time.Duration) { relays = d.ChooseRelays(address) })
	ctx, cancel := context.WithTimeout(ctx, RelayTimeout)
	defer cancel()
	results := make(chan bool, len(relays))
	for _, relay := range relays {
		go func() {
			req := m.newRequest(relay)
			req.RelayTo = address
			res, err := m.cfg.PeerClient.Probe(ctx, relay, req)
			if err == nil {
				m.handleMessage(res.From, res.Edition, res.Instances, res.News, res.CrashNews)
			}
			results <- err == nil && res.RelayedOk
		}()
	}
	for range relays {
		if <-results {
			return
		}
	}
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		m.withDetector(func(d *Detector, now time.Duration) { d.ProbeFailed(address, started, now) })
	}
}

// probeDirect sends a direct probe and reports whether a response came.
func (m *Manager) probeDirect(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	res, err := m.cfg.PeerClient.Probe(ctx, address, m.newRequest(address))
	if err != nil || res.GetFrom() == nil {
		return false
	}
	m.withDetector(func(d *Detector, now time.Duration) { d.ProbeSucceeded(address, res.From, now) })
	m.handleMessage(res.From, res.Edition, res.Instances, res.News, res.CrashNews)
	return true
}

func (m *Manager) newRequest(address string) *peerv1.ProbeRequest {
	config, instances := m.cfg.VersionExchange.VersionIDs()
	req := &peerv1.ProbeRequest{Edition: config, Instances: instances, CrashNews: m.crashNews()}
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.mu.detector.Self()
	req.From = self.Identity()
	req.News = m.mu.detector.NextUpdates(m.mu.detector.NameByAddress(address))
	return req
}

func (m *Manager) crashNews() *peerv1.CrashNews {
	if m.cfg.CrashExchange == nil {
		return nil
	}
	return m.cfg.CrashExchange.OutgoingNews()
}

// handleMessage passes on what a probe or its response carried.
func (m *Manager) handleMessage(from *peerv1.Identity, config, instances *peerv1.EditionID, updates []*peerv1.MemberNews, crashes *peerv1.CrashNews) {
	m.withDetector(func(d *Detector, now time.Duration) { d.Merge(from, updates, now) })
	if from.GetInstance() == m.cfg.Self.Name {
		return
	}
	m.cfg.VersionExchange.HandleOffer(from, config, instances)
	if m.cfg.CrashExchange != nil && crashes != nil {
		m.cfg.CrashExchange.HandleNews(crashes)
	}
}

// HandleProbe handles a probe by a peer and returns the response. It probes
// another member on behalf of the peer if the request asks for it.
func (m *Manager) HandleProbe(ctx context.Context, req *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	if req.GetFrom().GetInstance() == "" {
		return nil, errors.New("probe request has no sender identity")
	}
	m.handleMessage(req.From, req.Edition, req.Instances, req.News, req.CrashNews)
	relayedOK := req.RelayTo != "" && m.relayProbe(ctx, req.RelayTo)
	config, instances := m.cfg.VersionExchange.VersionIDs()
	res := &peerv1.ProbeResponse{Edition: config, Instances: instances, CrashNews: m.crashNews(), RelayedOk: relayedOK}
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.mu.detector.Self()
	res.From, res.Load = self.Identity(), self.Load
	res.News = m.mu.detector.NextUpdates(req.From.Instance)
	return res, nil
}

// relayProbe probes a known member on behalf of another and reports whether a
// response came. Unknown addresses are not probed, so that a peer cannot use this
// instance to reach other hosts.
func (m *Manager) relayProbe(ctx context.Context, address string) bool {
	m.mu.Lock()
	known := m.mu.detector.NameByAddress(address) != ""
	m.mu.Unlock()
	if !known {
		return false
	}
	select {
	case m.relaySem <- struct{}{}:
		defer func() { <-m.relaySem }()
		return m.probeDirect(ctx, address)
	default:
		return false
	}
}

// SetInstanceList applies a new instance list. After the first one the members of
// the local region are probed at once, because their incarnations are needed for
// the prefixes of idempotency keys. It does not block.
func (m *Manager) SetInstanceList(list *confservice.InstanceList) {
	var startup []string
	m.withDetector(func(d *Detector, now time.Duration) {
		d.SetInstanceList(list)
		if m.mu.listReceived {
			return
		}
		m.mu.listReceived = true
		for _, member := range d.Members() {
			if member.Region == m.cfg.Self.Region && member.Incarnation == 0 && len(startup) < maxStartupProbes {
				startup = append(startup, member.PeerAddress)
			}
		}
	})
	if len(startup) > 0 {
		select {
		case m.startupAddresses <- startup:
		default:
		}
	}
}

// Leave announces to the members of the local region and some others that the
// instance is leaving, so that it gets no new work.
func (m *Manager) Leave(ctx context.Context) {
	var addresses []string
	m.withDetector(func(d *Detector, _ time.Duration) { addresses = d.Leave() })
	m.SendProbes(ctx, addresses)
}

// SendProbes probes each address at once and waits for the responses. Probes carry
// the versions in force, so that receivers fetch what is new to them.
func (m *Manager) SendProbes(ctx context.Context, addresses []string) {
	var g errgroup.Group
	g.SetLimit(maxParallelSends)
	for _, a := range addresses {
		g.Go(func() error {
			m.probeDirect(ctx, a)
			return nil
		})
	}
	_ = g.Wait()
}

// OnChange registers a function to call on transitions. It is called without
// locks held and must not block.
func (m *Manager) OnChange(f func([]Transition)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.onChange = append(m.mu.onChange[:len(m.mu.onChange):len(m.mu.onChange)], f)
}

// Self returns the instance's own entry.
func (m *Manager) Self() Member { return m.snapshot.Load().self }

// All returns all known members but the instance itself, whatever their state.
func (m *Manager) All() []Member { return m.snapshot.Load().members }

// Live returns the usable members of a region, or of all regions if region is
// empty. They include the instance itself unless it is leaving.
func (m *Manager) Live(region string) []Member {
	s := m.snapshot.Load()
	var out []Member
	for _, member := range append([]Member{s.self}, s.members...) {
		if member.Usable() && (region == "" || member.Region == region) {
			out = append(out, member)
		}
	}
	return out
}

// ByName returns the member with the name, whatever its state; it may be the
// instance itself.
func (m *Manager) ByName(name string) (Member, bool) {
	s := m.snapshot.Load()
	if name == s.self.Name {
		return s.self, true
	}
	i, ok := slices.BinarySearchFunc(s.members, name, func(m Member, name string) int { return strings.Compare(m.Name, name) })
	if !ok {
		return Member{}, false
	}
	return s.members[i], true
}

// Random returns up to n usable members, chosen at random, without the instance
// itself.
func (m *Manager) Random(n int) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.detector.Random(n)
}
