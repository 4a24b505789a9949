package instance

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// probeTimeout bounds one health check.
	probeTimeout = 700 * time.Millisecond
	// maxProbeHeadBytes bounds the head of the response to a health check.
	maxProbeHeadBytes = 8 << 10
	// unconfirmedCheckInterval is the interval between looks for targets that are to be
	// checked because the list of targets is unconfirmed.
	unconfirmedCheckInterval = 50 * time.Millisecond
)

// probeClientConfig is for health checks. Their bodies are not read.
var probeClientConfig = httpclient.Config{ConnectTimeout: probeTimeout, CallTimeout: probeTimeout, MaxHead: maxProbeHeadBytes}

// prober runs health checks of targets that requests found unreachable.
type prober struct {
	catalog *catalog.Manager
	tracker *placement.Tracker
	log     *event.Logger
	client  *http.Client
	wakeup  chan struct{}
}

func newProber(c *catalog.Manager, t *placement.Tracker, log *event.Logger) *prober {
	return &prober{catalog: c, tracker: t, log: log, wakeup: make(chan struct{}, 1), client: httpclient.New(probeClientConfig)}
}

// wake makes the prober look at once for targets that are down.
func (p *prober) wake(string) {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// Run checks the targets that are down until ctx is done, and others while the list of
// targets is unconfirmed.
func (p *prober) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.checkUnconfirmed(ctx) })
	runProbes(ctx, p.tracker.DownTargets, p.wakeup, p.check)
	return nil
}

// runProbes calls check for the targets that down returns, as probeSchedule decides,
// until ctx is done.
func runProbes(ctx context.Context, down func(now time.Time) []string, wakeup <-chan struct{}, check func(ctx context.Context, id string)) {
	schedule, ended := newProbeSchedule(), make(chan string, maxConcurrentProbes)
	var checks sync.WaitGroup
	defer checks.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-ended:
			schedule.end(id, time.Now())
		case <-wakeup:
			timer.Reset(schedule.refresh(down(time.Now()), time.Now()))
		case <-timer.C:
			timer.Reset(schedule.refresh(down(time.Now()), time.Now()))
		}
		for _, id := range schedule.start(time.Now()) {
			checks.Go(func() {
				check(ctx, id)
				ended <- id
			})
		}
	}
}

func (p *prober) check(ctx context.Context, id string) {
	health, ok := p.healthOf(ctx, id)
	if !ok || !health.Healthy {
		return // still down
	}
	p.tracker.SetHealthy(id, health.WarmupLeft, time.Now())
	p.log.Emit(event.TargetRecovered, zap.String("target", id), zap.Duration("warmup_left", health.WarmupLeft))
}

// checkUnconfirmed checks the targets that the tracker asks for while the list of
// targets is unconfirmed, until ctx is done.
func (p *prober) checkUnconfirmed(ctx context.Context) {
	tick := time.NewTicker(unconfirmedCheckInterval)
	defer tick.Stop()
	var checks sync.WaitGroup
	defer checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		// None is due again before it has ended, which bounds those in flight.
		for _, id := range p.tracker.ChecksDue(p.catalog.Current(), time.Now()) {
			checks.Go(func() { p.checkWarm(ctx, id) })
		}
	}
}

// checkWarm checks whether a target is warming up.
func (p *prober) checkWarm(ctx context.Context, id string) {
	startedAt := time.Now()
	health, ok := p.healthOf(ctx, id)
	if p.tracker.SetChecked(id, ok && health.Healthy, health.WarmupLeft, startedAt, time.Now()) {
		p.log.Emit(event.TargetFoundCold, zap.String("target", id), zap.Duration("warmup_left", health.WarmupLeft))
	}
}

// healthOf makes a health check. ok is false if the target did not answer it.
func (p *prober) healthOf(ctx context.Context, id string) (health platform.Health, ok bool) {
	view := p.catalog.Current()
	entry := view.Targets[id]
	if entry == nil || view.Config == nil || view.Config.Services[entry.Service] == nil {
		return health, false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Address+view.Config.Services[entry.Service].HealthPath, nil)
	if err != nil {
		p.log.Emit(event.TargetEntryInvalid, zap.String("target", id), zap.Error(err))
		return health, false
	}
	res, err := p.client.Do(req)
	if err != nil {
		if !isConnectionError(err) {
			p.log.Emit(event.HealthCheckInvalid, zap.String("target", id), zap.Error(err))
		}
		return health, false
	}
	_ = res.Body.Close()
	health = platform.ParseHealth(res.StatusCode, res.Header)
	if health.TargetID != id {
		return health, false
	}
	if health.Leaving && p.tracker.SetLeaving(id, time.Now()) {
		p.log.Emit(event.TargetSaysLeaving, zap.String("target", id), zap.Int("status", res.StatusCode), zap.Bool("listed_leaving", entry.Leaving))
	}
	return health, true
}

// isConnectionError reports whether a call got no response at all, as is usual with
// a target that is down.
func isConnectionError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, io.EOF) || errors.Is(err, context.Canceled) || os.IsTimeout(err)
}

// logPacing logs the targets whose pacing has begun or ended.
func (i *Instance) logPacing() {
	for _, c := range i.tracker.PaceChanges() {
		if c.Ended {
			i.log.Emit(event.TargetFullLoad, zap.String("target", c.Target), zap.String("cause", string(c.Cause)), zap.Duration("lasted", c.Lasted))
		} else {
			i.log.Emit(event.TargetPaced, zap.String("target", c.Target), zap.String("cause", string(c.Cause)), zap.Int("window", c.Size))
		}
	}
}

// noteListAge passes on when the store last confirmed the list of targets, to this
// instance or to another that it answers. When it does so again, the list is read at
// once, since it may have changed meanwhile.
func (i *Instance) noteListAge(members []heartbeat.Member) {
	_, age := i.catalog.Ages()
	confirmedAt := time.Now().Add(-age)
	for _, m := range members {
		if storeAnswers(m) && m.LastSeen.After(confirmedAt) {
			confirmedAt = m.LastSeen
		}
	}
	changed, confirmed, lasted := i.tracker.SetListConfirmed(confirmedAt, time.Now())
	switch {
	case !changed:
	case confirmed:
		i.catalog.Refresh()
		i.log.Emit(event.TargetListConfirmed, zap.Duration("lasted", lasted))
	default:
		i.log.Emit(event.TargetListUnconfirmed)
	}
}
