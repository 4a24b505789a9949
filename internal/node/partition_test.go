package node

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

func settingsKeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// settleTime is longer than a term and the grants of one: what was agreed
// before a cut has run out by then.
const settleTime = leadership.LeaseDuration + lease.Validity + time.Second

// Guards against a region that stops serving its own callers when it is cut
// off from all others and from the configuration service (I3), and against
// others that stop with it.
func TestIsolatedRegionServes(t *testing.T) {
	w := newWorld(t, 2000, map[string]int{"north": 1, "south": 1, "west": 1})
	w.ready()
	w.net.isolate("north", "north-1")
	time.Sleep(settleTime)
	for range 10 {
		for _, name := range w.names {
			if status, body := w.ask(name, "one question"); status != http.StatusOK {
				t.Errorf("%s while north is cut off: %d %s", name, status, body)
			}
		}
	}
	w.net.heal()
	w.eventually("north sees the others again", func() bool { return len(w.nodes["north-1"].members.Live("")) == 3 })
	for _, name := range w.names {
		if status, body := w.ask(name, "one question"); status != http.StatusOK {
			t.Errorf("%s after the cut: %d %s", name, status, body)
		}
	}
}

// Guards against two grantors in a region that is cut in two, and against a
// majority that stops serving: the instance that is cut off has no rights, and
// what it refuses has not run.
func TestInstanceCutOffWithinItsRegion(t *testing.T) {
	w := newWorld(t, 2000, map[string]int{"north": 3, "south": 1})
	w.ready()
	shard := leadership.Shard{Region: "north"}
	var old string
	w.eventually("north has a grantor", func() bool {
		old = ""
		for _, name := range w.names {
			if _, ok := w.nodes[name].terms.LeaseFor(w.nodes[name].clock.Now(), shard); ok {
				old = name
			}
		}
		return old != ""
	})
	w.net.isolate("alone", old)
	w.eventually("the majority elects another grantor", func() bool {
		for _, name := range w.names {
			if _, ok := w.nodes[name].terms.LeaseFor(w.nodes[name].clock.Now(), shard); ok && name != old {
				return true
			}
		}
		return false
	})
	if _, ok := w.nodes[old].terms.LeaseFor(w.nodes[old].clock.Now(), shard); ok {
		t.Error("two grantors of one region")
	}
	ranBefore := w.runs()
	status, body := w.ask(old, "a question to the instance that is cut off")
	if status == http.StatusOK || !strings.Contains(body, `"not_run"`) {
		t.Errorf("the instance that is cut off answered %d %s", status, body)
	}
	if got := w.runs(); got != ranBefore {
		t.Errorf("%d runs after a refusal that says not run, %d before", got, ranBefore)
	}
	for _, name := range w.names {
		if name == old {
			continue
		}
		w.eventually(name+" serves", func() bool { status, _ := w.ask(name, "one question"); return status == http.StatusOK })
	}
}

// Guards against a team that gets more than rate x t + burst when the regions
// are cut apart and each is asked for more than the whole rate (I7).
func TestLimitHoldsWhileCutApart(t *testing.T) {
	const rate = 400
	w := newWorld(t, rate, map[string]int{"north": 1, "south": 1, "west": 1})
	w.ready()
	w.net.isolate("north", "north-1")
	w.net.isolate("south", "south-1")
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for _, name := range w.names {
		for range 4 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						w.ask(name, strings.Repeat("a longer question ", 10))
					}
				}
			})
		}
	}
	time.Sleep(2 * settleTime)
	w.net.heal()
	time.Sleep(settleTime)
	close(stop)
	callers.Wait()
	used, span := w.tokens(), time.Since(w.started).Seconds()
	limit := rate*span + testBurst
	t.Logf("%.0f tokens ran in %.1f s; the limit is %.0f", used, span, limit)
	if used > limit {
		t.Errorf("%.0f tokens ran, the limit is %.0f", used, limit)
	}
	if used == 0 {
		t.Error("nothing ran")
	}
}

// record reads what an engine ran.
func (w *world) record(e *standin.Engine) standin.Record {
	rec := httptest.NewRecorder()
	e.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/record", nil))
	var r standin.Record
	if err := json.Unmarshal(rec.Body.Bytes(), &r); err != nil {
		w.t.Fatal(err)
	}
	return r
}

func (w *world) runs() int {
	n := 0
	for _, e := range w.engines {
		n += len(w.record(e).Runs)
	}
	return n
}

func (w *world) tokens() float64 {
	n := 0
	for _, e := range w.engines {
		for _, run := range w.record(e).Runs {
			n += run.PromptTokens + run.OutputTokens
		}
	}
	return float64(n)
}

// Guards against a region without a majority of its seats whose callers wait
// for slots that nobody can grant, although other regions have room.
func TestRegionWithoutGrantorUsesOthers(t *testing.T) {
	w := newWorld(t, 2000, map[string]int{"north": 3, "south": 1})
	w.ready()
	w.net.isolate("lost", "north-1", "north-2")
	time.Sleep(settleTime)
	for i := range 10 {
		if status, body := w.ask("north-3", "one question"); status != http.StatusOK {
			t.Errorf("request %d: %d %s", i, status, body)
		}
	}
}
