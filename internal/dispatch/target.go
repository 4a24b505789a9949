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
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// answer is the response to one attempt. body returns io.EOF only where the
// transport proves that the body is complete.
type answer struct {
	status int
	header http.Header
	target string
	size   int64
	body   io.Reader
	close  func()
	// exclude names what to leave out if the answer breaks off; see attemptError.
	exclude string
}

// attemptError is a failed attempt.
type attemptError struct {
	err *result.Error
	// final forbids further attempts, whatever the request is.
	final bool
	// crash says that the target was lost in mid-request.
	crash bool
	// exclude names the target, instance or region to leave out from now on.
	exclude string
	// told says that the peer of a hop reported the failure itself.
	told bool
}

func (a *attemptError) Error() string { return a.err.Error() }
func (a *attemptError) Unwrap() error { return a.err }

func fault(code result.Code, mayHaveRun bool, message string, cause error) *attemptError {
	ran := result.NotRun
	if mayHaveRun {
		ran = result.MayHaveRun
	}
	return &attemptError{err: result.New(code, ran, "%s", message).WithCause(cause)}
}

// targetRequest builds the request of one attempt.
func targetRequest(ctx context.Context, c *Call, t *config.Target, weight float64, attempt, resumed int, left time.Duration) (*http.Request, error) {
	u, err := url.ParseRequestURI(c.Path)
	if err != nil {
		return nil, result.New(result.BadRequest, result.NotRun, "the path is not valid").WithCause(err)
	}
	u.Scheme, u.Host, u.RawQuery = "http", t.Address, c.RawQuery
	req, err := http.NewRequestWithContext(ctx, c.Method, u.String(), bytes.NewReader(c.Body))
	if err != nil {
		return nil, result.New(result.BadRequest, result.NotRun, "the request is not valid").WithCause(err)
	}
	// Without GetBody, net/http cannot repeat a request on its own.
	req.GetBody = nil
	if t.Kind == config.Engine {
		req.Header = http.Header{"Content-Type": {"application/json"}}
		req.Header.Set("X-Priority", strconv.Itoa(int(weight*priorityScale)))
		req.Header.Set("X-Run-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
		if resumed > 0 {
			req.Header.Set("X-Resume-Tokens", strconv.Itoa(resumed))
		}
	} else {
		req.Header = auth.EndToEnd(c.Header, "")
		if req.Header.Get("User-Agent") == "" {
			req.Header["User-Agent"] = nil // keeps net/http from adding its own
		}
	}
	req.Header.Set("X-Request-Id", c.ID)
	req.Header.Set("X-Attempt", strconv.Itoa(attempt))
	return req, nil
}

// priorityScale keeps fractions of a team's weight in the integer priority.
const priorityScale = 100

// open sends one attempt to a target and waits for the head of the answer.
func (l *LocalDispatcher) open(ctx context.Context, c *Call, t *config.Target, weight float64, attempt, resumed int) (*answer, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithCancel(ctx)
	s := &sent{}
	req, err := targetRequest(s.trace(ctx), c, t, weight, attempt, resumed, time.Until(deadline))
	if err != nil {
		cancel()
		return nil, &attemptError{err: result.From(err), final: true}
	}
	resp, err := l.transports.pick(c.Permit).RoundTrip(req)
	if err != nil {
		defer cancel()
		return nil, connectionFault(ctx, s, err)
	}
	a := &answer{
		status: resp.StatusCode, header: resp.Header, target: t.Name, size: resp.ContentLength,
		body: resp.Body, close: func() { cancel(); _ = resp.Body.Close() },
	}
	if bad := refusal(t, resp); bad != nil {
		a.close()
		return nil, bad
	}
	if c.Method == http.MethodHead || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return a, nil
	}
	// The body ends with the connection. Only a stream with its own end marker
	// can be told from a truncated one.
	if t.Kind == config.Engine && c.Stream {
		return a, nil
	}
	a.close()
	return nil, fault(result.TargetFailed, true, "the answer of the target has no length", nil)
}

// connectionFault classifies an attempt without an answer.
func connectionFault(ctx context.Context, s *sent, err error) *attemptError {
	mayHaveRun := s.mayHave()
	if ctx.Err() != nil {
		return contextFault(ctx, mayHaveRun)
	}
	if !mayHaveRun {
		return fault(result.TargetFailed, false, "the target could not be reached", err)
	}
	f := fault(result.TargetFailed, true, "the target closed the connection without an answer", err)
	f.crash = !s.reused.Load()
	return f
}

// contextFault describes why ctx ended: the caller left, the time ran out, or
// the check of running requests ended the call with a result of its own.
func contextFault(ctx context.Context, mayHaveRun bool) *attemptError {
	cause := context.Cause(ctx)
	var own *result.Error
	var f *attemptError
	switch {
	case errors.As(cause, &own):
		f = fault(own.Code, mayHaveRun, own.Message, nil)
	case errors.Is(cause, context.DeadlineExceeded):
		f = fault(result.TargetTimeout, mayHaveRun, "the request did not end in time", cause)
	default:
		f = fault(result.CallerTooSlow, mayHaveRun, "the caller closed the connection", cause)
	}
	f.final = true
	return f
}

// refusal recognises the answers of an engine that are failures of the attempt
// and not answers to the caller.
func refusal(t *config.Target, resp *http.Response) *attemptError {
	if t.Kind != config.Engine {
		return nil
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Not-Run") == "true" {
		return fault(result.TargetFailed, false, "the target refused the request", nil)
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		return fault(result.TargetFailed, true, "the target answered with status "+strconv.Itoa(resp.StatusCode), nil)
	}
	return nil
}
