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
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// Dispatcher runs calls; *dispatch.Dispatcher implements it.
type Dispatcher interface {
	Do(ctx context.Context, c *dispatch.Call, sink dispatch.Sink) (dispatch.Outcome, error)
}

// Directory answers which instances a caller should use, as a JSON value.
type Directory interface {
	// caller is any text that stays the same for one caller.
	Answer(caller, region string) any
}

// Record describes a finished request for metrics.
type Record struct {
	Team, Class string
	// Code is 0 for success.
	Code result.Code
	// Region and Target served the request; empty if none did.
	Region, Target string
	Duration       time.Duration
	// FirstByte is the time to the first data of the answer; 0 for none.
	FirstByte time.Duration
	Tokens    float64
	Attempts  int
	// Held is the largest number of bytes held for the caller at one time.
	Held int64
	// Bytes of the request's body and of the answer.
	Bytes int64
}

// Observer receives a record of each finished request.
type Observer interface {
	RequestDone(r Record)
}

// Config is what a Server needs.
type Config struct {
	Instance     settings.Instance
	Bounds       settings.Bounds
	ConfigSource dispatch.ConfigSource
	Gate         *dispatch.Gate
	Dispatcher   Dispatcher
	Directory    Directory
	MemoryBudget *dispatch.MemoryBudget
	Requests     audit.Requests
	Observer     Observer
	Log          *event.Logger
}

// Server serves callers.
type Server struct {
	Config
	http    *http.Server
	streams atomic.Int64
	conns   *connections
}

// New returns a Server. Serve must be called once.
func New(cfg Config) *Server {
	s := &Server{Config: cfg, conns: newConnections(connectionBound(cfg.Bounds))}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: cfg.Bounds.ReadTimeout,
		IdleTimeout:       cfg.Bounds.IdleTimeout,
		MaxHeaderBytes:    cfg.Bounds.MaxHeader,
		ConnState:         s.conns.changed,
		// Errors of single connections are not logged; their text holds
		// whatever the caller has sent.
		ErrorLog: nopLog(),
	}
	return s
}

// connectionBound allows each request in progress an idle connection besides.
func connectionBound(b settings.Bounds) int {
	const spare = 64
	if b.MaxStreams <= 0 {
		return 0
	}
	return 2*b.MaxStreams + spare
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve accepts connections until Drain or Close.
func (s *Server) Serve(l net.Listener) error {
	s.Log.Emit(event.CallersStarted, zap.String("address", l.Addr().String()))
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain refuses new requests, waits until the running ones have ended, and then
// closes the listener. Until then callers that still come are told to use
// another instance. It returns the error of ctx if that ends first.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.Gate.Drain(ctx); err != nil {
		return err
	}
	return s.http.Shutdown(ctx)
}

// Close ends all connections.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(_ error, c echo.Context) {
		x := s.begin(c)
		x.fail(result.New(result.UnknownRoute, result.NotRun, "no route for this method and path"))
	}
	for _, path := range dispatch.CompletionPaths {
		e.POST(path, s.serve((*exchange).completion))
	}
	e.GET("/v1/models", s.models)
	e.GET("/v1/directory", s.directory)
	e.RouteNotFound("/*", s.serve((*exchange).plain))
	e.Any("/*", s.serve((*exchange).plain))
	return e
}
