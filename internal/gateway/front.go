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

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// headerTimeout and idleTimeout protect connections from callers that send
	// nothing; they are longer than what configurations allow callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// defaultMaxHeader and defaultMaxBody apply until a configuration is known,
	// in bytes.
	defaultMaxHeader = 64 << 10
	defaultMaxBody   = 4 << 20
	// bodyMemoryPart is the part of the memory of the instance that request
	// bodies may take together.
	bodyMemoryPart = 0.3
	// defaultPatience is the time for a request without a limit of its own.
	defaultPatience = 30 * time.Second
	// writeMargin is the time for the last bytes of an answer after the deadline.
	writeMargin = 500 * time.Millisecond
	// bodyBuffer is the most that is set aside for a body on the caller's word.
	bodyBuffer = 64 << 10
)

// NewServer returns the HTTP server for callers.
func (g *Gateway) NewServer() *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.RouteNotFound("/*", g.serve)
	return &http.Server{
		Handler: e, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: defaultMaxHeader,
		// Faults of callers' connections would fill the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// Listen opens a listener whose connections are probed while they are idle.
func Listen(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{KeepAliveConfig: keepAlive}).Listen(context.Background(), "tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// serve answers one request of a caller.
func (g *Gateway) serve(ec echo.Context) error {
	g.running.Add(1)
	defer g.running.Add(-1)
	w, r := ec.Response().Writer, ec.Request()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c, err := g.read(w, r)
	defer func() { g.memory.Add(-int64(cap(c.body))) }()
	var team *deployment.Team
	var units float64
	if err == nil {
		team, units, err = g.admit(c)
	}
	if err != nil {
		g.Metrics.request(c, nil, err, time.Now())
		g.refuse(w, r, c, err)
		return nil
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	g.RetryBudget.RecordRequest(c.service)
	s := &callerSink{w: w, rc: http.NewResponseController(w)}
	_ = s.rc.SetWriteDeadline(c.deadline.Add(writeMargin)) // not offered by all writers, then the context ends it
	d := &delivery{sink: s}
	err = g.run(ctx, c, d)
	if err != nil && team != nil && result.From(err).Ran == result.NotRun {
		g.Quota.Refund(team, units)
	}
	g.Metrics.request(c, d, err, time.Now())
	g.finish(w, r, c, d, err)
	return nil
}

// read decodes a request and reads its body. The key is checked before the body
// is read.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request) (*call, error) {
	now := time.Now()
	c := &call{
		Request: platform.ParseRequest(r.Header), host: hostOnly(r.Host), method: r.Method, path: r.RequestURI,
		header: platform.ForwardedRequestHeaders(r.Header), arrived: now,
	}
	c.keyHash, c.APIKey = hashOf(c.APIKey), ""
	v := g.Catalog.Current()
	if err := c.resolve(v); err != nil {
		return c, err
	}
	patience := c.CallerTimeout
	if patience <= 0 {
		patience = defaultPatience
	}
	c.deadline = now.Add(patience)
	if t := now.Add(c.route.Timeout); c.route.Timeout > 0 && t.Before(c.deadline) {
		c.deadline = t
	}
	return c, g.readBody(w, r, c, v.Config.Limits)
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call, limits deployment.Limits) error {
	limit := limits.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	tooLarge := result.New(result.BodyTooLarge, result.NotRun, "the body exceeds %d bytes", limit)
	if r.ContentLength > limit {
		return tooLarge
	}
	held := r.ContentLength
	if held < 0 {
		held = bodyBuffer
	}
	if float64(g.memory.Load()+held) > bodyMemoryPart*float64(g.Settings.MemoryBytes) {
		return result.New(result.MemoryBound, result.NotRun, "request bodies fill the memory for them").WithRetryAfter(notReadyPause)
	}
	if held == 0 {
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline)
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), min(held, bodyBuffer))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	c.body = body
	g.memory.Add(int64(cap(body)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge
	case err != nil && r.Context().Err() == nil && time.Now().After(c.deadline):
		return result.New(result.CallerTooSlow, result.NotRun, "the body did not arrive in time")
	case err != nil:
		return result.New(result.BadRequest, result.NotRun, "the body could not be read: %v", err)
	}
	return nil
}

func readAll(r io.Reader, first int64) ([]byte, error) {
	body := make([]byte, 0, first+1)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return strings.TrimSuffix(host, ":")
}

// admit takes the request from its team's allowance.
func (g *Gateway) admit(c *call) (team *deployment.Team, units float64, err error) {
	v := g.Catalog.Current()
	if v.Config == nil || c.team == "" || v.Config.Teams[c.team] == nil {
		return nil, 0, nil
	}
	team = v.Config.Teams[c.team]
	units = c.QuotaUnits(team)
	verdict := g.Quota.Admit(team, units, c.arrived)
	if verdict.Admitted {
		return team, units, nil
	}
	return nil, 0, result.New(result.OverRate, result.NotRun, "team %s is over its allowance: level %.0f, part of the rate %.2f, request %.0f",
		c.team, verdict.Level, verdict.Share, units).WithRetryAfter(verdict.RetryAfter)
}

// finish ends the answer of a request that was dispatched.
func (g *Gateway) finish(w http.ResponseWriter, r *http.Request, c *call, d *delivery, err error) {
	if err == nil {
		if gap := c.route.GapObjective; gap > 0 && d.longestGap > gap {
			g.Log.Emit(event.StreamPaused, zap.String("request", c.ID), zap.String("route", c.route.Name), zap.Duration("longest", d.longestGap),
				zap.String("target", d.target), zap.String("away", d.away))
		}
		if took := d.first.Sub(c.arrived); took > c.route.FirstByteObjective && c.route.FirstByteObjective > 0 {
			g.Log.Emit(event.RequestSlow, zap.String("request", c.ID), zap.String("route", c.route.Name), zap.Duration("took", took),
				zap.Duration("expected", d.expected), zap.String("target", d.target), zap.String("away", d.away), zap.Int("sends", c.sends+1))
		}
		return
	}
	if !d.begun {
		g.refuse(w, r, c, err)
		return
	}
	g.logFailure(c, result.From(err))
	// The caller must not take what it has for the whole answer.
	panic(http.ErrAbortHandler)
}

// refuse writes an error as the whole answer.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, c *call, err error) {
	e := result.From(err)
	g.logFailure(c, e)
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // the caller has left
	}
	platform.SetErrorHeaders(w.Header(), c.ID, e.RetryAfter)
	w.Header().Set("Content-Type", "text/plain")
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(2 * writeMargin))
	w.WriteHeader(statusOf(e))
	_, _ = io.WriteString(w, e.Code.String()+": "+e.Message+"\n") // a caller that left misses it
}

