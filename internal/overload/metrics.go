package overload

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// waitBuckets are bucket bounds in seconds, from a pass of the queue to the time that
// callers have.
var waitBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4}

// counts are the totals of one service.
type counts struct {
	refusals map[Reason]int
	promised int
	waits    []uint64 // starts by bucket, not cumulative; the last is for longer waits
	waited   time.Duration
}

func (c *counts) refused(r Refusal) {
	if c.refusals == nil {
		c.refusals = map[Reason]int{}
	}
	c.refusals[r.Reason]++
	if r.RetryAfter > 0 && r.Reason != Repeated {
		c.promised++
	}
}

func (c *counts) started(waited time.Duration) {
	if c.waits == nil {
		c.waits = make([]uint64, len(waitBuckets)+1)
	}
	i := 0
	for i < len(waitBuckets) && waited.Seconds() > waitBuckets[i] {
		i++
	}
	c.waits[i]++
	c.waited += waited
}

// Report is what other instances are told of the queue of a service.
type Report struct {
	Queued     int
	OldestWait time.Duration
	// FreedPerSecond is the number of requests of this instance that ended at local
	// targets per second.
	FreedPerSecond float64
}

// Report returns the state of the queue of a service.
func (m *Manager) Report(name string) Report {
	s, now := m.service(name), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{Queued: s.queue.Len(), OldestWait: s.queue.OldestWait(now), FreedPerSecond: s.freed.value}
}

var (
	queueLength   = queueDesc("queue_length", "Requests that wait at this instance.", "service")
	queueOldest   = queueDesc("queue_oldest_seconds", "Longest time that a waiting request has waited.", "service")
	queueWait     = queueDesc("queue_wait_seconds", "Wait of the requests that were started from the queue.", "service")
	queueRefusals = queueDesc("queue_refusals_total", "Requests refused for lack of capacity, by reason.", "service", "reason")
	promises      = queueDesc("promised_returns_total", "Refusals that promised a time at which to return.", "service")
	promisesKept  = queueDesc("promised_returns_kept_total", "Refused callers that came back as instructed.", "service")
	queueWindow   = queueDesc("target_window", "Requests that this instance may have at the local targets after rejections; 0 without a limit.", "service")
)

func queueDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("wigeonhill_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (m *Manager) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{queueLength, queueOldest, queueWait, queueRefusals, promises, promisesKept, queueWindow} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (m *Manager) Collect(out chan<- prometheus.Metric) {
	m.services.Range(func(_, value any) bool {
		value.(*service).collect(out, time.Now())
		return true
	})
}

func (s *service) collect(out chan<- prometheus.Metric, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gauge := func(d *prometheus.Desc, v float64) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, s.name)
	}
	counter := func(d *prometheus.Desc, v int, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), append([]string{s.name}, labels...)...)
	}
	gauge(queueLength, float64(s.queue.Len()))
	gauge(queueOldest, s.queue.OldestWait(now).Seconds())
	gauge(queueWindow, s.window.size())
	for reason, n := range s.counts.refusals {
		counter(queueRefusals, n, string(reason))
	}
	counter(promises, s.counts.promised)
	counter(promisesKept, s.queue.schedule.kept)
	buckets, total := map[float64]uint64{}, uint64(0)
	for i, n := range s.counts.waits {
		if total += n; i < len(waitBuckets) {
			buckets[waitBuckets[i]] = total
		}
	}
	out <- prometheus.MustNewConstHistogram(queueWait, total, s.counts.waited.Seconds(), buckets, s.name)
}
