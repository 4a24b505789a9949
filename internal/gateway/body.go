package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	// defaultMaxBody bounds the body of a request if the configuration sets no limit,
	// in bytes.
	defaultMaxBody = 4 << 20
	// bodyMemoryFraction is the fraction of the instance's memory that the bodies
	// of all requests together may take.
	bodyMemoryFraction = 0.3
	// initialBodyBuffer bounds the memory that is allocated for a body before it
	// arrives, in bytes: Content-Length alone must not reserve more.
	initialBodyBuffer = 64 << 10
)

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call, limits deployment.Limits) error {
	limit := limits.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	tooLarge := result.New(result.BodyTooLarge, result.NotRun, "the body exceeds %d bytes", limit)
	if r.ContentLength > limit {
		return tooLarge
	}
	expectedSize := r.ContentLength
	if expectedSize < 0 {
		expectedSize = initialBodyBuffer
	}
	if float64(g.bufferedBodies.Load()+expectedSize) > bodyMemoryFraction*float64(g.Settings.MemoryBytes) {
		return result.New(result.MemoryLimitReached, result.NotRun, "request bodies fill the memory for them").WithRetryAfter(notReadyRetryAfter)
	}
	if expectedSize == 0 {
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline)
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), min(expectedSize, initialBodyBuffer))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	c.body = body
	g.bufferedBodies.Add(int64(cap(body)))
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

func readAll(r io.Reader, initialSize int64) ([]byte, error) {
	body := make([]byte, 0, initialSize+1)
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
