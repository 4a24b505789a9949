package node

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/ops"
)

// ready tells whether callers may be sent to this instance.
func (n *Node) ready() error {
	e := n.editions.Current()
	if e == nil {
		return errors.New("no edition has been received yet")
	}
	if err := n.gate.Check(); err != nil {
		return err
	}
	if self := n.members.Self(); !self.Used() {
		return errors.New("the instance is leaving")
	}
	if !n.warmup.done.Load() {
		return errors.New("the instance is waiting for its first slots")
	}
	return nil
}

// overview is the answer of `wigeonhill status overview`.
type overview struct {
	Instance    string               `json:"instance"`
	Incarnation string               `json:"incarnation"`
	Version     string               `json:"version"`
	Region      string               `json:"region"`
	Domain      string               `json:"failure_domain"`
	Uptime      string               `json:"uptime"`
	Ready       string               `json:"ready"`
	Running     int                  `json:"running"`
	Queued      int                  `json:"queued"`
	Held        int64                `json:"bytes_held"`
	Edition     configversion.Status `json:"edition"`
	Terms       []termStatus         `json:"terms"`
	Members     []memberStatus       `json:"members"`
	Targets     []targetStatus       `json:"targets"`
}

type termStatus struct {
	Shard   uint32 `json:"shard"`
	Grantor string `json:"grantor"`
	Own     bool   `json:"own"`
	Ballot  uint64 `json:"ballot,omitempty"`
}

type memberStatus struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  string `json:"state"`
	Load   uint32 `json:"load"`
}

type targetStatus struct {
	Name     string     `json:"name"`
	Capacity int        `json:"capacity"`
	Leaving  bool       `json:"leaving"`
	Load     lease.Load `json:"load"`
}

func (n *Node) status() any {
	o := overview{
		Instance: n.self.Instance, Incarnation: fmt.Sprintf("%016x", n.self.Incarnation), Version: n.version,
		Region: n.self.Region, Domain: n.self.Domain, Uptime: time.Since(n.started).Round(time.Second).String(),
		Ready: "yes", Running: n.gate.Running(), Queued: n.admitter.Queued(), Held: n.memory.ReservedBytes(),
		Edition: n.editions.Status(),
	}
	if err := n.ready(); err != nil {
		o.Ready = err.Error()
	}
	for _, m := range n.members.All() {
		o.Members = append(o.Members, memberStatus{m.Name, m.Region, m.State.String(), m.Load})
	}
	e := n.editions.Current()
	if e == nil {
		return o
	}
	now := n.clock.Now()
	for _, shard := range n.ownShards(e) {
		t := termStatus{Shard: shard.Index}
		if hint := n.terms.LeaderHint(now, shard); hint != nil {
			t.Grantor = hint.Instance
		}
		if own, ok := n.terms.LeaseFor(now, shard); ok {
			t.Own, t.Ballot = true, own.Ballot
		}
		o.Terms = append(o.Terms, t)
	}
	for name, target := range e.Targets {
		if target.Region == n.self.Region {
			load, _ := n.grants.Load(name)
			o.Targets = append(o.Targets, targetStatus{name, target.Capacity, n.routing.leaving(name), load})
		}
	}
	return o
}

// teamView is the answer of `wigeonhill status team`.
type teamView struct {
	Team      string            `json:"team"`
	Known     bool              `json:"in_table"`
	Rate      float64           `json:"rate_tokens_per_second"`
	Burst     float64           `json:"burst_tokens"`
	Share     float64           `json:"own_region_share"`
	Residency string            `json:"residency,omitempty"`
	Balance   float64           `json:"tokens_held_here"`
	Figures   []ops.TeamFigures `json:"last_two_minutes"`
}

func (n *Node) teamStatus(name string) any {
	v := teamView{Team: name, Balance: n.grants.Balance(name)}
	if e := n.editions.Current(); e != nil {
		if t := e.Teams[name]; t != nil {
			v.Known, v.Rate, v.Burst, v.Residency = true, t.Rate, t.Burst, t.Residency
		}
		if r := e.Regions[n.self.Region]; r != nil {
			v.Share = r.EffectiveShare()
		}
	}
	for _, f := range n.teams.Figures() {
		if f.Team == name {
			v.Figures = append(v.Figures, f)
		}
	}
	return v
}

// registerGauges connects values that packages keep to the metrics.
func (n *Node) registerGauges() {
	n.metrics.Gauge("slow_reader_bytes", "Bytes held for slow callers and slow targets.", func() float64 { return float64(n.memory.ReservedBytes()) })
	n.metrics.Gauge("requests_running", "Requests in progress.", func() float64 { return float64(n.gate.Running()) })
	n.metrics.Gauge("requests_queued", "Requests that wait for tokens or a slot.", func() float64 { return float64(n.admitter.Queued()) })
	n.metrics.Gauge("edition_revision", "Revision of the edition in force.", func() float64 { return float64(n.editions.Status().Revision) })
	n.metrics.Gauge("edition_age_seconds", "Time since a peer or the service confirmed the edition.", func() float64 { return n.editions.Age().Seconds() })
	n.metrics.Counter("editions_rejected_total", "Editions rejected because of faults.", func() float64 { return float64(n.editions.Status().Rejections) })
	n.metrics.Counter("edition_conflicts_total", "Texts seen with a known revision and another digest.", func() float64 { return float64(n.editions.Status().Conflicts) })
	n.metrics.Counter("retries_refused_total", "Retries not made because the retry budget was used up.", func() float64 { return float64(n.local.RetryBudget.RefusedRetries()) })
	n.metrics.Counter("config_service_calls_total", "Calls to the configuration service; a watch counts as one.", func() float64 {
		calls := n.service.Calls()
		return float64(calls.Reads + calls.Waits)
	})
}
