package gateway

import (
	"io"
	"net/http"

	"github.com/wigeonhill/wigeonhill/internal/httpframing"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// targetResponse is the response of a target, received directly or through an
// instance of another region.
type targetResponse struct {
	status  int
	header  http.Header
	body    io.ReadCloser
	target  string
	framing framing
}

// framing says what marks the end of a response's body.
type framing string

const (
	lengthFraming framing = "length" // Content-Length, or no body
	chunkFraming  framing = "chunks"
	// closeFraming means that the body ends with the connection, which looks the
	// same if the target crashes.
	closeFraming framing = "close"
	tailFraming  framing = "tail" // the last message of a forwarded response
)

// framingOf returns the framing of a response that was received from a target.
func framingOf(resp *http.Response) framing {
	switch {
	case httpframing.EndsWithConnection(resp):
		return closeFraming
	case resp.Body != http.NoBody && len(resp.TransferEncoding) > 0:
		return chunkFraming
	}
	return lengthFraming
}

// countingReader counts the bytes that are read from r.
type countingReader struct {
	r io.ReadCloser
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

func (c *countingReader) Close() error { return c.r.Close() }

// failure is the error of an attempt.
type failure struct {
	err *result.Error
	// outcome is what the failure says about the target.
	outcome placement.Outcome
	// uncounted is set if nothing arrived at a target. The attempt is then left out
	// of call.failedAttempts, so that a first retry takes nothing from the budget.
	uncounted bool
	// crashConfirmed is closed once it is known whether the target crashed; nil if
	// nothing suggests that it did.
	crashConfirmed <-chan struct{}
}

// Error implements error.
func (f *failure) Error() string { return f.err.Error() }

// Unwrap returns the *result.Error.
func (f *failure) Unwrap() error { return f.err }

func notRunFailure(o placement.Outcome, uncounted bool, format string, args ...any) *failure {
	return &failure{err: result.New(result.NoTarget, result.NotRun, format, args...), outcome: o, uncounted: uncounted}
}

func mayHaveRunFailure(o placement.Outcome, code result.Code, format string, args ...any) *failure {
	return &failure{err: result.New(code, result.MayHaveRun, format, args...), outcome: o}
}

// sink receives the response, which goes to the caller or back to the instance
// that forwarded the request.
type sink interface {
	// Head starts the response. length is the length of the body, -1 if unknown.
	Head(status int, header http.Header, length int64, target string) error
	// Data writes a piece of the body, without buffering it.
	Data(p []byte) error
}

// sinkError is an error that a sink returned.
type sinkError struct{ error }
