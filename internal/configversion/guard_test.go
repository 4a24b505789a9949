package configversion_test

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// startWorld starts instances that all serve with revision 1.
func startWorld(n, regions, domains int) *world {
	w := newWorld(n, regions, domains, 11)
	w.publish("instances", 1, w.listText())
	w.publish("table", 1, tableText(1))
	w.startAll()
	w.waitServing(1, time.Minute)
	time.Sleep(20 * time.Second)
	return w
}

// Guards against a pause of the whole fleet, while the service is down, after
// which no instance ever serves again because none may confirm another.
func TestPauseOfAll(t *testing.T) {
	for _, down := range []bool{false, true} {
		inTime(t, func(t *testing.T) {
			w := startWorld(9, 3, 2)
			w.setService(down, false)
			for _, n := range w.nodes {
				n.freeze()
			}
			time.Sleep(10 * time.Second)
			for _, n := range w.nodes {
				n.wake()
			}
			if w.serving(1) != 0 {
				t.Error("an instance serves right after a pause")
			}
			if took := w.waitServing(1, time.Minute); took >= time.Minute {
				t.Errorf("service down %v: %d of 9 instances serve a minute after the pause", down, w.serving(1))
			}
			w.stopAll()
		})
	}
}

// Guards against an answer of the service from before a pause that confirms
// the edition after it: the pause begins just after a waiting call ended.
func TestAnswerBeforePause(t *testing.T) {
	inTime(t, func(t *testing.T) {
		w := startWorld(1, 1, 1)
		w.publish("table", 2, tableText(2))
		time.Sleep(10 * time.Millisecond)
		if w.serving(2) != 1 {
			t.Fatal("it does not serve with the new edition")
		}
		w.setService(true, false)
		w.nodes[0].freeze()
		time.Sleep(time.Second)
		w.nodes[0].wake()
		time.Sleep(10 * time.Second)
		if w.serving(2) != 0 {
			t.Error("it serves although nobody confirmed its edition after the pause")
		}
		w.stopAll()
	})
}

// Guards against an instance without peers that serves with an unconfirmed
// edition, or never serves although the service confirms it.
func TestAlone(t *testing.T) {
	inTime(t, func(t *testing.T) {
		w := startWorld(1, 1, 1)
		if w.serving(1) != 1 {
			t.Fatal("it does not serve")
		}
		w.setService(true, false)
		w.nodes[0].freeze()
		time.Sleep(time.Second)
		w.nodes[0].wake()
		time.Sleep(30 * time.Second)
		if w.serving(1) != 0 {
			t.Error("it serves although nobody confirmed its edition")
		}
		w.setService(false, false)
		if took := w.waitServing(1, time.Minute); took > 15*time.Second {
			t.Errorf("it serves %v after the service came back", took)
		}
		em, _ := w.nodes[0].managers()
		w.setService(true, false)
		time.Sleep(2 * time.Hour)
		if !em.TooOld() {
			t.Errorf("cut off for 2 h, the edition is %v old and not too old", em.Age())
		}
		w.stopAll()
	})
}

// Guards against a failure domain that nobody watches after its watchers were
// frozen or killed.
func TestWatchersAreReplaced(t *testing.T) {
	inTime(t, func(t *testing.T) {
		w := startWorld(12, 2, 1)
		watching := func(region string) (out []*node) {
			for _, n := range w.nodes {
				if em, _ := n.managers(); em != nil && n.self.Region == region && n.running() && em.Status().Watching {
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
		took := w.until(time.Minute, func() bool { return len(watching("r0")) == 2 })
		t.Logf("both watchers of a failure domain replaced after %v", took)
		if took > 10*time.Second {
			t.Errorf("watchers were replaced after %v", took)
		}
		// An instance that joins the service again must not leave three.
		before[0].wake()
		if took := w.until(time.Minute, func() bool { return len(watching("r0")) == 2 && before[0].revision() == 1 }); took > 10*time.Second {
			t.Errorf("%d watchers after one woke up", len(watching("r0")))
		}
		w.stopAll()
	})
}

// liar is a peer that announces a higher revision and delivers another text.
type liar struct {
	res   *peerv1.FetchEditionResponse
	asked int
}

func (l *liar) FetchEdition(context.Context, string, *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error) {
	l.asked++
	return proto.CloneOf(l.res), nil
}

// Guards against a peer that takes an instance back to an older edition, or to
// a text without the announced digest, and against asking it for ever.
func TestPeerThatOffersOlder(t *testing.T) {
	old, other := configversion.NewText(3, tableText(3)), configversion.NewText(9, tableText(9))
	for name, res := range map[string]*peerv1.FetchEditionResponse{
		"older":            {Edition: &peerv1.EditionID{Revision: 3, Digest: old.Digest[:]}, Text: old.Body},
		"older as newer":   {Edition: &peerv1.EditionID{Revision: 9, Digest: other.Digest[:]}, Text: old.Body},
		"same, other text": {Edition: &peerv1.EditionID{Revision: 5, Digest: old.Digest[:]}, Text: old.Body},
		"changes to none":  {Edition: &peerv1.EditionID{Revision: 9, Digest: other.Digest[:]}, Delta: true, Changes: []*peerv1.SectionChange{{Name: "team t", Position: 1 << 31, Body: []byte("[team t]\n")}}},
		"nothing":          {},
	} {
		inTime(t, func(t *testing.T) {
			w := newWorld(1, 1, 1, 1)
			w.publish("table", 5, tableText(5))
			peer := &liar{res: res}
			m := configversion.NewManager(configversion.Config{Service: nodeService{w.nodes[0]}, Peers: peer, Clock: w.nodes[0], MaxAge: time.Hour})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = m.Run(ctx)
			}()
			time.Sleep(20 * time.Second)
			for range 20 {
				m.Offered(&peerv1.Identity{Instance: "p", PeerAddress: "10.9.9.9:1"}, &peerv1.EditionID{Revision: 9, Digest: other.Digest[:]}, nil)
				time.Sleep(time.Second)
			}
			cancel()
			<-done
			if m.Current().Revision != 5 {
				t.Errorf("%s: revision %d is in force", name, m.Current().Revision)
			}
			if peer.asked > 200 {
				t.Errorf("%s: the peer was asked %d times for 20 offers", name, peer.asked)
			}
		})
	}
}
