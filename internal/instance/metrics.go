package instance

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/wigeonhill/wigeonhill/internal/gateway"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/routereport"
)

const (
	// metricsPort and metricsPath are where an instance serves its metrics. The
	// platform's settings have no fields for them; deploy/system.toml repeats
	// the values.
	metricsPort = 9464
	metricsPath = "/metrics"
)

func (i *Instance) metricsServer(r *prometheus.Registry) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	mux.Handle("GET "+routereport.Path, routereport.Handler(func(r *routereport.Request) (*routereport.Report, error) { return i.gateway.RouteReport(r) }))
	return newSmallServer(mux)
}

func (i *Instance) metricsAddress() string {
	return net.JoinHostPort(i.settings.IP, strconv.Itoa(metricsPort))
}

// registerGauges registers gauges for the age of what the instance knows and
// for the state of what it depends on.
func (i *Instance) registerGauges(r *prometheus.Registry) {
	gauge := func(name, help string, value func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "wigeonhill", Name: name, Help: help}, value))
	}
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge("configuration_version", "Version of the configuration in force; 0 if none is known.", func() float64 {
		if c := i.catalog.Current().Config; c != nil {
			return float64(c.Version)
		}
		return 0
	})
	gauge("store_revision", "Revision of the platform's store that the instance has seen, in the era of store_era.", func() float64 { return float64(i.catalog.Revision().Number) })
	gauge("store_era", "Era of the platform's store that the instance has seen; it rises when the store comes back from an older copy.", func() float64 { return float64(i.catalog.Revision().Era) })
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "wigeonhill", Name: "store_states_ignored_total", Help: "States of the platform's store that were older than the known one."},
		func() float64 { return float64(i.catalog.IgnoredStates()) }))
	gauge("configuration_age_seconds", "Time since the store confirmed the configuration.", func() float64 { p, _ := i.catalog.Ages(); return p.Seconds() })
	gauge("targets_age_seconds", "Time since the store confirmed the list of targets.", func() float64 { _, t := i.catalog.Ages(); return t.Seconds() })
	gauge("targets_listed", "Targets in the list, of all regions.", func() float64 { return float64(len(i.catalog.Current().Targets)) })
	gauge("targets_down", "Targets of the own region that are avoided until a health check succeeds.", func() float64 { return float64(len(i.tracker.DownTargets(time.Now()))) })
	delayRatio := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "wigeonhill", Name: "expected_delay_ratio",
		Help: "Time to the first byte at a target of the own region, divided by the time that the placement expected.", Buckets: []float64{0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 3, 5, 10}}, []string{"prompt", "cached"})
	r.MustRegister(delayRatio)
	i.tracker.ObserveDelayErrors(func(e placement.DelayError) {
		prompt := "short"
		if e.Long {
			prompt = "long"
		}
		delayRatio.WithLabelValues(prompt, strconv.FormatBool(e.Cached)).Observe(e.Ratio)
	})
	gauge("targets_paced", "Targets of the own region whose requests in flight are limited because they have started, come back or become slow.", func() float64 { return float64(i.tracker.PacedTargets()) })
	gauge("requests_running", "Requests in progress, those of other instances included.", func() float64 { return float64(i.gateway.RunningRequests()) })
	gauge("request_memory_bytes", "Memory held for the bodies of requests.", func() float64 { return float64(i.gateway.BufferedBodyBytes()) })
	gauge("response_memory_bytes", "Memory held for responses until they are passed on.", func() float64 { return float64(i.gateway.BufferedResponseBytes()) })
	gauge("ready", "1 if callers are sent here.", func() float64 { return boolToFloat(i.gateway.Ready()) })
	gauge("peers_reachable", "Other instances whose rows arrive.", func() float64 { reachable, _ := i.peerCounts(); return float64(reachable) })
	gauge("peers_lost", "Other instances whose rows stopped arriving.", func() float64 { _, lost := i.peerCounts(); return float64(lost) })
	gauge("oldest_peer_row_seconds", "Age of the oldest row of a reachable instance.", func() float64 {
		oldest := time.Duration(0)
		for _, m := range i.heartbeats.Members() {
			if m.Reachable {
				oldest = max(oldest, time.Since(m.LastSeen))
			}
		}
		return oldest.Seconds()
	})
	gauge("allowance_part_least", "Least part of a team's rate that this side of a cut may spend; 1 if all instances are heard.", func() float64 { return i.quota.MinShare(time.Now()) })
	gauge("warmup_share", "1 if the instance may send requests to targets that are warming up.", func() float64 { _, hasShare := i.roster.State(); return boolToFloat(hasShare) })
	gauge("crash_blocks", "Blocks in force of requests and prompt parts that crash targets.", func() float64 { return float64(i.crashes.Blocks()) })
	gauge("teams_over_allowance", "Teams whose allowance is used up now.", func() float64 { return float64(i.quota.ExhaustedTeams(time.Now())) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (i *Instance) peerCounts() (reachable, lost int) {
	for _, m := range i.heartbeats.Members() {
		if m.Reachable {
			reachable++
		} else {
			lost++
		}
	}
	return reachable, lost
}

// newMetrics returns a registry and the gateway metrics registered in it.
func (i *Instance) newMetrics() (*prometheus.Registry, *gateway.Metrics) {
	r := prometheus.NewRegistry()
	return r, gateway.NewMetrics(r)
}
