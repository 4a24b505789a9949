package intake

import "github.com/prometheus/client_golang/prometheus"

var (
	reservedDesc    = prometheus.NewDesc("wigeonhill_intake_reserved_bytes", "Memory reserved for request heads, bodies and messages of other instances.", nil, nil)
	budgetDesc      = prometheus.NewDesc("wigeonhill_intake_budget_bytes", "Largest value of intake_reserved_bytes.", nil, nil)
	connectionsDesc = prometheus.NewDesc("wigeonhill_intake_connections", "Open connections of clients by port.", []string{"port"}, nil)
	refusedDesc     = prometheus.NewDesc("wigeonhill_intake_refused_total", "Connections, heads and bodies that were refused, by port and reason.", []string{"port", "reason"}, nil)
	unansweredDesc  = prometheus.NewDesc("wigeonhill_intake_unanswered_total", "Connections closed here while a request on them had no answer, by port and cause.", []string{"port", "cause"}, nil)
)

// collector collects the metrics of a budget and its ports.
type collector struct {
	budget *Budget
	ports  []*Port
}

// NewCollector returns the metrics of the budget and the ports.
func NewCollector(b *Budget, ports ...*Port) prometheus.Collector { return collector{b, ports} }

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{reservedDesc, budgetDesc, connectionsDesc, refusedDesc, unansweredDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	ch <- prometheus.MustNewConstMetric(reservedDesc, prometheus.GaugeValue, float64(c.budget.Used()))
	ch <- prometheus.MustNewConstMetric(budgetDesc, prometheus.GaugeValue, float64(c.budget.Limit()))
	for _, p := range c.ports {
		ch <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(p.Connections()), p.name)
		for reason, name := range reasonNames {
			ch <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(p.refused[reason].Load()), p.name, name)
		}
		for cause, name := range closeCauseNames {
			ch <- prometheus.MustNewConstMetric(unansweredDesc, prometheus.CounterValue, float64(p.unanswered[cause].Load()), p.name, name)
		}
	}
}
