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

type fixedEdition struct{ e *config.Config }

func (f fixedEdition) Current() *config.Config { return f.e }

// process is one instance with both managers.
type process struct {
	terms  *leadership.Manager
	grants *Manager
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
	return q.terms.HandleVote(ctx, req)
}

func (p *memoryPeers) Renew(ctx context.Context, address string, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	q, err := p.get(address)
	if err != nil {
		return nil, err
	}
	return q.grants.HandleRenew(ctx, req)
}

type idleLoads struct{}

func (idleLoads) TargetLoad(context.Context, string) (LoadReport, error) { return LoadReport{}, nil }

func startProcess(ctx context.Context, wg *sync.WaitGroup, peers *memoryPeers, ed *config.Config, region string, i int) *process {
	self := &peerv1.Identity{Instance: fmt.Sprintf("%s-%d", region, i), Incarnation: uint64(i + 1), PeerAddress: seat(region, i), Region: region}
	members := []string{region + "-0", region + "-1", region + "-2"}
	c := clock.NewSystem()
	p := &process{}
	p.terms = leadership.NewManager(leadership.Config{
		Self: self, Clock: c, ConfigSource: fixedEdition{ed}, Peers: peers, Log: event.Nop(),
		Rank:                func(s leadership.Shard) int { return leadership.Rank(s, self.Instance, members) },
		HighestFencingToken: func(s leadership.Shard) uint64 { return p.grants.HighestFencingToken(s) },
	})
	p.grants = NewManager(Config{
		Self: self, Clock: c, ConfigSource: fixedEdition{ed}, Leadership: p.terms, PeerClient: peers, LoadClient: idleLoads{}, Log: event.Nop(),
	})
	peers.mu.Lock()
	peers.at[self.PeerAddress] = p
	peers.mu.Unlock()
	for _, run := range []func(context.Context) error{p.terms.Run, p.grants.Run} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = run(ctx)
		}()
	}
	return p
}

func seat(region string, i int) string { return fmt.Sprintf("%s:%d", region, i) }

func smallEdition() *config.Config {
	ed := &config.Config{
		Regions: map[string]*config.Region{}, Teams: map[string]*config.Team{"t0": {Name: "t0", Rate: 3000, Burst: 6000}},
		Targets: map[string]*config.Target{}, Models: map[string]*config.Model{"m": {Name: "m", MaxRun: 10 * time.Second}},
	}
	for _, r := range []string{"a", "b", "c"} {
		ed.Regions[r] = &config.Region{Name: r, Share: 1.0 / 3, Shards: 1, Voters: []string{seat(r, 0), seat(r, 1), seat(r, 2)}}
		ed.Targets["e-"+r] = &config.Target{Name: "e-" + r, Kind: config.Engine, Region: r, Capacity: 8, Models: map[string]bool{"m": true}}
	}
	return ed
}

// Guards against managers that never reach a grant when the whole fleet starts
// at once, for example by a lock taken in the wrong order.
func TestColdStartReachesTokensAndSlots(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	peers := &memoryPeers{at: map[string]*process{}}
	ed := smallEdition()
	var all []*process
	start := time.Now()
	for _, r := range []string{"a", "b", "c"} {
		for i := range 3 {
			all = append(all, startProcess(ctx, &wg, peers, ed, r, i))
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
		_, ok := p.grants.TryDebit("t0", 50)
		p.grants.WantTokens("t0", 50)
		return ok
	})
	wait("slots", func(p *process) bool {
		target := "e-" + p.grants.c.Self.Region
		s, ok := p.grants.TryTake(target)
		p.grants.WantSlots(target, 1)
		if ok {
			p.grants.WantSlots(target, 0)
			p.grants.Release(s)
		}
		return ok
	})
}
