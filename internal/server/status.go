package server

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/ops"
)

// ready returns nil if callers may be sent to this instance, otherwise the reason
// why not.
func (srv *Server) ready() error {
	cfg := srv.configs.Current()
	if cfg == nil {
		return errors.New("no edition has been received yet")
	}
	if err := srv.gate.Check(); err != nil {
		return err
	}
	if self := srv.members.Self(); !self.Usable() {
		return errors.New("the instance is leaving")
	}
	if !srv.warmup.done.Load() {
		return errors.New("the instance is waiting for its first slots")
	}
	return nil
}

// overview is the response for `wigeonhill status overview`.
type overview struct {
	Instance      string               `json:"instance"`
	Incarnation   string               `json:"incarnation"`
	Version       string               `json:"version"`
	Region        string               `json:"region"`
	Domain        string               `json:"failure_domain"`
	Uptime        string               `json:"uptime"`
	Ready         string               `json:"ready"`
	Running       int                  `json:"running"`
	Queued        int                  `json:"queued"`
	BufferedBytes int64                `json:"bytes_held"`
	ConfigVersion configversion.Status `json:"edition"`
	Leadership    []leadershipStatus   `json:"terms"`
	Members       []memberStatus       `json:"members"`
	Targets       []targetStatus       `json:"targets"`
}

type leadershipStatus struct {
	Shard  uint32 `json:"shard"`
	Leader string `json:"grantor"`
	Local  bool   `json:"own"`
	Ballot uint64 `json:"ballot,omitempty"`
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

// status returns the overview of this instance.
func (srv *Server) status() any {
	o := overview{
		Instance: srv.self.Instance, Incarnation: fmt.Sprintf("%016x", srv.self.Incarnation), Version: srv.version,
		Region: srv.self.Region, Domain: srv.self.Domain, Uptime: time.Since(srv.started).Round(time.Second).String(),
		Ready: "yes", Running: srv.gate.Running(), Queued: srv.admitter.Queued(), BufferedBytes: srv.memoryBudget.ReservedBytes(),
		ConfigVersion: srv.configs.Status(),
	}
	if err := srv.ready(); err != nil {
		o.Ready = err.Error()
	}
	for _, m := range srv.members.All() {
		o.Members = append(o.Members, memberStatus{m.Name, m.Region, m.State.String(), m.Load})
	}
	cfg := srv.configs.Current()
	if cfg == nil {
		return o
	}
	now := srv.clock.Now()
	for _, shard := range srv.localShards(cfg) {
		lead := leadershipStatus{Shard: shard.Index}
		if hint := srv.leadership.LeaderHint(now, shard); hint != nil {
			lead.Leader = hint.Instance
		}
		if held, ok := srv.leadership.LeaseFor(now, shard); ok {
			lead.Local, lead.Ballot = true, held.Ballot
		}
		o.Leadership = append(o.Leadership, lead)
	}
	for name, target := range cfg.Targets {
		if target.Region == srv.self.Region {
			load, _ := srv.leases.Load(name)
			o.Targets = append(o.Targets, targetStatus{name, target.Capacity, srv.router.leaving(name), load})
		}
	}
	return o
}

// teamOverview is the response for `wigeonhill status team`.
type teamOverview struct {
	Team             string           `json:"team"`
	Configured       bool             `json:"in_table"`
	Rate             float64          `json:"rate_tokens_per_second"`
	Burst            float64          `json:"burst_tokens"`
	LocalRegionShare float64          `json:"own_region_share"`
	Residency        string           `json:"residency,omitempty"`
	LocalBalance     float64          `json:"tokens_held_here"`
	RecentFigures    []ops.TeamCounts `json:"last_two_minutes"`
}

// teamStatus returns the teamOverview of a team.
func (srv *Server) teamStatus(name string) any {
	v := teamOverview{Team: name, LocalBalance: srv.leases.Balance(name)}
	if cfg := srv.configs.Current(); cfg != nil {
		if t := cfg.Teams[name]; t != nil {
			v.Configured, v.Rate, v.Burst, v.Residency = true, t.Rate, t.Burst, t.Residency
		}
		if r := cfg.Regions[srv.self.Region]; r != nil {
			v.LocalRegionShare = r.EffectiveShare()
		}
	}
	for _, f := range srv.teamStats.Totals() {
		if f.Team == name {
			v.RecentFigures = append(v.RecentFigures, f)
		}
	}
	return v
}

// registerGauges registers the gauges and counters whose values are read from the
// managers at scrape time.
func (srv *Server) registerGauges() {
	srv.metrics.RegisterGauge("slow_reader_bytes", "Bytes held for slow callers and slow targets.", func() float64 { return float64(srv.memoryBudget.ReservedBytes()) })
	srv.metrics.RegisterGauge("requests_running", "Requests in progress.", func() float64 { return float64(srv.gate.Running()) })
	srv.metrics.RegisterGauge("requests_queued", "Requests that wait for tokens or a slot.", func() float64 { return float64(srv.admitter.Queued()) })
	srv.metrics.RegisterGauge("edition_revision", "Revision of the edition in force.", func() float64 { return float64(srv.configs.Status().Revision) })
	srv.metrics.RegisterGauge("edition_age_seconds", "Time since a peer or the service confirmed the edition.", func() float64 { return srv.configs.Age().Seconds() })
	srv.metrics.RegisterCounter("editions_rejected_total", "Editions rejected because of faults.", func() float64 { return float64(srv.configs.Status().Rejections) })
	srv.metrics.RegisterCounter("edition_conflicts_total", "Texts seen with a known revision and another digest.", func() float64 { return float64(srv.configs.Status().Conflicts) })
	srv.metrics.RegisterCounter("retries_refused_total", "Retries not made because the retry budget was used up.", func() float64 { return float64(srv.localDispatcher.RetryBudget.RefusedRetries()) })
	srv.metrics.RegisterCounter("config_service_calls_total", "Calls to the configuration service; a watch counts as one.", func() float64 {
		calls := srv.configClient.CallCounts()
		return float64(calls.Reads + calls.Waits)
	})
}
