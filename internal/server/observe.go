package server

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/entry"
	"github.com/wigeonhill/wigeonhill/internal/ops"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// metricsObserver passes the measurements of entry and admission to the metrics.
type metricsObserver struct {
	region  string
	metrics *ops.Metrics
	configs *configversion.Manager
}

// RequestDone implements entry.Observer.
func (o metricsObserver) RequestDone(r entry.Record) {
	finished := ops.FinishedRequest{
		Team: r.Team, Code: int(r.Code), Class: r.Class, Duration: r.Duration, FirstByte: r.TimeToFirstByte,
		TokensUsed: r.TokensUsed, Attempts: r.Attempts, Bytes: r.BodyBytes,
	}
	if r.Region != "" && r.Region != o.region {
		finished.RemoteRegion = r.Region
		if cfg := o.configs.Current(); cfg != nil {
			if link := cfg.Links[config.NewLinkID(o.region, r.Region)]; link != nil {
				finished.LinkCostPerGB = link.Cost
			}
		}
	}
	o.metrics.RecordRequest(finished)
}

// Admitted implements admission.Observer. Requests without a team come from the
// warm-up and from routes open to all. They are left out, because the waits of
// the warm-up would hide those of callers.
func (o metricsObserver) Admitted(team string, waited time.Duration) {
	if team != "" {
		o.metrics.RecordQueueWait(team, waited)
	}
}

// Refused implements admission.Observer.
func (o metricsObserver) Refused(team string, code result.Code, withinRate bool) {
	if withinRate && code == result.OverRate {
		o.metrics.RecordRefusedWithinRate(team)
	}
}

// configConfirmer implements dispatch.ConfigConfirmer with the manager of
// configuration versions.
type configConfirmer struct{ *configversion.Manager }

// CheckAge implements dispatch.ConfigConfirmer. Paused compares clock readings
// itself, so it already returns true for the first request after a process pause,
// before any ticker has fired.
func (c configConfirmer) CheckAge() error {
	if c.Paused() {
		return result.New(result.NotReady, result.NotRun, "the instance was paused and has not confirmed its edition").WithRetryAfter(time.Second)
	}
	if c.TooOld() {
		return result.New(result.ConfigTooOld, result.NotRun, "the instance was cut off for longer than max_edition_age")
	}
	return nil
}
