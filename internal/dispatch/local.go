package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	// checkEvery is how often running requests are checked against the edition.
	checkEvery = time.Second
	// defaultTimeout applies where the settings give no RequestTimeout.
	defaultTimeout = 10 * time.Minute
	// maxAttempts bounds the attempts without progress of one request.
	maxAttempts = 3
)

// LocalDispatcher runs requests on targets of the own region.
type LocalDispatcher struct {
	LocalConfig
	transports *transports
	mu         struct {
		sync.Mutex
		running map[*run]struct{}
		checked *config.Config
	}
}

// NewLocalDispatcher returns a Local. RunChecks must run beside it.
func NewLocalDispatcher(cfg LocalConfig) *LocalDispatcher {
	l := &LocalDispatcher{LocalConfig: cfg, transports: newTransports(cfg.Bounds)}
	l.mu.running = map[*run]struct{}{}
	return l
}

// RunRechecks checks running requests every second until ctx ends.
func (l *LocalDispatcher) RunRechecks(ctx context.Context) error {
	t := time.NewTicker(checkEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			l.transports.shared.CloseIdleConnections()
			return nil
		case <-t.C:
			l.RecheckRunning()
		}
	}
}

// RecheckRunning ends the running requests that the newest edition forbids. A
// request that starts at the same time sees the newest edition itself, right
// before its dispatch.
func (l *LocalDispatcher) RecheckRunning() {
	e := l.ConfigSource.Current()
	for _, r := range l.unchecked(e) {
		r.recheck(e)
	}
}

// unchecked returns the running requests if e was not yet applied to them.
func (l *LocalDispatcher) unchecked(e *config.Config) []*run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e == nil || e == l.mu.checked {
		return nil
	}
	l.mu.checked = e
	return slices.Collect(maps.Keys(l.mu.running))
}

func (l *LocalDispatcher) enlist(r *run) (leave func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mu.running[r] = struct{}{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.mu.running, r)
	}
}

// Do runs a call in the own region. The error is a *result.Error.
func (l *LocalDispatcher) Do(ctx context.Context, c *Call, sink Sink) (Outcome, error) {
	return l.do(ctx, c, sink, nil)
}

// do runs a call; h is nil where no hop may be made.
func (l *LocalDispatcher) do(ctx context.Context, c *Call, sink Sink, h hop) (Outcome, error) {
	l.RetryBudget.RecordRequest()
	ctx, stop := l.bounded(ctx)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &run{l: l, hop: h, c: c, sink: sink, ctx: ctx, cancel: cancel, exclude: map[string]bool{}, fingerprint: c.Fingerprint(),
		attempts: c.Attempts, delivered: c.ResumeTokens}
	defer l.enlist(r)()
	err := r.loop(ctx)
	r.settle(err == nil)
	r.out.Attempts = r.attempts - c.Attempts
	if err != nil {
		final := r.conclude(err)
		l.Requests.Note(c.ID, "refused or failed", final.Error())
		return r.out, final
	}
	return r.out, nil
}

// bounded ends a call after the longest time that settings allow.
func (l *LocalDispatcher) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if l.Bounds.RequestTimeout > 0 {
		return context.WithTimeout(ctx, l.Bounds.RequestTimeout)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// maxRun is the longest run time of one attempt.
func maxRun(e *config.Config, p auth.Permit) time.Duration {
	if m := e.Models[p.Model]; m != nil {
		return m.MaxRun
	}
	if s := e.Services[p.Service]; s != nil {
		return s.MaxRun
	}
	return 0
}

// current returns the edition and the permit by it, or why the instance or the
// edition does not allow the request now.
func (l *LocalDispatcher) current(c *Call, f Fingerprint) (*config.Config, auth.Permit, error) {
	if err := l.Gate.Check(); err != nil {
		return nil, c.Permit, err
	}
	e := l.ConfigSource.Current()
	if e == nil {
		return nil, c.Permit, result.New(result.NotReady, result.NotRun, "the instance has no edition yet")
	}
	if l.CrashSuspects.Blocked(f) {
		l.Trail.Add(audit.Change{At: time.Now(), Kind: audit.RequestBlocked, Subject: c.ID, Team: c.Permit.Team,
			Reason: "fingerprint " + f.String(), Revision: e.Revision})
		return nil, c.Permit, result.New(result.FingerprintBlock, result.NotRun, "this request crashed targets")
	}
	p, err := auth.Recheck(e, c.Permit)
	if err == nil && c.Prepaid && !p.Allowed[l.Instance.Region] {
		err = result.New(result.HopRefused, result.NotRun, "residency no longer allows this region")
	}
	return e, p, err
}
