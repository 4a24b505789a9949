package dispatch

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/httpframing"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// resumeHeader carries the number of output tokens delivered before the hop.
const resumeHeader = "X-Resume-Tokens"

// startWithinHeader carries the time in milliseconds for which the sender's debit
// is still valid. Network delay is not deducted.
const startWithinHeader = "X-Start-Within-Ms"

// instanceKey returns the key of an instance in the set of exclusions.
func instanceKey(name string) string { return "instance " + name }

// forward implements forwarder: it sends the call to a live instance of region.
func (d *Dispatcher) forward(ctx context.Context, c *Call, region string, exclude map[string]bool, attempt, resumed int) (*attemptResponse, error) {
	release, err := d.acquireHop(region)
	if err != nil {
		return nil, err
	}
	m, ok := d.pickInstance(region, exclude)
	if !ok {
		release()
		attemptErr := newAttemptError(result.RegionUnreachable, false, "no live instance in the region "+region, nil)
		attemptErr.exclude = region
		return nil, attemptErr
	}
	resp, err := d.forwardTo(ctx, c, m, attempt, resumed, false)
	if err != nil {
		release()
		return nil, err
	}
	closeResponse := resp.close
	resp.close = sync.OnceFunc(func() { closeResponse(); release() })
	return resp, nil
}

// acquireHop counts a request forwarded to region against the policy's hop slots.
func (d *Dispatcher) acquireHop(region string) (release func(), err error) {
	limit := 0
	if cfg := d.local.ConfigSource.Current(); cfg != nil {
		limit = cfg.Policy.HopSlots
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if limit > 0 && d.mu.inFlight[region] >= limit {
		attemptErr := newAttemptError(result.RegionUnreachable, false, "too many requests are forwarded to the region "+region, nil)
		attemptErr.exclude = region
		return nil, attemptErr
	}
	d.mu.inFlight[region]++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.mu.inFlight[region]--
	}, nil
}

// InFlight returns the number of requests being forwarded to a region.
func (d *Dispatcher) InFlight(region string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.inFlight[region]
}

