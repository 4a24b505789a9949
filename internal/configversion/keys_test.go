package configversion_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

// maxWithdrawal is the time after which a withdrawn key must not work (I6).
const maxWithdrawal = 3 * time.Second

func keyHash(key string) config.KeyHash { return sha256.Sum256([]byte(key)) }

// withKey is a table that lists the key for team u.
func withKey(version int64, name, key string) []byte {
	return fmt.Appendf(tableText(version), "[key %s]\nteam = u\nsha256 = %x\n", name, keyHash(key))
}

// accepts counts the instances that serve and accept the key.
func (w *world) accepts(key string) (count int) {
	for _, n := range w.nodes {
		if n.revision() == 0 {
			continue
		}
		if em, _ := n.managers(); em.Current().Keys[keyHash(key)] != nil {
			count++
		}
	}
	return count
}

// until waits for a condition and returns the time it took.
func (w *world) until(limit time.Duration, ok func() bool) time.Duration {
	began := time.Now()
	for !ok() && time.Since(began) < limit {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against a key that still works at an instance that is cut off from
// the service but not from its peers. All instances of a region are cut off,
// and every second one elsewhere.
func TestWithdrawnKey(t *testing.T) {
	for _, f := range fleets {
		if f.n > *largest {
			continue
		}
		var took []time.Duration
		for seed := range uint64(4) {
			inTime(t, func(t *testing.T) {
				w := newWorld(f.n, f.regions, f.domains, seed)
				w.loss = 0.01
				w.publish("instances", 1, w.listText())
				w.publish("table", 1, withKey(1, "k", "secret"))
				w.startAll()
				w.waitServing(1, time.Minute)
				for i, n := range w.nodes {
					n.setNoServe(i%f.regions == 0 || i%2 == 0)
				}
				// Calls that wait at the service end.
				w.setService(false, false)
				time.Sleep(15 * time.Second)
				for rev := int64(2); rev < 22; rev++ {
					w.publish("table", rev, withKey(rev, "k", "secret"))
					if w.until(time.Minute, func() bool { return w.serving(rev) == f.n }); w.accepts("secret") != f.n {
						t.Fatalf("the key is not accepted everywhere")
					}
					rev++
					w.publish("table", rev, tableText(rev))
					took = append(took, w.until(time.Minute, func() bool { return w.accepts("secret") == 0 }))
				}
				w.stopAll()
			})
		}
		t.Logf("%d instances, %d withdrawals: key refused everywhere after p50 %v, largest %v", f.n, len(took), percentile(took, 0.5), percentile(took, 1))
		if worst := percentile(took, 1); worst > maxWithdrawal {
			t.Errorf("%d instances: a withdrawn key worked for %v", f.n, worst)
		}
	}
}

// Guards against the outcomes of edits that race: the last revision must win
// everywhere, whatever order the instances hear of them in.
func TestOperatorRaces(t *testing.T) {
	type edit struct {
		after time.Duration
		text  func(rev int64) []byte
	}
	plain := func(rev int64) []byte { return tableText(rev) }
	key := func(rev int64) []byte { return withKey(rev, "k", "secret") }
	reissued := func(rev int64) []byte { return withKey(rev, "k", "second") }
	noTeam := func(rev int64) []byte {
		return bytes.Replace(tableText(rev), []byte("[team u]\nrate = 1\nburst = 100\n"), nil, 1)
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
		rejected      bool // the last edit has faults; the one before stays
	}{
		{"two edits at once", []edit{{0, plain}, {0, key}}, true, false, true, false},
		{"an edit withdrawn at once", []edit{{0, key}, {time.Millisecond, plain}}, false, false, true, false},
		{"an edit withdrawn while it spreads", []edit{{0, key}, {60 * time.Millisecond, plain}}, false, false, true, false},
		{"a key withdrawn and issued again", []edit{{0, key}, {100 * time.Millisecond, plain}, {100 * time.Millisecond, key}}, true, false, true, false},
		{"a key replaced under its name", []edit{{0, key}, {100 * time.Millisecond, reissued}}, false, true, true, false},
		{"a team removed with its keys", []edit{{0, key}, {100 * time.Millisecond, noTeam}}, false, false, false, false},
		{"a team removed without its keys", []edit{{0, key}, {100 * time.Millisecond, orphan}}, true, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inTime(t, func(t *testing.T) {
				w := newWorld(12, 3, 1, 5)
				w.publish("instances", 1, w.listText())
				w.publish("table", 1, tableText(1))
				w.startAll()
				w.waitServing(1, time.Minute)
				last := int64(1)
				for _, e := range c.edits {
					time.Sleep(e.after)
					last++
					w.publish("table", last, e.text(last))
				}
				if c.rejected {
					last--
				}
				if took := w.waitServing(last, time.Minute); took > inForce {
					t.Errorf("the last edit was in force after %v", took)
				}
				w.until(2*time.Second, func() bool { return false })
				want := map[bool]int{true: len(w.nodes)}
				if got := w.accepts("secret"); got != want[c.first] {
					t.Errorf("%d instances accept the first key, want %d", got, want[c.first])
				}
				if got := w.accepts("second"); got != want[c.second] {
					t.Errorf("%d instances accept the second key, want %d", got, want[c.second])
				}
				for _, n := range w.nodes {
					em, _ := n.managers()
					if got := em.Current().Teams["u"] != nil; got != c.team {
						t.Errorf("%s: team listed %v, want %v", n.self.Name, got, c.team)
					}
				}
				w.resetCalls()
				time.Sleep(10 * time.Second)
				if calls, _ := w.calls(); calls > 2*len(w.nodes) {
					t.Errorf("%d calls in 10 s after the edits", calls)
				}
				w.stopAll()
			})
		})
	}
}
