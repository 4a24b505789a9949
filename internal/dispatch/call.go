package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/idempotency"
)

// Call is one authorized request. It never holds the caller's key.
type Call struct {
	ID     string
	Permit auth.Permit
	Method string
	// Path is the escaped path.
	Path     string
	RawQuery string
	// Header holds end-to-end headers; only plain services see them.
	Header http.Header
	Body   []byte
	// IdempotencyKey is used for non-idempotent calls only.
	IdempotencyKey string

	// Stream is set for completions answered as server-sent events.
	Stream bool
	// Resumable is false for streams of several choices, whose position is not
	// a single token count.
	Resumable    bool
	PrefixHashes []uint64
	PromptTokens int
	OutputTokens int

	// Prepaid, Attempts and Resumed are set on forwarded requests: the sender
	// has debited the tokens, made attempts, and delivered output tokens.
	Prepaid      bool
	Attempts     int
	ResumeTokens int
	// StartDeadline is when the sender's admission ends; zero if it was used before
	// or has no end. The request must not reach a target later for the first
	// time.
	StartDeadline time.Time
	Arrived       time.Time
}

// TokenCost is the debit of the call.
func (c *Call) TokenCost() float64 {
	if c.Permit.Model != "" {
		return float64(c.PromptTokens + c.OutputTokens)
	}
	if c.Permit.Team == "" {
		return 0
	}
	return c.Permit.Tokens
}

// Class is a label for metrics.
func (c *Call) Class() string {
	switch {
	case c.Permit.Model == "":
		return "service"
	case c.Stream:
		return "stream"
	}
	return "whole"
}

// Fingerprint identifies a request that is sent again.
type Fingerprint [16]byte

// Fingerprint hashes team, route or model, and body.
func (c *Call) Fingerprint() Fingerprint {
	return FingerprintOf(c.Body, c.Permit.Team, c.Permit.Route, c.Permit.Model)
}

// FingerprintOf hashes a body and the parts that tell requests with the same
// body from each other.
func FingerprintOf(body []byte, parts ...string) Fingerprint {
	d := digest(body, parts...)
	return Fingerprint(d[:len(Fingerprint{})])
}

// Digest identifies the content of a call for its idempotency key.
func (c *Call) Digest() idempotency.Digest {
	return digest(c.Body, c.Permit.Team, c.Method, c.Path, c.RawQuery)
}

func digest(body []byte, parts ...string) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range append(parts, string(body)) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Sink takes the answer of a call, in order. An error ends the call.
type Sink interface {
	// Head is called once, before any data. size is -1 if not yet known.
	Head(h ResponseHead) error
	// Data may block while the reader is slow. It does not keep p.
	Data(p []byte) error
}

// ResponseHead starts an answer.
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
	// Tokens charged.
	Tokens float64
	// TimeToFirstByte is the time from Arrived to the first data; 0 for none.
	TimeToFirstByte time.Duration
}
