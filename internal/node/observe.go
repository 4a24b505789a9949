package node

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/entry"
	"github.com/wigeonhill/wigeonhill/internal/ops"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// observer passes what the packages measure to the metrics.
type observer struct {
	region   string
	metrics  *ops.Metrics
	editions *configversion.Manager
}

// RequestDone implements entry.Observer.
func (o observer) RequestDone(r entry.Record) {
	f := ops.Finished{
		Team: r.Team, Code: int(r.Code), Class: r.Class, Duration: r.Duration, FirstByte: r.FirstByte,
		TokensUsed: r.Tokens, Attempts: r.Attempts, BytesAway: r.Bytes,
	}
	if r.Region != "" && r.Region != o.region {
		f.ServedRegion = r.Region
		if e := o.editions.Current(); e != nil {
			if link := e.Links[config.NewLinkID(o.region, r.Region)]; link != nil {
				f.LinkCostGB = link.Cost
			}
		}
	}
	o.metrics.RequestFinished(f)
}

// Admitted implements admit.Observer. Requests without a team are those of the
// warm-up and of routes open to all; the waits of the first would hide those of
// callers.
func (o observer) Admitted(team string, waited time.Duration) {
	if team != "" {
		o.metrics.QueueWait(team, waited)
	}
}

// Refused implements admit.Observer.
func (o observer) Refused(team string, code result.Code, withinRate bool) {
	if withinRate && code == result.OverRate {
		o.metrics.RefusedWithinRate(team)
	}
}

// confirmer implements dispatch.Confirmer over the edition manager.
type confirmer struct{ *configversion.Manager }

// CheckAge implements dispatch.Confirmer. Paused looks at the clock, so it is
// true from the first request after a pause, before any ticker runs.
func (c confirmer) CheckAge() error {
	if c.Paused() {
		return result.New(result.NotReady, result.NotRun, "the instance was paused and has not confirmed its edition").WithRetryAfter(time.Second)
	}
	if c.TooOld() {
		return result.New(result.EditionTooOld, result.NotRun, "the instance was cut off for longer than max_edition_age")
	}
	return nil
}
