package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/httpframing"
	"github.com/wigeonhill/wigeonhill/internal/intake"
	"github.com/wigeonhill/wigeonhill/internal/quota"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// maxHeader bounds the header of a request in bytes, whatever is published.
	maxHeader = 1 << 20
	// defaultTimeout applies to requests for which the caller sets no timeout.
	defaultTimeout = 30 * time.Second
	// writeMargin is the time after the deadline in which the last bytes of a
	// response may be written.
	writeMargin = 500 * time.Millisecond
)

// NewServer returns the HTTP server for callers. Its connections must be those of an
// intake.Port, which bounds heads and idle times by the published limits; timeouts of
// the server could not follow them.
func (g *Gateway) NewServer() *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Pre(withPath)
	e.RouteNotFound("/*", g.handleRequest)
	return &http.Server{
		Handler: httpframing.Handler(e), MaxHeaderBytes: maxHeader,
		// OPTIONS for "*" has no route like every other request of that form.
		DisableGeneralOptionsHandler: true,
		ConnContext:                  httpframing.ConnContext,
		// Errors of callers' connections would fill the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// withPath gives echo a path for request targets without one, which it would answer
// itself otherwise. handleRequest reads the target as it was sent.
func withPath(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if u := c.Request().URL; !strings.HasPrefix(u.Path, "/") {
			u.Path, u.RawPath = "/", ""
		}
		return next(c)
	}
}

// Listen opens a TCP listener with keep-alive probes on its connections.
func Listen(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{KeepAliveConfig: keepAlive}).Listen(context.Background(), "tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// handleRequest serves one request of a caller.
func (g *Gateway) handleRequest(ec echo.Context) error {
	g.runningRequests.Add(1)
	defer g.runningRequests.Add(-1)
	w, r := ec.Response().Writer, ec.Request()
	var c *call
	var d *delivery
	defer func() { g.recoverPanic(recover(), w, r, c, d) }()
	c, body, err := g.readRequest(w, r)
	defer body.Release()
	if err == nil {
		err = g.refusal()
	}
	var team *deployment.Team
	var units float64
	if err == nil {
		team, units, err = g.admit(c)
	}
	if err != nil {
		g.Metrics.recordRequest(c, nil, err, time.Now())
		g.writeErrorResponse(w, r, c, err)
		return nil
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	ctx, stop := g.untilCutoff(ctx)
	defer stop()
	g.RetryBudget.RecordRequest(c.service)
	s := &callerSink{gateway: g, w: w, rc: http.NewResponseController(w)}
	_ = s.rc.SetWriteDeadline(c.deadline.Add(writeMargin)) // some writers do not support it; then only the context applies
	d = &delivery{sink: s}
	defer d.close()
	err = g.serveCall(ctx, c, d)
	if err != nil && team != nil && result.FromError(err).Ran == result.NotRun {
		g.Quota.Refund(team, units)
	}
	g.Metrics.recordRequest(c, d, err, time.Now())
	g.finishResponse(w, r, c, d, err)
	return nil
}

// recoverPanic turns p, the value of a panic or nil, into an error response if the
// response has not begun. It passes http.ErrAbortHandler on to net/http. c is nil if the
// request was not decoded, d if it was not dispatched.
func (g *Gateway) recoverPanic(p any, w http.ResponseWriter, r *http.Request, c *call, d *delivery) {
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	g.Log.Emit(event.PanicRecovered, zap.String("request", r.Header.Get(platform.RequestIDHeader)), zap.Any("panic", p), zap.Stack("stack"))
	if c == nil || d != nil && d.started {
		panic(http.ErrAbortHandler)
	}
	g.writeErrorResponse(w, r, c, result.New(result.InternalError, result.MayHaveRun, "internal fault"))
}

// readRequest decodes a request and reads its body. The API key is checked before
// the body is read; the caller of readRequest releases it. The call is never nil, also
// with an error.
func (g *Gateway) readRequest(w http.ResponseWriter, r *http.Request) (*call, intake.Body, error) {
	now := time.Now()
	arrived, left := arrivalOf(r, now)
	c := newCall(r.Header, r.Host, r.Method, r.RequestURI, arrived)
	c.conn = httpframing.Conn(r.Context())
	c.connCheckedAt = now
	v := g.Catalog.Current()
	if err := c.resolve(v); err != nil {
		return c, intake.Body{}, err
	}
	c.setDeadline()
	if !now.Before(c.deadline) {
		return c, intake.Body{}, result.New(result.DeadlineTooNear, result.NotRun, "the request waited %s to be read", now.Sub(arrived).Round(time.Millisecond))
	}
	if left {
		return c, intake.Body{}, errCallerLeft()
	}
	body, err := g.readBody(w, r, c, v.Config.Limits)
	return c, body, err
}

// newCall returns the call for a request of a caller, without its body. target is the
// request target as the caller sent it.
func newCall(h http.Header, host, method, target string, arrived time.Time) *call {
	c := &call{Request: platform.ParseRequest(h), host: stripPort(host), method: method, path: pathAndQuery(target),
		header: platform.ForwardedRequestHeaders(h), arrived: arrived}
	c.keyHash, c.APIKey = hashAPIKey(c.APIKey), ""
	return c
}

// setDeadline sets the deadline of a resolved call.
func (c *call) setDeadline() {
	timeout := c.CallerTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.arrived.Add(timeout)
	if t := c.arrived.Add(c.route.Timeout); c.route.Timeout > 0 && t.Before(c.deadline) {
		c.deadline = t
	}
}

// pathAndQuery returns the path and query of a request target as the caller sent
// them. The absolute form, which callers send to proxies, names the host too (RFC 9112,
// 3.2.2). A target of another form ("*" or an authority) is returned unchanged and
// has no route.
func pathAndQuery(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	scheme, rest, ok := strings.Cut(target, "://")
	if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return target
	}
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return rest[i:]
}

func stripPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return strings.TrimSuffix(host, ":")
}

