package gateway

import (
	"context"
	"io"
	"net/http/httptrace"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/balance"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// remoteRegions returns the other regions in which a call may run; none for a call that
// was forwarded, as a request takes at most one hop.
func (g *Gateway) remoteRegions(c *call, team *deployment.Team, exclude map[string]bool) []placement.RegionView {
	if c.forwarded {
		return nil
	}
	now := time.Now()
	views := g.Regions.Views(c.service, len(c.body), func(region string) bool {
		return !exclude[region] && deployment.RegionAllowed(c.route, team, region)
	}, now)
	config := g.Catalog.Current().Config
	if config == nil || len(views) == 0 {
		return views
	}
	if s := config.Services[c.service]; s != nil && s.Engine != nil {
		q, m := c.placementQuery(g.Settings.Region, team, now), g.Tracker.Model(s)
		for i := range views {
			views[i].AddPrompt(q, m)
		}
	}
	return views
}

// hop forwards a call to an instance of the region that was chosen.
func (g *Gateway) hop(ctx context.Context, c *call, choice placement.Choice, lastEventID string) (*targetResponse, *failure) {
	h := g.Regions.Begin(c.service, choice.Region, len(c.body), choice.Delay, time.Now())
	if h == nil {
		return nil, notRunFailure(placement.Inconclusive, true, "region %s has no room left for this instance", choice.Region)
	}
	resp, f := g.forward(traceConnect(ctx, h), c, h.Address(), lastEventID)
	if f != nil {
		outcome := hopOutcome(ctx, f)
		h.End(outcome, time.Now())
		if outcome != balance.Ran {
			g.Log.Emit(event.ForwardNotTaken, zap.String("request", c.ID), zap.String("region", choice.Region), zap.String("address", h.Address()),
				zap.String("service", c.service), zap.Bool("reached", outcome != balance.Unreachable), zap.String("reason", f.err.Message))
		}
		return nil, f
	}
	h.FirstByte(time.Now())
	resp.body = hopBody{resp.body, h}
	return resp, nil
}

// hopOutcome returns what a failed hop says about the region.
func hopOutcome(ctx context.Context, f *failure) balance.Outcome {
	switch {
	case ctx.Err() != nil:
		return balance.Ran // the caller has gone, or its time is over
	case f.outcome == placement.Unreachable, f.outcome == placement.Refused, f.outcome == placement.ConnectionLost:
		return balance.Unreachable
	case f.err.Ran == result.NotRun && f.err.Code == result.NoSlot:
		return balance.Refused
	case f.err.Ran == result.NotRun && (f.err.Code == result.NotReady || f.err.Code == result.ShuttingDown):
		return balance.Stopping
	}
	return balance.Ran
}

// traceConnect returns a context whose calls report to h how long they connect.
func traceConnect(ctx context.Context, h *balance.Hop) context.Context {
	var started time.Time
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { started = time.Now() },
		ConnectDone: func(_, _ string, err error) {
			if err == nil {
				h.Connected(time.Since(started))
			}
		},
	})
}

// hopBody is the body of the response to a hop, which ends when it is closed.
type hopBody struct {
	io.ReadCloser
	hop *balance.Hop
}

// Close implements io.Closer.
func (b hopBody) Close() error {
	b.hop.End(balance.Ran, time.Now())
	return b.ReadCloser.Close()
}
