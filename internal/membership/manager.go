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

// Peers sends a probe to a peer address.
type Peers interface {
	Probe(ctx context.Context, address string, req *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error)
}

// Editions tells what is in force and is told what members have. Its methods
// are called without a lock of this package held.
type Editions interface {
	// IDs of the table and the instance list in force; nil to send none.
	IDs() (table, instances *peerv1.EditionID)
	// Offered reports the IDs that a member sent. It must not block.
	Offered(from *peerv1.Identity, table, instances *peerv1.EditionID)
}

// Crashes exchanges reports of requests that crashed targets.
type Crashes interface {
	Outgoing() []*peerv1.Crash
	Incoming([]*peerv1.Crash)
}

// Config of a Manager. Crashes, Load and Trail may be nil.
type Config struct {
	// Self needs Name, Incarnation, both addresses, Region and Domain.
	Self      Member
	Bootstrap []string
	Clock     clock.Clock
	Peers     Peers
	Editions  Editions
	Crashes   Crashes
	Load      func() uint32
	Log       *event.Logger
	Trail     audit.Trail
	Seed      uint64
	// Generation at the start; wall-clock seconds, so that it is larger than
	// that of an earlier process under the same name.
	Generation uint32
}

// Bounds on work at one time.
const (
	maxProbes     = 16 // own probes
	maxRelayed    = 16 // probes on behalf of others
	maxAnnounce   = 8  // parallel messages of a leaving instance
	startupProbes = 32 // members of the own region probed at once after the first list
)

// Manager runs the failure detection of one instance.
type Manager struct {
	cfg Config
	mu  struct {
		sync.Mutex
		core     *Core
		onChange []func([]Transition)
		listed   bool
	}
	view    atomic.Pointer[view]
	first   chan []string // capacity 1: addresses to probe once at the start
	probes  chan struct{}
	relayed chan struct{}
}

// view is an immutable snapshot of the members.
type view struct {
	self    Member
	members []Member // ordered by name, without the instance itself
}

// NewManager returns a Manager that does nothing until Run.
func NewManager(cfg Config) *Manager {
	if cfg.Log == nil {
		cfg.Log = event.Nop()
	}
	m := &Manager{cfg: cfg, first: make(chan []string, 1), probes: make(chan struct{}, maxProbes), relayed: make(chan struct{}, maxRelayed)}
	m.mu.core = NewCore(cfg.Self, cfg.Generation, cfg.Bootstrap, cfg.Seed)
	m.view.Store(&view{self: m.mu.core.Self()})
	return m
}

// now is the elapsed time, including time while the process was suspended.
func (m *Manager) now() time.Duration { return m.cfg.Clock.Now().Upper }

// Run probes until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(Period)
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
			case m.probes <- struct{}{}:
			default:
				continue // too many probes wait for answers
			}
			running.Go(func() {
				defer func() { <-m.probes }()
				m.probe(ctx, address)
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case first := <-m.first:
			running.Go(func() { m.Tell(ctx, first) })
		case <-ticker.C:
			due = true
		}
	}
}

func (m *Manager) tick() (addresses []string) {
	m.update(func(c *Core, now time.Duration) {
		if m.cfg.Load != nil {
			c.SetLoad(m.cfg.Load())
		}
		addresses = c.Tick(now)
	})
	return addresses
}

// update runs f under the lock, publishes the result and reports changes.
func (m *Manager) update(f func(c *Core, now time.Duration)) {
	now := m.now()
	m.mu.Lock()
	f(m.mu.core, now)
	changes := m.mu.core.TakeChanges()
	m.view.Store(&view{self: m.mu.core.Self(), members: m.mu.core.Members()})
	callbacks := m.mu.onChange
	m.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	m.record(changes)
	for _, f := range callbacks {
		f(changes)
	}
}

func (m *Manager) record(changes []Transition) {
	for _, t := range changes {
		e := event.MemberAlive
		switch {
		case t.Gone:
			e = event.MemberForgotten
		case t.Member.State == Suspected:
			e = event.MemberSuspected
		case t.Member.State == Dead:
			e = event.MemberDead
		case t.Member.State == Leaving:
			e = event.MemberLeaving
		}
		m.cfg.Log.Emit(e, zap.String("member", t.Member.Name), zap.String("region", t.Member.Region), zap.Stringer("old", t.Old))
		if m.cfg.Trail != nil {
			reason := e.Name
			if t.Old == t.Member.State {
				reason = "another incarnation"
			}
			m.cfg.Trail.Add(audit.Change{At: time.Now(), Kind: audit.MemberChanged, Subject: t.Member.Name, Old: t.Old.String(), New: t.Member.State.String(), Reason: reason})
		}
	}
}

// probe reaches the member at the address, directly or through others.
func (m *Manager) probe(ctx context.Context, address string) {
	started := m.now()
	if m.exchange(ctx, address) || ctx.Err() != nil {
		return
	}
	var relays []string
	m.update(func(c *Core, _ time.Duration) { relays = c.Relays(address) })
	ctx, cancel := context.WithTimeout(ctx, RelayTimeout)
	defer cancel()
	reached := make(chan bool, len(relays))
	for _, relay := range relays {
		go func() {
			req := m.request(relay)
			req.RelayTo = address
			res, err := m.cfg.Peers.Probe(ctx, relay, req)
			if err == nil {
				m.take(res.From, res.Edition, res.Instances, res.News, res.Crashes)
			}
			reached <- err == nil && res.RelayedOk
		}()
	}
	for range relays {
		if <-reached {
			return
		}
	}
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		m.update(func(c *Core, now time.Duration) { c.Failed(address, started, now) })
	}
}