// admit charges a request to the quota of its team. team is nil if none applies;
// otherwise units is what a refund has to return.
func (g *Gateway) admit(c *call) (team *deployment.Team, units float64, err error) {
	team = chargedTeam(c, g.Catalog.Current())
	if team == nil {
		return nil, 0, nil
	}
	units = c.QuotaUnits(team)
	decision := g.Quota.Admit(team, units, time.Now())
	if err := overRate(c, decision, units); err != nil {
		return nil, 0, err
	}
	return team, units, nil
}

// chargedTeam returns the team to whose quota a call is charged; nil if none is.
func chargedTeam(c *call, v *catalog.View) *deployment.Team {
	if v.Config == nil || c.team == "" {
		return nil
	}
	return v.Config.Teams[c.team]
}

// overRate returns the error for a call that the quota does not admit, nil for others.
func overRate(c *call, d quota.Decision, units float64) error {
	if d.Admitted {
		return nil
	}
	return result.New(result.OverRate, result.NotRun, "team %s is over its allowance: level %.0f, part of the rate %.2f, request %.0f",
		c.team, d.Level, d.Share, units).WithRetryAfter(d.RetryAfter)
}

// finishResponse completes the response to a request that was dispatched: it logs
// missed objectives, or writes or logs err.
func (g *Gateway) finishResponse(w http.ResponseWriter, r *http.Request, c *call, d *delivery, err error) {
	if err == nil {
		if gap := c.route.GapObjective; gap > 0 && d.longestGap > gap {
			g.Log.Emit(event.StreamStalled, zap.String("request", c.ID), zap.String("route", c.route.Name), zap.Duration("longest", d.longestGap),
				zap.String("target", d.target), zap.String("away", d.remoteRegion))
		}
		if took := d.firstByteAt.Sub(c.arrived); took > c.route.FirstByteObjective && c.route.FirstByteObjective > 0 {
			g.Log.Emit(event.ResponseLate, zap.String("request", c.ID), zap.String("route", c.route.Name), zap.Duration("took", took),
				zap.Duration("expected", d.expectedDelay), zap.String("target", d.target), zap.String("away", d.remoteRegion), zap.Int("sends", c.failedAttempts+1))
		}
		return
	}
	if !d.started {
		g.writeErrorResponse(w, r, c, err)
		return
	}
	g.logFailure(c, result.FromError(err), zap.String("framing", string(d.framing)), zap.String("caller_protocol", r.Proto))
	// The connection is aborted so that the caller does not take a partial response
	// for a complete one.
	panic(http.ErrAbortHandler)
}

// writeErrorResponse logs err and writes it as the complete response.
func (g *Gateway) writeErrorResponse(w http.ResponseWriter, r *http.Request, c *call, err error) {
	e := result.FromError(err)
	g.logFailure(c, e)
	// A body that is not waited for ends the context, too, but its caller is there.
	if r.Context().Err() != nil && e.Code != result.MemoryLimitReached && e.Code != result.CallerTooSlow {
		panic(http.ErrAbortHandler) // the caller closed the connection
	}
	g.announceClose(w.Header())
	platform.SetErrorHeaders(w.Header(), c.ID, e.RetryAfter)
	w.Header().Set("Content-Type", "text/plain")
	text := e.Code.String() + ": " + e.Message + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(2 * writeMargin))
	w.WriteHeader(httpStatus(e))
	_, _ = io.WriteString(w, text) // fails only if the caller closed the connection
}

// httpStatus returns the status of an error response. Statuses that tell the
// caller that the request was not run are only used if that is true.
func httpStatus(e *result.Error) int {
	status := e.Code.Status()
	switch {
	case e.Ran == result.MayHaveRun && (impliesNotRun(status) || status < http.StatusInternalServerError):
		return http.StatusBadGateway
	case e.Code == result.RequestBlocked:
		return http.StatusServiceUnavailable
	case e.Ran == result.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	}
	return status
}

func (g *Gateway) logFailure(c *call, e *result.Error, more ...zap.Field) {
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	revision := g.Catalog.Revision()
	g.Log.Emit(failureEvent(e), append(more, zap.String("request", c.ID), zap.Int("code", int(e.Code)), zap.String("name", e.Code.String()), zap.Stringer("ran", e.Ran),
		zap.String("reason", e.Message), zap.String("team", c.team), zap.String("route", route), zap.String("service", c.service),
		zap.Duration("after", time.Since(c.arrived)), zap.Int("sent", c.possibleRuns), zap.Int("sends", c.failedAttempts),
		zap.Duration("retry_after", e.RetryAfter), zap.Int64("revision", revision.Number), zap.Int64("era", revision.Era))...)
}

// failureEvent returns the event with which a request that ended with e is logged.
func failureEvent(e *result.Error) event.Event {
	if e.Ran == result.MayHaveRun {
		return event.RequestIncomplete
	}
	return event.RequestRefused
}

// announceClose makes a response close its connection if the instance is being stopped.
func (g *Gateway) announceClose(h http.Header) {
	if g.draining.Load() {
		h.Set("Connection", "close")
	}
}

// callerSink writes a response to the caller.
type callerSink struct {
	gateway *Gateway
	w       http.ResponseWriter
	rc      *http.ResponseController
}

// Head implements sink.
func (s *callerSink) Head(status int, header http.Header, length int64, _ string) error {
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.gateway.announceClose(h)
	s.w.WriteHeader(status)
	return nil
}

// Data implements sink.
func (s *callerSink) Data(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.rc.Flush()
}
