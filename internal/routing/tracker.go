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

// DefaultMaxCacheEntries is the default bound on the entries (block hashes) of an
// instance's cache estimates over all targets. An entry takes about 60 bytes.
const DefaultMaxCacheEntries = 1 << 17

// maxCacheEntriesPerTarget bounds the cache estimate of one target: 16,384 blocks
// are about a million tokens.
const maxCacheEntriesPerTarget = 1 << 14

// Config configures a Tracker.
type Config struct {
	Region string
	Clock  clock.Clock
	Loads  lease.TargetLoads
	// FreeSlots returns the number of idle slots of a target that the instance
	// holds; nil if unknown.
	FreeSlots func(target string) int
	// EstimateWait returns the expected wait of a new request for a slot on one of
	// the targets; nil if unknown. EstimateWait and FreeSlots are called without
	// the Tracker's lock.
	EstimateWait func(targets []string) time.Duration
	// MaxCacheEntries bounds the cache estimates over all targets; 0 stands for
	// DefaultMaxCacheEntries.
	MaxCacheEntries int
	// Seed differs between instances, so that those that see the same figures
	// choose differently.
	Seed uint64
	Log  *event.Logger
}

// Tracker maintains the estimated state of targets, links and remote regions, and
// builds a View of it for each choice. Its methods are safe for concurrent use.
//
// While mu is held, no lock of another package is taken.
type Tracker struct {
	cfg   Config
	pools atomic.Pointer[poolSet]
	mu    struct {
		sync.Mutex
		targets     map[string]*targetState
		regions     map[string]*regionState
		peerCount   int
		meanOutputs map[poolKey]float64 // mean output tokens per request
		tieSeed     uint64
	}
}

// poolSet is a configuration with its targets grouped by model or service. It is
// immutable.
type poolSet struct {
	config *config.Config
	byKey  map[poolKey]*pool
}

// poolKey identifies a model or a plain service.
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

// pool is the targets and remote capacity of one model or service.
type pool struct {
	targets []*config.Target // of the local region, sorted by name
	names   []string
	remote  []remoteCapacity // sorted by region
}

// remoteCapacity is the published capacity of a remote region.
type remoteCapacity struct {
	region   string
	capacity int
}

// New returns a Tracker without targets; SetConfig adds them.
func New(cfg Config) *Tracker {
	if cfg.MaxCacheEntries <= 0 {
		cfg.MaxCacheEntries = DefaultMaxCacheEntries
	}
	if cfg.Log == nil {
		cfg.Log = event.Nop()
	}
	t := &Tracker{cfg: cfg}
	t.pools.Store(&poolSet{byKey: map[poolKey]*pool{}})
	t.mu.targets = map[string]*targetState{}
	t.mu.regions = map[string]*regionState{}
	t.mu.meanOutputs = map[poolKey]float64{}
	t.mu.peerCount = 1
	t.mu.tieSeed = cfg.Seed
	return t
}

// SetConfig adopts the targets and links of a configuration. The state of targets
// that it no longer lists in the local region is dropped.
func (t *Tracker) SetConfig(cfg *config.Config) {
	ps := &poolSet{config: cfg, byKey: map[poolKey]*pool{}}
	names := make([]string, 0, len(cfg.Targets))
	for name := range cfg.Targets {
		names = append(names, name)
	}
	slices.Sort(names)
	localTargets := 0
	for _, name := range names {
		target := cfg.Targets[name]
		if target.Region == t.cfg.Region {
			localTargets++
		}
		if target.Kind == config.PlainService {
			ps.add(t.cfg.Region, poolKey{false, target.Service}, target)
			continue
		}
		for model := range target.Models {
			ps.add(t.cfg.Region, poolKey{true, model}, target)
		}
	}
	maxEntries := min(t.cfg.MaxCacheEntries/max(localTargets, 1), maxCacheEntriesPerTarget)
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.mu.targets {
		if target := cfg.Targets[name]; target == nil || target.Region != t.cfg.Region {
			delete(t.mu.targets, name)
		}
	}
	for name, target := range cfg.Targets {
		if target.Region != t.cfg.Region {
			continue
		}
		s := t.mu.targets[name]
		if s == nil {
			s = &targetState{live: true, cache: newCacheEstimate(maxEntries)}
			t.mu.targets[name] = s
		}
		s.cache.maxEntries = maxEntries
	}
	t.pools.Store(ps)
}

