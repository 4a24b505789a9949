package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const metricsNamespace = "wigeonhill"

// latencyBuckets are bucket bounds in seconds, from the latency of a request within
// a region to the longest response. They include the objectives of the current
// routes (0.4, 0.5, 0.8, 1.2).
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.2, 1.6, 2.4, 4, 8, 16}

// Metrics are the counters and histograms of requests. Labels are the kind of the
// route, the result code and whether a request ran in the local region (own) or
// another one (other); the number of series does not grow with the teams.
type Metrics struct {
	requests      *prometheus.CounterVec
	firstByte     *prometheus.HistogramVec
	fullResponse  *prometheus.HistogramVec
	streamGap     prometheus.Histogram
	attempts      *prometheus.CounterVec
	responses     *prometheus.CounterVec
	expectedDelay prometheus.Histogram
	sendDelay     prometheus.Histogram
	connections   *prometheus.CounterVec
}

// NewMetrics returns the metrics of requests, registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	histogram := func(name, help string) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{Namespace: metricsNamespace, Name: name, Help: help, Buckets: latencyBuckets}
	}
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}
	}
	m := &Metrics{
		requests:      prometheus.NewCounterVec(counter("requests_total", "Requests of callers by kind of route, result code (0: answered) and where they ran."), []string{"kind", "code", "region"}),
		firstByte:     prometheus.NewHistogramVec(histogram("first_byte_seconds", "Time from arrival to the first byte of the answer."), []string{"kind", "region"}),
		fullResponse:  prometheus.NewHistogramVec(histogram("answer_seconds", "Time from arrival to the end of the answer, without answers that broke off."), []string{"kind", "region"}),
		streamGap:     prometheus.NewHistogram(histogram("stream_gap_seconds", "Longest pause between two events of a stream.")),
		attempts:      prometheus.NewCounterVec(counter("attempts_total", "Attempts at targets and other regions by outcome."), []string{"outcome"}),
		responses:     prometheus.NewCounterVec(counter("responses_total", "Responses that were begun by targets or other regions, by what marks the end of the body (length, chunks, close, tail) and how they ended (complete or the name of a result code)."), []string{"framing", "end"}),
		expectedDelay: prometheus.NewHistogram(histogram("expected_delay_seconds", "Delay that the choice of a place expected.")),
		sendDelay:     prometheus.NewHistogram(histogram("send_delay_seconds", "Time from the choice of a target until the request was written to it.")),
	}
	m.connections = prometheus.NewCounterVec(counter("target_requests_total", "Requests sent to targets by connection: new or reused."), []string{"connection"})
	r.MustRegister(m.connections, m.requests, m.firstByte, m.fullResponse, m.streamGap, m.attempts, m.responses, m.expectedDelay, m.sendDelay)
	return m
}

var routeKindLabels = map[deployment.RouteKind]string{deployment.Idempotent: "idempotent", deployment.AtMostOnce: "once", deployment.Stream: "stream"}

// recordRequest records a finished request. d is nil if it was not dispatched.
func (m *Metrics) recordRequest(c *call, d *delivery, err error, now time.Time) {
	kind, region, code := "none", "own", 0
	if c.route != nil {
		kind = routeKindLabels[c.route.Kind]
	}
	if d != nil && d.remoteRegion != "" {
		region = "other"
	}
	if err != nil {
		code = int(result.FromError(err).Code)
	}
	m.requests.WithLabelValues(kind, strconv.Itoa(code), region).Inc()
	if d == nil || d.firstByteAt.IsZero() {
		return
	}
	m.firstByte.WithLabelValues(kind, region).Observe(d.firstByteAt.Sub(c.arrived).Seconds())
	if err == nil {
		m.fullResponse.WithLabelValues(kind, region).Observe(now.Sub(c.arrived).Seconds())
	}
	if d.longestGap > 0 {
		m.streamGap.Observe(d.longestGap.Seconds())
	}
}

// recordAttempt records an attempt and the delay predicted for it. f is nil if it
// succeeded.
func (m *Metrics) recordAttempt(f *failure, expected time.Duration) {
	outcome := "answered"
	if f != nil {
		outcome = f.err.Code.String() + "_" + f.err.Ran.String()
	}
	m.attempts.WithLabelValues(outcome).Inc()
	m.expectedDelay.Observe(expected.Seconds())
}

// recordConnection records on which kind of connection a request is sent to a target.
func (m *Metrics) recordConnection(reused bool) {
	kind := "new"
	if reused {
		kind = "reused"
	}
	m.connections.WithLabelValues(kind).Inc()
}

// recordResponse records a response that a target or another region had begun. f
// is the failure to pass it on, nil if it is complete.
func (m *Metrics) recordResponse(fr framing, f *failure) {
	end := "complete"
	if f != nil {
		end = f.err.Code.String()
	}
	m.responses.WithLabelValues(string(fr), end).Inc()
}
