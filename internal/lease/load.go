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
	// pollStep is the interval at which the grantor looks for loads to poll.
	pollStep = 100 * time.Millisecond
	// pollEvery is the interval of load requests to one target. At 107 targets
	// in a region, one request takes about a tenth of a millisecond of a core.
	pollEvery = time.Second
	// pollUnsettled is the same while a report could free slots.
	pollUnsettled = 200 * time.Millisecond
	// pollTimeout bounds one load request.
	pollTimeout = 500 * time.Millisecond
	// maxPolls bounds the load requests on their way at one time.
	maxPolls = 32
	// maxLoadBody bounds a load report in bytes.
	maxLoadBody = 4096
)

// LoadReport is the answer of a target's load endpoint.
type LoadReport struct {
	Running      int     `json:"running"`
	Queued       int     `json:"queued"`
	Capacity     int     `json:"capacity"`
	CachedTokens float64 `json:"cached_tokens"`
	AgeMs        int64   `json:"age_ms"`
	FencingToken uint64  `json:"fencing"`
}

// LoadClient reads the load of the target at an address.
type LoadClient interface {
	TargetLoad(ctx context.Context, address string) (LoadReport, error)
}

type loadClient struct{ http *http.Client }

// NewLoadClient returns a LoadSource that asks targets over HTTP.
func NewLoadClient(c *http.Client) LoadClient { return loadClient{c} }

// TargetLoad implements LoadSource.
func (c loadClient) TargetLoad(ctx context.Context, address string) (LoadReport, error) {
	var r LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return r, errors.Wrap(err, "load request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return r, errors.Wrap(err, "load request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, errors.Newf("load request: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBody)).Decode(&r); err != nil {
		return r, errors.Wrap(err, "load report")
	}
	if r.Running < 0 || r.Queued < 0 || r.AgeMs < 0 {
		return r, errors.New("load report: negative value")
	}
	return r, nil
}

// poll is the state of load requests to one target.
type poll struct {
	busy bool
	last time.Duration // lower reading
}

// pollLoads starts the load requests that are due for targets of the shards
// whose grantor this instance is.
func (m *Manager) pollLoads(ctx context.Context, ed *config.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.c.Clock.Now()
	running := 0
	for _, p := range m.mu.polls {
		if p.busy {
			running++
		}
	}
	for _, t := range m.c.Leadership.HeldLeases(now) {
		l := m.ledger(now, t)
		region := ed.Regions[t.Shard.Region]
		for name, target := range ed.Targets {
			if target.Kind != config.Engine || target.Region != t.Shard.Region || region == nil || leadership.ShardFor(region, name) != t.Shard {
				continue
			}
			if running >= maxPolls {
				return
			}
			if m.startPoll(ctx, now, l, target) {
				running++
			}
		}
	}
}

// startPoll asks one target if it is due. The caller holds m.mu.
func (m *Manager) startPoll(ctx context.Context, now clock.Reading, l *Ledger, target *config.Target) bool {
	p := m.mu.polls[target.Name]
	if p == nil {
		p = &poll{last: now.Lower - pollEvery}
		m.mu.polls[target.Name] = p
	}
	every := pollEvery
	if l.HasUnaccountedSlots(target.Name) {
		every = pollUnsettled
	}
	if p.busy || now.Lower-p.last < every {
		return false
	}
	p.busy, p.last = true, now.Lower
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		m.pollOne(ctx, l, target, p)
	}()
	return true
}

func (m *Manager) pollOne(ctx context.Context, l *Ledger, target *config.Target, p *poll) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := m.c.Clock.Now()
	report, err := m.c.LoadClient.TargetLoad(ctx, target.Address)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.busy = false
	if err != nil {
		m.c.Log.Emit(event.LoadFailed, zap.String("target", target.Name), zap.Error(err))
		return
	}
	m.noteFence(l.shard, report.FencingToken)
	ed := m.c.ConfigSource.Current()
	if m.mu.ledgers[l.shard] != l || ed == nil {
		return
	}
	age := clock.ForGrantor(time.Duration(report.AgeMs) * time.Millisecond)
	l.RecordLoad(m.c.Clock.Now(), ed, target.Name, Load{
		Running: report.Running, Queued: report.Queued, CachedTokens: report.CachedTokens,
		SampledAt: sent.Lower - age,
	})
}

// HighestFencingToken returns the highest fencing number that the shard's targets reported.
func (m *Manager) HighestFencingToken(shard leadership.Shard) uint64 {
	m.fences.Lock()
	defer m.fences.Unlock()
	return m.fences.highest[shard]
}

func (m *Manager) noteFence(shard leadership.Shard, fence uint64) {
	m.fences.Lock()
	defer m.fences.Unlock()
	m.fences.highest[shard] = max(m.fences.highest[shard], fence)
}
