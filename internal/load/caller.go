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

// Class says how a request ended for its caller.
type Class string

const (
	// Answered: the full answer arrived.
	Answered Class = "answered"
	// Refused: a clear error says not_run.
	Refused Class = "refused"
	// InDoubt: a booking ended with an error that says may_have_run, or with a
	// connection failure after it was sent and no key to send it again.
	InDoubt Class = "in_doubt"
	// Lost: none of the others. An idempotent request is lost if its resends
	// end without a full answer and without a not_run error; a keyed booking is
	// lost if its resends end with connection failures only.
	Lost Class = "lost"
	// Crossed: an answer holds text that does not belong to the request.
	Crossed Class = "crossed"
	// Truncated: an answer looks complete (status 200, no error event, an
	// orderly end) but is shorter than the full answer.
	Truncated Class = "truncated"
)

// maxSends bounds the attempts of a caller for one request.
const maxSends = 6

// keyInUseWait is the time before a resend while an earlier attempt runs.
const keyInUseWait = 500 * time.Millisecond

// Outcome is what the caller of a request saw.
type Outcome struct {
	Class     Class
	Code      int // result code of a refusal or error
	Sends     int
	RequestID string        // of the last answer
	Instance  string        // address of the last instance
	Latency   time.Duration // since the request was due
	FirstToken,
	LongestGap time.Duration // streams; 0 otherwise
	// Cut is set if an answer broke off after its header had arrived, with or
	// without an error event.
	Cut    bool
	Detail string // of anything but an answer
}

// reply is one attempt.
type reply struct {
	class Class // empty: resend if allowed
	// unsent is set if no byte of the request can have reached an instance.
	unsent    bool
	next      bool // the error tells callers to use the next instance
	code      int
	ran       string
	requestID string
	detail    string
	cut       bool
	first     time.Time
	gap       time.Duration
}

// caller sends requests from one region for one team.
type caller struct {
	client *http.Client
	dir    *directory
}

// send follows the order of the directory until the request has ended.
func (c *caller) send(ctx context.Context, r *Request, due time.Time) (out Outcome) {
	defer func() { out.Latency = time.Since(due) }()
	order, err := c.dir.get(ctx)
	if err != nil {
		return Outcome{Class: Lost, Detail: err.Error()}
	}
	key := ""
	mayHaveRun := false // an earlier attempt may have run
	for out.Sends < maxSends && ctx.Err() == nil {
		at := order[out.Sends%len(order)]
		if r.Keyed && !mayHaveRun {
			// Nothing ran under an earlier key, so the instance that is asked
			// may decide.
			key = idempotencyKey(at.KeyPrefix, r.Tag)
		}
		rep := c.attempt(ctx, r, at.Address, key)
		out.add(&rep, at.Address, due)
		out.Class = rep.class
		switch {
		case rep.code == int(result.KeyInUse) && mayHaveRun:
			// The earlier attempt still runs: wait for its answer.
			sleep(ctx, keyInUseWait)
			out.Class = InDoubt
		case refusedAtOnce(rep.code) && !mayHaveRun:
			c.dir.expire() // the key was new, so nothing has run
		case rep.class == Refused && rep.next, rep.class == Lost && rep.unsent:
			c.dir.expire()
		case rep.class == Refused, rep.class == Answered, rep.class == Crossed, rep.class == Truncated:
			return out
		default: // a connection failure or an error that says it may have run
			mayHaveRun = true
			if !r.Idempotent() && (rep.class == InDoubt || !r.Keyed) {
				// Without a key a booking is not sent again.
				out.Class = InDoubt
				return out
			}
			out.Class = Lost
		}
	}
	if out.Sends == 0 {
		out.Class = Lost
	}
	return out
}

// refusedAtOnce tells codes with which an instance refuses before it looks at a
// request. With a key they are "may have run", because an earlier attempt may
// have run; a caller that made none knows better.
func refusedAtOnce(code int) bool {
	switch result.Code(code) {
	case result.InstanceGone, result.ShuttingDown, result.NotReady, result.EditionTooOld:
		return true
	}
	return false
}

