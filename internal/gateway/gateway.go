package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/quota"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	// maxSends bounds the targets and regions that one request is offered to.
	maxSends = 4
	// notReadyPause is when an instance that has just started is worth another try.
	notReadyPause = 300 * time.Millisecond
	// roundTrip between regions, until it is measured; the largest of today's
	// deployments.
	roundTrip = 120 * time.Millisecond
	// silentFactor is the multiple of the objective, and silentPart the part of
	// the time left, after which a repeatable request without an answer is sent to
	// another target.
	silentFactor = 2
	silentPart   = 0.5
)

// Members are the other instances.
type Members interface{ Members() []heartbeat.Member }

// Config is what a Gateway needs.
type Config struct {
	Self          *peerv1.Identity
	Settings      *deployment.Settings
	Catalog       *catalog.Manager
	Members       Members
	Clients       *peerapi.Clients
	Tracker       *placement.Tracker
	Quota         *quota.Limiter
	RetryBudget   *RetryBudget
	CrashSuspects *dispatch.Suspects
	// OnTargetDown is called after a target was found unreachable or lost, with the
	// request that ran there in the latter case.
	OnTargetDown func(target string)
	Metrics      *Metrics
	Log          *event.Logger
}

// Gateway serves requests.
type Gateway struct {
	Config
	targets  http.RoundTripper
	memory   atomic.Int64 // bytes of request bodies held
	draining atomic.Bool
	running  atomic.Int64
}

// New returns a Gateway.
func New(cfg Config) *Gateway { return &Gateway{Config: cfg, targets: newTargetTransport()} }

// BufferedBodyBytes is the memory held for the bodies of requests, in bytes.
func (g *Gateway) BufferedBodyBytes() int64 { return g.memory.Load() }

// delivery is the state of an answer over all attempts.
type delivery struct {
	sink sink
	// begun is set once a byte of the answer was passed on.
	begun bool
	// lastEvent is the last event of a stream that was passed on.
	lastEvent string
	// fallback is a failure that a target answered, kept while another target is
	// tried.
	fallback *buffered
	target   string
	away     string
	// expected is the delay that the choice of the last place expected.
	expected time.Duration
	first    time.Time
	// lastAt is when the last event was passed on, longestGap the longest pause
	// between two.
	lastAt     time.Time
	longestGap time.Duration
}

// buffered is a whole answer.
type buffered struct {
	status int
	header http.Header
	body   []byte
	target string
}

// run serves a call: it tries targets and regions until one answers, the rules
// forbid another attempt, or the deadline ends it. The error is a *result.Error
// or callerGone.
func (g *Gateway) run(ctx context.Context, c *call, d *delivery) error {
	exclude := map[string]bool{}
	var last *failure
	for {
		choice, v, err := g.choose(c, exclude)
		if err != nil {
			return g.settle(c, d, last, err)
		}
		shared, _ := placement.SharedPrefix(c.PromptParts)
		g.Log.Emit(event.RequestPlaced, zap.String("request", c.ID), zap.String("route", c.route.Name), zap.String("service", c.service),
			zap.String("target", choice.Target), zap.String("region", choice.Region), zap.String("fetch_from", choice.FetchFrom),
			zap.Duration("expected", choice.Delay), zap.String("reason", choice.Reason), zap.String("shared", shared), zap.Bool("cached", choice.Cached),
			zap.Int("sends", c.sends), zap.Int64("revision", v.TargetsRevision))
		f := g.attempt(ctx, v, c, choice, d)
		g.Metrics.attempt(f, choice.Delay)
		if f == nil {
			return nil
		}
		if f.err.Ran == result.MayHaveRun {
			c.sent++
		}
		if !f.free {
			c.sends++
		}
		last = f
		exclude[choice.Target+choice.Region] = true
		if !g.again(ctx, c, d, f) {
			return g.settle(c, d, f, f.err)
		}
		g.Log.Emit(event.RequestRetried, zap.String("request", c.ID), zap.String("target", choice.Target), zap.String("region", choice.Region),
			zap.Stringer("ran", f.err.Ran), zap.String("reason", f.err.Message), zap.Int("sent", c.sent))
	}
}

