package dispatch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	// recheckInterval is how often running requests are checked against the
	// configuration in force.
	recheckInterval = time.Second
	// defaultRequestTimeout applies if the settings give no RequestTimeout.
	defaultRequestTimeout = 10 * time.Minute
	// maxAttempts bounds the consecutive attempts of one request that make no
	// progress.
	maxAttempts = 3
)

// LocalDispatcher runs requests on targets of the local region.
type LocalDispatcher struct {
	LocalConfig
	transport *httpclient.Transport
	mu        struct {
		sync.Mutex
		running       map[*run]struct{}
		checkedConfig *config.Config
	}
}

// NewLocalDispatcher returns a LocalDispatcher. Run RunRechecks in a goroutine
// beside it.
func NewLocalDispatcher(cfg LocalConfig) *LocalDispatcher {
	l := &LocalDispatcher{LocalConfig: cfg, transport: newTransport()}
	l.mu.running = map[*run]struct{}{}
	return l
}

// RunRechecks rechecks running requests every second until ctx ends.
func (l *LocalDispatcher) RunRechecks(ctx context.Context) error {
	t := time.NewTicker(recheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			l.RecheckRunning()
		}
	}
}

// RecheckRunning ends the running requests that the newest configuration forbids.
// A request that starts at the same time reads the newest configuration itself,
// right before it is sent.
func (l *LocalDispatcher) RecheckRunning() {
	cfg := l.ConfigSource.Current()
	for _, r := range l.runsToRecheck(cfg) {
		r.recheck(cfg)
	}
}

// runsToRecheck returns the running requests, or nil if cfg was already applied
// to them.
func (l *LocalDispatcher) runsToRecheck(cfg *config.Config) []*run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cfg == nil || cfg == l.mu.checkedConfig {
		return nil
	}
	l.mu.checkedConfig = cfg
	return slices.Collect(maps.Keys(l.mu.running))
}

func (l *LocalDispatcher) track(r *run) (untrack func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mu.running[r] = struct{}{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.mu.running, r)
	}
}

// Do runs a call in the local region. The error is a *result.Error.
func (l *LocalDispatcher) Do(ctx context.Context, c *Call, sink Sink) (Outcome, error) {
	return l.do(ctx, c, sink, nil)
}

// do runs a call; fwd is nil if the call must not be forwarded.
func (l *LocalDispatcher) do(ctx context.Context, c *Call, sink Sink, fwd forwarder) (Outcome, error) {
	l.RetryBudget.RecordRequest()
	ctx, stop := l.withRequestTimeout(ctx)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &run{local: l, forwarder: fwd, call: c, sink: sink, ctx: ctx, cancel: cancel, exclude: map[string]bool{}, suspects: c.Suspects(),
		attempts: c.Attempts, deliveredTokens: c.ResumeTokens}
	defer l.track(r)()
	err := r.runAttempts(ctx)
	r.settle(err == nil)
	r.outcome.Attempts = r.attempts - c.Attempts
	if err != nil {
		final := r.finalError(err)
		l.Requests.AddStep(c.ID, "refused or failed", final.Error())
		return r.outcome, final
	}
	return r.outcome, nil
}

// withRequestTimeout bounds a call by the request timeout of the settings.
func (l *LocalDispatcher) withRequestTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if l.Bounds.RequestTimeout > 0 {
		return context.WithTimeout(ctx, l.Bounds.RequestTimeout)
	}
	return context.WithTimeout(ctx, defaultRequestTimeout)
}

// maxRun returns the longest run time of one attempt, or 0 if it has no bound.
func maxRun(cfg *config.Config, p auth.Permit) time.Duration {
	if m := cfg.Models[p.Model]; m != nil {
		return m.MaxRun
	}
	if s := cfg.Services[p.Service]; s != nil {
		return s.MaxRun
	}
	return 0
}

// currentPermit returns the configuration in force and the permit under it, or an
// error that says why the instance or the configuration does not allow the
// request now.
func (l *LocalDispatcher) currentPermit(c *Call, suspects []crash.Suspect) (*config.Config, auth.Permit, error) {
	if err := l.Gate.Check(); err != nil {
		return nil, c.Permit, err
	}
	cfg := l.ConfigSource.Current()
	if cfg == nil {
		return nil, c.Permit, result.New(result.NotReady, result.NotRun, "the instance has no edition yet")
	}
	if cause := l.Crashes.Blocked(suspects); cause != nil {
		l.Trail.Add(audit.Change{At: time.Now(), Kind: audit.RequestBlocked, Subject: c.ID, Team: c.Permit.Team,
			Reason: fmt.Sprint("crashed targets: ", cause), Revision: cfg.Revision})
		return nil, c.Permit, result.New(result.RequestBlocked, result.NotRun, "this request or a part of its prompt crashed targets")
	}
	p, err := auth.Recheck(cfg, c.Permit)
	if err == nil && c.Prepaid && !p.AllowedRegions[l.Instance.Region] {
		err = result.New(result.HopRefused, result.NotRun, "residency no longer allows this region")
	}
	return cfg, p, err
}
