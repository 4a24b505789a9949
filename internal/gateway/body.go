package gateway

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/intake"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	// defaultMaxBody bounds the body of a request if the configuration sets no limit,
	// in bytes.
	defaultMaxBody = 4 << 20
	// intakeMemoryFraction is the fraction of the instance's memory that heads, bodies
	// and messages of other instances together may take.
	intakeMemoryFraction = 0.3
)

// NewIntakeBudget returns the memory for what clients send to an instance.
func NewIntakeBudget(s *deployment.Settings) *intake.Budget {
	return intake.NewBudget(int64(intakeMemoryFraction * float64(s.MemoryBytes)))
}

// readBody reads the body of c, which the caller of readBody releases.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call, limits deployment.Limits) (intake.Body, error) {
	limit := limits.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength == 0 {
		return intake.Body{}, nil
	}
	if !intake.SetDeadline(r.Body, c.deadline) {
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(c.deadline)
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	body, err := intake.ReadBody(r.Body, r.ContentLength, limit, g.Intake)
	c.body = body.Bytes
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, intake.ErrTooLarge):
		w.Header().Set("Connection", "close")
		return body, result.New(result.BodyTooLarge, result.NotRun, "the body exceeds %d bytes", limit)
	case errors.Is(err, intake.ErrNoMemory):
		return body, result.New(result.MemoryLimitReached, result.NotRun, "request bodies fill the memory for them").WithRetryAfter(notReadyRetryAfter)
	case errors.Is(err, intake.ErrTooSlow), r.Context().Err() == nil && time.Now().After(c.deadline):
		return body, result.New(result.CallerTooSlow, result.NotRun, "the body did not arrive in time")
	}
	return body, result.New(result.BadRequest, result.NotRun, "the body could not be read: %v", err)
}
