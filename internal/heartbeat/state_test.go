package heartbeat

import (
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// The bytes that heartbeats cost and the age of what they tell, for instances under
// load. Guards against new state that costs more than the state before it: the bytes a
// second that an instance sent, by distance, before FleetRow.load, profiles,
// PoolUse.slots and forwarded were added. The period is a multiple of the intervals. In
// it the heartbeats with all details are not spread evenly, hence the tolerance.
func TestBytesAndAgeOfState(t *testing.T) {
	for _, c := range []struct {
		instances int
		period    time.Duration
		before    [3]float64
	}{{9, 5 * time.Second, [3]float64{6872, 15990, 7430}}, {74, 4380 * time.Millisecond, [3]float64{54621, 1520, 1773}}, {195, 3880 * time.Millisecond, [3]float64{59369, 601, 668}}, {334, 6660 * time.Millisecond, [3]float64{69495, 441, 390}}} {
		const tolerance = 1.03
		if raceEnabled && c.instances > 100 {
			continue // the simulation has one goroutine, and takes minutes then
		}
		f := newFleetOf(t, c.instances)
		f.busy = true
		f.connected(maxContact)
		f.run(2*time.Second, nil)
		f.sent, f.sentBytes = [3]int{}, [3]int{}
		var ages [3][]time.Duration
		f.run(c.period, func() {
			for _, n := range f.order[:min(len(f.order), 12)] {
				for _, m := range n.Members() {
					distance := withinDomain
					switch {
					case m.Region() != n.Self.GetRegion():
						distance = betweenRegions
					case m.Domain() != n.Self.GetDomain():
						distance = betweenDomains
					}
					ages[distance] = append(ages[distance], f.clock.at.Sub(m.LastSeen))
				}
			}
		})
		for distance, name := range []string{"within a failure domain", "between failure domains", "between regions"} {
			slices.Sort(ages[distance])
			mean := time.Duration(0)
			for _, a := range ages[distance] {
				mean += a / time.Duration(len(ages[distance]))
			}
			p90 := time.Duration(0)
			if n := len(ages[distance]); n > 0 {
				p90 = ages[distance][n*9/10]
			}
			perSecond := func(count int) float64 { return float64(count) / float64(c.instances) / c.period.Seconds() }
			t.Logf("%3d instances, %s: %6.0f bytes and %5.1f datagrams a second sent by each, age of the state %v mean, %v p90",
				c.instances, name, perSecond(f.sentBytes[distance]), perSecond(f.sent[distance]), mean.Round(10*time.Millisecond), p90)
			if got := perSecond(f.sentBytes[distance]); got > tolerance*c.before[distance] {
				t.Errorf("%d instances, %s: %.0f bytes a second, %.0f before", c.instances, name, got, c.before[distance])
			}
		}
	}
}

// staleLoads counts the pairs of instances of which one does not know the load, the
// profiles or the address for callers that the other reports.
func (f *fleet) staleLoads() (n int) {
	for _, node := range f.order {
		for _, m := range node.Members() {
			hb := m.Heartbeat
			if f.node(m.Address()).earlier {
				continue
			}
			remote := m.Region() != node.Self.GetRegion()
			if hb.GetLoad().GetCpuUsedPermille() != f.load() || hb.GetCallersAddress() == "" || !remote && len(hb.GetProfiles()) != 4 {
				n++
			}
		}
	}
	return n
}

// Guards against details that heartbeats leave out being lost: for members that were
// known before, for those that start, with lost datagrams, and with relays.
func TestDetailsReachAllInstances(t *testing.T) {
	f := newFleet(t, 6)
	f.busy, f.fixedLoad = true, 300
	f.connected(maxContact)
	f.run(detailInterval+remoteInterval, nil)
	if n := f.staleLoads(); n > 0 {
		t.Errorf("%d details are not known", n)
	}
	f.fixedLoad = 950
	f.run(2*time.Second, nil) // two remote intervals of 36 instances, with their way
	if n := f.staleLoads(); n > 0 {
		t.Errorf("%d pairs do not know a load that changed 2 s ago", n)
	}
	f.add(1)
	f.connected(maxContact)
	f.loss = 0.1
	f.fixedLoad = 400
	f.run(2*detailInterval+4*time.Second, nil)
	if n := f.staleLoads(); n > len(f.order) {
		t.Errorf("%d pairs do not know the details with a tenth of the datagrams lost", n)
	}
}

// Guards against heartbeats without the address for callers that reach an instance of the
// version before, which does not keep it: its directory would name no instance.
func TestEarlierVersionsGetAllDetails(t *testing.T) {
	f := newFleet(t, 6)
	f.busy, f.fixedLoad = true, 300
	for i, n := range f.order {
		n.earlier = i%4 == 0
	}
	f.connected(maxContact)
	f.run(8*time.Second, nil)
	for _, n := range f.order {
		if n.incomplete > 0 {
			t.Errorf("%s got %d heartbeats without the address for callers", n.Self.GetInstance(), n.incomplete)
		}
	}
	if n := f.staleLoads(); n > 0 {
		t.Errorf("%d pairs do not know the details", n)
	}
}

// Guards against the load of a process that has ended counting for its successor.
func TestDetailsAreThoseOfTheIncarnation(t *testing.T) {
	clock := &virtualClock{time.Unix(100, 0)}
	table := NewTable(identity("1", 1), clock.now)
	first := heartbeatOf(identity("1", 2), 1)
	first.Load, first.CallersAddress = &peerv1.InstanceLoad{CpuMillicores: 192}, "10.0.0.2:80"
	table.Merge(first, true)
	table.Merge(heartbeatOf(identity("1", 2), 2), true)
	if hb := table.Members()[0].Heartbeat; hb.GetSequence() != 2 || hb.GetLoad().GetCpuMillicores() != 192 || hb.GetCallersAddress() == "" {
		t.Errorf("after a heartbeat without details: %v", hb)
	}
	restarted := identity("1", 2)
	restarted.Incarnation = 2
	table.Merge(heartbeatOf(restarted, 1), true)
	if hb := table.Members()[0].Heartbeat; hb.GetLoad() != nil {
		t.Errorf("a new incarnation has the load of its predecessor: %v", hb)
	}
}
