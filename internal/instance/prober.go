package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// probeInterval is the interval between health checks of a target that is
	// down; each check is charged for.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
)

// prober runs health checks of targets that requests found unreachable.
type prober struct {
	catalog *catalog.Manager
	tracker *placement.Tracker
	log     *event.Logger
	client  *http.Client
	wakeup  chan struct{}
}

func newProber(c *catalog.Manager, t *placement.Tracker, log *event.Logger) *prober {
	return &prober{catalog: c, tracker: t, log: log, wakeup: make(chan struct{}, 1), client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: probeTimeout}).DialContext, DisableKeepAlives: true,
	}, Timeout: probeTimeout}}
}

// wake triggers a health check at once, after a target was found down.
func (p *prober) wake(string) {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// Run checks the targets that are down until ctx is done.
func (p *prober) Run(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-p.wakeup:
		}
		var wg sync.WaitGroup
		for _, id := range p.tracker.DownTargets(time.Now()) {
			wg.Go(func() { p.check(ctx, id) })
		}
		wg.Wait()
	}
}

func (p *prober) check(ctx context.Context, id string) {
	view := p.catalog.Current()
	entry := view.Targets[id]
	if entry == nil || view.Config == nil || view.Config.Services[entry.Service] == nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Address+view.Config.Services[entry.Service].HealthPath, nil)
	if err != nil {
		p.log.Emit(event.TargetEntryInvalid, zap.String("target", id), zap.Error(err))
		return
	}
	res, err := p.client.Do(req)
	if err != nil {
		return // still down
	}
	_ = res.Body.Close()
	health := platform.ParseHealth(res.StatusCode, res.Header)
	if health.TargetID != id {
		return
	}
	if health.Leaving && p.tracker.SetLeaving(id, time.Now()) {
		p.log.Emit(event.TargetSaysLeaving, zap.String("target", id), zap.Int("status", res.StatusCode), zap.Bool("listed_leaving", entry.Leaving))
	}
	if !health.Healthy {
		return
	}
	p.tracker.SetHealthy(id, health.WarmupLeft, time.Now())
	p.log.Emit(event.TargetRecovered, zap.String("target", id), zap.Duration("warmup_left", health.WarmupLeft))
}
