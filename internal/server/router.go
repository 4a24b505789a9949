package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/admission"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/membership"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routing"
)

const (
	// A failed target is not chosen for initialTargetBackoff, doubled with each
	// further failure up to maxTargetBackoff, so that it is retried but not by
	// every request.
	initialTargetBackoff = time.Second
	maxTargetBackoff     = 16 * time.Second
	// maxLeaderMissing is how long renewals to a leader of the local region may
	// fail before the targets of its shard are no longer chosen. A change of
	// leader takes about one and a half leadership leases; requests wait that
	// long rather than go to another region.
	maxLeaderMissing = 3 * time.Second
	// leaderProbeTimeout bounds one check whether a missing leader is back.
	leaderProbeTimeout = time.Second
)

// router chooses targets and regions with a routing.Tracker, which it keeps up to
// date about the configuration, the members, the instance list and the outcomes
// of attempts.
type router struct {
	region   string
	tracker  *routing.Tracker
	configs  *configversion.Manager
	members  *membership.Manager
	admitter *admission.Manager
	// leaderMissingFor returns for how long renewals to a shard's leader have
	// failed.
	leaderMissingFor func(leadership.Shard) time.Duration
	targetLoads      lease.TargetLoads
	cachePoller      *cachePoller
	poolStatus       *dispatch.PoolStatusCache
	now              func() time.Time
	mu               struct {
		sync.Mutex
		backoffs map[string]targetBackoff // by target
		probing  bool                     // a probe of a missing leader is running
	}
}

// targetBackoff is the state of a target whose last attempt failed.
type targetBackoff struct {
	failures int
	until    time.Time
}

// Choose implements dispatch.Chooser.
func (r *router) Choose(q routing.Query) routing.Choice {
	cfg := r.configs.Current()
	if cfg == nil {
		return routing.Choice{}
	}
	r.requestPoolStatus(q)
	choice := r.tracker.Decide(q, cfg.Policy)
	if len(choice.Targets) == 0 && choice.Region == "" {
		choice.Targets = targetsToWaitFor(cfg, r.region, q, r.usable)
		if len(choice.Targets) > 0 {
			choice.Reasons = append(choice.Reasons, "no region gives slots; the request waits for the grantor of its own")
		}
	}
	return choice
}

// usable reports whether a target is neither leaving nor in backoff.
func (r *router) usable(target string) bool {
	r.mu.Lock()
	backoff := r.mu.backoffs[target]
	r.mu.Unlock()
	return !r.leaving(target) && !r.now().Before(backoff.until)
}

