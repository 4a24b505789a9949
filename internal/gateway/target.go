package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// targetDialTimeout is many times the round trip within a region.
	targetDialTimeout = 500 * time.Millisecond
	// maxTargetHeadBytes bounds the head of a target's response.
	maxTargetHeadBytes = 16 << 10
)

// keepAlive detects a peer that lost its power or its link within about three
// seconds, also while the connection is idle.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 700 * time.Millisecond, Count: 3}

// newTargetTransport returns a transport that opens a connection for each request.
// If a reused connection is closed by the target just as a request is sent, or
// carries a late response to an earlier request, the outcome of the request would
// be unknown for no reason.
func newTargetTransport() *http.Transport {
	return httpclient.NewTransport(httpclient.Config{ConnectTimeout: targetDialTimeout, KeepAlive: keepAlive, MaxHead: maxTargetHeadBytes})
}

// connTracker records whether a connection was obtained for a request, after which
// a byte of it may have reached the other side.
type connTracker struct{ atomic.Bool }

func (c *connTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.Store(true) }})
}

// traceSend returns a trace that records how long the request takes from now until
// it is written, and tells tracked about that.
func (g *Gateway) traceSend(tracked *placement.Attempt) *httptrace.ClientTrace {
	chosenAt := time.Now()
	return &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		g.Metrics.sendDelay.Observe(time.Since(chosenAt).Seconds())
		tracked.Sent(time.Now())
	}}
}

// send sends a call to a target and waits for the head of the response.
func (g *Gateway) send(ctx context.Context, c *call, entry *catalog.Entry, team *deployment.Team, lastEventID, fetchFrom string, tracked *placement.Attempt) (*targetResponse, *failure) {
	var conn connTracker
	ctx = httptrace.WithClientTrace(conn.trace(ctx), g.traceSend(tracked))
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+entry.Address, requestBody(c.body))
	if err != nil {
		return nil, notRunFailure(placement.Inconclusive, true, "the request cannot be passed on: %v", err)
	}
	path, query, hasQuery := strings.Cut(c.path, "?")
	req.URL = &url.URL{Scheme: "http", Host: entry.Address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	req.Host = c.host
	req.ContentLength = int64(len(c.body))
	req.Header = c.header.Clone()
	headers := platform.TargetHeaders{TargetID: entry.ID, Timeout: time.Until(c.deadline), Priority: c.targetPriority(team), LastEventID: lastEventID, FetchFrom: fetchFrom}
	if !c.route.Open {
		headers.Team = c.team
	}
	platform.SetTargetHeaders(req.Header, headers)
	resp, err := g.targetTransport.RoundTrip(req)
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

// requestBody returns a reader of b whose type net/http does not know, so that it
// cannot replay the body and send the request again by itself.
func requestBody(b []byte) io.Reader {
	if len(b) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(b)}
}

func sendFailure(ctx context.Context, conn *connTracker, err error) *failure {
	switch {
	case !conn.Load() && ctx.Err() != nil:
		return notRunFailure(placement.Inconclusive, true, "no connection to the target: %v", context.Cause(ctx))
	case !conn.Load() && errors.Is(err, syscall.ECONNREFUSED):
		return notRunFailure(placement.Refused, true, "no connection to the target: %v", err)
	case !conn.Load():
		return notRunFailure(placement.Unreachable, true, "no connection to the target: %v", err)
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