// choose decides where a call runs next, by the newest state of the catalog.
func (g *Gateway) choose(c *call, exclude map[string]bool) (placement.Choice, *catalog.View, error) {
	v := g.Catalog.Current()
	if err := c.resolve(v); err != nil {
		return placement.Choice{}, v, err
	}
	if g.CrashSuspects.Blocked(c.fingerprint()) {
		return placement.Choice{}, v, result.New(result.FingerprintBlock, result.NotRun, "this request crashed targets")
	}
	now := time.Now()
	team := v.Config.Teams[c.team]
	q := c.query(g.Settings.Region, team, now)
	targets := g.Tracker.Targets(v, c.service, q.PrefixKey, exclude, now)
	var regions []placement.RegionView
	if !c.hop {
		regions = g.regions(c, team, exclude)
		q.PrefixOwnerRegion = g.Tracker.PrefixOwnerRegion(v, c.service, q.PrefixKey, func(region string) bool { return deployment.RegionAllowed(c.route, team, region) })
	}
	choice := placement.Choose(q, targets, regions, placement.LatencyModelOf(v.Config.Services[c.service]))
	if choice.Target == "" && choice.Region == "" {
		return choice, v, result.New(result.NoSlot, result.NotRun, "no place in time: %d targets here, %d other regions, expected delay %s",
			len(targets), len(regions), choice.Delay.Round(time.Millisecond)).WithRetryAfter(choice.RetryAfter)
	}
	return choice, v, nil
}

// regions returns the views of the other regions in which a call may run.
func (g *Gateway) regions(c *call, team *deployment.Team, exclude map[string]bool) []placement.RegionView {
	newest := map[string]placement.RegionView{}
	at := map[string]time.Time{}
	for _, m := range g.Members.Members() {
		region := m.Region()
		if !m.Reachable || !m.Row.GetReady() || region == g.Settings.Region || exclude[region] || !deployment.RegionAllowed(c.route, team, region) || m.LastSeen.Before(at[region]) {
			continue
		}
		r := placement.RegionView{Name: region, RoundTrip: roundTrip}
		for _, p := range m.Row.GetPools() {
			if p.GetService() == c.service {
				r.Delay = time.Duration(p.GetDelayMs()) * time.Millisecond
				r.FreeSlots = int(p.GetCapacity()) - int(p.GetRunning())
			}
		}
		newest[region], at[region] = r, m.LastSeen
	}
	out := make([]placement.RegionView, 0, len(newest))
	for _, r := range newest {
		out = append(out, r)
	}
	return out
}

// again reports whether another attempt may be made after f.
func (g *Gateway) again(ctx context.Context, c *call, d *delivery, f *failure) bool {
	switch {
	case ctx.Err() != nil || c.sends >= maxSends || f.err.Code == result.CallerTooSlow:
		return false
	case d.begun && !c.route.Resumable:
		return false
	case c.hop && f.err.Ran == result.MayHaveRun:
		// The sender counts the targets that ran the request. It would not hear of
		// a second one if the answer broke off.
		return false
	case c.sent > 0 && (!c.route.Retryable() || c.sent >= c.route.MaxTargets):
		return false
	}
	return c.sends == 0 || g.RetryBudget.AllowRetry(c.service)
}

// settle ends a call that gets no further attempt: with the failure that a
// target answered itself, if there is one, or with err, which is made true for
// all attempts together.
func (g *Gateway) settle(c *call, d *delivery, last *failure, err error) error {
	if b := d.fallback; b != nil && !d.begun {
		d.begun, d.target = true, b.target
		if err := d.sink.Head(b.status, b.header, int64(len(b.body)), b.target); err != nil {
			return callerGone{err}
		}
		if err := d.sink.Data(b.body); err != nil {
			return callerGone{err}
		}
		return nil
	}
	e := *result.From(err)
	if c.sent > 0 && e.Ran == result.NotRun {
		e = *last.err
		if e.Ran == result.NotRun {
			e = *result.New(result.TargetFailed, result.MayHaveRun, "an earlier attempt may have run")
		}
	}
	if e.Ran == result.NotRun && e.RetryAfter == 0 && e.Code == result.NoTarget {
		e.RetryAfter = notReadyPause
	}
	return &e
}