// exchange sends a direct probe and reports whether it was answered.
func (m *Manager) exchange(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	res, err := m.cfg.Peers.Probe(ctx, address, m.request(address))
	if err != nil || res.GetFrom() == nil {
		return false
	}
	m.update(func(c *Core, now time.Duration) { c.Answered(address, res.From, now) })
	m.take(res.From, res.Edition, res.Instances, res.News, res.Crashes)
	return true
}

func (m *Manager) request(address string) *peerv1.ProbeRequest {
	table, instances := m.cfg.Editions.IDs()
	req := &peerv1.ProbeRequest{Edition: table, Instances: instances, Crashes: m.crashes()}
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.mu.core.Self()
	req.From = self.Identity()
	req.News = m.mu.core.News(m.mu.core.NameAt(address))
	return req
}

func (m *Manager) crashes() []*peerv1.Crash {
	if m.cfg.Crashes == nil {
		return nil
	}
	out := m.cfg.Crashes.Outgoing()
	return out[:min(len(out), maxCrashes)]
}

// take handles what a message carried.
func (m *Manager) take(from *peerv1.Identity, table, instances *peerv1.EditionID, news []*peerv1.MemberNews, crashes []*peerv1.Crash) {
	m.update(func(c *Core, now time.Duration) { c.Merge(from, news, now) })
	if from.GetInstance() == m.cfg.Self.Name {
		return
	}
	m.cfg.Editions.Offered(from, table, instances)
	if m.cfg.Crashes != nil && len(crashes) > 0 {
		m.cfg.Crashes.Incoming(crashes[:min(len(crashes), maxCrashes)])
	}
}

// HandleProbe answers a probe of a peer.
func (m *Manager) HandleProbe(ctx context.Context, req *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	if req.GetFrom().GetInstance() == "" {
		return nil, errors.New("a probe without an identity")
	}
	m.take(req.From, req.Edition, req.Instances, req.News, req.Crashes)
	relayed := req.RelayTo != "" && m.relay(ctx, req.RelayTo)
	table, instances := m.cfg.Editions.IDs()
	res := &peerv1.ProbeResponse{Edition: table, Instances: instances, Crashes: m.crashes(), RelayedOk: relayed}
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.mu.core.Self()
	res.From, res.Load = self.Identity(), self.Load
	res.News = m.mu.core.News(req.From.Instance)
	return res, nil
}

// relay probes a known member on behalf of another. Unknown addresses are not
// probed, so that a peer cannot use this instance to reach other hosts.
func (m *Manager) relay(ctx context.Context, address string) bool {
	m.mu.Lock()
	known := m.mu.core.NameAt(address) != ""
	m.mu.Unlock()
	if !known {
		return false
	}
	select {
	case m.relayed <- struct{}{}:
		defer func() { <-m.relayed }()
		return m.exchange(ctx, address)
	default:
		return false
	}
}

// SetList takes a new instance list. After the first one the members of the
// own region are probed at once, because their incarnations are needed for the
// prefixes of idempotency keys. It does not block.
func (m *Manager) SetList(list *confservice.InstanceList) {
	var first []string
	m.update(func(c *Core, now time.Duration) {
		c.SetList(list)
		if m.mu.listed {
			return
		}
		m.mu.listed = true
		for _, one := range c.Members() {
			if one.Region == m.cfg.Self.Region && one.Incarnation == 0 && len(first) < startupProbes {
				first = append(first, one.PeerAddress)
			}
		}
	})
	if len(first) > 0 {
		select {
		case m.first <- first:
		default:
		}
	}
}

// Leave announces to members of the region and some others that the instance
// leaves, so that it gets no new work.
func (m *Manager) Leave(ctx context.Context) {
	var addresses []string
	m.update(func(c *Core, _ time.Duration) { addresses = c.Leave() })
	m.Tell(ctx, addresses)
}

// Tell sends a probe at once to each address. It carries the IDs of what is
// in force, so that receivers fetch what is new to them.
func (m *Manager) Tell(ctx context.Context, addresses []string) {
	var g errgroup.Group
	g.SetLimit(maxAnnounce)
	for _, a := range addresses {
		g.Go(func() error {
			m.exchange(ctx, a)
			return nil
		})
	}
	_ = g.Wait()
}

// OnChange registers a function that is told of changes of state. It is
// called without locks held and must not block.
func (m *Manager) OnChange(f func([]Transition)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.onChange = append(m.mu.onChange[:len(m.mu.onChange):len(m.mu.onChange)], f)
}

// Self returns the instance's own entry.
func (m *Manager) Self() Member { return m.view.Load().self }

// All returns all known members but the instance itself, in every state.
func (m *Manager) All() []Member { return m.view.Load().members }

// Live returns the members of a region that may be used, among them the
// instance itself unless it leaves; all regions if region is empty.
func (m *Manager) Live(region string) []Member {
	v := m.view.Load()
	var out []Member
	for _, one := range append([]Member{v.self}, v.members...) {
		if one.Used() && (region == "" || one.Region == region) {
			out = append(out, one)
		}
	}
	return out
}

// ByName returns the member with the name, in any state.
func (m *Manager) ByName(name string) (Member, bool) {
	v := m.view.Load()
	if name == v.self.Name {
		return v.self, true
	}
	i, ok := slices.BinarySearchFunc(v.members, name, func(m Member, name string) int { return strings.Compare(m.Name, name) })
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Random returns up to n members in use, chosen at random, without the
// instance itself.
func (m *Manager) Random(n int) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.core.Random(n)
}
