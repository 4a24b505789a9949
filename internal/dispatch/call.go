package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/idempotency"
)

// Call is one authorized request. It never holds the caller's API key.
type Call struct {
	ID     string
	Permit auth.Permit
	Method string
	// Path is the escaped path.
	Path     string
	RawQuery string
	// Header holds end-to-end headers; only plain services receive them.
	Header http.Header
	Body   []byte
	// IdempotencyKey is used only for calls that are not idempotent.
	IdempotencyKey string

	// Stream is set for completions whose response is server-sent events.
	Stream bool
	// Resumable is false for streams with several choices, whose position is
	// not a single token count.
	Resumable    bool
	PrefixHashes []uint64
	// PromptParts are the messages of the prompt without the last, which belongs to
	// this request.
	PromptParts  []string
	PromptTokens int
	OutputTokens int

	// Prepaid, Attempts and ResumeTokens are set on forwarded requests: the
	// sender has debited the tokens, has made Attempts attempts, and has
	// delivered ResumeTokens output tokens to the caller.
	Prepaid      bool
	Attempts     int
	ResumeTokens int
	// StartDeadline is when the sender's debit expires; zero if the debit was
	// used before or does not expire. The request must not reach a target for
	// the first time after it.
	StartDeadline time.Time
	Arrived       time.Time
}

// TokenCost returns the number of tokens to debit for the call.
func (c *Call) TokenCost() float64 {
	if c.Permit.Model != "" {
		return float64(c.PromptTokens + c.OutputTokens)
	}
	if c.Permit.Team == "" {
		return 0
	}
	return c.Permit.TokenCost
}

// Class returns the value of the metrics label for the kind of call.
func (c *Call) Class() string {
	switch {
	case c.Permit.Model == "":
		return "service"
	case c.Stream:
		return "stream"
	}
	return "whole"
}

// Suspects returns what may crash a target: the request, identified by team, route,
// model and body, and the parts of its prompt.
func (c *Call) Suspects() []crash.Suspect {
	return crash.Suspects(FingerprintOf(c.Body, c.Permit.Team, c.Permit.Route, c.Permit.Model), c.PromptParts)
}

// FingerprintOf hashes a body together with parts that distinguish requests
// with the same body.
func FingerprintOf(body []byte, parts ...string) crash.Fingerprint {
	d := hashParts(body, parts...)
	return crash.Fingerprint(d[:len(crash.Fingerprint{})])
}

// Digest identifies the content of a call under its idempotency key.
func (c *Call) Digest() idempotency.Digest {
	return hashParts(c.Body, c.Permit.Team, c.Method, c.Path, c.RawQuery)
}

func hashParts(body []byte, parts ...string) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range append(parts, string(body)) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Sink receives the response of a call, in order. An error ends the call.
type Sink interface {
	// Head is called once, before any data. h.Size is -1 if not yet known.
	Head(h ResponseHead) error
	// Data may block while the reader is slow. It does not retain p.
	Data(p []byte) error
}

// ResponseHead is the status, headers and origin of a response.
type ResponseHead struct {
	Status int
	Header http.Header
	Target string
	Size   int64 // bytes of the body; -1 if unknown
}

// Outcome describes a finished call.
type Outcome struct {
	Region, Target string
	Attempts       int
	// Tokens is the number of tokens charged.
	Tokens float64
	// TimeToFirstByte is the time from Arrived to the first data; 0 if no data
	// was sent.
	TimeToFirstByte time.Duration
}
