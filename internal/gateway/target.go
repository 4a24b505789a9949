package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/targetconn"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// targetDialTimeout is many times the round trip within a region.
	targetDialTimeout = 500 * time.Millisecond
	// maxTargetHeadBytes bounds the head of a target's response.
	maxTargetHeadBytes = 16 << 10
	// defaultIdleTargetConns bounds the idle connections to all targets together, each
	// of which takes about 5 KB. idleDescriptorDivisor is the fraction of the file
	// descriptors that they may take at most.
	defaultIdleTargetConns = 256
	idleDescriptorDivisor  = 16
	// connSharePeriod is how long the number of instances that share a target is used.
	connSharePeriod = time.Second
)

// keepAlive detects a peer that lost its power or its link within about three
// seconds, also while the connection is idle.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 700 * time.Millisecond, Count: 3}

// newTargetConns returns the pool of connections to targets.
func (g *Gateway) newTargetConns() *targetconn.Pool {
	idle := defaultIdleTargetConns
	if d := g.Settings.MaxDescriptors; d > 0 {
		idle = min(idle, d/idleDescriptorDivisor)
	}
	return targetconn.New(targetconn.Config{
		ConnectTimeout: targetDialTimeout, KeepAlive: keepAlive, MaxHead: maxTargetHeadBytes, MaxIdle: idle,
		OnStray: func(address string) { g.Log.Emit(event.TargetConnectionStray, zap.String("address", address)) },
	})
}

// connShare caches the number of instances of the local region.
type connShare struct{ instances, expires atomic.Int64 }

// maxKeptConns returns how many connections to a target of the service this instance
// may have for one more to be kept: its share of half of the bound. The other half is
// left to new connections and to instances that this one does not hear.
func (g *Gateway) maxKeptConns(s *deployment.Service) int {
	if s == nil || s.MaxConns <= 0 {
		return 0
	}
	now := time.Now()
	if now.UnixNano() >= g.targetShare.expires.Load() {
		n := int64(1)
		for _, m := range g.Members.Members() {
			if m.Reachable && m.Region() == g.Settings.Region {
				n++
			}
		}
		g.targetShare.instances.Store(n)
		g.targetShare.expires.Store(now.Add(connSharePeriod).UnixNano())
	}
	return s.MaxConns / 2 / int(g.targetShare.instances.Load())
}

// connTracker records whether a connection was obtained for a request, after which
// a byte of it may have reached the other side.
type connTracker struct{ atomic.Bool }

func (c *connTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.Store(true) }})
}

// send sends a call to a target and waits for the head of the response.
func (g *Gateway) send(ctx context.Context, c *call, entry *catalog.Entry, v *catalog.View, lastEventID, fetchFrom string, tracked *placement.Attempt) (*targetResponse, *failure) {
	var conn connTracker
	chosenAt := time.Now()
	trace := targetconn.Trace{
		Sending: func(reused bool) {
			conn.Store(true)
			g.Metrics.recordConnection(reused)
		},
		Sent: func() {
			g.Metrics.sendDelay.Observe(time.Since(chosenAt).Seconds())
			tracked.Sent(time.Now())
		},
	}
	team := v.Config.Teams[c.team]
	headers := platform.TargetHeaders{TargetID: entry.ID, Timeout: time.Until(c.deadline), Priority: c.route.PriorityFor(team), LastEventID: lastEventID, FetchFrom: fetchFrom}
	if !c.route.Open {
		headers.Team = c.team
	}
	h := c.header.Clone()
	platform.SetTargetHeaders(h, headers)
	resp, err := g.targetConns.RoundTrip(ctx, entry.Address, &targetconn.Request{
		Method: c.method, Target: c.path, Host: c.host, Header: h, Body: c.body, IDHeader: platform.RequestIDHeader,
		// A request that may run once only must not meet a connection that its target
		// is just closing.
		Reuse: c.route.Retryable(), MaxConns: g.maxKeptConns(v.Config.Services[c.service]),
	}, trace)
	if err != nil {
		return nil, sendFailure(ctx, &conn, err)
	}
	if platform.SaysLeaving(resp.StatusCode, resp.Header, c.ID) && tracked.SetLeaving(time.Now()) {
		g.Log.Emit(event.TargetSaysLeaving, zap.String("target", entry.ID), zap.String("request", c.ID), zap.Int("status", resp.StatusCode), zap.Bool("listed_leaving", entry.Leaving))
	}
	if f := responseFailure(resp, c.ID); f != nil {
		_ = resp.Body.Close()
		return nil, f
	}
	return &targetResponse{status: resp.StatusCode, header: resp.Header, body: resp.Body, target: entry.ID, framing: framingOf(resp)}, nil
}

func sendFailure(ctx context.Context, conn *connTracker, err error) *failure {
	switch {
	case !conn.Load() && ctx.Err() != nil:
		return notRunFailure(placement.Inconclusive, true, "no connection to the target: %v", context.Cause(ctx))
	case !conn.Load() && errors.Is(err, syscall.ECONNREFUSED):
		return notRunFailure(placement.Refused, true, "no connection to the target: %v", err)
	case !conn.Load() && targetconn.OutOfDescriptors(err), errors.Is(err, targetconn.ErrInvalidRequest):
		// This is about the instance or the request, not about the target.
		return notRunFailure(placement.Inconclusive, true, "no connection to the target: %v", err)
	case !conn.Load():
		return notRunFailure(placement.Unreachable, true, "no connection to the target: %v", err)
	case errors.Is(err, targetconn.ErrForeignResponse):
		return mayHaveRunFailure(placement.Inconclusive, result.TargetFailed, "%v", err)
	case ctx.Err() != nil:
		return mayHaveRunFailure(placement.Inconclusive, result.TargetTimeout, "the target did not answer: %v", context.Cause(ctx))
	}
	return mayHaveRunFailure(placement.ConnectionLost, result.TargetFailed, "the connection to the target broke: %v", err)
}

// responseFailure returns a failure if the response must not be passed on: the
// target did not run the request, it is not the target that was addressed, or the
// response is invalid. Otherwise it returns nil.
func responseFailure(resp *http.Response, requestID string) *failure {
	switch platform.ClassifyResponse(resp.StatusCode, resp.Header, requestID) {
	case platform.NotRun:
		return notRunFailure(placement.Rejected, false, "the target rejected the request with status %d", resp.StatusCode)
	case platform.WrongTarget:
		return notRunFailure(placement.AddressReused, false, "another target has the address")
	case platform.InvalidResponse:
		return mayHaveRunFailure(placement.Failed, result.TargetFailed, "the answer of the target is not one to this request")
	}
	if impliesNotRun(resp.StatusCode) {
		// This status would tell the caller that the request was not run, but the
		// target did not say so.
		return mayHaveRunFailure(placement.Failed, result.TargetFailed, "the target answered %d without saying that the request was not run", resp.StatusCode)
	}
	return nil
}

// impliesNotRun reports whether callers take status to mean that the request was
// not run.
func impliesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}
