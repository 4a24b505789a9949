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
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// targetDialTimeout is many round trips within a region.
	targetDialTimeout = 500 * time.Millisecond
	maxTargetHeader   = 64 << 10
	targetReadBuffer  = 4 << 10
)

// keepAlive finds a target that lost its power or its link within about three
// seconds, also while the connection is idle.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 700 * time.Millisecond, Count: 3}

// newTargetTransport opens a connection for each request. A kept connection that
// the target closes at the same moment, or on which a late answer to an earlier
// request arrives, would leave the outcome of a request unknown for no reason.
func newTargetTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: targetDialTimeout, KeepAliveConfig: keepAlive}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxTargetHeader,
		ReadBufferSize:         targetReadBuffer,
		WriteBufferSize:        targetReadBuffer,
	}
}

// connected notes whether a request has got a connection, after which a byte of
// it may have reached the other side.
type connected struct{ atomic.Bool }

func (c *connected) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.Store(true) }})
}

// send sends a call to a target and waits for the head of the answer.
func (g *Gateway) send(ctx context.Context, c *call, e *catalog.Entry, team *deployment.Team, resumeAfter, fetchFrom string) (*answer, *failure) {
	var conn connected
	req, err := http.NewRequestWithContext(conn.trace(ctx), c.method, "http://"+e.Address, bodyOf(c.body))
	if err != nil {
		return nil, notRun(placement.Inconclusive, true, "the request cannot be passed on: %v", err)
	}
	path, query, hasQuery := strings.Cut(c.path, "?")
	req.URL = &url.URL{Scheme: "http", Host: e.Address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	req.Host = c.host
	req.ContentLength = int64(len(c.body))
	req.Header = c.header.Clone()
	errand := platform.TargetHeaders{TargetID: e.ID, Timeout: time.Until(c.deadline), Priority: c.route.PriorityFor(team), LastEventID: resumeAfter, FetchFrom: fetchFrom}
	if !c.route.Open {
		errand.Team = c.team
	}
	platform.SetTargetHeaders(req.Header, errand)
	res, err := g.targets.RoundTrip(req)
	if err != nil {
		return nil, sendFailure(ctx, &conn, err)
	}
	if f := judge(res, c.ID); f != nil {
		_ = res.Body.Close()
		return nil, f
	}
	return &answer{status: res.StatusCode, header: res.Header, body: res.Body, target: e.ID}, nil
}

// bodyOf keeps net/http from knowing how to repeat the body.
func bodyOf(b []byte) io.Reader {
	if len(b) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(b)}
}

func sendFailure(ctx context.Context, conn *connected, err error) *failure {
	switch {
	case !conn.Load() && ctx.Err() != nil:
		return notRun(placement.Inconclusive, true, "no connection to the target: %v", context.Cause(ctx))
	case !conn.Load():
		return notRun(placement.Unreachable, true, "no connection to the target: %v", err)
	case ctx.Err() != nil:
		return mayHaveRun(placement.Inconclusive, result.TargetTimeout, "the target did not answer: %v", context.Cause(ctx))
	}
	return mayHaveRun(placement.ConnectionLost, result.TargetFailed, "the connection to the target broke: %v", err)
}

// judge turns an answer that is none of the target's own into a failure.
func judge(res *http.Response, id string) *failure {
	switch platform.ClassifyResponse(res.StatusCode, res.Header, id) {
	case platform.NotRun:
		return notRun(placement.Rejected, false, "the target rejected the request with status %d", res.StatusCode)
	case platform.WrongTarget:
		return notRun(placement.AddressReused, false, "another target has the address")
	case platform.InvalidResponse:
		return mayHaveRun(placement.Failed, result.TargetFailed, "the answer of the target is not one to this request")
	}
	if promisesNotRun(res.StatusCode) {
		// The target did not say that it has not run the request, so this status
		// must not reach the caller, whom it would promise that.
		return mayHaveRun(placement.Failed, result.TargetFailed, "the target answered %d without saying that the request was not run", res.StatusCode)
	}
	return nil
}

func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}
