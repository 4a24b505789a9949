package routing

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/lease"
)

// DefaultMaxCacheEntries bounds the cache beliefs of an instance, in block hashes over
// all targets; an entry takes about 60 bytes.
const DefaultMaxCacheEntries = 1 << 17

// maxBeliefsPerTarget bounds the beliefs about one target: 16,384 blocks are
// about a million tokens.
const maxBeliefsPerTarget = 1 << 14

// Config configures a Tracker.
type Config struct {
	Region string
	Clock  clock.Clock
	Loads  lease.TargetLoads
	// FreeSlots gives the idle slots of a target that the instance holds; nil if
	// unknown.
	FreeSlots func(target string) int
	// EstimateWait gives the time a new request waits for a slot of the targets; nil if
	// unknown. It and FreeSlots are called without the Tracker's lock.
	EstimateWait func(targets []string) time.Duration
	// MaxCacheEntries bounds the cache beliefs; 0 for DefaultBeliefs.
	MaxCacheEntries int
	// Seed separates instances that see the same figures.
	Seed uint64
	Log  *event.Logger
}

// Tracker keeps what the instance believes about targets, links and other
// regions, and builds a View of it for each choice. All methods may be called
// by many goroutines.
//
// While mu is held, no lock of another package is taken.
type Tracker struct {
	cfg   Config
	pools atomic.Pointer[pools]
	mu    struct {
		sync.Mutex
		targets map[string]*targetState
		regions map[string]*regionState
		peers   int
		outputs map[poolKey]float64 // mean output tokens
		salt    uint64
	}
}

// pools is what the Tracker needs of an edition. It is immutable.
type pools struct {
	edition *config.Config
	local   map[poolKey]*pool
}

// poolKey names a model or a plain service.
type poolKey struct {
	engine bool
	name   string
}

func keyOf(q Query) poolKey {
	if q.Model != "" {
		return poolKey{true, q.Model}
	}
	return poolKey{false, q.Service}
}

// pool is the targets of one model or service.
type pool struct {
	targets []*config.Target // of the own region, by name
	names   []string
	remote  []remoteCapacity // by region
}

// remoteCapacity is the published capacity of another region.
type remoteCapacity struct {
	region   string
	capacity int
}

// New returns a Tracker without targets; see SetEdition.
func New(cfg Config) *Tracker {
	if cfg.MaxCacheEntries <= 0 {
		cfg.MaxCacheEntries = DefaultMaxCacheEntries
	}
	if cfg.Log == nil {
		cfg.Log = event.Nop()
	}
	t := &Tracker{cfg: cfg}
	t.pools.Store(&pools{local: map[poolKey]*pool{}})
	t.mu.targets = map[string]*targetState{}
	t.mu.regions = map[string]*regionState{}
	t.mu.outputs = map[poolKey]float64{}
	t.mu.peers = 1
	t.mu.salt = cfg.Seed
	return t
}

// SetConfig takes over the targets and links of an edition. Beliefs about
// targets that it no longer lists are dropped.
func (t *Tracker) SetConfig(e *config.Config) {
	ps := &pools{edition: e, local: map[poolKey]*pool{}}
	names := make([]string, 0, len(e.Targets))
	for name := range e.Targets {
		names = append(names, name)
	}
	slices.Sort(names)
	own := 0
	for _, name := range names {
		target := e.Targets[name]
		if target.Region == t.cfg.Region {
			own++
		}
		if target.Kind == config.Plain {
			ps.add(t.cfg.Region, poolKey{false, target.Service}, target)
			continue
		}
		for model := range target.Models {
			ps.add(t.cfg.Region, poolKey{true, model}, target)
		}
	}
	bound := min(t.cfg.MaxCacheEntries/max(own, 1), maxBeliefsPerTarget)
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.mu.targets {
		if target := e.Targets[name]; target == nil || target.Region != t.cfg.Region {
			delete(t.mu.targets, name)
		}
	}
	for name, target := range e.Targets {
		if target.Region != t.cfg.Region {
			continue
		}
		s := t.mu.targets[name]
		if s == nil {
			s = &targetState{live: true, cache: newBelief(bound)}
			t.mu.targets[name] = s
		}
		s.cache.bound = bound
	}
	t.pools.Store(ps)
}

func (ps *pools) add(region string, key poolKey, target *config.Target) {
	p := ps.local[key]
	if p == nil {
		p = &pool{}
		ps.local[key] = p
	}
	if target.Region != region {
		p.addRemote(target)
		return
	}
	p.targets = append(p.targets, target)
	p.names = append(p.names, target.Name)
}

