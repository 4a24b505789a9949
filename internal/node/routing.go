package node

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
	routing1 "github.com/wigeonhill/wigeonhill/internal/routing"
)

const (
	// A target that failed is avoided for failedFor, doubled with each further
	// failure up to failedMax, so that it is tried again but not by everyone.
	failedFor = time.Second
	failedMax = 16 * time.Second
	// grantorPatience is how long renewals to the own region's grantor may fail
	// before its targets are not chosen: a change of grantor takes about a term
	// and a half, and requests wait that long rather than move.
	grantorPatience = 3 * time.Second
	// grantorProbe bounds one question whether the grantor is back.
	grantorProbe = time.Second
)

// routing connects the choice of targets with the members, the instance list
// and the fate of attempts.
type routing struct {
	region   string
	tracker  *routing1.Tracker
	editions *configversion.Manager
	members  *membership.Manager
	admitter *admission.Manager
	// missing tells for how long a shard's grantor has not answered.
	missing func(leadership.Shard) time.Duration
	loads   lease.TargetLoads
	caches  *cacheWatch
	pools   *dispatch.PoolStatusCache
	now     func() time.Time
	mu      struct {
		sync.Mutex
		failed  map[string]failure // by target
		probing bool
	}
}

type failure struct {
	count int
	until time.Time
}

// Choose implements dispatch.Chooser.
func (r *routing) Choose(q routing1.Query) routing1.Choice {
	e := r.editions.Current()
	if e == nil {
		return routing1.Choice{}
	}
	r.askRegions(q)
	choice := r.tracker.Decide(q, e.Policy)
	if len(choice.Targets) == 0 && choice.Region == "" {
		choice.Targets = waitingTargets(e, r.region, q, r.usable)
		if len(choice.Targets) > 0 {
			choice.Reasons = append(choice.Reasons, "no region gives slots; the request waits for the grantor of its own")
		}
	}
	return choice
}

// usable reports whether a target neither leaves nor failed lately.
func (r *routing) usable(target string) bool {
	r.mu.Lock()
	f := r.mu.failed[target]
	r.mu.Unlock()
	return !r.leaving(target) && !r.now().Before(f.until)
}

// waitingTargets returns the targets of the own region on whose slots a request
// may wait although their grantor is missing: a request that no other region
// may take is better served late than refused.
func waitingTargets(e *config.Config, region string, q routing1.Query, usable func(string) bool) []string {
	if !q.AllowedRegions[region] {
		return nil
	}
	var names []string
	for _, name := range poolTargets(e, region, q.Model, q.Service) {
		if !q.Exclude[name] && usable(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Begin implements dispatch.Watch.
func (r *routing) Begin(q routing1.Query, target, region string, bodyBytes int) func(error) {
	if target == "" {
		ended := r.tracker.RecordForward(q, region, bodyBytes)
		return func(error) { ended() }
	}
	ended := r.tracker.RecordDispatch(q, target)
	return func(err error) {
		ended()
		failed := targetFault(err)
		r.attempted(target, failed)
		if q.Model != "" {
			r.caches.note(target, failed)
		}
	}
}

// targetFault tells a failure of the target from one of the caller or the
// edition, which must not make a healthy target unused.
func targetFault(err error) bool {
	if err == nil {
		return false
	}
	code := result.From(err).Code
	return code == result.TargetFailed || code == result.TargetTimeout
}

// attempted avoids a target for a while after a failure.
func (r *routing) attempted(target string, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, known := r.mu.failed[target]
	switch {
	case !failed && known:
		delete(r.mu.failed, target)
		r.tracker.SetTargetLive(target, !r.leaving(target))
	case failed:
		wait := min(failedFor<<min(f.count, 8), failedMax)
		r.mu.failed[target] = failure{count: f.count + 1, until: r.now().Add(wait)}
		r.tracker.SetTargetLive(target, false)
	}
}

// engineAddress returns the address of an engine of the own region.
func (r *routing) engineAddress(target string) string {
	e := r.editions.Current()
	if e == nil {
		return ""
	}
	if t := e.Targets[target]; t != nil && t.Kind == config.Engine && t.Region == r.region {
		return t.Address
	}
	return ""
}

func (r *routing) leaving(target string) bool {
	list := r.editions.Lists().Current()
	return list != nil && list.LeavingTargets[target]
}

// refresh applies editions, the instance list and expired failures.
func (r *routing) refresh() {
	e := r.editions.Current()
	if e == nil {
		return
	}
	now := r.now()
	r.mu.Lock()
	for name, t := range e.Targets {
		if t.Region == r.region {
			f := r.mu.failed[name]
			granted := r.granted(e, name)
			r.tracker.SetTargetLive(name, granted && !r.leaving(name) && !now.Before(f.until))
			if !granted {
				r.probeLocked(name)
			}
		}
	}
	for name := range r.mu.failed {
		if e.Targets[name] == nil {
			delete(r.mu.failed, name)
		}
	}
	r.mu.Unlock()
	r.tracker.SetPeerCount(len(r.members.Live(r.region)))
	for region := range e.Regions {
		if region != r.region {
			r.tracker.SetRegionReachable(region, len(r.members.Live(region)) > 0)
		}
	}
}

// granted reports whether slots of a target of the own region can be had.
func (r *routing) granted(e *config.Config, target string) bool {
	region := e.Regions[r.region]
	return region != nil && r.missing(leadership.ShardFor(region, target)) < grantorPatience
}

// probeLocked asks for a slot of a target that is not chosen because its
// grantor is missing; without a request for it nobody would notice that the
// grantor is back. The caller holds mu.
func (r *routing) probeLocked(target string) {
	if r.mu.probing {
		return
	}
	r.mu.probing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), grantorProbe)
		defer cancel()
		trySlot(ctx, r.admitter, []string{target})
		r.mu.Lock()
		defer r.mu.Unlock()
		r.mu.probing = false
	}()
}

