package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// Class is the outcome of a request as its caller saw it.
type Class string

const (
	// Answered: the full response arrived.
	Answered Class = "answered"
	// Refused: an error response says not_run.
	Refused Class = "refused"
	// InDoubt: a booking ended with an error that says may_have_run, or with a
	// connection failure after it was sent without a key, so that it could not
	// be retried.
	InDoubt Class = "in_doubt"
	// Lost: none of the other classes. An idempotent request is lost if its
	// retries end without a full response and without a not_run error; a keyed
	// booking is lost if its retries end with connection failures only.
	Lost Class = "lost"
	// Mismatched: a response holds text that does not belong to the request.
	Mismatched Class = "crossed"
	// Truncated: a response looks complete (status 200, no error event, a clean
	// end of the body) but is shorter than the full response.
	Truncated Class = "truncated"
)

// maxAttempts is the maximum number of attempts of a caller for one request.
const maxAttempts = 6

// keyInUseWait is the delay before a retry while an earlier attempt with the same
// key still runs.
const keyInUseWait = 500 * time.Millisecond

// Outcome is the result of a request as its caller saw it.
type Outcome struct {
	Class     Class
	Code      int // result code of the last attempt's error, or 0
	Attempts  int
	RequestID string        // of the last response
	Instance  string        // address of the instance of the last attempt
	Latency   time.Duration // since the request was due
	TimeToFirstToken,
	LongestGap time.Duration // gap between two chunks; both are 0 unless streamed
	// Interrupted is set if a response broke off after its header had arrived, with
	// or without an error event.
	Interrupted bool
	Detail      string // reason for any class other than Answered
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	class Class // empty: retry if allowed
	// unsent is set if no byte of the request can have reached an instance.
	unsent      bool
	tryNext     bool // the error tells callers to use the next instance
	code        int
	ran         string
	requestID   string
	detail      string
	interrupted bool
	firstToken  time.Time
	longestGap  time.Duration
}

// caller sends the requests of one caller, who belongs to a region and a team.
type caller struct {
	client *http.Client
	dir    *directory
}

// send tries the instances in the order of the directory until the request has
// a final outcome. Latencies count from due.
func (c *caller) send(ctx context.Context, r *Request, due time.Time) (out Outcome) {
	defer func() { out.Latency = time.Since(due) }()
	order, err := c.dir.get(ctx)
	if err != nil {
		return Outcome{Class: Lost, Detail: err.Error()}
	}
	key := ""
	mayHaveRun := false // an earlier attempt may have run
	for out.Attempts < maxAttempts && ctx.Err() == nil {
		entry := order[out.Attempts%len(order)]
		if r.Keyed && !mayHaveRun {
			// Nothing can have run under an earlier key, so a new key with the
			// prefix of this instance is safe.
			key = idempotencyKey(entry.KeyPrefix, r.Tag)
		}
		att := c.attempt(ctx, r, entry.Address, key)
		out.addAttempt(&att, entry.Address, due)
		out.Class = att.class
		switch {
		case att.code == int(result.IdempotencyKeyInUse) && mayHaveRun:
			// The earlier attempt still runs: wait, then ask for its response.
			sleep(ctx, keyInUseWait)
			out.Class = InDoubt
		case instanceUnavailable(att.code) && !mayHaveRun:
			c.dir.expire() // the key was new, so nothing has run
		case att.class == Refused && att.tryNext, att.class == Lost && att.unsent:
			c.dir.expire()
		case att.class == Refused, att.class == Answered, att.class == Mismatched, att.class == Truncated:
			return out
		default: // a connection failure or an error that says it may have run
			mayHaveRun = true
			if !r.Idempotent() && (att.class == InDoubt || !r.Keyed) {
				// A booking is not retried after an error that says
				// may_have_run, or if it has no key.
				out.Class = InDoubt
				return out
			}
			out.Class = Lost
		}
	}
	if out.Attempts == 0 {
		out.Class = Lost
	}
	return out
}

// instanceUnavailable reports whether an instance refuses with code before it
// looks at a request. For a request with a key such an error says may_have_run,
// because an earlier attempt may have run; a caller that made no earlier attempt
// knows that nothing has run.
func instanceUnavailable(code int) bool {
	switch result.Code(code) {
	case result.InstanceGone, result.ShuttingDown, result.NotReady, result.ConfigTooOld:
		return true
	}
	return false
}

// addAttempt adds the result of an attempt to the outcome.
func (o *Outcome) addAttempt(att *attemptResult, address string, due time.Time) {
	o.Attempts++
	o.Instance, o.Code, o.RequestID, o.Detail = address, att.code, att.requestID, att.detail
	o.Interrupted = o.Interrupted || att.interrupted
	if !att.firstToken.IsZero() {
		o.TimeToFirstToken, o.LongestGap = att.firstToken.Sub(due), att.longestGap
	}
}

