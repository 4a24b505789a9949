package heartbeat

import (
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// The traffic between failure domains and regions is what links are billed for. It
// must not grow with the square of the instances.
func TestHeartbeatsBetweenDomainsAreBounded(t *testing.T) {
	for _, test := range []struct {
		perDomain int
		// perHeartbeat is to how many instances of another domain a heartbeat goes.
		perHeartbeat float64
	}{{3, 3}, {11, 1}, {16, 1}} {
		f := newFleet(t, test.perDomain)
		f.connected(maxContact)
		f.run(3*time.Second, nil)
		f.sent, f.sentBytes = [3]int{}, [3]int{}
		const period = 4 * time.Second
		f.run(period, nil)
		n := len(f.order)
		rate := func(count int) float64 { return float64(count) / float64(n) / period.Seconds() }
		t.Logf("%d instances: each sends %.1f datagrams a second within its failure domain, %.1f to others of its region, %.1f to other regions; %.0f, %.0f and %.0f bytes a second",
			n, rate(f.sent[0]), rate(f.sent[1]), rate(f.sent[2]), rate(f.sentBytes[0]), rate(f.sentBytes[1]), rate(f.sentBytes[2]))
		local := max(localInterval, time.Duration(n-1)*intervalPerMember/2)
		remote := max(remoteInterval, time.Duration(n-1)*intervalPerMember)
		if got, want := rate(f.sent[betweenDomains]), test.perHeartbeat*(domainsPerRegion-1)/local.Seconds(); got > 1.2*want {
			t.Errorf("%d instances: each sends %.1f datagrams a second to other failure domains of its region, expected %.1f", n, got, want)
		}
		if got, want := rate(f.sent[betweenRegions]), test.perHeartbeat*(fleetRegions-1)*domainsPerRegion/remote.Seconds(); got > 1.2*want {
			t.Errorf("%d instances: each sends %.1f datagrams a second to other regions, expected %.1f", n, got, want)
		}
		if k := f.unreachable(); k > 0 {
			t.Errorf("%d instances: %d pairs do not reach each other", n, k)
		}
	}
}

// Nearly as many instances as run start at once beside them; then half of all stop
// without a word, and start again later.
func TestInstancesComeAndGoInGreatNumber(t *testing.T) {
	f := newFleet(t, 6)
	t.Logf("36 instances know each other after %v", f.connected(maxContact))
	added := f.add(5)
	t.Logf("30 more after %v", f.connected(maxContact))
	f.run(5*time.Second, nil)
	for i, n := range f.order {
		n.stopped = i%2 == 0
	}
	// Heartbeats sent through stopped relays are lost; those that still run must not
	// take each other for stopped.
	worst := 0
	f.run(15*time.Second, func() { worst = max(worst, f.unreachable()) })
	if worst > 0 {
		t.Errorf("while half of the instances stop, up to %d pairs of the others do not reach each other", worst)
	}
	for _, n := range added {
		if !n.stopped {
			for _, m := range n.Members() {
				if m.Reachable && f.node(m.Address()).stopped {
					t.Fatalf("%s takes %s for reachable, which stopped 15 s ago", n.Self.GetInstance(), m.Name())
				}
			}
		}
	}
	for _, n := range f.order {
		if n.stopped {
			restarted := &peerv1.Identity{
				Instance: n.Self.GetInstance(), Incarnation: 2, PeerAddress: n.Self.GetPeerAddress(), Region: n.Self.GetRegion(), Domain: n.Self.GetDomain(),
			}
			seeds := make([]string, 0, len(n.mu.seeds))
			for a := range n.mu.seeds {
				seeds = append(seeds, a)
			}
			write := n.write
			n.Manager = newManager(Config{Self: restarted, FillHeartbeat: f.fillHeartbeat, Log: event.Nop()}, f.clock.now)
			n.write, n.stopped = write, false
			n.SetSeeds(append(seeds, f.order[1].Self.GetPeerAddress()))
		}
	}
	t.Logf("33 restarted ones after %v", f.connected(maxContact))
}

// A relay is one more place where a heartbeat gets lost, but those that miss one ask
// for it.
func TestRelayedHeartbeatsAreLostLessOften(t *testing.T) {
	play := func(direct bool) (lost int) {
		f := newFleet(t, 5)
		f.direct = direct
		f.connected(maxContact)
		f.loss = 0.15
		f.run(20*time.Second, func() { lost += f.unreachable() })
		return lost
	}
	direct, relayed := play(true), play(false)
	if t.Logf("with 15%% of the datagrams lost, pairs are unreachable %d times if each gets its heartbeats directly, %d times with relays", direct, relayed); relayed > direct {
		t.Error("relays lose more")
	}
}

// A failure domain without its links and one instance without links within its own:
// only those that nothing connects may lose each other.
func TestRelayedHeartbeatsSurviveFaults(t *testing.T) {
	f := newFleet(t, 5)
	f.connected(maxContact)
	alone := f.order[3]
	f.passes = func(from, to *fleetNode) bool {
		return from != alone && to != alone || from.Self.GetDomain() != to.Self.GetDomain()
	}
	f.run(6*time.Second, nil)
	lost := 0
	f.run(10*time.Second, func() {
		for _, m := range alone.Members() {
			if m.Domain() != alone.Self.GetDomain() && !m.Reachable {
				lost++
			}
		}
		for _, n := range f.order {
			for _, m := range n.Members() {
				if n.Self.GetDomain() != alone.Self.GetDomain() && m.Name() == alone.Self.GetInstance() && !m.Reachable {
					lost++
				}
			}
		}
	})
	if lost > 0 {
		t.Errorf("an instance without links in its failure domain and those of other domains lost each other %d times", lost)
	}
	f.passes = func(from, to *fleetNode) bool {
		return (from.Self.GetDomain() == "domain-1") == (to.Self.GetDomain() == "domain-1")
	}
	f.run(6*time.Second, nil)
	const cut = 2 * 5 * 25 // the 5 instances of domain-1 and the 25 others, in both directions
	if k := f.unreachable(); k != cut {
		t.Errorf("with domain-1 cut off %d pairs do not reach each other, %d are cut", k, cut)
	}
	f.passes = nil
	t.Logf("after the cut all know each other after %v", f.connected(maxContact))
}

// What a relay received before it was frozen may come from instances that stopped
// since. It must not make them look alive.
func TestFrozenRelaysRelayNothingOld(t *testing.T) {
	f := newFleet(t, 8)
	f.connected(maxContact)
	frozen := []*fleetNode{f.order[0], f.order[2], f.order[4]}
	for _, n := range frozen {
		n.frozen = true
	}
	f.run(600*time.Millisecond, nil)
	for i, n := range f.order {
		n.stopped = i%2 == 1
	}
	f.run(1400*time.Millisecond, nil)
	for _, n := range frozen {
		n.frozen = false
	}
	// They have been silent for longer than any timeout at the end of this.
	f.run(2500*time.Millisecond, nil)
	for _, n := range f.order {
		// Those that were frozen learn of it only now.
		if n.stopped || slices.Contains(frozen, n) {
			continue
		}
		for _, m := range n.Members() {
			if m.Reachable && f.node(m.Address()).stopped {
				t.Errorf("%s takes %s for alive, which stopped 3.9 s ago", n.Self.GetInstance(), m.Name())
			}
		}
	}
}

// While a deployment is updated, instances of the version before relays run beside
// those of this one.
func TestEarlierVersionsGetHeartbeatsDirectly(t *testing.T) {
	f := newFleet(t, 6)
	for i, n := range f.order {
		n.earlier = i%3 == 0
	}
	f.connected(maxContact)
	worst := 0
	f.run(8*time.Second, func() { worst = max(worst, f.unreachable()) })
	if worst > 0 {
		t.Errorf("up to %d pairs of instances do not reach each other", worst)
	}
}
