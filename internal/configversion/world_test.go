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

// world passes messages between managers in the virtual time of synctest.
type world struct {
	mu      sync.Mutex
	nodes   []*node
	byAddr  map[string]*node
	cut     map[[2]string]bool // regions that do not reach each other
	service service
	running sync.WaitGroup
	rng     *rand.Rand
	loss    float64
	naive   bool // run the naive distribution
	start   time.Time
}

// service is a configuration service with a stale replica.
type service struct {
	mu       sync.Mutex
	down     bool
	values   map[string]confservice.Value
	stale    map[string]confservice.Value
	useStale bool
	changed  chan struct{}
	perSec   map[int]int // calls begun in each second
	calls    int
}

// node is one instance.
type node struct {
	w       *world
	self    membership.Member
	mu      sync.Mutex
	frozen  chan struct{} // closed on waking up; nil if not frozen
	stood   time.Duration // clock reading while frozen
	noServe bool          // cut off from the service
	cancel  context.CancelFunc
	done    chan struct{}
	// Replaced at each start.
	edition *configversion.Manager
	member  *membership.Manager
	naive   *naive // in place of the managers, if the world is naive
	sent    int    // bytes
}

func newWorld(n, regions, domainsPerRegion int, seed uint64) *world {
	w := &world{
		byAddr: make(map[string]*node),
		cut:    make(map[[2]string]bool),
		rng:    rand.New(rand.NewPCG(seed, 7)),
		start:  time.Now(),
	}
	w.service.values, w.service.stale = make(map[string]confservice.Value), make(map[string]confservice.Value)
	w.service.changed, w.service.perSec = make(chan struct{}), make(map[int]int)
	for i := range n {
		r := i % regions
		region := fmt.Sprintf("r%d", r)
		nd := &node{w: w, self: membership.Member{
			Name:           fmt.Sprintf("i%d", i),
			PeerAddress:    fmt.Sprintf("10.%d.%d.%d:7200", r+1, i/250, i%250+1),
			CallersAddress: fmt.Sprintf("10.%d.%d.%d:8080", r+1, i/250, i%250+1),
			Region:         region,
			Domain:         fmt.Sprintf("%s-d%d", region, i/regions%domainsPerRegion),
		}}
		w.nodes = append(w.nodes, nd)
		w.byAddr[nd.self.PeerAddress] = nd
	}
	return w
}

func (w *world) bootstrap() []string {
	var out []string
	for i := 0; i < len(w.nodes) && i < 3; i++ {
		out = append(out, w.nodes[i].self.PeerAddress)
	}
	return out
}

// listText is the instance list of all instances.
func (w *world) listText() []byte {
	var entries []string
	for _, n := range w.nodes {
		entries = append(entries, fmt.Sprintf(`{"name":%q,"callers":%q,"peers":%q,"region":%q,"domain":%q,"state":"live"}`,
			n.self.Name, n.self.CallersAddress, n.self.PeerAddress, n.self.Region, n.self.Domain))
	}
	return []byte(`{"instances":[` + strings.Join(entries, ",") + `]}`)
}

func (w *world) uint64() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Uint64()
}

func (w *world) startAll() {
	for _, n := range w.nodes {
		n.startProcess()
	}
}

func (w *world) stopAll() {
	for _, n := range w.nodes {
		n.wake()
	}
	for _, n := range w.nodes {
		n.stop()
	}
	w.running.Wait()
}

func (n *node) startProcess() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	if n.w.naive {
		v := &naive{n: n}
		n.mu.Lock()
		n.naive, n.cancel, n.done = v, cancel, done
		n.mu.Unlock()
		n.w.running.Go(func() {
			defer close(done)
			v.run(ctx)
		})
		return
	}
	self := n.self
	self.Incarnation = n.w.uint64() | 1
	em := configversion.NewManager(configversion.Config{Service: nodeService{n}, Peers: nodePeers{n}, Bootstrap: n.w.bootstrap(), Clock: n, MaxAge: time.Hour})
	mm := membership.NewManager(membership.Config{
		Self: self, Bootstrap: n.w.bootstrap(), Clock: n, Peers: nodePeers{n}, Editions: em,
		Seed: n.w.uint64(), Generation: uint32(time.Now().Unix()),
	})
	em.SetMembers(mm)
	em.Lists().Subscribe(func(_, list *confservice.InstanceList) { mm.SetList(list) })
	n.mu.Lock()
	n.edition, n.member, n.cancel, n.done = em, mm, cancel, done
	n.mu.Unlock()
	n.w.running.Go(func() {
		defer close(done)
		var g sync.WaitGroup
		g.Go(func() { _ = em.Run(ctx) })
		g.Go(func() { _ = mm.Run(ctx) })
		g.Wait()
	})
}

func (n *node) stop() {
	n.mu.Lock()
	cancel, done := n.cancel, n.done
	n.edition, n.member, n.naive, n.cancel = nil, nil, nil, nil
	n.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

func (n *node) managers() (*configversion.Manager, *membership.Manager) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.edition, n.member
}

// Now implements clock.Clock. It stands still while the node is frozen.
func (n *node) Now() clock.Reading {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := time.Since(n.w.start)
	if n.frozen != nil {
		d = n.stood
	}
	return clock.Reading{Lower: d, Upper: d}
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.frozen, n.stood = make(chan struct{}), time.Since(n.w.start)
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

// awake waits until the node is not frozen.
func (n *node) awake(ctx context.Context) error {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	if frozen != nil {
		// The context of a frozen process ends only after it wakes up.
		<-frozen
	}
	return ctx.Err()
}

// revision is what the node serves with; 0 if it does not serve.
func (n *node) revision() int64 {
	em, _ := n.managers()
	n.mu.Lock()
	frozen, nv := n.frozen != nil, n.naive
	n.mu.Unlock()
	if nv != nil && !frozen {
		return nv.revision()
	}
	if em == nil || frozen || em.Paused() || em.Current() == nil {
		return 0
	}
	return em.Current().Revision
}

// tableText is a table whose texts differ by version.
func tableText(version int64) []byte {
	return fmt.Appendf(nil, "[region a]\nseats = 10.0.0.1:1\n[model m]\nmax_output = 10\n[team t]\nrate = %d\nburst = 100\n[team u]\nrate = 1\nburst = 100\n", version)
}

// inTime runs f in virtual time.
func inTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}