// targetsToWaitFor returns the targets of the local region for whose slots a
// request may wait although their leader is missing: a request that no other
// region can run is better served late than refused.
func targetsToWaitFor(cfg *config.Config, region string, q routing.Query, usable func(string) bool) []string {
	if !q.AllowedRegions[region] {
		return nil
	}
	var names []string
	for _, name := range poolTargets(cfg, region, q.Model, q.Service) {
		if !q.Exclude[name] && usable(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Begin implements dispatch.AttemptObserver.
func (r *router) Begin(q routing.Query, target, region string, bodyBytes int) func(error) {
	if target == "" {
		ended := r.tracker.RecordForward(q, region, bodyBytes)
		return func(error) { ended() }
	}
	ended := r.tracker.RecordDispatch(q, target)
	return func(err error) {
		ended()
		failed := isTargetError(err)
		r.recordOutcome(target, failed)
		if q.Model != "" {
			r.cachePoller.recordUse(target, failed)
		}
	}
}

// isTargetError reports whether err is a failure of the target. Errors due to the
// caller or to a changed configuration must not put a healthy target into
// backoff.
func isTargetError(err error) bool {
	if err == nil {
		return false
	}
	code := result.FromError(err).Code
	return code == result.TargetFailed || code == result.TargetTimeout
}

// recordOutcome puts a target into backoff after a failed attempt and ends its
// backoff after a successful one.
func (r *router) recordOutcome(target string, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	backoff, known := r.mu.backoffs[target]
	switch {
	case !failed && known:
		delete(r.mu.backoffs, target)
		r.tracker.SetTargetLive(target, !r.leaving(target))
	case failed:
		delay := min(initialTargetBackoff<<min(backoff.failures, 8), maxTargetBackoff)
		r.mu.backoffs[target] = targetBackoff{failures: backoff.failures + 1, until: r.now().Add(delay)}
		r.tracker.SetTargetLive(target, false)
	}
}

// engineAddress returns the address of an engine of the local region, or "" if
// target is not one.
func (r *router) engineAddress(target string) string {
	cfg := r.configs.Current()
	if cfg == nil {
		return ""
	}
	if t := cfg.Targets[target]; t != nil && t.Kind == config.Engine && t.Region == r.region {
		return t.Address
	}
	return ""
}

func (r *router) leaving(target string) bool {
	list := r.configs.ListStore().Current()
	return list != nil && list.LeavingTargets[target]
}

// refresh updates the tracker from the configuration, the instance list, the
// members and the backoffs that have expired.
func (r *router) refresh() {
	cfg := r.configs.Current()
	if cfg == nil {
		return
	}
	now := r.now()
	r.mu.Lock()
	for name, t := range cfg.Targets {
		if t.Region == r.region {
			backoff := r.mu.backoffs[name]
			reachable := r.leaderReachable(cfg, name)
			r.tracker.SetTargetLive(name, reachable && !r.leaving(name) && !now.Before(backoff.until))
			if !reachable {
				r.probeLeaderLocked(name)
			}
		}
	}
	for name := range r.mu.backoffs {
		if cfg.Targets[name] == nil {
			delete(r.mu.backoffs, name)
		}
	}
	r.mu.Unlock()
	r.tracker.SetPeerCount(len(r.members.Live(r.region)))
	for region := range cfg.Regions {
		if region != r.region {
			r.tracker.SetRegionReachable(region, len(r.members.Live(region)) > 0)
		}
	}
}

// leaderReachable reports whether slots of a target of the local region can be
// leased: whether the leader of its shard has been missing for less than
// maxLeaderMissing.
func (r *router) leaderReachable(cfg *config.Config, target string) bool {
	region := cfg.Regions[r.region]
	return region != nil && r.leaderMissingFor(leadership.ShardFor(region, target)) < maxLeaderMissing
}

// probeLeaderLocked requests a slot of a target that is not chosen because its
// leader is missing. Renewals go only to leaders from which something is wanted,
// so without such a request the leader's return would go unnoticed. At most one
// probe runs at a time. r.mu must be held.
func (r *router) probeLeaderLocked(target string) {
	if r.mu.probing {
		return
	}
	r.mu.probing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaderProbeTimeout)
		defer cancel()
		trySlot(ctx, r.admitter, []string{target})
		r.mu.Lock()
		defer r.mu.Unlock()
		r.mu.probing = false
	}()
}

// Run keeps the tracker up to date until ctx ends.
func (r *router) Run(ctx context.Context) error {
	r.configs.ConfigStore().Subscribe(func(_, cfg *config.Config) { r.tracker.SetConfig(cfg); r.refresh() })
	r.configs.ListStore().Subscribe(func(_, _ *confservice.InstanceList) { r.refresh() })
	r.members.OnChange(func([]membership.Transition) { r.refresh() })
	if cfg := r.configs.Current(); cfg != nil {
		r.tracker.SetConfig(cfg)
	}
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		r.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refreshInterval bounds how long a target stays unused after its backoff has
// expired.
const refreshInterval = 500 * time.Millisecond

// requestPoolStatus asks other regions for the load of the query's pool, but only
// while the local region lacks slots or targets for it.
func (r *router) requestPoolStatus(q routing.Query) {
	if q.LocalOnly || !r.localPoolFull(q) {
		return
	}
	for region := range q.AllowedRegions {
		if region == r.region || q.Exclude[region] {
			continue
		}
		r.poolStatus.Status(region, q.Model, q.Service)
	}
}

// localPoolFull reports whether requests for the pool have to wait in the local
// region or have no target there.
func (r *router) localPoolFull(q routing.Query) bool {
	names := r.tracker.Targets(q.Model, q.Service)
	if len(names) == 0 || !q.AllowedRegions[r.region] {
		return true
	}
	wait, queued := r.admitter.EstimateWait(names)
	return wait > 0 || queued > 0
}

// recordPoolStatus passes the pool status of another region to the tracker. The
// status of a region that did not respond is ignored; whether it is reachable
// follows from the states of its members.
func (r *router) recordPoolStatus(region, model, service string, s dispatch.PoolStatus) {
	if !s.Reachable {
		return
	}
	r.tracker.SetRegionStatus(routing.RegionStatus{
		Region: region, Model: model, Service: service,
		Capacity: s.Capacity, Running: s.Running, Queued: s.Queued, QueueWait: s.QueueWait,
	})
}

// PoolStatus implements dispatch.PoolStatusSource.
func (r *router) PoolStatus(model, service string) (capacity, running, queued int, wait time.Duration) {
	cfg := r.configs.Current()
	if cfg == nil {
		return 0, 0, 0, 0
	}
	names := r.tracker.Targets(model, service)
	for _, name := range names {
		target := cfg.Targets[name] // nil if the tracker has another configuration version
		if target == nil || r.leaving(name) {
			continue
		}
		capacity += target.Capacity
		if load, ok := r.targetLoads.Load(name); ok {
			running += load.Running
		}
	}
	wait, queued = r.admitter.EstimateWait(names)
	return capacity, running, queued, wait
}

// poolTargets returns the targets of a region that serve a model or service. It
// iterates over all targets of the configuration, which is too expensive for
// each request; see routing.Tracker.Targets.
func poolTargets(cfg *config.Config, region, model, service string) []string {
	var names []string
	for name, t := range cfg.Targets {
		if t.Region != region {
			continue
		}
		if model != "" && t.Kind == config.Engine && t.Models[model] || service != "" && t.Kind == config.PlainService && t.Service == service {
			names = append(names, name)
		}
	}
	return names
}
