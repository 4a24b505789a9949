package configversion_test

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// startSimulation starts n instances and waits until they serve with revision 1.
func startSimulation(n, regions, domains int) *simulation {
	sim := newSimulation(n, regions, domains, 11)
	sim.publish("instances", 1, sim.instanceListText())
	sim.publish("table", 1, configText(1))
	sim.startAll()
	sim.waitServing(1, time.Minute)
	time.Sleep(20 * time.Second)
	return sim
}

// Guards against a fleet that never serves again after a pause of all instances
// while the service is down, because no paused instance may confirm another.
func TestFleetWidePause(t *testing.T) {
	for _, down := range []bool{false, true} {
		inVirtualTime(t, func(t *testing.T) {
			sim := startSimulation(9, 3, 2)
			sim.setService(down, false)
			for _, n := range sim.nodes {
				n.freeze()
			}
			time.Sleep(10 * time.Second)
			for _, n := range sim.nodes {
				n.wake()
			}
			if sim.serving(1) != 0 {
				t.Error("an instance serves immediately after a pause")
			}
			if took := sim.waitServing(1, time.Minute); took >= time.Minute {
				t.Errorf("service down %v: %d of 9 instances serve a minute after the pause", down, sim.serving(1))
			}
			sim.stopAll()
		})
	}
}

// Guards against a response of the service from before a pause that confirms the
// version after it: the pause begins just after a watch call has returned.
func TestResponseFromBeforePause(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startSimulation(1, 1, 1)
		sim.publish("table", 2, configText(2))
		time.Sleep(10 * time.Millisecond)
		if sim.serving(2) != 1 {
			t.Fatal("the instance does not serve with the new version")
		}
		sim.setService(true, false)
		sim.nodes[0].freeze()
		time.Sleep(time.Second)
		sim.nodes[0].wake()
		time.Sleep(10 * time.Second)
		if sim.serving(2) != 0 {
			t.Error("the instance serves although its version was not confirmed after the pause")
		}
		sim.stopAll()
	})
}

// Guards against an instance without peers that serves with an unconfirmed
// version, or that never serves although the service confirms the version.
func TestInstanceWithoutPeers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startSimulation(1, 1, 1)
		if sim.serving(1) != 1 {
			t.Fatal("the instance does not serve")
		}
		sim.setService(true, false)
		sim.nodes[0].freeze()
		time.Sleep(time.Second)
		sim.nodes[0].wake()
		time.Sleep(30 * time.Second)
		if sim.serving(1) != 0 {
			t.Error("the instance serves although its version was not confirmed")
		}
		sim.setService(false, false)
		if took := sim.waitServing(1, time.Minute); took > 15*time.Second {
			t.Errorf("the instance serves only %v after the service came back", took)
		}
		cm, _ := sim.nodes[0].managers()
		sim.setService(true, false)
		time.Sleep(2 * time.Hour)
		if !cm.TooOld() {
			t.Errorf("without the service for 2 h, the version has age %v and is not too old", cm.Age())
		}
		sim.stopAll()
	})
}

// Guards against a failure domain without watchers after its watchers were
// suspended or killed.
func TestWatchersAreReplaced(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startSimulation(12, 2, 1)
		watching := func(region string) (out []*node) {
			for _, n := range sim.nodes {
				if cm, _ := n.managers(); cm != nil && n.self.Region == region && n.isRunning() && cm.Status().Watching {
					out = append(out, n)
				}
			}
			return out
		}
		before := watching("r0")
		if len(before) != 2 {
			t.Fatalf("%d watchers of 6 instances", len(before))
		}
		before[0].freeze()
		before[1].stop()
		took := sim.waitUntil(time.Minute, func() bool { return len(watching("r0")) == 2 })
		t.Logf("both watchers of a failure domain were replaced after %v", took)
		if took > 10*time.Second {
			t.Errorf("watchers were replaced after %v", took)
		}
		// A former watcher that resumes must not lead to three watchers.
		before[0].wake()
		if took := sim.waitUntil(time.Minute, func() bool { return len(watching("r0")) == 2 && before[0].revision() == 1 }); took > 10*time.Second {
			t.Errorf("%d watchers after one woke up", len(watching("r0")))
		}
		sim.stopAll()
	})
}

// inconsistentPeer announces a higher revision than it delivers, or delivers a text
// that does not match the announced digest.
type inconsistentPeer struct {
	res     *peerv1.FetchEditionResponse
	fetches int
}

func (p *inconsistentPeer) FetchEdition(context.Context, string, *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error) {
	p.fetches++
	return proto.CloneOf(p.res), nil
}

// Guards against a peer that moves an instance to an older version or to a text
// without the announced digest, and against endless requests to that peer.
func TestPeerOffersOlderVersion(t *testing.T) {
	old, other := configversion.NewVersion(3, configText(3)), configversion.NewVersion(9, configText(9))
	for name, res := range map[string]*peerv1.FetchEditionResponse{
		"older":            {Edition: &peerv1.EditionID{Revision: 3, Digest: old.Digest[:]}, Text: old.Body},
		"older as newer":   {Edition: &peerv1.EditionID{Revision: 9, Digest: other.Digest[:]}, Text: old.Body},
		"same, other text": {Edition: &peerv1.EditionID{Revision: 5, Digest: old.Digest[:]}, Text: old.Body},
		"changes to none":  {Edition: &peerv1.EditionID{Revision: 9, Digest: other.Digest[:]}, Delta: true, Changes: []*peerv1.SectionChange{{Name: "team t", Position: 1 << 31, Body: []byte("[team t]\n")}}},
		"nothing":          {},
	} {
		inVirtualTime(t, func(t *testing.T) {
			sim := newSimulation(1, 1, 1, 1)
			sim.publish("table", 5, configText(5))
			peer := &inconsistentPeer{res: res}
			m := configversion.NewManager(configversion.Config{Service: simulatedService{sim.nodes[0]}, PeerClient: peer, Clock: sim.nodes[0], MaxAge: time.Hour})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = m.Run(ctx)
			}()
			time.Sleep(20 * time.Second)
			for range 20 {
				m.HandleOffer(&peerv1.Identity{Instance: "p", PeerAddress: "10.9.9.9:1"}, &peerv1.EditionID{Revision: 9, Digest: other.Digest[:]}, nil)
				time.Sleep(time.Second)
			}
			cancel()
			<-done
			if m.Current().Revision != 5 {
				t.Errorf("%s: revision %d is current", name, m.Current().Revision)
			}
			if peer.fetches > 200 {
				t.Errorf("%s: the peer was asked %d times for 20 offers", name, peer.fetches)
			}
		})
	}
}
