package configversion_test

import (
	"fmt"
	"slices"
	"time"
)

// inForce is the time after which an accepted edition must be in force (I13).
const inForce = 8 * time.Second

// restartWindow is how long another instance must have been reachable with a
// newer edition for a return to an older one to count as a fault.
const restartWindow = time.Second

// samplePeriod of the monitor.
const samplePeriod = 100 * time.Millisecond

// monitor checks I13 on samples of all instances: what an instance serves
// with is not older than what any instance that it reached all the time served
// with 8 s ago, whatever happened to the instance itself, and a process never
// goes back.
type monitor struct {
	w          *world
	samples    []sample
	violations []string
	// Time from the first instance that serves with a revision to each other
	// one that reached the first all the time.
	latencies []time.Duration
	first     map[int64]firstSeen
	seen      map[[2]int64]bool
	highest   map[any]int64 // per process
	served    map[int]int64 // highest revision per instance, over restarts
}

type firstSeen struct {
	at   time.Duration
	node int
}

type sample struct {
	revisions []int64
	reach     [][]bool // direct and both awake and up
}

func newMonitor(w *world) *monitor {
	return &monitor{w: w, first: make(map[int64]firstSeen), seen: make(map[[2]int64]bool), highest: make(map[any]int64), served: make(map[int]int64)}
}

// watch samples for d.
func (m *monitor) watch(d time.Duration) {
	for range d / samplePeriod {
		m.step()
		time.Sleep(samplePeriod)
	}
}

func (m *monitor) step() {
	n := len(m.w.nodes)
	s := sample{revisions: make([]int64, n), reach: make([][]bool, n)}
	for i, nd := range m.w.nodes {
		s.revisions[i] = nd.revision()
		m.checkProcess(nd, s.revisions[i])
	}
	for i, a := range m.w.nodes {
		s.reach[i] = make([]bool, n)
		for j, b := range m.w.nodes {
			s.reach[i][j] = a.running() && b.present() && m.w.reaches(a, b)
		}
	}
	m.samples = append(m.samples, s)
	m.checkInForce(s)
	m.checkRestarts(s)
	m.measure(s)
}

// running reports whether the node has a process that is not frozen.
func (n *node) running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cancel != nil && n.frozen == nil
}

// present reports whether the node has a process.
func (n *node) present() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cancel != nil
}

func (m *monitor) checkProcess(nd *node, revision int64) {
	nd.mu.Lock()
	var process any = nd.edition
	if nd.naive != nil {
		process = nd.naive
	}
	nd.mu.Unlock()
	if revision == 0 {
		return
	}
	if revision < m.highest[process] {
		m.violations = append(m.violations, fmt.Sprintf("%s went back from %d to %d", nd.self.Name, m.highest[process], revision))
	}
	m.highest[process] = max(m.highest[process], revision)
}

func (m *monitor) checkInForce(now sample) {
	window := int(inForce / samplePeriod)
	if len(m.samples) <= window {
		return
	}
	recent := m.samples[len(m.samples)-1-window:]
	for b := range m.w.nodes {
		if now.revisions[b] == 0 {
			continue // does not serve
		}
		for a := range m.w.nodes {
			old := recent[0].revisions[a]
			if a == b || old <= now.revisions[b] {
				continue
			}
			if !slices.ContainsFunc(recent, func(s sample) bool { return !s.reach[a][b] }) {
				m.violations = append(m.violations, fmt.Sprintf("%s serves with %d, %s had %d for 8 s", m.w.nodes[b].self.Name, now.revisions[b], m.w.nodes[a].self.Name, old))
			}
		}
	}
}

func (m *monitor) checkRestarts(now sample) {
	window := int(restartWindow / samplePeriod)
	if len(m.samples) <= window {
		return
	}
	recent := m.samples[len(m.samples)-1-window:]
	for b, r := range now.revisions {
		if r == 0 {
			continue
		}
		for a := range m.w.nodes {
			if a != b && r < m.served[b] && !slices.ContainsFunc(recent, func(s sample) bool {
				return !s.reach[a][b] || !s.reach[b][a] || s.revisions[a] < m.served[b]
			}) {
				m.violations = append(m.violations, fmt.Sprintf("%s serves with %d after %d, which %s has", m.w.nodes[b].self.Name, r, m.served[b], m.w.nodes[a].self.Name))
			}
		}
		m.served[b] = max(m.served[b], r)
	}
}

func (m *monitor) measure(s sample) {
	at := time.Duration(len(m.samples)) * samplePeriod
	for i, r := range s.revisions {
		if r == 0 {
			continue
		}
		if _, ok := m.first[r]; !ok {
			m.first[r] = firstSeen{at, i}
		}
	}
	for r, f := range m.first {
		for i := range m.w.nodes {
			key := [2]int64{r, int64(i)}
			switch {
			case m.seen[key]:
			case s.revisions[i] >= r:
				m.seen[key] = true
				if i != f.node {
					m.latencies = append(m.latencies, at-f.at)
				}
			case !s.reach[f.node][i] || !s.reach[i][f.node]:
				m.seen[key] = true // not reachable all the time: no measure
			}
		}
	}
}

func percentile(d []time.Duration, p float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Sorted(slices.Values(d))
	return d[min(len(d)-1, int(p*float64(len(d))))]
}
