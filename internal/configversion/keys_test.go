package configversion_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

// maxRevocationTime is the time after which a revoked key must not work (I6).
const maxRevocationTime = 3 * time.Second

func keyHash(key string) config.KeyHash { return sha256.Sum256([]byte(key)) }

// withKey returns a configuration that lists the key for team u.
func withKey(version int64, name, key string) []byte {
	return fmt.Appendf(configText(version), "[key %s]\nteam = u\nsha256 = %x\n", name, keyHash(key))
}

// countAccepting counts the instances that serve and accept the key.
func (sim *simulation) countAccepting(key string) (count int) {
	for _, n := range sim.nodes {
		if n.revision() == 0 {
			continue
		}
		if cm, _ := n.managers(); cm.Current().Keys[keyHash(key)] != nil {
			count++
		}
	}
	return count
}

// waitUntil waits for a condition, at most for limit, and returns the time that
// passed.
func (sim *simulation) waitUntil(limit time.Duration, ok func() bool) time.Duration {
	began := time.Now()
	for !ok() && time.Since(began) < limit {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against a revoked key that still works at an instance which cannot reach
// the service but can reach its peers. That holds for all instances of one region
// and for every second one elsewhere.
func TestRevokedKey(t *testing.T) {
	for _, f := range fleetSizes {
		if f.n > *maxFleet {
			continue
		}
		var took []time.Duration
		for seed := range uint64(4) {
			inVirtualTime(t, func(t *testing.T) {
				sim := newSimulation(f.n, f.regions, f.domains, seed)
				sim.lossRate = 0.01
				sim.publish("instances", 1, sim.instanceListText())
				sim.publish("table", 1, withKey(1, "k", "secret"))
				sim.startAll()
				sim.waitServing(1, time.Minute)
				for i, n := range sim.nodes {
					n.setServiceUnreachable(i%f.regions == 0 || i%2 == 0)
				}
				// End the watch calls that are pending at the service.
				sim.setService(false, false)
				time.Sleep(15 * time.Second)
				for rev := int64(2); rev < 22; rev++ {
					sim.publish("table", rev, withKey(rev, "k", "secret"))
					if sim.waitUntil(time.Minute, func() bool { return sim.serving(rev) == f.n }); sim.countAccepting("secret") != f.n {
						t.Fatalf("the key is not accepted everywhere")
					}
					rev++
					sim.publish("table", rev, configText(rev))
					took = append(took, sim.waitUntil(time.Minute, func() bool { return sim.countAccepting("secret") == 0 }))
				}
				sim.stopAll()
			})
		}
		t.Logf("%d instances, %d revocations: key refused everywhere after p50 %v, largest %v", f.n, len(took), percentile(took, 0.5), percentile(took, 1))
		if worst := percentile(took, 1); worst > maxRevocationTime {
			t.Errorf("%d instances: a revoked key worked for %v", f.n, worst)
		}
	}
}

// Guards against instances that end up with different versions after edits in
// quick succession: the last valid revision must win everywhere, in whatever order
// the instances learn of the edits.
func TestConcurrentEdits(t *testing.T) {
	type edit struct {
		after time.Duration
		text  func(rev int64) []byte
	}
	plain := func(rev int64) []byte { return configText(rev) }
	key := func(rev int64) []byte { return withKey(rev, "k", "secret") }
	reissued := func(rev int64) []byte { return withKey(rev, "k", "second") }
	noTeam := func(rev int64) []byte {
		return bytes.Replace(configText(rev), []byte("[team u]\nrate = 1\nburst = 100\n"), nil, 1)
	}
	orphan := func(rev int64) []byte {
		return bytes.Replace(withKey(rev, "k", "secret"), []byte("[team u]\nrate = 1\nburst = 100\n"), nil, 1)
	}
	for _, c := range []struct {
		name  string
		edits []edit
		// Accepted at the end.
		first, second bool
		team          bool
		rejected      bool // the last edit is invalid; the one before stays current
	}{
		{"two edits at once", []edit{{0, plain}, {0, key}}, true, false, true, false},
		{"an edit reverted at once", []edit{{0, key}, {time.Millisecond, plain}}, false, false, true, false},
		{"an edit reverted while it propagates", []edit{{0, key}, {60 * time.Millisecond, plain}}, false, false, true, false},
		{"a key revoked and issued again", []edit{{0, key}, {100 * time.Millisecond, plain}, {100 * time.Millisecond, key}}, true, false, true, false},
		{"a key replaced under its name", []edit{{0, key}, {100 * time.Millisecond, reissued}}, false, true, true, false},
		{"a team removed with its keys", []edit{{0, key}, {100 * time.Millisecond, noTeam}}, false, false, false, false},
		{"a team removed without its keys", []edit{{0, key}, {100 * time.Millisecond, orphan}}, true, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				sim := newSimulation(12, 3, 1, 5)
				sim.publish("instances", 1, sim.instanceListText())
				sim.publish("table", 1, configText(1))
				sim.startAll()
				sim.waitServing(1, time.Minute)
				last := int64(1)
				for _, e := range c.edits {
					time.Sleep(e.after)
					last++
					sim.publish("table", last, e.text(last))
				}
				if c.rejected {
					last--
				}
				if took := sim.waitServing(last, time.Minute); took > maxPropagationTime {
					t.Errorf("the last edit took %v to propagate", took)
				}
				sim.waitUntil(2*time.Second, func() bool { return false })
				want := map[bool]int{true: len(sim.nodes)}
				if got := sim.countAccepting("secret"); got != want[c.first] {
					t.Errorf("%d instances accept the first key, want %d", got, want[c.first])
				}
				if got := sim.countAccepting("second"); got != want[c.second] {
					t.Errorf("%d instances accept the second key, want %d", got, want[c.second])
				}
				for _, n := range sim.nodes {
					cm, _ := n.managers()
					if got := cm.Current().Teams["u"] != nil; got != c.team {
						t.Errorf("%s: team listed %v, want %v", n.self.Name, got, c.team)
					}
				}
				sim.resetCalls()
				time.Sleep(10 * time.Second)
				if calls, _ := sim.callCounts(); calls > 2*len(sim.nodes) {
					t.Errorf("%d calls in 10 s after the edits", calls)
				}
				sim.stopAll()
			})
		})
	}
}
