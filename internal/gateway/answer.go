package gateway

import (
	"io"
	"net/http"

	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// answer is the answer of a target, from here or over the hop.
type answer struct {
	status int
	header http.Header
	body   io.ReadCloser
	target string
}

// failure is a failed attempt.
type failure struct {
	err *result.Error
	// outcome is what it tells about the target.
	outcome placement.Outcome
	// free is set if nothing arrived at a target, so that no budget is used.
	free bool
}

// Error implements error.
func (f *failure) Error() string { return f.err.Error() }

// Unwrap returns the result.
func (f *failure) Unwrap() error { return f.err }

func notRun(o placement.Outcome, free bool, format string, args ...any) *failure {
	return &failure{err: result.New(result.NoTarget, result.NotRun, format, args...), outcome: o, free: free}
}

func mayHaveRun(o placement.Outcome, code result.Code, format string, args ...any) *failure {
	return &failure{err: result.New(code, result.MayHaveRun, format, args...), outcome: o}
}

// sink takes the answer that goes to the caller or back over the hop.
type sink interface {
	// Head starts the answer. length is the length of the body, -1 if unknown.
	Head(status int, header http.Header, length int64, target string) error
	// Data adds bytes; they are passed on at once.
	Data(p []byte) error
}

// callerGone marks a failure of the sink.
type callerGone struct{ error }
