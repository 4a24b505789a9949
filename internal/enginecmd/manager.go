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
	"golang.org/x/sync/errgroup"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
)

const (
	// pollInterval is the interval between reads of the engines' states.
	pollInterval = 5 * time.Second
	// commandTimeout bounds one command and one read of an engine's state. A
	// command is sent only if more than this remains of the leadership lease, so
	// that it cannot reach an engine that ignores fencing tokens during the lease
	// of the next leader.
	commandTimeout = 500 * time.Millisecond
	// resendDelay is the time that an engine has to carry out a command before
	// the command is sent again.
	resendDelay = 30 * time.Second
	// maxCommandsPerRound bounds the commands per shard in one round, because the
	// model registry limits its rate.
	maxCommandsPerRound = 2
	maxLoadReportBytes  = 64 << 10
	// maxConcurrentReads bounds the reads of engines' states in flight, so that
	// engines that do not answer delay the others only if there are as many.
	maxConcurrentReads = 32
)

// errStaleFencingToken stands for the response 409 Conflict of an engine that has
// received a higher fencing token.
var errStaleFencingToken = errors.New("the engine has received a higher fencing token")

// ConfigSource gives the configuration in force; nil before the first one.
type ConfigSource interface {
	Current() *config.Config
}

// Leadership gives the leadership leases that this instance holds.
type Leadership interface {
	HeldLeases(now clock.Reading) []leadership.Lease
}

// Config of a Manager.
type Config struct {
	Clock        clock.Clock
	ConfigSource ConfigSource
	Leadership   Leadership
	HTTPClient   *http.Client
	Log          *event.Logger
	AuditTrail   audit.Trail
}

// Manager sends engine commands for the shards that this instance leads.
type Manager struct {
	cfg Config
	// lastSent maps a target to the upper clock reading at its last command. Only
	// the goroutine of Run uses it.
	lastSent map[string]time.Duration
}

// NewManager returns a Manager that does nothing until Run.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, lastSent: make(map[string]time.Duration)}
}

// Run reads the engines' states and sends commands until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.RunRound(ctx)
		}
	}
}

// RunRound reads the states of the engines in the shards that this instance leads
// and sends the commands that they need.
func (m *Manager) RunRound(ctx context.Context) {
	cfg := m.cfg.ConfigSource.Current()
	if cfg == nil {
		return
	}
	for _, lease := range m.cfg.Leadership.HeldLeases(m.cfg.Clock.Now()) {
		states := m.readStates(ctx, cfg, lease.Shard)
		for _, planned := range PlanCommands(cfg, lease.Shard, lease.Ballot, states, m.pendingTargets(), maxCommandsPerRound) {
			m.send(ctx, cfg, lease, planned)
		}
	}
}

// pendingTargets returns the targets whose last command is younger than
// resendDelay. It forgets older commands.
func (m *Manager) pendingTargets() map[string]bool {
	now := m.cfg.Clock.Now().Upper
	out := make(map[string]bool, len(m.lastSent))
	for target, sentAt := range m.lastSent {
		if now-sentAt < resendDelay {
			out[target] = true
		} else {
			delete(m.lastSent, target)
		}
	}
	return out
}

// readStates returns the states of the engines in a shard by target name. Engines
// whose state could not be read are missing.
func (m *Manager) readStates(ctx context.Context, cfg *config.Config, shard leadership.Shard) map[string]EngineState {
	region := cfg.Regions[shard.Region]
	states := make(map[string]EngineState)
	var mu sync.Mutex
	var reads errgroup.Group
	reads.SetLimit(maxConcurrentReads)
	for name, t := range cfg.Targets {
		if region == nil || t.Kind != config.Engine || t.Region != shard.Region || leadership.ShardFor(region, name) != shard {
			continue
		}
		reads.Go(func() error {
			if state, err := m.readState(ctx, t.Address); err == nil {
				mu.Lock()
				defer mu.Unlock()
				states[name] = state
			}
			return nil
		})
	}
	_ = reads.Wait() // no read returns an error
	return states
}

func (m *Manager) readState(ctx context.Context, address string) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var state EngineState
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return state, errors.Wrap(err, "engine state request")
	}
	resp, err := m.cfg.HTTPClient.Do(req)
	if err != nil {
		return state, errors.Wrap(err, "engine state request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return state, errors.Newf("engine state request: status %d", resp.StatusCode)
	}
	return state, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxLoadReportBytes)).Decode(&state), "engine state response")
}

// send sends one command if enough of the leadership lease remains.
func (m *Manager) send(ctx context.Context, cfg *config.Config, lease leadership.Lease, planned TargetCommand) {
	left, ok := m.remaining(lease)
	if !ok || left <= commandTimeout {
		return
	}
	m.lastSent[planned.Target.Name] = m.cfg.Clock.Now().Upper
	err := m.post(ctx, planned)
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	m.cfg.Log.Emit(event.EngineCommandSent, zap.String("target", planned.Target.Name), zap.String("model", planned.Command.Name),
		zap.Uint64("fencing", planned.Command.FencingToken), zap.String("outcome", outcome))
	m.cfg.AuditTrail.Add(audit.Change{
		Kind: audit.EngineCommandSent, Subject: planned.Command.Kind, Target: planned.Target.Name,
		New: planned.Command.Name, Reason: outcome, Revision: cfg.Revision,
	})
}

// remaining returns the remaining time of the leadership lease, whose end moves
// with each renewal. ok is false once the instance no longer holds a lease with
// its ballot.
func (m *Manager) remaining(lease leadership.Lease) (left time.Duration, ok bool) {
	now := m.cfg.Clock.Now()
	for _, current := range m.cfg.Leadership.HeldLeases(now) {
		if current.Shard == lease.Shard && current.Ballot == lease.Ballot {
			return current.Until - now.Upper, true
		}
	}
	return 0, false
}

func (m *Manager) post(ctx context.Context, planned TargetCommand) error {
	body, err := json.Marshal(planned.Command)
	if err != nil {
		return errors.Wrap(err, "engine command")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+planned.Target.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "engine command")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := m.cfg.HTTPClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "engine command")
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return errStaleFencingToken
	case resp.StatusCode/100 != 2:
		return errors.Newf("engine command: status %d", resp.StatusCode)
	}
	return nil
}
