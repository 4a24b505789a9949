package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/httpframing"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// attemptResponse is the response to one attempt. body returns io.EOF only at the
// end that the framing of the response marks.
type attemptResponse struct {
	status int
	header http.Header
	target string
	size   int64
	body   io.Reader
	close  func()
	// endsWithConnection is set if only the end of the connection marks the end of
	// the body, as it does if the target crashes.
	endsWithConnection bool
	// exclude names what to exclude if the response is interrupted; see
	// attemptError.
	exclude string
}

// attemptError is a failed attempt.
type attemptError struct {
	err *result.Error
	// final forbids further attempts for any request.
	final bool
	// crash is set if the target was lost while it processed the request.
	crash bool
	// exclude names the target, instance or region to exclude from now on.
	exclude string
	// reported is set if the peer of a hop reported the failure itself.
	reported bool
}

func (a *attemptError) Error() string { return a.err.Error() }
func (a *attemptError) Unwrap() error { return a.err }

func newAttemptError(code result.Code, mayHaveRun bool, message string, cause error) *attemptError {
	ran := result.NotRun
	if mayHaveRun {
		ran = result.MayHaveRun
	}
	return &attemptError{err: result.New(code, ran, "%s", message).WithCause(cause)}
}

// newTargetRequest builds the HTTP request of one attempt.
func newTargetRequest(ctx context.Context, c *Call, t *config.Target, weight float64, attempt, resumed int, remaining time.Duration) (*http.Request, error) {
	u, err := url.ParseRequestURI(c.Path)
	if err != nil {
		return nil, result.New(result.BadRequest, result.NotRun, "the path is not valid").WithCause(err)
	}
	u.Scheme, u.Host, u.RawQuery = "http", t.Address, c.RawQuery
	req, err := http.NewRequestWithContext(ctx, c.Method, u.String(), bytes.NewReader(c.Body))
	if err != nil {
		return nil, result.New(result.BadRequest, result.NotRun, "the request is not valid").WithCause(err)
	}
	// Without GetBody, net/http cannot retry a request on its own.
	req.GetBody = nil
	if t.Kind == config.Engine {
		req.Header = http.Header{"Content-Type": {"application/json"}}
		req.Header.Set("X-Priority", strconv.Itoa(int(weight*priorityScale)))
		req.Header.Set("X-Run-Timeout-Ms", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
		if resumed > 0 {
			req.Header.Set("X-Resume-Tokens", strconv.Itoa(resumed))
		}
	} else {
		req.Header = auth.EndToEndHeaders(c.Header, "")
		if req.Header.Get("User-Agent") == "" {
			req.Header["User-Agent"] = nil // keeps net/http from adding its own
		}
	}
	req.Header.Set("X-Request-Id", c.ID)
	req.Header.Set("X-Attempt", strconv.Itoa(attempt))
	return req, nil
}

// priorityScale preserves fractions of a team's weight in the integer priority.
const priorityScale = 100

// sendAttempt sends one attempt to a target and waits for the response head.
func (l *LocalDispatcher) sendAttempt(ctx context.Context, c *Call, t *config.Target, weight float64, attempt, resumed int) (*attemptResponse, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithCancel(ctx)
	s := &sendTracker{}
	req, err := newTargetRequest(s.withTrace(ctx), c, t, weight, attempt, resumed, time.Until(deadline))
	if err != nil {
		cancel()
		return nil, &attemptError{err: result.FromError(err), final: true}
	}
	resp, err := l.transport.RoundTrip(req)
	if err != nil {
		defer cancel()
		return nil, classifyConnectionError(ctx, s, err)
	}
	out := &attemptResponse{
		status: resp.StatusCode, header: resp.Header, target: t.Name, size: resp.ContentLength, endsWithConnection: httpframing.EndsWithConnection(resp),
		body: resp.Body, close: func() { cancel(); _ = resp.Body.Close() },
	}
	if failed := classifyResponse(t, resp); failed != nil {
		out.close()
		return nil, failed
	}
	return out, nil
}

// classifyConnectionError classifies an attempt that got no response.
func classifyConnectionError(ctx context.Context, s *sendTracker, err error) *attemptError {
	mayHaveRun := s.mayHaveSent()
	if ctx.Err() != nil {
		return contextError(ctx, mayHaveRun)
	}
	if !mayHaveRun {
		return newAttemptError(result.TargetFailed, false, "the target could not be reached", err)
	}
	attemptErr := newAttemptError(result.TargetFailed, true, "the target closed the connection without an answer", err)
	attemptErr.crash = true
	return attemptErr
}

// contextError describes why ctx ended: the caller disconnected, a timeout
// expired, or the recheck of running requests ended the call with its own result.
func contextError(ctx context.Context, mayHaveRun bool) *attemptError {
	cause := context.Cause(ctx)
	var resultErr *result.Error
	var attemptErr *attemptError
	switch {
	case errors.As(cause, &resultErr):
		attemptErr = newAttemptError(resultErr.Code, mayHaveRun, resultErr.Message, nil)
	case errors.Is(cause, context.DeadlineExceeded):
		attemptErr = newAttemptError(result.TargetTimeout, mayHaveRun, "the request did not end in time", cause)
	default:
		attemptErr = newAttemptError(result.CallerTooSlow, mayHaveRun, "the caller closed the connection", cause)
	}
	attemptErr.final = true
	return attemptErr
}

// classifyResponse returns an error for engine responses that are failures of the
// attempt and not responses to the caller.
func classifyResponse(t *config.Target, resp *http.Response) *attemptError {
	if t.Kind != config.Engine {
		return nil
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Not-Run") == "true" {
		return newAttemptError(result.TargetFailed, false, "the target refused the request", nil)
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		return newAttemptError(result.TargetFailed, true, "the target answered with status "+strconv.Itoa(resp.StatusCode), nil)
	}
	return nil
}
