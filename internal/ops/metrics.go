package ops

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "wigeonhill"

// Metrics are the Prometheus metrics of one instance. No metric has a label per
// team or per request: 2,400 teams would make too many time series. The status
// pages show the counts per team.
type Metrics struct {
	registry *prometheus.Registry
	teams    *TeamStats

	requests          *prometheus.CounterVec
	duration          *prometheus.HistogramVec
	firstToken        *prometheus.HistogramVec
	queueWait         prometheus.Histogram
	sentToRemote      *prometheus.CounterVec
	refusedWithinRate prometheus.Counter
	linkCost          prometheus.Counter
	tokens            prometheus.Counter
	attempts          prometheus.Counter
}

// latencyBuckets range from one hop inside a failure domain to a long response.
// They include 1.5 s, the bound for the first token.
var latencyBuckets = []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30, 60}

// NewMetrics returns Metrics that are registered in a registry of their own.
func NewMetrics(teams *TeamStats) *Metrics {
	counterVec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	histogramOpts := func(name, help string) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}
	}
	m := &Metrics{
		registry:          prometheus.NewRegistry(),
		teams:             teams,
		requests:          counterVec("requests_total", "Requests of callers by result code (0: answered in full).", "code"),
		duration:          prometheus.NewHistogramVec(histogramOpts("request_duration_seconds", "Time from arrival to the end of the answer."), []string{"class"}),
		firstToken:        prometheus.NewHistogramVec(histogramOpts("first_token_seconds", "Time from arrival to the first byte of the answer."), []string{"class"}),
		queueWait:         prometheus.NewHistogram(histogramOpts("queue_wait_seconds", "Time admitted requests waited for tokens and a slot.")),
		sentToRemote:      counterVec("requests_sent_away_total", "Requests served in another region.", "region"),
		refusedWithinRate: counter("refused_within_rate_total", "Requests refused although their team was within its rate."),
		linkCost:          counter("link_cost_total", "Cost of bytes sent to other regions, in the unit of the table."),
		tokens:            counter("tokens_used_total", "Tokens charged to teams: prompt plus output."),
		attempts:          counter("target_attempts_total", "Attempts on targets."),
	}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.requests, m.duration, m.firstToken, m.queueWait, m.sentToRemote, m.refusedWithinRate, m.linkCost,
		m.tokens, m.attempts,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "worst_team_served_ratio",
			Help: "Smallest share of answered requests over teams with traffic in the last minute."}, teams.WorstServedRatio))
	return m
}

// MustRegister registers the metrics of other packages.
func (m *Metrics) MustRegister(c ...prometheus.Collector) { m.registry.MustRegister(c...) }

// RegisterGauge registers a gauge whose value is read when metrics are collected.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// RegisterCounter registers a counter whose value is read when metrics are
// collected.
func (m *Metrics) RegisterCounter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// FinishedRequest describes one request of a caller after its end.
type FinishedRequest struct {
	Team          string
	Code          int    // 0: complete response
	Class         string // chat, completion or service
	Duration      time.Duration
	FirstByte     time.Duration // 0 if no byte was sent
	RemoteRegion  string        // empty for the local region
	Bytes         int64         // bytes of request and response; they add to the link cost only with a RemoteRegion
	LinkCostPerGB float64       // cost per gigabyte of the link used
	TokensUsed    float64
	Attempts      int
}

// RecordRequest counts a finished request.
func (m *Metrics) RecordRequest(f FinishedRequest) {
	m.requests.WithLabelValues(strconv.Itoa(f.Code)).Inc()
	m.duration.WithLabelValues(f.Class).Observe(f.Duration.Seconds())
	if f.FirstByte > 0 {
		m.firstToken.WithLabelValues(f.Class).Observe(f.FirstByte.Seconds())
	}
	if f.RemoteRegion != "" {
		m.sentToRemote.WithLabelValues(f.RemoteRegion).Inc()
		m.linkCost.Add(float64(f.Bytes) / bytesPerGB * f.LinkCostPerGB)
	}
	m.tokens.Add(f.TokensUsed)
	m.attempts.Add(float64(f.Attempts))
	m.teams.RecordRequest(f.Team, f.Code == 0, f.TokensUsed)
}

const bytesPerGB = 1e9

// RecordQueueWait records the queue time of an admitted request.
func (m *Metrics) RecordQueueWait(team string, d time.Duration) {
	m.queueWait.Observe(d.Seconds())
	m.teams.RecordQueueWait(team, d)
}

// RecordRefusedWithinRate counts a request that was refused although its team was
// within its rate.
func (m *Metrics) RecordRefusedWithinRate(team string) {
	m.refusedWithinRate.Inc()
	m.teams.RecordRefusedWithinRate(team)
}
