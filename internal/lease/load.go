package lease

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
)

const (
	// pollCheckInterval is the interval at which the leader checks which
	// targets are due for a load request.
	pollCheckInterval = 100 * time.Millisecond
	// pollInterval is the interval of load requests to one target. At 107
	// targets in a region, one request takes about a tenth of a millisecond of
	// a core.
	pollInterval = time.Second
	// urgentPollInterval is the same while a report could free slots.
	urgentPollInterval = 200 * time.Millisecond
	// pollTimeout bounds one load request.
	pollTimeout = 500 * time.Millisecond
	// maxConcurrentPolls bounds the load requests in flight.
	maxConcurrentPolls = 32
	// maxLoadBody bounds the body of a load report. Unit: bytes.
	maxLoadBody = 4096
)

// LoadReport is the response of a target's load endpoint.
type LoadReport struct {
	Running      int     `json:"running"`
	Queued       int     `json:"queued"`
	Capacity     int     `json:"capacity"`
	CachedTokens float64 `json:"cached_tokens"`
	AgeMs        int64   `json:"age_ms"`
	FencingToken uint64  `json:"fencing"`
}

// LoadClient fetches the load of the target at an address.
type LoadClient interface {
	TargetLoad(ctx context.Context, address string) (LoadReport, error)
}

type loadClient struct{ http *http.Client }

// NewLoadClient returns a LoadClient that requests load reports over HTTP.
func NewLoadClient(c *http.Client) LoadClient { return loadClient{c} }

// TargetLoad implements LoadClient.
func (c loadClient) TargetLoad(ctx context.Context, address string) (LoadReport, error) {
	var r LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return r, errors.Wrap(err, "build load request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return r, errors.Wrap(err, "send load request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, errors.Newf("load request: unexpected HTTP status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBody)).Decode(&r); err != nil {
		return r, errors.Wrap(err, "decode load report")
	}
	if r.Running < 0 || r.Queued < 0 || r.AgeMs < 0 {
		return r, errors.New("load report: negative value")
	}
	return r, nil
}

// poll is the state of load requests to one target.
type poll struct {
	inFlight bool
	lastSent time.Duration // lower clock reading
}

// pollLoads starts the load requests that are due for targets of the shards
// that this instance leads.
func (m *Manager) pollLoads(ctx context.Context, cfg *config.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.c.Clock.Now()
	running := 0
	for _, p := range m.mu.polls {
		if p.inFlight {
			running++
		}
	}
	for _, lease := range m.c.Leadership.HeldLeases(now) {
		l := m.ledger(now, lease)
		region := cfg.Regions[lease.Shard.Region]
		for name, target := range cfg.Targets {
			if target.Kind != config.Engine || target.Region != lease.Shard.Region || region == nil || leadership.ShardFor(region, name) != lease.Shard {
				continue
			}
			if running >= maxConcurrentPolls {
				return
			}
			if m.startPoll(ctx, now, l, target) {
				running++
			}
		}
	}
}

// startPoll requests the load of one target if that is due, and reports whether
// it did. The caller holds m.mu.
func (m *Manager) startPoll(ctx context.Context, now clock.Reading, l *Ledger, target *config.Target) bool {
	p := m.mu.polls[target.Name]
	if p == nil {
		p = &poll{lastSent: now.Lower - pollInterval}
		m.mu.polls[target.Name] = p
	}
	interval := pollInterval
	if l.HasUnaccountedSlots(target.Name) {
		interval = urgentPollInterval
	}
	if p.inFlight || now.Lower-p.lastSent < interval {
		return false
	}
	p.inFlight, p.lastSent = true, now.Lower
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		m.pollTarget(ctx, l, target, p)
	}()
	return true
}

func (m *Manager) pollTarget(ctx context.Context, l *Ledger, target *config.Target, p *poll) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := m.c.Clock.Now()
	report, err := m.c.LoadClient.TargetLoad(ctx, target.Address)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.inFlight = false
	if err != nil {
		m.c.Log.Emit(event.LoadRequestFailed, zap.String("target", target.Name), zap.Error(err))
		return
	}
	m.recordFencingToken(l.shard, report.FencingToken)
	cfg := m.c.ConfigSource.Current()
	if m.mu.ledgers[l.shard] != l || cfg == nil {
		return
	}
	age := clock.ForGrantor(time.Duration(report.AgeMs) * time.Millisecond)
	l.RecordLoad(m.c.Clock.Now(), cfg, target.Name, Load{
		Running: report.Running, Queued: report.Queued, CachedTokens: report.CachedTokens,
		SampledAt: sent.Lower - age,
	})
}

// HighestFencingToken returns the highest fencing token that the shard's
// targets reported.
func (m *Manager) HighestFencingToken(shard leadership.Shard) uint64 {
	m.fencingTokens.Lock()
	defer m.fencingTokens.Unlock()
	return m.fencingTokens.highest[shard]
}

func (m *Manager) recordFencingToken(shard leadership.Shard, token uint64) {
	m.fencingTokens.Lock()
	defer m.fencingTokens.Unlock()
	m.fencingTokens.highest[shard] = max(m.fencingTokens.highest[shard], token)
}
