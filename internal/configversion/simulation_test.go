package configversion_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/membership"
)

// simulation runs the managers of several instances in the virtual time of
// synctest and passes messages between them.
type simulation struct {
	mu          sync.Mutex
	nodes       []*node
	byAddr      map[string]*node
	partitioned map[[2]string]bool // pairs of regions that do not reach each other
	service     fakeService
	goroutines  sync.WaitGroup
	rng         *rand.Rand
	lossRate    float64
	naive       bool // run naiveDistributor in place of the managers
	startedAt   time.Time
}

// fakeService is a configuration service with a stale replica.
type fakeService struct {
	mu             sync.Mutex
	down           bool
	values         map[string]confservice.Value
	stale          map[string]confservice.Value
	useStale       bool
	changed        chan struct{}
	callsPerSecond map[int]int // calls begun in each second
	calls          int
}

// node is one simulated instance.
type node struct {
	sim                *simulation
	self               membership.Member
	mu                 sync.Mutex
	frozen             chan struct{} // closed on waking up; nil if not frozen
	frozenAt           time.Duration // clock reading while frozen
	serviceUnreachable bool          // this node cannot reach the service
	cancel             context.CancelFunc
	done               chan struct{}
	// Replaced at each start.
	configs *configversion.Manager
	members *membership.Manager
	naive   *naiveDistributor // in place of the managers, if sim.naive is set
	sent    int               // bytes
}

func newSimulation(n, regions, domainsPerRegion int, seed uint64) *simulation {
	sim := &simulation{
		byAddr:      make(map[string]*node),
		partitioned: make(map[[2]string]bool),
		rng:         rand.New(rand.NewPCG(seed, 7)),
		startedAt:   time.Now(),
	}
	sim.service.values, sim.service.stale = make(map[string]confservice.Value), make(map[string]confservice.Value)
	sim.service.changed, sim.service.callsPerSecond = make(chan struct{}), make(map[int]int)
	for i := range n {
		r := i % regions
		region := fmt.Sprintf("r%d", r)
		nd := &node{sim: sim, self: membership.Member{
			Name:           fmt.Sprintf("i%d", i),
			PeerAddress:    fmt.Sprintf("10.%d.%d.%d:7200", r+1, i/250, i%250+1),
			CallersAddress: fmt.Sprintf("10.%d.%d.%d:8080", r+1, i/250, i%250+1),
			Region:         region,
			Domain:         fmt.Sprintf("%s-d%d", region, i/regions%domainsPerRegion),
		}}
		sim.nodes = append(sim.nodes, nd)
		sim.byAddr[nd.self.PeerAddress] = nd
	}
	return sim
}

func (sim *simulation) bootstrap() []string {
	var out []string
	for i := 0; i < len(sim.nodes) && i < 3; i++ {
		out = append(out, sim.nodes[i].self.PeerAddress)
	}
	return out
}

// instanceListText returns an instance list with all nodes.
func (sim *simulation) instanceListText() []byte {
	var entries []string
	for _, n := range sim.nodes {
		entries = append(entries, fmt.Sprintf(`{"name":%q,"callers":%q,"peers":%q,"region":%q,"domain":%q,"state":"live"}`,
			n.self.Name, n.self.CallersAddress, n.self.PeerAddress, n.self.Region, n.self.Domain))
	}
	return []byte(`{"instances":[` + strings.Join(entries, ",") + `]}`)
}

func (sim *simulation) uint64() uint64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.Uint64()
}

func (sim *simulation) startAll() {
	for _, n := range sim.nodes {
		n.startProcess()
	}
}

func (sim *simulation) stopAll() {
	for _, n := range sim.nodes {
		n.wake()
	}
	for _, n := range sim.nodes {
		n.stop()
	}
	sim.goroutines.Wait()
}

func (n *node) startProcess() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	if n.sim.naive {
		v := &naiveDistributor{n: n}
		n.mu.Lock()
		n.naive, n.cancel, n.done = v, cancel, done
		n.mu.Unlock()
		n.sim.goroutines.Go(func() {
			defer close(done)
			v.run(ctx)
		})
		return
	}
	self := n.self
	self.Incarnation = n.sim.uint64() | 1
	cm := configversion.NewManager(configversion.Config{Service: simulatedService{n}, PeerClient: simulatedPeers{n}, Bootstrap: n.sim.bootstrap(), Clock: n, MaxAge: time.Hour})
	mm := membership.NewManager(membership.Config{
		Self: self, Bootstrap: n.sim.bootstrap(), Clock: n, PeerClient: simulatedPeers{n}, VersionExchange: cm,
		Seed: n.sim.uint64(), Generation: uint32(time.Now().Unix()),
	})
	cm.SetMembers(mm)
	cm.ListStore().Subscribe(func(_, list *confservice.InstanceList) { mm.SetInstanceList(list) })
	n.mu.Lock()
	n.configs, n.members, n.cancel, n.done = cm, mm, cancel, done
	n.mu.Unlock()
	n.sim.goroutines.Go(func() {
		defer close(done)
		var g sync.WaitGroup
		g.Go(func() { _ = cm.Run(ctx) })
		g.Go(func() { _ = mm.Run(ctx) })
		g.Wait()
	})
}

func (n *node) stop() {
	n.mu.Lock()
	cancel, done := n.cancel, n.done
	n.configs, n.members, n.naive, n.cancel = nil, nil, nil, nil
	n.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

func (n *node) managers() (*configversion.Manager, *membership.Manager) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configs, n.members
}

// Now implements clock.Clock. It stands still while the node is frozen.
func (n *node) Now() clock.Reading {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := time.Since(n.sim.startedAt)
	if n.frozen != nil {
		d = n.frozenAt
	}
	return clock.Reading{Lower: d, Upper: d}
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.frozen, n.frozenAt = make(chan struct{}), time.Since(n.sim.startedAt)
	}
}

func (n *node) wake() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}

// waitAwake waits until the node is not frozen.
func (n *node) waitAwake(ctx context.Context) error {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	if frozen != nil {
		// The context of a frozen process ends only after it wakes up.
		<-frozen
	}
	return ctx.Err()
}

// revision returns the revision that the node serves with; 0 if it does not serve.
func (n *node) revision() int64 {
	cm, _ := n.managers()
	n.mu.Lock()
	frozen, naiveNode := n.frozen != nil, n.naive
	n.mu.Unlock()
	if naiveNode != nil && !frozen {
		return naiveNode.revision()
	}
	if cm == nil || frozen || cm.Paused() || cm.Current() == nil {
		return 0
	}
	return cm.Current().Revision
}

// configText returns a configuration whose text differs for each version.
func configText(version int64) []byte {
	return fmt.Appendf(nil, "[region a]\nseats = 10.0.0.1:1\n[model m]\nmax_output = 10\n[team t]\nrate = %d\nburst = 100\n[team u]\nrate = 1\nburst = 100\n", version)
}

// inVirtualTime runs f in the virtual time of synctest.
func inVirtualTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}
