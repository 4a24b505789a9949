package enginecmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
)

const (
	// readEvery is the interval of looks at the engines' models.
	readEvery = 5 * time.Second
	// orderTimeout bounds one order. An order is sent only if more than this
	// remains of the term, so that it cannot reach an engine that ignores
	// fencing numbers during the term of a successor.
	orderTimeout = 500 * time.Millisecond
	// retryAfter is the time an engine has to carry out an order before it is
	// sent again.
	retryAfter = 30 * time.Second
	// maxOrders per round, as the weight store limits its rate.
	maxOrders = 2
	maxState  = 64 << 10 // bytes of a load report
)

// errStaleFencing is the answer of an engine that has seen a higher number.
var errStaleFencing = errors.New("the engine has seen a higher fencing number")

// ConfigSource gives the edition in force; nil before the first one.
type ConfigSource interface {
	Current() *config.Config
}

// Leadership tells which shards this instance is grantor of.
type Leadership interface {
	HeldLeases(now clock.Reading) []leadership.Lease
}

// Config is what a Manager needs.
type Config struct {
	Clock        clock.Clock
	ConfigSource ConfigSource
	Leadership   Leadership
	HTTP         *http.Client
	Log          *event.Logger
	Trail        audit.Trail
}

// Manager sends orders for the shards whose grantor this instance is.
type Manager struct {
	cfg Config
	// sent maps a target to the upper reading of its last order; only Run uses it.
	sent map[string]time.Duration
}

// NewManager returns a Manager that does nothing until Run.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, sent: make(map[string]time.Duration)}
}

// Run looks at the engines and sends orders until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(readEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.Round(ctx)
		}
	}
}

// Round makes one pass over the shards of this instance.
func (m *Manager) Round(ctx context.Context) {
	e := m.cfg.ConfigSource.Current()
	if e == nil {
		return
	}
	for _, t := range m.cfg.Leadership.HeldLeases(m.cfg.Clock.Now()) {
		states := m.readStates(ctx, e, t.Shard)
		for _, step := range Plan(e, t.Shard, t.Ballot, states, m.recent(), maxOrders) {
			m.send(ctx, e, t, step)
		}
	}
}

// recent returns the targets with an order that may still be carried out.
func (m *Manager) recent() map[string]bool {
	now := m.cfg.Clock.Now().Upper
	out := make(map[string]bool, len(m.sent))
	for target, at := range m.sent {
		if now-at < retryAfter {
			out[target] = true
		} else {
			delete(m.sent, target)
		}
	}
	return out
}

func (m *Manager) readStates(ctx context.Context, e *config.Config, shard leadership.Shard) map[string]State {
	region := e.Regions[shard.Region]
	states := make(map[string]State)
	var mu sync.Mutex
	var reads sync.WaitGroup
	for name, t := range e.Targets {
		if region == nil || t.Kind != config.Engine || t.Region != shard.Region || leadership.ShardFor(region, name) != shard {
			continue
		}
		reads.Go(func() {
			if state, err := m.readState(ctx, t.Address); err == nil {
				mu.Lock()
				defer mu.Unlock()
				states[name] = state
			}
		})
	}
	reads.Wait()
	return states
}

func (m *Manager) readState(ctx context.Context, address string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var s State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return s, errors.Wrap(err, "state request")
	}
	resp, err := m.cfg.HTTP.Do(req)
	if err != nil {
		return s, errors.Wrap(err, "state request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, errors.Newf("state request: status %d", resp.StatusCode)
	}
	return s, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&s), "state")
}

// send gives one order if enough of the term remains.
func (m *Manager) send(ctx context.Context, e *config.Config, t leadership.Lease, step Step) {
	left, ok := m.remaining(t)
	if !ok || left <= orderTimeout {
		return
	}
	m.sent[step.Target.Name] = m.cfg.Clock.Now().Upper
	err := m.post(ctx, step)
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	m.cfg.Log.Emit(event.OrderSent, zap.String("target", step.Target.Name), zap.String("model", step.Order.Name),
		zap.Uint64("fencing", step.Order.Fencing), zap.String("outcome", outcome))
	m.cfg.Trail.Add(audit.Change{
		Kind: audit.OrderGiven, Subject: step.Order.Kind, Target: step.Target.Name,
		New: step.Order.Name, Reason: outcome, Revision: e.Revision,
	})
}

// remaining returns what is left of the term, whose end moves with each
// renewal. ok is false once the ballot is no longer in force.
func (m *Manager) remaining(t leadership.Lease) (left time.Duration, ok bool) {
	now := m.cfg.Clock.Now()
	for _, current := range m.cfg.Leadership.HeldLeases(now) {
		if current.Shard == t.Shard && current.Ballot == t.Ballot {
			return current.Until - now.Upper, true
		}
	}
	return 0, false
}

func (m *Manager) post(ctx context.Context, step Step) error {
	body, err := json.Marshal(step.Order)
	if err != nil {
		return errors.Wrap(err, "order")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+step.Target.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "order")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := m.cfg.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "order")
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return errStaleFencing
	case resp.StatusCode/100 != 2:
		return errors.Newf("order: status %d", resp.StatusCode)
	}
	return nil
}
