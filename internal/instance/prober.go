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
	// probeInterval is the pause between health checks of a target that is down;
	// each one is paid for.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
)

// prober checks the health of targets that requests found unreachable.
type prober struct {
	catalog *catalog.Manager
	tracker *placement.Tracker
	log     *event.Logger
	http    *http.Client
	signal  chan struct{}
}

func newProber(c *catalog.Manager, t *placement.Tracker, log *event.Logger) *prober {
	return &prober{catalog: c, tracker: t, log: log, signal: make(chan struct{}, 1), http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: probeTimeout}).DialContext, DisableKeepAlives: true,
	}, Timeout: probeTimeout}}
}

// wake makes the prober look at a target that was just found down.
func (p *prober) wake(string) {
	select {
	case p.signal <- struct{}{}:
	default:
	}
}

// Run checks targets that are down until ctx ends.
func (p *prober) Run(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-p.signal:
		}
		var wg sync.WaitGroup
		for _, id := range p.tracker.DownTargets(time.Now()) {
			wg.Go(func() { p.check(ctx, id) })
		}
		wg.Wait()
	}
}

func (p *prober) check(ctx context.Context, id string) {
	v := p.catalog.Current()
	e := v.Targets[id]
	if e == nil || v.Config == nil || v.Config.Services[e.Service] == nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+v.Config.Services[e.Service].HealthPath, nil)
	if err != nil {
		p.log.Emit(event.TargetEntryBad, zap.String("target", id), zap.Error(err))
		return
	}
	res, err := p.http.Do(req)
	if err != nil {
		return // still down
	}
	_ = res.Body.Close()
	h := platform.ParseHealth(res.StatusCode, res.Header)
	if !h.Healthy || h.TargetID != id {
		return
	}
	p.tracker.SetHealthy(id, h.WarmupLeft, time.Now())
	p.log.Emit(event.TargetRegained, zap.String("target", id), zap.Duration("warmup_left", h.WarmupLeft))
}
