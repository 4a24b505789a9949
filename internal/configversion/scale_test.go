package configversion_test

import (
	"flag"
	"testing"
	"time"
)

// fleet sizes of the measurements: today, one step and within two years.
var fleets = []struct{ n, regions, domains int }{{9, 3, 2}, {90, 15, 2}, {330, 15, 2}}

// largest fleet of TestScale; 330 takes minutes of processor time.
var largest = flag.Int("fleet", 9, "largest fleet to simulate")

// maxCallsPerSecond to the service at 330 instances (objective of the design).
const maxCallsPerSecond = 200

func (w *world) calls() (total int, worst int) {
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	for _, n := range w.service.perSec {
		worst = max(worst, n)
	}
	return w.service.calls, worst
}

func (w *world) resetCalls() {
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	w.service.calls, w.service.perSec = 0, make(map[int]int)
}

func (w *world) sentBytes() (sum int) {
	for _, n := range w.nodes {
		n.mu.Lock()
		sum += n.sent
		n.sent = 0
		n.mu.Unlock()
	}
	return sum
}

// serving counts the instances that serve with the revision.
func (w *world) serving(revision int64) (count int) {
	for _, n := range w.nodes {
		if n.revision() == revision {
			count++
		}
	}
	return count
}

// waitServing returns the time until all instances serve with the revision.
func (w *world) waitServing(revision int64, limit time.Duration) time.Duration {
	began := time.Now()
	for w.serving(revision) < len(w.nodes) && time.Since(began) < limit {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against a number of calls to the service, or of bytes between
// instances, that grows with the fleet. The restart storm is that of all
// instances at once while the service is down; the delays between calls reach
// their maximum within a minute, so two minutes stand for an hour.
func TestScale(t *testing.T) {
	for _, f := range fleets {
		if f.n > *largest {
			continue
		}
		inTime(t, func(t *testing.T) {
			w := newWorld(f.n, f.regions, f.domains, 3)
			w.publish("instances", 1, w.listText())
			w.publish("table", 1, tableText(1))
			w.startAll()
			start := w.waitServing(1, time.Minute)
			_, startWorst := w.calls()
			time.Sleep(40 * time.Second)

			w.resetCalls()
			w.sentBytes()
			const steady = 40
			time.Sleep(steady * time.Second)
			calls, steadyWorst := w.calls()
			perNode := float64(w.sentBytes()) / float64(f.n) / steady

			w.publish("table", 2, tableText(2))
			edit := w.waitServing(2, time.Minute)

			w.resetCalls()
			w.setService(true, false)
			time.Sleep(20 * time.Second)
			_, lostWorst := w.calls()
			for _, n := range w.nodes {
				n.stop()
			}
			w.resetCalls()
			w.startAll()
			time.Sleep(2 * time.Minute)
			_, downWorst := w.calls()
			w.resetCalls()
			w.setService(false, false)
			back := w.waitServing(2, 2*time.Minute)
			_, backWorst := w.calls()

			t.Logf("%d instances: start in %v; calls/s: start %d, steady mean %.1f worst %d, service lost %d, storm while down %d, when back %d; %.0f bytes/s sent per node; edit in force in %v; storm over %v after the service is back",
				f.n, start, startWorst, float64(calls)/steady, steadyWorst, lostWorst, downWorst, backWorst, perNode, edit, back)
			for _, worst := range []int{startWorst, steadyWorst, lostWorst, downWorst, backWorst} {
				if worst >= maxCallsPerSecond {
					t.Errorf("%d instances: %d calls in one second, want less than %d", f.n, worst, maxCallsPerSecond)
				}
			}
			if edit > inForce {
				t.Errorf("%d instances: an edit took %v", f.n, edit)
			}
			if w.serving(2) != f.n {
				t.Errorf("%d instances: %d serve after the storm", f.n, w.serving(2))
			}
			w.stopAll()
		})
	}
}
