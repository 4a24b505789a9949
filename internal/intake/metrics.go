package intake

import "github.com/prometheus/client_golang/prometheus"

// Register registers metrics of the budget and the ports.
func Register(r interface {
	MustRegister(c ...prometheus.Collector)
}, b *Budget, ports ...*Port) {
	const namespace, subsystem = "wigeonhill", "intake"
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: "reserved_bytes",
		Help: "Memory reserved for request heads, bodies and messages of other instances."}, func() float64 { return float64(b.Used()) }))
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: "budget_bytes",
		Help: "Largest value of intake_reserved_bytes."}, func() float64 { return float64(b.Limit()) }))
	for _, p := range ports {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: "connections",
			Help: "Open connections of clients by port.", ConstLabels: prometheus.Labels{"port": p.name}}, func() float64 { return float64(p.Connections()) }))
		for reason, name := range reasonNames {
			r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: "refused_total",
				Help: "Connections, heads and bodies that were refused, by port and reason.", ConstLabels: prometheus.Labels{"port": p.name, "reason": name}},
				func() float64 { return float64(p.refused[reason].Load()) }))
		}
	}
}
