package lease

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

type fixedConfig struct{ e *config.Config }

func (f fixedConfig) Current() *config.Config { return f.e }

// process is one instance with its leadership and lease managers.
type process struct {
	leadership *leadership.Manager
	leases     *Manager
}

// memoryPeers calls the managers of the process at an address directly.
type memoryPeers struct {
	mu sync.Mutex
	at map[string]*process
}

func (p *memoryPeers) get(address string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.at[address]; q != nil {
		return q, nil
	}
	return nil, errors.New("no process at this address")
}

func (p *memoryPeers) Vote(ctx context.Context, address string, req *peerv1.VoteRequest) (*peerv1.VoteResponse, error) {
	q, err := p.get(address)
	if err != nil {
		return nil, err
	}
	return q.leadership.HandleVote(ctx, req)
}

func (p *memoryPeers) Renew(ctx context.Context, address string, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	q, err := p.get(address)
	if err != nil {
		return nil, err
	}
	return q.leases.HandleRenew(ctx, req)
}

type stubLoadClient struct{}

func (stubLoadClient) TargetLoad(context.Context, string) (LoadReport, error) {
	return LoadReport{}, nil
}

func startProcess(ctx context.Context, wg *sync.WaitGroup, peers *memoryPeers, cfg *config.Config, region string, i int) *process {
	self := &peerv1.Identity{Instance: fmt.Sprintf("%s-%d", region, i), Incarnation: uint64(i + 1), PeerAddress: voterAddress(region, i), Region: region}
	members := []string{region + "-0", region + "-1", region + "-2"}
	c := clock.NewSystem()
	p := &process{}
	p.leadership = leadership.NewManager(leadership.Config{
		Self: self, Clock: c, ConfigSource: fixedConfig{cfg}, PeerClient: peers, Log: event.Nop(),
		Rank:                func(s leadership.Shard) int { return leadership.Rank(s, self.Instance, members) },
		HighestFencingToken: func(s leadership.Shard) uint64 { return p.leases.HighestFencingToken(s) },
	})
	p.leases = NewManager(Config{
		Self: self, Clock: c, ConfigSource: fixedConfig{cfg}, Leadership: p.leadership, PeerClient: peers, LoadClient: stubLoadClient{}, Log: event.Nop(),
	})
	peers.mu.Lock()
	peers.at[self.PeerAddress] = p
	peers.mu.Unlock()
	for _, run := range []func(context.Context) error{p.leadership.Run, p.leases.Run} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = run(ctx)
		}()
	}
	return p
}

func voterAddress(region string, i int) string { return fmt.Sprintf("%s:%d", region, i) }

func smallConfig() *config.Config {
	cfg := &config.Config{
		Regions: map[string]*config.Region{}, Teams: map[string]*config.Team{"t0": {Name: "t0", Rate: 3000, Burst: 6000}},
		Targets: map[string]*config.Target{}, Models: map[string]*config.Model{"m": {Name: "m", MaxRun: 10 * time.Second}},
	}
	for _, r := range []string{"a", "b", "c"} {
		cfg.Regions[r] = &config.Region{Name: r, Share: 1.0 / 3, Shards: 1, Voters: []string{voterAddress(r, 0), voterAddress(r, 1), voterAddress(r, 2)}}
		cfg.Targets["e-"+r] = &config.Target{Name: "e-" + r, Kind: config.Engine, Region: r, Capacity: 8, Models: map[string]bool{"m": true}}
	}
	return cfg
}

// Guards against managers that never obtain a lease when all instances start at
// once, for example because of a wrong lock order.
func TestColdStartReachesTokensAndSlots(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	peers := &memoryPeers{at: map[string]*process{}}
	cfg := smallConfig()
	var all []*process
	start := time.Now()
	for _, r := range []string{"a", "b", "c"} {
		for i := range 3 {
			all = append(all, startProcess(ctx, &wg, peers, cfg, r, i))
		}
	}
	wait := func(what string, try func(p *process) bool) {
		for i, p := range all {
			for !try(p) {
				if ctx.Err() != nil {
					t.Fatalf("instance %d got no %s", i, what)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
		t.Logf("all instances got %s after %v", what, time.Since(start))
	}
	wait("tokens", func(p *process) bool {
		_, ok := p.leases.TryDebit("t0", 50)
		p.leases.WantTokens("t0", 50)
		return ok
	})
	wait("slots", func(p *process) bool {
		target := "e-" + p.leases.c.Self.Region
		s, ok := p.leases.TryTake(target)
		p.leases.WantSlots(target, 1)
		if ok {
			p.leases.WantSlots(target, 0)
			p.leases.Release(s)
		}
		return ok
	})
}
