package heartbeat

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	fleetStep        = 10 * time.Millisecond
	fleetRegions     = 3
	domainsPerRegion = 2
	// maxContact is the time within which instances must know each other.
	maxContact = 6 * time.Second
)

// fleet plays instances in virtual time, with a network that counts datagrams.
type fleet struct {
	t     *testing.T
	clock virtualClock
	rng   *rand.Rand
	nodes map[string]*fleetNode // by IP address
	order []*fleetNode
	queue map[time.Time][]delivery
	// passes reports whether the network delivers between two instances; nil for all.
	passes func(from, to *fleetNode) bool
	loss   float64
	// busy fills heartbeats as those of an instance under load are.
	busy bool
	// fixedLoad, if not 0, is the processor time in use that all report.
	fixedLoad uint32
	// direct keeps instances from relaying.
	direct bool
	// sent are datagrams, sentBytes their bytes, by how far they go.
	sent, sentBytes [3]int
}

const (
	withinDomain = iota
	betweenDomains
	betweenRegions
)

type fleetNode struct {
	*Manager
	ip      string
	offset  int // of its ticks, in steps
	stopped bool
	// earlier makes it an instance of the version before relays, which takes what is
	// relayed for what others tell.
	earlier bool
	// incomplete counts what such an instance got without the address for callers.
	incomplete int
	// frozen keeps what arrives in waiting, which is handled when it runs again.
	frozen  bool
	waiting []delivery
}

type delivery struct {
	from, to *fleetNode
	datagram []byte
}

func (n *fleetNode) receive(d delivery) {
	if n.earlier || d.from.earlier {
		var report peerv1.FleetReport
		if err := proto.Unmarshal(d.datagram, &report); err == nil {
			report.Relay, report.Relayed, report.Overdue = false, false, false
			for _, hb := range report.GetRows() {
				hb.Relays = hb.GetRelays() && !n.earlier
				if n.earlier && hb.GetReady() && hb.GetCallersAddress() == "" {
					n.incomplete++
				}
			}
			d.datagram, _ = proto.Marshal(&report)
		}
	}
	n.handleDatagram(d.datagram, d.from.ip)
}

// newFleetOf starts n instances, as evenly spread over the failure domains as possible.
func newFleetOf(t *testing.T, n int) *fleet {
	f := newFleet(t, 0)
	all := fleetRegions * domainsPerRegion
	f.start(func(d int) int { return n/all + min(max(n%all-d, 0), 1) })
	return f
}

func newFleet(t *testing.T, perDomain int) *fleet {
	f := &fleet{t: t, clock: virtualClock{time.Unix(1000, 0)}, rng: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*fleetNode{}, queue: map[time.Time][]delivery{}}
	f.add(perDomain)
	return f
}

// add starts as many instances in each failure domain. Their seeds are three of all
// instances.
func (f *fleet) add(perDomain int) (added []*fleetNode) {
	return f.start(func(int) int { return perDomain })
}

func (f *fleet) start(count func(domain int) int) (added []*fleetNode) {
	for d := range fleetRegions * domainsPerRegion {
		for range count(d) {
			i := len(f.order)
			ip := fmt.Sprintf("10.%d.%d.%d", d, i/250, i%250+1)
			id := &peerv1.Identity{
				Instance: fmt.Sprintf("instance-%d", i), Incarnation: 1, PeerAddress: net.JoinHostPort(ip, "9"),
				Region: fmt.Sprintf("region-%d", d/domainsPerRegion), Domain: fmt.Sprintf("domain-%d", d),
			}
			n := &fleetNode{Manager: newManager(Config{Self: id, FillHeartbeat: f.fillHeartbeat, Log: event.Nop()}, f.clock.now), ip: ip, offset: f.rng.IntN(10)}
			n.write = func(to string, datagram []byte) { f.send(n, to, datagram) }
			f.nodes[ip] = n
			f.order = append(f.order, n)
			added = append(added, n)
		}
	}
	var seeds []string
	for i := 0; i < len(f.order) && len(seeds) < 3; i += 1 + len(f.order)/3 {
		seeds = append(seeds, f.order[i].Self.GetPeerAddress())
	}
	for _, n := range added {
		n.SetSeeds(seeds)
	}
	return added
}

// node returns the instance with a peer address.
func (f *fleet) node(peerAddress string) *fleetNode {
	ip, _, _ := net.SplitHostPort(peerAddress) // add made the address
	return f.nodes[ip]
}

func (f *fleet) fillHeartbeat(hb *peerv1.FleetRow) {
	n := f.node(hb.GetInstance().GetPeerAddress())
	hb.Ready, hb.Relays = true, hb.GetRelays() && !f.direct && (n == nil || !n.earlier)
	for i := range 19 {
		hb.Teams = append(hb.Teams, &peerv1.TeamUse{Team: fmt.Sprintf("team-%d", i), Spent: 1e6, Demand: 10})
	}
	if f.busy {
		f.fillBusy(n, hb)
	}
}

// load returns what an instance reports, which changes every few seconds as in package
// balance.
func (f *fleet) load() uint32 {
	if f.fixedLoad > 0 {
		return f.fixedLoad
	}
	return 500 + 50*uint32(f.clock.at.Unix()/4%4)
}