// statusOf is the status of a refusal. Statuses that promise that the request
// was not run are only given if that is so.
func statusOf(e *result.Error) int {
	status := e.Code.Status()
	switch {
	case e.Ran == result.MayHaveRun && (promisesNotRun(status) || status < http.StatusInternalServerError):
		return http.StatusBadGateway
	case e.Code == result.FingerprintBlock:
		return http.StatusServiceUnavailable
	case e.Ran == result.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	}
	return status
}

func (g *Gateway) logFailure(c *call, e *result.Error) {
	ev := event.RequestRefused
	if e.Ran == result.MayHaveRun {
		ev = event.RequestBroken
	}
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	g.Log.Emit(ev, zap.String("request", c.ID), zap.Int("code", int(e.Code)), zap.String("name", e.Code.String()), zap.Stringer("ran", e.Ran),
		zap.String("reason", e.Message), zap.String("team", c.team), zap.String("route", route), zap.String("service", c.service),
		zap.Duration("after", time.Since(c.arrived)), zap.Int("sent", c.sent), zap.Int("sends", c.sends),
		zap.Duration("retry_after", e.RetryAfter), zap.Int64("revision", g.Catalog.Revision()))
}

// callerSink writes an answer to the caller.
type callerSink struct {
	w  http.ResponseWriter
	rc *http.ResponseController
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
