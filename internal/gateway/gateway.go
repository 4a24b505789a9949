package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/intake"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/quota"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/settings"
	"github.com/wigeonhill/wigeonhill/internal/targetconn"
)

const (
	// maxAttempts bounds the attempts at targets and regions for one request,
	// without those that failure.uncounted excepts.
	maxAttempts = 4
	// notReadyRetryAfter is the Retry-After of errors that are expected to pass
	// soon, such as those of an instance that has just started.
	notReadyRetryAfter = 300 * time.Millisecond
	// responseMemoryFraction is the fraction of the instance's memory that may be
	// reserved for what is held of all responses together.
	responseMemoryFraction = 0.01
	// unresponsiveFactor is the multiple of the first-byte objective, and
	// unresponsiveFraction the fraction of the time left, after which a retryable
	// request without a response is sent to another target. The later of the two
	// applies.
	unresponsiveFactor   = 2
	unresponsiveFraction = 0.5
)

// Members lists the other instances.
type Members interface{ Members() []heartbeat.Member }

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Self        *peerv1.Identity
	Settings    *deployment.Settings
	Catalog     *catalog.Manager
	Members     Members
	Clients     *peerapi.Clients
	Tracker     *placement.Tracker
	Quota       *quota.Limiter
	RetryBudget *RetryBudget
	Crashes     *crash.Tracker
	// OnTargetDown is called when a target starts to be avoided because it is
	// unreachable, its connection broke, or another target has its address.
	OnTargetDown func(target string)
	Metrics      *Metrics
	// Intake is the memory for bodies; nil for a budget of its own.
	Intake *intake.Budget
	Log    *event.Logger
}

// Gateway serves the requests of callers, and those that other instances forward.
type Gateway struct {
	Config
	targetConns    *targetconn.Pool
	targetShare    connShare
	urgency        atomic.Pointer[urgency]
	responseMemory *dispatch.MemoryBudget
	draining       atomic.Bool
	refusing       atomic.Bool // the last part of the drain, without new requests
	// cutoff ends shortly before the drain does.
	cutoff          context.Context
	cutOff          context.CancelFunc
	runningRequests atomic.Int64
	crashReporter   crashReporter
}

// New returns a Gateway that uses the settings and dependencies in cfg.
func New(cfg Config) *Gateway {
	g := &Gateway{Config: cfg}
	if g.Intake == nil {
		g.Intake = NewIntakeBudget(cfg.Settings)
	}
	g.targetConns = g.newTargetConns()
	g.responseMemory = dispatch.NewMemoryBudget(settings.Bounds{ProcessBuffer: int64(responseMemoryFraction * float64(cfg.Settings.MemoryBytes))})
	g.cutoff, g.cutOff = context.WithCancel(context.Background())
	return g
}

// BufferedBodyBytes returns the memory reserved for request bodies and heads, in bytes,
// those of forwarded requests included.
func (g *Gateway) BufferedBodyBytes() int64 { return g.Intake.Used() }

// BufferedResponseBytes returns the memory reserved for responses that are held until
// they are passed on, in bytes.
func (g *Gateway) BufferedResponseBytes() int64 { return g.responseMemory.ReservedBytes() }

// close releases the memory of the response.
func (d *delivery) close() { d.setFallback(nil) }

// setFallback replaces the response that is passed on if no target does better.
func (d *delivery) setFallback(b *bufferedResponse) {
	if d.fallback != nil {
		d.fallback.release()
	}
	d.fallback = b
}

// delivery is the state of the response to one request over all attempts. Close it.
type delivery struct {
	sink sink
	// started is set once the response was begun at the sink; its head cannot be
	// replaced from then on.
	started bool
	// lastEventID is the id of the last event of a stream that was passed on.
	lastEventID string
	// resumable is set while the part that was passed on is an event stream up to
	// the end of an event whose id is lastEventID, or to its beginning.
	resumable bool
	// fallback is a whole 5xx response of a target, kept while another target is
	// tried and passed on if none does better.
	fallback     *bufferedResponse
	target       string
	remoteRegion string
	// framing is that of the last response; empty before the first one.
	framing framing
	// succeeded is set if the last response has a status of success.
	succeeded bool
	// onResponding is called when the target of the current attempt has written
	// crash.RespondingEvents events; nil for another region.
	onResponding func()
	// expectedDelay is the delay predicted for the last placement.
	expectedDelay time.Duration
	firstByteAt   time.Time
	// lastEventAt is when the last event was passed on, longestGap the longest time
	// between two events.
	lastEventAt time.Time
	longestGap  time.Duration
}

// bufferedResponse is a response whose body is held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   *dispatch.ResponseBuffer
	target string
	// memory is what is reserved for the body.
	memory *dispatch.Reservation
}

func (b *bufferedResponse) release() {
	b.body.Free()
	b.memory.Close()
}