func (d *Dispatcher) pickInstance(region string, exclude map[string]bool) (Member, bool) {
	var candidates []Member
	for _, m := range d.Members.InRegion(region) {
		if m.Region == region && !exclude[instanceKey(m.Name)] {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// forwardRequest builds the message for a call. It holds no API key: the headers
// were stripped at the entry instance.
func (d *Dispatcher) forwardRequest(ctx context.Context, c *Call, attempt, resumed int) *peerv1.ForwardRequest {
	req := &peerv1.ForwardRequest{
		From: &peerv1.Identity{Instance: d.local.Instance.Name, Incarnation: d.Incarnation, PeerAddress: d.PeerAddress,
			Region: d.local.Instance.Region, Domain: d.local.Instance.Domain},
		RequestId: c.ID, Hop: 1, Team: c.Permit.Team, Revision: c.Permit.Revision,
		Method: c.Method, Path: c.Path, Body: c.Body, Tokens: c.TokenCost(),
		Model: c.Permit.Model, Route: c.Permit.Route, Attempt: uint32(attempt - 1), Stream: c.Stream,
		IdempotencyKey: c.IdempotencyKey,
	}
	if c.RawQuery != "" {
		req.Path += "?" + c.RawQuery
	}
	for region := range c.Permit.AllowedRegions {
		req.AllowedRegions = append(req.AllowedRegions, region)
	}
	for name, values := range c.Header {
		for _, v := range values {
			req.Headers = append(req.Headers, &peerv1.Header{Name: name, Value: []byte(v)})
		}
	}
	if resumed > 0 {
		req.Headers = append(req.Headers, &peerv1.Header{Name: resumeHeader, Value: []byte(strconv.Itoa(resumed))})
	}
	if !c.StartDeadline.IsZero() {
		req.Headers = append(req.Headers, &peerv1.Header{Name: startWithinHeader, Value: []byte(strconv.FormatInt(time.Until(c.StartDeadline).Milliseconds(), 10))})
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.RemainingMs = uint32(max(time.Until(deadline).Milliseconds(), 1))
	}
	return req
}

// forwardTo sends the call to m and waits for the response head.
func (d *Dispatcher) forwardTo(ctx context.Context, c *Call, m Member, attempt, resumed int, resend bool) (*attemptResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &sendTracker{}
	client := d.PeerClients.Client(m.PeerAddress)
	call := client.Forward
	if resend {
		call = client.Resend
	}
	stream, err := call(s.withTrace(ctx), connect.NewRequest(d.forwardRequest(ctx, c, attempt, resumed)))
	if err != nil {
		defer cancel()
		return nil, d.classifyHopError(ctx, m, s, err)
	}
	f := &frameReader{stream: stream, id: c.ID, log: d.local.Log, crashes: d.local.Crashes}
	head, h, err := f.readHead()
	if err != nil {
		defer func() { cancel(); _ = stream.Close() }()
		return nil, d.classifyHopError(ctx, m, s, err)
	}
	resp := &attemptResponse{
		status: int(head.GetStatus()), header: h, target: head.GetTarget(), size: -1, body: f, exclude: instanceKey(m.Name),
		close: func() { cancel(); _ = stream.Close() },
	}
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil {
		resp.size = n
	}
	return resp, nil
}

// classifyHopError classifies a hop that got no response.
func (d *Dispatcher) classifyHopError(ctx context.Context, m Member, s *sendTracker, err error) error {
	var attemptErr *attemptError
	switch {
	case ctx.Err() != nil:
		return contextError(ctx, s.mayHaveSent())
	case errors.As(err, &attemptErr):
	case s.mayHaveSent():
		attemptErr = newAttemptError(result.TargetFailed, true, "the instance asked to run the request did not answer", err)
	default:
		attemptErr = newAttemptError(result.RegionUnreachable, false, "the instance asked to run the request could not be reached", err)
	}
	attemptErr.exclude = instanceKey(m.Name)
	return attemptErr
}

// frameStream is the receiving side of a response stream of the peer protocol.
type frameStream interface {
	Receive() bool
	Msg() *peerv1.ForwardResponse
	Err() error
}

// frameReader checks the frames of one forwarded request and reads their data.
// It returns io.EOF only after a tail that reports success.
type frameReader struct {
	stream     frameStream
	id         string
	log        *event.Logger
	seq        uint64
	data       []byte
	err        error
	tokensUsed float64 // tokens charged, from the tail
	// crashes receives the crash reports of the tail; nil to ignore them.
	crashes *crash.Tracker
}

func (f *frameReader) mergeCrashes(news *peerv1.CrashNews) {
	if f.crashes != nil {
		f.crashes.Merge(news)
	}
}

// nextFrame returns the next frame if its request ID and sequence number match.
// Any other frame ends the response, because what follows cannot be trusted to be
// complete.
func (f *frameReader) nextFrame() (*peerv1.ForwardResponse, error) {
	if !f.stream.Receive() {
		err := f.stream.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return nil, errors.Wrap(err, "the forwarded response ended without a tail")
	}
	m := f.stream.Msg()
	if m.GetRequestId() != f.id || m.GetSequence() != f.seq+1 {
		f.log.Emit(event.FrameRejected, zap.String("request", f.id), zap.Uint64("expected", f.seq+1), zap.Uint64("sequence", m.GetSequence()))
		return nil, newAttemptError(result.TargetFailed, true, "a frame of another request or out of order arrived", nil)
	}
	f.seq++
	return m, nil
}

func (f *frameReader) readHead() (*peerv1.Head, http.Header, error) {
	m, err := f.nextFrame()
	if err != nil {
		return nil, nil, err
	}
	if t := m.GetTail(); t != nil {
		f.mergeCrashes(t.GetCrashNews())
		return nil, nil, tailError(t)
	}
	head := m.GetHead()
	if head == nil {
		return nil, nil, newAttemptError(result.TargetFailed, true, "the forwarded answer does not begin with a head", nil)
	}
	h := http.Header{}
	for _, p := range head.GetHeaders() {
		h.Add(p.GetName(), string(p.GetValue()))
	}
	if err := httpframing.CheckHead(int(head.GetStatus()), h); err != nil {
		return nil, nil, newAttemptError(result.TargetFailed, true, "the forwarded answer has an invalid head", err)
	}
	return head, h, nil
}

// Read implements io.Reader.
func (f *frameReader) Read(p []byte) (int, error) {
	for len(f.data) == 0 {
		if f.err != nil {
			return 0, f.err
		}
		f.readBody()
	}
	n := copy(p, f.data)
	f.data = f.data[n:]
	return n, nil
}

func (f *frameReader) readBody() {
	m, err := f.nextFrame()
	if err != nil {
		f.err = err
		return
	}
	switch part := m.GetPart().(type) {
	case *peerv1.ForwardResponse_Data:
		f.data = part.Data
	case *peerv1.ForwardResponse_Tail:
		f.tokensUsed = part.Tail.GetTokensUsed()
		f.mergeCrashes(part.Tail.GetCrashNews())
		if f.err = io.EOF; part.Tail.GetCode() != 0 {
			f.err = tailError(part.Tail)
		}
	default:
		f.err = newAttemptError(result.TargetFailed, true, "a frame of the forwarded answer has no data", nil)
	}
}

// tailError returns the failure that a tail reports. A code about the request
// itself is final, because any other instance would report the same.
func tailError(t *peerv1.Tail) *attemptError {
	code := result.Code(t.GetCode())
	if _, ok := result.Lookup(code); !ok {
		code = result.TargetFailed
	}
	attemptErr := newAttemptError(code, t.GetMayHaveRun(), t.GetMessage(), nil)
	attemptErr.err = attemptErr.err.WithRetryAfter(time.Duration(t.GetRetryAfterMs()) * time.Millisecond)
	attemptErr.reported = true
	attemptErr.final = code < result.OverRate || code == result.OutcomeUnknown
	return attemptErr
}
