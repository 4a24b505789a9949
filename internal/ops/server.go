package ops

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/intake"
)

const (
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = 30 * time.Second
	maxHeaderBytes    = 16 << 10
	shutdownTimeout   = 2 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxConns bounds the connections of operators; each takes a descriptor that
	// callers and targets may need.
	maxConns = 64
)

// Config is the configuration of the operators' server.
type Config struct {
	Listener net.Listener
	// Intake is the memory for requests that arrive.
	Intake  *intake.Budget
	Log     *event.Logger
	Metrics *Metrics
	Teams   *TeamStats
	Trail   *audit.MemoryTrail
	Records *audit.RequestRecords
	// Status returns the overview of the instance; it is encoded as JSON.
	Status func() any
	// Team returns the status of one team; it is encoded as JSON.
	Team func(name string) any
	// Ready returns nil if the instance can serve callers.
	Ready func() error
	// Alive returns nil if the process works. On an error, a supervisor restarts it.
	Alive func() error
}

// Server is the operators' HTTP server.
type Server struct {
	cfg  Config
	http *http.Server
	port *intake.Port
}

// NewServer returns a Server with all endpoints; Run starts it.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(cfg.Metrics.registry, promhttp.HandlerOpts{})))
	e.GET("/livez", checkHandler(cfg.Alive))
	e.GET("/readyz", checkHandler(cfg.Ready))
	e.GET("/status", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, cfg.Status(), "  ") })
	e.GET("/status/teams", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, cfg.Teams.Totals(), "  ") })
	e.GET("/status/teams/:name", func(c echo.Context) error {
		return c.JSONPretty(http.StatusOK, cfg.Team(c.Param("name")), "  ")
	})
	e.GET("/status/audit", s.handleAuditTrail)
	e.GET("/status/requests/:id", s.handleRequestRecord)
	s.http = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	limits := intake.Limits{MaxConns: maxConns, MaxHeadBytes: maxHeaderBytes, HeadTimeout: readHeaderTimeout, BodyTimeout: writeTimeout, IdleTimeout: idleTimeout}
	s.port = intake.NewPort("operators", func() intake.Limits { return limits }, cfg.Intake, cfg.Log)
	s.port.Configure(s.http)
	return s
}

// Port returns the intake of operators.
func (s *Server) Port() *intake.Port { return s.port }

// Run serves until ctx ends, then waits up to shutdownTimeout for requests in
// progress.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = s.http.Shutdown(grace) // connections that are still open close when the process exits
	})
	defer stop()
	if err := s.http.Serve(s.port.Listen(s.cfg.Listener)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "operator server")
	}
	return nil
}

func checkHandler(probe func() error) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := probe(); err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		return c.String(http.StatusOK, "ok\n")
	}
}

func (s *Server) handleAuditTrail(c echo.Context) error {
	f := audit.Filter{Team: c.QueryParam("team"), Target: c.QueryParam("target"), Kind: c.QueryParam("kind")}
	if since := c.QueryParam("since"); since != "" {
		t, err := time.Parse(time.RFC3339, since)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "since must be a time as in 2026-01-02T15:04:05Z")
		}
		f.Since = t
	}
	return c.JSONPretty(http.StatusOK, s.cfg.Trail.Select(f), "  ")
}

func (s *Server) handleRequestRecord(c echo.Context) error {
	rec, ok := s.cfg.Records.Get(c.Param("id"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no record of this request at this instance; ask the instance that answered it")
	}
	return c.JSONPretty(http.StatusOK, rec, "  ")
}