// fillBusy fills in the load of an instance that uses twelve targets of four services.
func (f *fleet) fillBusy(n *fleetNode, hb *peerv1.FleetRow) {
	hb.CallersAddress, hb.PublishedChange, hb.TargetsChange, hb.StoreAnswers, hb.HasWarmupShare = net.JoinHostPort(n.ip, "80"), 1234, 1300, true, true
	sequence := uint32(hb.GetSequence())
	for i := range uint32(12) {
		hb.Targets = append(hb.Targets, &peerv1.TargetUse{Target: fmt.Sprintf("i-bab67ff3%02d", i), Running: 1 + (sequence+i)%4, PendingTokens: 3700 * (sequence % 3)})
	}
	for i := range uint32(4) {
		service := fmt.Sprintf("service-%d", i)
		hb.Pools = append(hb.Pools, &peerv1.PoolUse{Service: service, Running: 200 + sequence%50, Capacity: 480, DelayMs: 100 + sequence%90, Slots: 320, Forwarded: sequence % 3})
		hb.Parts = append(hb.Parts, &peerv1.PartUse{Part: fmt.Sprintf("part-%08d", i), Target: fmt.Sprintf("i-bab67ff3%02d", i), Tokens: 13300})
		hb.Profiles = append(hb.Profiles, &peerv1.ServiceProfile{Service: service, TokensPerMs: 61.8, StepMs: 3.09, StepPerRequestMs: 0.15, ServiceMs: 60, Samples: 1000 + sequence})
	}
	hb.Load = &peerv1.InstanceLoad{CpuMillicores: 192, MemoryMb: 184, LinkKbytesPerS: 1250, Descriptors: 4100, CpuUsedPermille: f.load(), MemoryUsedPermille: 300, DescriptorsUsedPermille: 50, SchedulingDelayMs: 20}
	if n.earlier {
		hb.Load, hb.Profiles = nil, nil
	}
	for _, other := range f.order {
		if other != n && other.Self.GetDomain() == n.Self.GetDomain() {
			hb.DomainMembers = append(hb.DomainMembers, xxhash.Sum64String(other.ip))
		}
	}
}

func (f *fleet) send(from *fleetNode, ip string, datagram []byte) {
	to := f.nodes[ip]
	if to == nil {
		return
	}
	distance, delay := withinDomain, 10*time.Millisecond
	switch {
	case from.Self.GetRegion() != to.Self.GetRegion():
		distance, delay = betweenRegions, 60*time.Millisecond
	case from.Self.GetDomain() != to.Self.GetDomain():
		distance = betweenDomains
	}
	f.sent[distance]++
	f.sentBytes[distance] += len(datagram)
	// Whether a datagram is lost does not depend on the order of those sent at once.
	chance := float64(xxhash.Sum64String(fmt.Sprint(from.ip, to.ip, f.clock.at.UnixMilli()))) / math.MaxUint64
	if f.passes != nil && !f.passes(from, to) || chance < f.loss {
		return
	}
	at := f.clock.at.Add(delay)
	f.queue[at] = append(f.queue[at], delivery{from, to, datagram})
}

// run plays the given time and calls each, if not nil, after each tick of all.
func (f *fleet) run(d time.Duration, each func()) {
	steps := int(localInterval / fleetStep)
	for range int(d / fleetStep) {
		f.clock.at = f.clock.at.Add(fleetStep)
		deliveries := f.queue[f.clock.at]
		delete(f.queue, f.clock.at)
		for _, d := range deliveries {
			switch {
			case d.to.frozen:
				d.to.waiting = append(d.to.waiting, d)
			case !d.to.stopped:
				d.to.receive(d)
			}
		}
		step := int(f.clock.at.UnixMilli()/fleetStep.Milliseconds()) % steps
		for _, n := range f.order {
			if !n.stopped && !n.frozen && n.offset == step {
				n.sendDue()
				for i := 0; i < len(n.waiting); i++ {
					n.receive(n.waiting[i])
				}
				n.waiting = nil
			}
		}
		if step == 0 && each != nil {
			each()
		}
	}
}

// unreachable counts the pairs of running instances of which one does not reach the
// other.
func (f *fleet) unreachable() (n int) {
	running := 0
	for _, node := range f.order {
		if !node.stopped {
			running++
		}
	}
	for _, node := range f.order {
		if node.stopped {
			continue
		}
		n += running - 1
		for _, m := range node.Members() {
			if m.Reachable && !f.node(m.Address()).stopped {
				n--
			}
		}
	}
	return n
}

// connected plays until all instances reach each other and returns the time taken.
func (f *fleet) connected(limit time.Duration) time.Duration {
	f.t.Helper()
	start := f.clock.at
	for f.clock.at.Sub(start) < limit {
		if f.run(localInterval, nil); f.unreachable() == 0 {
			return f.clock.at.Sub(start)
		}
	}
	f.t.Errorf("after %v of %v allowed %d pairs of instances do not reach each other", f.clock.at.Sub(start), limit, f.unreachable())
	return limit
}
