package admission

import "time"

// meterSamples is how many recent services an estimate covers: enough to
// smooth requests that differ a hundredfold in size, few enough to follow a
// loss of capacity within seconds.
const meterSamples = 32

// meterLeast is the number of services without which there is no estimate.
const meterLeast = 4

// meter estimates the rate at which a queue is served. Only time with a
// backlog counts: while the queue is empty, the rate would be that of the
// demand and not that of the capacity.
type meter struct {
	ring  [meterSamples]sample
	n     int // samples ever taken
	sum   float64
	busy  time.Duration // time with a backlog, up to since
	since time.Duration
	on    bool
}

type sample struct {
	at   time.Duration // on the busy clock
	cost float64
}

// start begins a time with a backlog.
func (m *meter) start(now time.Duration) {
	if !m.on {
		m.on, m.since = true, now
	}
}

// stop ends a time with a backlog.
func (m *meter) stop(now time.Duration) {
	if m.on {
		m.busy, m.on = m.clock(now), false
	}
}

func (m *meter) clock(now time.Duration) time.Duration {
	if m.on && now > m.since {
		return m.busy + now - m.since
	}
	return m.busy
}

// served records a service of the given cost out of a backlog.
func (m *meter) served(now time.Duration, cost float64) {
	slot := &m.ring[m.n%meterSamples]
	m.sum += cost - slot.cost
	*slot = sample{m.clock(now), cost}
	m.n++
}

// rate returns the cost served per second, false if there is no estimate.
func (m *meter) rate(now time.Duration) (float64, bool) {
	if m.n < meterLeast {
		return 0, false
	}
	oldest := m.ring[0]
	sum := m.sum
	if m.n > meterSamples {
		oldest = m.ring[m.n%meterSamples]
	}
	// The oldest service marks the start of the interval and does not count.
	sum -= oldest.cost
	d := m.clock(now) - oldest.at
	if d <= 0 {
		return 0, false
	}
	return sum / d.Seconds(), true
}