// serveCall tries targets and regions until one responds, the rules for retries
// forbid another attempt, or the deadline passes. The error is a *result.Error
// or a sinkError.
func (g *Gateway) serveCall(ctx context.Context, c *call, d *delivery) error {
	exclude := map[string]bool{}
	var last *failure
	for {
		choice, v, err := g.choosePlacement(c, exclude)
		if err != nil {
			return g.finishFailed(c, d, last, err)
		}
		shared, _ := placement.SharedPrefix(c.PromptParts)
		g.Log.Emit(event.RequestPlaced, zap.String("request", c.ID), zap.String("route", c.route.Name), zap.String("service", c.service),
			zap.String("target", choice.Target), zap.String("region", choice.Region), zap.String("fetch_from", choice.FetchFrom),
			zap.Duration("expected", choice.Delay), zap.String("reason", choice.Reason), zap.String("shared", shared), zap.Bool("cached", choice.Cached), zap.Bool("warming_up", choice.WarmingUp),
			zap.Int("sends", c.failedAttempts), zap.Int64("revision", v.TargetsRevision.Number), zap.Int64("era", v.TargetsRevision.Era),
			zap.String("source", v.TargetsSource), zap.Duration("targets_age", time.Since(v.TargetsReadAt)))
		f := g.attempt(ctx, v, c, choice, d)
		g.Metrics.recordAttempt(f, choice.Delay)
		if f == nil {
			return nil
		}
		if f.err.Ran == result.MayHaveRun {
			c.possibleRuns++
		}
		if !f.uncounted {
			c.failedAttempts++
		}
		last = f
		exclude[placeOf(choice)] = true
		if !g.canRetry(ctx, c, d, f) {
			return g.finishFailed(c, d, f, f.err)
		}
		g.Log.Emit(event.RequestRetried, zap.String("request", c.ID), zap.String("target", choice.Target), zap.String("region", choice.Region),
			zap.Stringer("ran", f.err.Ran), zap.String("reason", f.err.Message), zap.Int("sent", c.possibleRuns), zap.String("framing", string(d.framing)))
	}
}

// placeOf returns the name under which the target or region of a choice is excluded
// from further attempts.
func placeOf(c placement.Choice) string { return c.Target + c.Region }

// choosePlacement decides where the next attempt runs, using the newest state of
// the catalog, which it returns.
func (g *Gateway) choosePlacement(c *call, exclude map[string]bool) (placement.Choice, *catalog.View, error) {
	v := g.Catalog.Current()
	if err := c.resolve(v); err != nil {
		return placement.Choice{}, v, err
	}
	if err := g.checkBlocked(c); err != nil {
		return placement.Choice{}, v, err
	}
	now := time.Now()
	var members []heartbeat.Member
	if !c.forwarded {
		members = g.Members.Members()
	}
	d := g.decide(g.Tracker, v, c, g.placementQuery(v, c, now), exclude, members, now)
	return d.choice, v, d.refusal()
}

// checkBlocked returns the error for a call that may crash targets, nil for others.
func (g *Gateway) checkBlocked(c *call) error {
	if cause := g.Crashes.Blocked(c.suspects()); cause != nil {
		return result.New(result.RequestBlocked, result.NotRun, "this request or a part of its prompt crashed targets: %v", cause)
	}
	return nil
}

// decision is where an attempt runs, and what that was decided by.
type decision struct {
	choice  placement.Choice
	query   *placement.Query
	targets []placement.TargetView
	regions []placement.RegionView
}

// decide decides where the next attempt of a resolved call runs. q is what
// placementQuery returned for it; tracker is that of the gateway, or a copy. members are
// the other instances; no decision about a forwarded call needs them.
func (g *Gateway) decide(tracker *placement.Tracker, v *catalog.View, c *call, q *placement.Query, exclude map[string]bool, members []heartbeat.Member, now time.Time) decision {
	team := v.Config.Teams[c.team]
	d := decision{query: q, targets: tracker.Targets(v, c.service, q.PrefixKey, exclude, now)}
	if !c.forwarded {
		d.regions = g.remoteRegions(c, team, exclude, members)
		q.PrefixOwnerRegion = tracker.PrefixOwnerRegion(v, c.service, q.PrefixKey, func(region string) bool { return deployment.RegionAllowed(c.route, team, region) })
	}
	d.choice = placement.Choose(q, d.targets, d.regions, tracker.Model(v.Config.Services[c.service]))
	return d
}

// refusal returns the error of a decision against every target and region, nil for
// other decisions.
func (d *decision) refusal() error {
	if d.choice.Target != "" || d.choice.Region != "" {
		return nil
	}
	return result.New(result.NoSlot, result.NotRun, "%s: %d targets here, %d other regions, expected delay %s",
		d.choice.Reason, len(d.targets), len(d.regions), d.choice.Delay.Round(time.Millisecond)).WithRetryAfter(d.choice.RetryAfter)
}