func (ps *poolSet) add(region string, key poolKey, target *config.Target) {
	p := ps.byKey[key]
	if p == nil {
		p = &pool{}
		ps.byKey[key] = p
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

// SetPeerCount sets the number of instances of the local region, this one
// included, that divide links and the free slots of remote regions among them.
func (t *Tracker) SetPeerCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.peerCount = max(n, 1)
}

// SetTargetLive sets whether a target of the local region may receive new
// requests, that is, whether it is neither leaving nor suspected.
func (t *Tracker) SetTargetLive(target string, live bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.mu.targets[target]; s != nil {
		s.live = live
	}
}

// ApplyCacheEvents applies cache events of a target, in order of Seq, to its cache
// estimate.
func (t *Tracker) ApplyCacheEvents(target string, events []CacheEvent) {
	t.mu.Lock()
	s := t.mu.targets[target]
	gap := s != nil && s.cache.apply(events)
	t.mu.Unlock()
	if gap {
		t.cfg.Log.Emit(event.CacheEventsLost, zap.String("target", target))
	}
}

// RecordDispatch records that the request is sent to a target of the local region.
// The returned function records its end; further calls of it have no effect.
func (t *Tracker) RecordDispatch(q Query, target string) (ended func()) {
	now := t.cfg.Clock.Now().Lower
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.mu.targets[target]
	if s == nil {
		return func() {}
	}
	s.recordStart(now, q)
	var once sync.Once
	return func() {
		once.Do(func() {
			now := t.cfg.Clock.Now().Lower
			t.mu.Lock()
			defer t.mu.Unlock()
			s.recordEnd(now)
		})
	}
}

// Targets returns the names of the local region's targets that serve a model or a
// plain service, sorted. The caller must not modify the slice.
func (t *Tracker) Targets(model, service string) []string {
	if p := t.pools.Load().byKey[keyOf(Query{Model: model, Service: service})]; p != nil {
		return p.names
	}
	return nil
}

// View returns a snapshot of the state that matters for q.
func (t *Tracker) View(q Query) View {
	ps := t.pools.Load()
	key := keyOf(q)
	p := ps.byKey[key]
	v := View{Region: t.cfg.Region, InstanceSeed: splitmix64(t.cfg.Seed)}
	if p == nil {
		return v
	}
	// Read loads, slots and waits before locking mu: the packages that hold them
	// come earlier in the lock order.
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
	t.mu.tieSeed++
	v.TieSeed = splitmix64(t.mu.tieSeed)
	v.MeanOutput = t.updateMeanOutput(key, q)
	for i := range v.Targets {
		if s := t.mu.targets[p.names[i]]; s != nil {
			s.fillView(&v.Targets[i], loads[i], q, now)
		}
	}
	if !q.LocalOnly {
		v.Regions = t.regionViews(ps, p, key, now)
	}
	return v
}

// outputSmoothing is the weight of each request in the exponentially weighted mean
// of output tokens.
const outputSmoothing = 0.02

// updateMeanOutput adds q to the mean of output tokens of its pool and returns the
// new mean. The caller holds mu.
func (t *Tracker) updateMeanOutput(key poolKey, q Query) float64 {
	mean, ok := t.mu.meanOutputs[key]
	if !ok {
		mean = float64(q.OutputTokens)
	}
	mean += outputSmoothing * (float64(q.OutputTokens) - mean)
	t.mu.meanOutputs[key] = mean
	return mean
}

// Decide chooses where q should run and updates the hysteresis state.
func (t *Tracker) Decide(q Query, policy config.Policy) Choice {
	v := t.View(q)
	c := Choose(q, v, policy)
	if c.Breach {
		t.cfg.Log.Emit(event.ResidencyViolation, zap.String("team", q.Team), zap.Strings("reasons", c.Reasons))
	}
	t.updateSpilling(q, &v, &c)
	return c
}