func (p *pool) addRemote(target *config.Target) {
	i, found := slices.BinarySearchFunc(p.remote, target.Region, func(c remoteCapacity, name string) int {
		return strings.Compare(c.region, name)
	})
	if !found {
		p.remote = slices.Insert(p.remote, i, remoteCapacity{region: target.Region})
	}
	p.remote[i].capacity += target.Capacity
}

// SetPeerCount tells how many instances of the own region share links and other
// regions' free slots, this one included.
func (t *Tracker) SetPeerCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.peers = max(n, 1)
}

// SetTargetLive tells whether a target of the own region may get new work: it
// is neither leaving nor suspected.
func (t *Tracker) SetTargetLive(target string, live bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.mu.targets[target]; s != nil {
		s.live = live
	}
}

// ApplyCacheEvents applies cache events of a target in the order of their numbers.
func (t *Tracker) ApplyCacheEvents(target string, events []CacheEvent) {
	t.mu.Lock()
	s := t.mu.targets[target]
	gap := s != nil && s.cache.events(events)
	t.mu.Unlock()
	if gap {
		t.cfg.Log.Emit(event.CacheBeliefGap, zap.String("target", target))
	}
}

// RecordDispatch notes that the request is sent to a target of the own region. The
// returned function notes its end; further calls of it do nothing.
func (t *Tracker) RecordDispatch(q Query, target string) (ended func()) {
	now := t.cfg.Clock.Now().Lower
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.mu.targets[target]
	if s == nil {
		return func() {}
	}
	s.start(now, q)
	var once sync.Once
	return func() {
		once.Do(func() {
			now := t.cfg.Clock.Now().Lower
			t.mu.Lock()
			defer t.mu.Unlock()
			s.end(now)
		})
	}
}

// Targets returns the names of the own region's targets that serve a model or
// a plain service, in order. The caller must not change them.
func (t *Tracker) Targets(model, service string) []string {
	if p := t.pools.Load().local[keyOf(Query{Model: model, Service: service})]; p != nil {
		return p.names
	}
	return nil
}

// View returns a snapshot of the beliefs that matter for q.
func (t *Tracker) View(q Query) View {
	ps := t.pools.Load()
	key := keyOf(q)
	p := ps.local[key]
	v := View{Region: t.cfg.Region, InstanceSeed: mix(t.cfg.Seed)}
	if p == nil {
		return v
	}
	// Loads, slots and waits belong to packages earlier in the lock order.
	v.Targets = make([]TargetView, len(p.targets))
	loads := make([]lease.Load, len(p.targets))
	for i, target := range p.targets {
		if t.cfg.Loads != nil {
			loads[i], _ = t.cfg.Loads.Load(target.Name)
		}
		v.Targets[i] = TargetView{Target: target, FreeSlots: -1}
		if t.cfg.FreeSlots != nil {
			v.Targets[i].FreeSlots = t.cfg.FreeSlots(target.Name)
		}
	}
	if t.cfg.EstimateWait != nil && len(p.names) > 0 {
		v.LocalWait = t.cfg.EstimateWait(p.names)
	}
	now := t.cfg.Clock.Now().Lower
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.salt++
	v.TieSeed = mix(t.mu.salt)
	v.MeanOutput = t.meanOutput(key, q)
	for i := range v.Targets {
		if s := t.mu.targets[p.names[i]]; s != nil {
			s.fill(&v.Targets[i], loads[i], q, now)
		}
	}
	if !q.LocalOnly {
		v.Regions = t.regionViews(ps, p, key, now)
	}
	return v
}

// outputPart is the part of each request in the mean of output tokens.
const outputPart = 0.02

// meanOutput counts q in the mean output tokens of its pool. The caller holds mu.
func (t *Tracker) meanOutput(key poolKey, q Query) float64 {
	mean, ok := t.mu.outputs[key]
	if !ok {
		mean = float64(q.OutputTokens)
	}
	mean += outputPart * (float64(q.OutputTokens) - mean)
	t.mu.outputs[key] = mean
	return mean
}

// Decide makes a choice and keeps the state of its hysteresis.
func (t *Tracker) Decide(q Query, policy config.Policy) Choice {
	v := t.View(q)
	c := Choose(q, v, policy)
	if c.Breach {
		t.cfg.Log.Emit(event.ResidencyBreach, zap.String("team", q.Team), zap.Strings("reasons", c.Reasons))
	}
	t.noteSpill(q, &v, &c)
	return c
}
