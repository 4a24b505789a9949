package configversion_test

import (
	"fmt"
	"slices"
	"time"
)

// maxPropagationTime is the time within which all instances must serve with an
// accepted configuration version (I13).
const maxPropagationTime = 8 * time.Second

// restartWindow is how long another instance with a newer version must have been
// reachable for a rollback to an older version to count as a violation.
const restartWindow = time.Second

// sampleInterval is the time between two samples of the monitor.
const sampleInterval = 100 * time.Millisecond

// monitor checks I13 on samples of all instances: the version that an instance
// serves with is not older than that of any other instance 8 s ago, if it could
// be reached by the other during all that time, whatever happened to the instance
// itself; and a process never goes back to an older version.
type monitor struct {
	sim        *simulation
	samples    []sample
	violations []string
	// Times from the first instance that serves with a revision to each other
	// instance that was connected to the first all the time.
	latencies []time.Duration
	first     map[int64]firstServed
	measured  map[[2]int64]bool
	highest   map[any]int64 // per process
	served    map[int]int64 // highest revision per instance, across restarts
}

type firstServed struct {
	at   time.Duration
	node int
}

type sample struct {
	revisions []int64
	reach     [][]bool // [a][b]: a runs, b has a process, and their regions are connected
}

func newMonitor(sim *simulation) *monitor {
	return &monitor{sim: sim, first: make(map[int64]firstServed), measured: make(map[[2]int64]bool), highest: make(map[any]int64), served: make(map[int]int64)}
}

// observe takes samples for d.
func (m *monitor) observe(d time.Duration) {
	for range d / sampleInterval {
		m.takeSample()
		time.Sleep(sampleInterval)
	}
}

func (m *monitor) takeSample() {
	n := len(m.sim.nodes)
	s := sample{revisions: make([]int64, n), reach: make([][]bool, n)}
	for i, nd := range m.sim.nodes {
		s.revisions[i] = nd.revision()
		m.checkProcess(nd, s.revisions[i])
	}
	for i, a := range m.sim.nodes {
		s.reach[i] = make([]bool, n)
		for j, b := range m.sim.nodes {
			s.reach[i][j] = a.isRunning() && b.hasProcess() && m.sim.reaches(a, b)
		}
	}
	m.samples = append(m.samples, s)
	m.checkPropagation(s)
	m.checkRestarts(s)
	m.recordLatencies(s)
}

// isRunning reports whether the node has a process that is not frozen.
func (n *node) isRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cancel != nil && n.frozen == nil
}

// hasProcess reports whether the node has a process.
func (n *node) hasProcess() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cancel != nil
}

func (m *monitor) checkProcess(nd *node, revision int64) {
	nd.mu.Lock()
	var process any = nd.configs
	if nd.naive != nil {
		process = nd.naive
	}
	nd.mu.Unlock()
	if revision == 0 {
		return
	}
	if revision < m.highest[process] {
		m.violations = append(m.violations, fmt.Sprintf("%s went back from revision %d to %d", nd.self.Name, m.highest[process], revision))
	}
	m.highest[process] = max(m.highest[process], revision)
}

func (m *monitor) checkPropagation(now sample) {
	window := int(maxPropagationTime / sampleInterval)
	if len(m.samples) <= window {
		return
	}
	recent := m.samples[len(m.samples)-1-window:]
	for b := range m.sim.nodes {
		if now.revisions[b] == 0 {
			continue // does not serve
		}
		for a := range m.sim.nodes {
			old := recent[0].revisions[a]
			if a == b || old <= now.revisions[b] {
				continue
			}
			if !slices.ContainsFunc(recent, func(s sample) bool { return !s.reach[a][b] }) {
				m.violations = append(m.violations, fmt.Sprintf("%s serves with revision %d, %s has had %d for 8 s", m.sim.nodes[b].self.Name, now.revisions[b], m.sim.nodes[a].self.Name, old))
			}
		}
	}
}

func (m *monitor) checkRestarts(now sample) {
	window := int(restartWindow / sampleInterval)
	if len(m.samples) <= window {
		return
	}
	recent := m.samples[len(m.samples)-1-window:]
	for b, r := range now.revisions {
		if r == 0 {
			continue
		}
		for a := range m.sim.nodes {
			if a != b && r < m.served[b] && !slices.ContainsFunc(recent, func(s sample) bool {
				return !s.reach[a][b] || !s.reach[b][a] || s.revisions[a] < m.served[b]
			}) {
				m.violations = append(m.violations, fmt.Sprintf("%s serves with revision %d after %d, which %s has", m.sim.nodes[b].self.Name, r, m.served[b], m.sim.nodes[a].self.Name))
			}
		}
		m.served[b] = max(m.served[b], r)
	}
}

func (m *monitor) recordLatencies(s sample) {
	at := time.Duration(len(m.samples)) * sampleInterval
	for i, r := range s.revisions {
		if r == 0 {
			continue
		}
		if _, ok := m.first[r]; !ok {
			m.first[r] = firstServed{at, i}
		}
	}
	for r, f := range m.first {
		for i := range m.sim.nodes {
			key := [2]int64{r, int64(i)}
			switch {
			case m.measured[key]:
			case s.revisions[i] >= r:
				m.measured[key] = true
				if i != f.node {
					m.latencies = append(m.latencies, at-f.at)
				}
			case !s.reach[f.node][i] || !s.reach[i][f.node]:
				m.measured[key] = true // not connected all the time, so not measured
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