// Run keeps the beliefs current until ctx ends.
func (r *routing) Run(ctx context.Context) error {
	r.editions.Store().Subscribe(func(_, e *config.Config) { r.tracker.SetConfig(e); r.refresh() })
	r.editions.Lists().Subscribe(func(_, _ *confservice.InstanceList) { r.refresh() })
	r.members.OnChange(func([]membership.Transition) { r.refresh() })
	if e := r.editions.Current(); e != nil {
		r.tracker.SetConfig(e)
	}
	ticker := time.NewTicker(refreshEvery)
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

// refreshEvery bounds how long an expired failure keeps a target unused.
const refreshEvery = 500 * time.Millisecond

// askRegions asks other regions how busy they are for the query's pool, but
// only while the own region lacks slots or targets for it.
func (r *routing) askRegions(q routing1.Query) {
	if q.LocalOnly || !r.short(q) {
		return
	}
	for region := range q.AllowedRegions {
		if region == r.region || q.Exclude[region] {
			continue
		}
		r.pools.Status(region, q.Model, q.Service)
	}
}

// short reports whether requests for the pool wait here or have no target here.
func (r *routing) short(q routing1.Query) bool {
	names := r.tracker.Targets(q.Model, q.Service)
	if len(names) == 0 || !q.AllowedRegions[r.region] {
		return true
	}
	wait, queued := r.admitter.EstimateWait(names)
	return wait > 0 || queued > 0
}

// told passes what another region said to the tracker. A region that did not
// answer is judged by the states of its members.
func (r *routing) told(region, model, service string, s dispatch.PoolStatus) {
	if !s.Reachable {
		return
	}
	r.tracker.SetRegionStatus(routing1.RegionStatus{
		Region: region, Model: model, Service: service,
		Capacity: s.Capacity, Running: s.Running, Queued: s.Queued, QueueWait: s.QueueWait,
	})
}

// PoolStatus implements dispatch.Pools.
func (r *routing) PoolStatus(model, service string) (capacity, running, queued int, wait time.Duration) {
	e := r.editions.Current()
	if e == nil {
		return 0, 0, 0, 0
	}
	names := r.tracker.Targets(model, service)
	for _, name := range names {
		target := e.Targets[name] // nil if the tracker has another edition
		if target == nil || r.leaving(name) {
			continue
		}
		capacity += target.Capacity
		if load, ok := r.loads.Load(name); ok {
			running += load.Running
		}
	}
	wait, queued = r.admitter.EstimateWait(names)
	return capacity, running, queued, wait
}

// poolTargets returns the targets of a region that serve a model or service. It
// passes over all targets of the edition, so it is not for each request; see
// route.Tracker.Targets.
func poolTargets(e *config.Config, region, model, service string) []string {
	var names []string
	for name, t := range e.Targets {
		if t.Region != region {
			continue
		}
		if model != "" && t.Kind == config.Engine && t.Models[model] || service != "" && t.Kind == config.Plain && t.Service == service {
			names = append(names, name)
		}
	}
	return names
}