// sleep waits for d or until ctx ends, and reports whether d passed.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *caller) attempt(ctx context.Context, r *Request, address, key string) attemptResult {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return attemptResult{class: Lost, unsent: true, detail: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+c.dir.key)
	// Without GetBody the transport cannot resend the request on its own, which
	// would bypass the retry rules of callers.
	req.GetBody = nil
	if r.Body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		var op *net.OpError
		return attemptResult{class: Lost, unsent: errors.As(err, &op) && op.Op == "dial", detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	att := attemptResult{requestID: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode/100 != 2 {
		c.readError(resp, &att)
		return att
	}
	if r.Stream {
		readStream(resp.Body, r.WantText, &att)
		return att
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		att.interrupted, att.class, att.detail = true, Lost, "reading the response body: "+err.Error()
		return att
	}
	att.class, att.detail = checkBody(r, body)
	return att
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error struct {
		Code    int    `json:"code"`
		Name    string `json:"name"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

// setError sets the class and the details from an error response or event.
func (att *attemptResult) setError(e *errorBody) {
	att.code, att.ran = e.Error.Code, e.Error.Ran
	att.detail = fmt.Sprintf("%d %s: %s", e.Error.Code, e.Error.Ran, e.Error.Message)
	switch att.ran {
	case result.NotRun.String():
		att.class = Refused
		att.tryNext = e.Error.Code/100 == 5 || e.Error.Code == int(result.HopRefused)
	case result.MayHaveRun.String():
		att.class = InDoubt
	default:
		att.class = Lost // the error does not say whether the request ran
	}
}

func (c *caller) readError(resp *http.Response, att *attemptResult) {
	raw, err := io.ReadAll(resp.Body)
	var e errorBody
	if err != nil || json.Unmarshal(raw, &e) != nil {
		att.class, att.detail = Lost, fmt.Sprintf("%s without an error body: %.200s", resp.Status, raw)
		return
	}
	att.setError(&e)
	if att.class == Lost {
		att.detail = fmt.Sprintf("%s: %.200s", resp.Status, raw)
	}
}

// checkBody compares the body of a response that is not streamed with what the
// request must give.
func checkBody(r *Request, body []byte) (Class, string) {
	got, want := "", r.WantText
	var err error
	switch r.Kind {
	case Booking:
		var b standin.Booking
		err = json.Unmarshal(body, &b)
		got, want = b.Ref, r.Tag.String()
	case StockLookup:
		var s standin.Stock
		err = json.Unmarshal(body, &s)
		if s != standin.StockOf(r.Item) {
			got, want = string(body), "stock of "+r.Item
		}
	default:
		var c standin.Completion
		err = json.Unmarshal(body, &c)
		got = c.Content()
	}
	if err != nil {
		return Truncated, fmt.Sprintf("parsing the response: %v: %.200s", err, body)
	}
	return compareText(got, want)
}

func compareText(got, want string) (Class, string) {
	switch {
	case got == want:
		return Answered, ""
	case strings.HasPrefix(want, got):
		return Truncated, fmt.Sprintf("%d of %d characters", len(got), len(want))
	default:
		return Mismatched, fmt.Sprintf("got %.60q, want %.60q", got, want)
	}
}

// readStream reads server-sent events until [DONE], an error event or the end of
// the body, and compares the text with want.
func readStream(body io.Reader, want string, att *attemptResult) {
	var text strings.Builder
	var last time.Time
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			att.class, att.detail = compareText(text.String(), want)
			return
		}
		var e errorBody
		if json.Unmarshal(data, &e) == nil && e.Error.Message != "" {
			att.setError(&e)
			att.interrupted = true
			return
		}
		var c standin.Completion
		if err := json.Unmarshal(data, &c); err != nil {
			att.class, att.detail = Mismatched, "parsing an event: "+err.Error()
			return
		}
		if s := c.Content(); s != "" {
			now := time.Now()
			if att.firstToken.IsZero() {
				att.firstToken = now
			} else {
				att.longestGap = max(att.longestGap, now.Sub(last))
			}
			last = now
			text.WriteString(s)
		}
	}
	if class, detail := compareText(text.String(), want); class == Mismatched {
		att.class, att.detail = class, detail
		return
	}
	if err := sc.Err(); err != nil {
		att.interrupted, att.class, att.detail = true, Lost, "reading the stream: "+err.Error()
		return
	}
	att.class, att.detail = Truncated, fmt.Sprintf("stream ended without [DONE] after %d characters", text.Len())
}
