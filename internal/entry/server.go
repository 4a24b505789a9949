package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/httpframing"
	"github.com/wigeonhill/wigeonhill/internal/intake"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// Dispatcher runs calls; *dispatch.Dispatcher implements it.
type Dispatcher interface {
	Do(ctx context.Context, c *dispatch.Call, sink dispatch.Sink) (dispatch.Outcome, error)
}

// Directory tells callers which instances to use.
type Directory interface {
	// InstancesFor returns the instances that a caller in region should use, as
	// a value to be encoded as JSON. caller is any text that stays the same for
	// one caller.
	InstancesFor(caller, region string) any
}

// Record describes a finished request for metrics.
type Record struct {
	Team, Class string
	// Code is 0 for success.
	Code result.Code
	// Region and Target served the request; empty if none did.
	Region, Target string
	Duration       time.Duration
	// TimeToFirstByte is the time to the first data of the response; 0 for none.
	TimeToFirstByte time.Duration
	TokensUsed      float64
	Attempts        int
	// PeakBufferedBytes is the largest number of bytes buffered for the caller at
	// one time, with the overhead accounted for each chunk.
	PeakBufferedBytes int64
	// BodyBytes is the size of the request body and the response body together.
	BodyBytes int64
}

// Observer receives a record of each finished request.
type Observer interface {
	RequestDone(r Record)
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Instance     settings.Instance
	Bounds       settings.Bounds
	ConfigSource dispatch.ConfigSource
	Gate         *dispatch.Gate
	Dispatcher   Dispatcher
	Directory    Directory
	MemoryBudget *dispatch.MemoryBudget
	// Intake is the memory for requests that arrive; nil for a budget of its own.
	Intake   *intake.Budget
	Requests audit.RequestRecorder
	Observer Observer
	Log      *event.Logger
}

// Server serves callers.
type Server struct {
	Config
	http    *http.Server
	streams atomic.Int64
	port    *intake.Port
}

// New returns a Server. Serve must be called once.
func New(cfg Config) *Server {
	if cfg.Intake == nil {
		cfg.Intake = intake.NewBudget(cfg.Bounds.IntakeBuffer)
	}
	// The other timeouts are those of the HTTP server.
	limits := intake.Limits{MaxConns: connectionLimit(cfg.Bounds), MaxHeadBytes: cfg.Bounds.MaxHeader, BodyTimeout: cfg.Bounds.ReadTimeout}
	s := &Server{Config: cfg, port: intake.NewPort("callers", func() intake.Limits { return limits }, cfg.Intake, cfg.Log)}
	s.http = &http.Server{
		Handler:           httpframing.Handler(s.routes()),
		ReadHeaderTimeout: cfg.Bounds.ReadTimeout,
		IdleTimeout:       cfg.Bounds.IdleTimeout,
		MaxHeaderBytes:    cfg.Bounds.MaxHeader,
		ConnContext:       httpframing.ConnContext,
		// Errors of single connections are not logged, because their text can
		// contain anything that the caller has sent.
		ErrorLog: discardLogger(),
	}
	s.port.Configure(s.http)
	return s
}

// Port returns the intake of callers.
func (s *Server) Port() *intake.Port { return s.port }

// connectionLimit returns the largest number of caller connections. Without a setting,
// each request in progress may have an idle connection besides its own, plus some spare
// ones.
func connectionLimit(b settings.Bounds) int {
	const spare = 64
	if b.MaxConns > 0 {
		return b.MaxConns
	}
	if b.MaxStreams <= 0 {
		return 0
	}
	return 2*b.MaxStreams + spare
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve accepts connections on l until Drain or Close.
func (s *Server) Serve(l net.Listener) error {
	s.Log.Emit(event.CallerListenerStarted, zap.String("address", l.Addr().String()))
	if err := s.http.Serve(s.port.Listen(l)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Drain refuses new requests, waits until the running ones have ended, and then
// closes the listener and waits until every request that has arrived is answered. The
// listener stays open until then so that new requests are answered with an error that
// tells callers to use another instance. Drain returns the error of ctx if ctx ends
// first.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.Gate.Drain(ctx); err != nil {
		return err
	}
	return intake.AwaitNone(ctx, s.port.Drain)
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(_ error, c echo.Context) {
		x := s.newExchange(c)
		x.writeError(result.New(result.UnknownRoute, result.NotRun, "no route for this method and path"))
	}
	for _, path := range dispatch.CompletionPaths {
		e.POST(path, s.serve((*exchange).prepareCompletion))
	}
	e.GET("/v1/models", s.models)
	e.GET("/v1/directory", s.directory)
	e.RouteNotFound("/*", s.serve((*exchange).preparePlain))
	e.Any("/*", s.serve((*exchange).preparePlain))
	return e
}