// add takes over what an attempt tells.
func (o *Outcome) add(rep *reply, address string, due time.Time) {
	o.Sends++
	o.Instance, o.Code, o.RequestID, o.Detail = address, rep.code, rep.requestID, rep.detail
	o.Cut = o.Cut || rep.cut
	if !rep.first.IsZero() {
		o.FirstToken, o.LongestGap = rep.first.Sub(due), rep.gap
	}
}

// sleep reports whether d passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *caller) attempt(ctx context.Context, r *Request, address, key string) reply {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return reply{class: Lost, unsent: true, detail: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+c.dir.key)
	// The transport must not resend on its own; the rules of callers apply.
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
		return reply{class: Lost, unsent: errors.As(err, &op) && op.Op == "dial", detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	rep := reply{requestID: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode/100 != 2 {
		c.readError(resp, &rep)
		return rep
	}
	if r.Stream {
		readStream(resp.Body, r.Want, &rep)
		return rep
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		rep.cut, rep.class, rep.detail = true, Lost, "reading the answer: "+err.Error()
		return rep
	}
	rep.class, rep.detail = checkWhole(r, body)
	return rep
}

// errorBody is the JSON of an error answer.
type errorBody struct {
	Error struct {
		Code    int    `json:"code"`
		Name    string `json:"name"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

func (rep *reply) setError(e *errorBody) {
	rep.code, rep.ran = e.Error.Code, e.Error.Ran
	rep.detail = fmt.Sprintf("%d %s: %s", e.Error.Code, e.Error.Ran, e.Error.Message)
	switch rep.ran {
	case result.NotRun.String():
		rep.class = Refused
		rep.next = e.Error.Code/100 == 5 || e.Error.Code == int(result.HopRefused)
	case result.MayHaveRun.String():
		rep.class = InDoubt
	default:
		rep.class = Lost // not a clear error
	}
}

func (c *caller) readError(resp *http.Response, rep *reply) {
	raw, err := io.ReadAll(resp.Body)
	var e errorBody
	if err != nil || json.Unmarshal(raw, &e) != nil {
		rep.class, rep.detail = Lost, fmt.Sprintf("%s without an error body: %.200s", resp.Status, raw)
		return
	}
	rep.setError(&e)
	if rep.class == Lost {
		rep.detail = fmt.Sprintf("%s: %.200s", resp.Status, raw)
	}
}

func checkWhole(r *Request, body []byte) (Class, string) {
	got, want := "", r.Want
	var err error
	switch r.Kind {
	case Book:
		var b standin.Booking
		err = json.Unmarshal(body, &b)
		got, want = b.Ref, r.Tag.String()
	case Lookup:
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
		return Truncated, fmt.Sprintf("answer cannot be parsed: %v: %.200s", err, body)
	}
	return compare(got, want)
}

func compare(got, want string) (Class, string) {
	switch {
	case got == want:
		return Answered, ""
	case strings.HasPrefix(want, got):
		return Truncated, fmt.Sprintf("%d of %d characters", len(got), len(want))
	default:
		return Crossed, fmt.Sprintf("got %.60q, want %.60q", got, want)
	}
}

// readStream reads server-sent events until [DONE], an error event or the end.
func readStream(body io.Reader, want string, rep *reply) {
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
			rep.class, rep.detail = compare(text.String(), want)
			return
		}
		var e errorBody
		if json.Unmarshal(data, &e) == nil && e.Error.Message != "" {
			rep.setError(&e)
			rep.cut = true
			return
		}
		var c standin.Completion
		if err := json.Unmarshal(data, &c); err != nil {
			rep.class, rep.detail = Crossed, "event cannot be parsed: "+err.Error()
			return
		}
		if s := c.Content(); s != "" {
			now := time.Now()
			if rep.first.IsZero() {
				rep.first = now
			} else {
				rep.gap = max(rep.gap, now.Sub(last))
			}
			last = now
			text.WriteString(s)
		}
	}
	if class, detail := compare(text.String(), want); class == Crossed {
		rep.class, rep.detail = class, detail
		return
	}
	if err := sc.Err(); err != nil {
		rep.cut, rep.class, rep.detail = true, Lost, "stream: "+err.Error()
		return
	}
	rep.class, rep.detail = Truncated, fmt.Sprintf("stream ended without [DONE] after %d characters", text.Len())
}
