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

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// resumeHeader carries the tokens delivered before the hop.
const resumeHeader = "X-Resume-Tokens"

// startHeader carries the time in milliseconds for which the admission of the
// sender is still valid. The time on the wire is not counted.
const startHeader = "X-Start-Within-Ms"

// instanceKey names an instance in the set of excluded places.
func instanceKey(name string) string { return "instance " + name }

// open implements hop: it forwards to a live instance of region.
func (d *Dispatcher) open(ctx context.Context, c *Call, region string, exclude map[string]bool, attempt, resumed int) (*answer, error) {
	release, err := d.takeHop(region)
	if err != nil {
		return nil, err
	}
	m, ok := d.pick(region, exclude)
	if !ok {
		release()
		f := fault(result.RegionUnreachable, false, "no live instance in the region "+region, nil)
		f.exclude = region
		return nil, f
	}
	a, err := d.send(ctx, c, m, attempt, resumed, false)
	if err != nil {
		release()
		return nil, err
	}
	end := a.close
	a.close = sync.OnceFunc(func() { end(); release() })
	return a, nil
}

// takeHop counts a stream to a region against the policy's bound.
func (d *Dispatcher) takeHop(region string) (release func(), err error) {
	limit := 0
	if e := d.local.ConfigSource.Current(); e != nil {
		limit = e.Policy.HopSlots
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if limit > 0 && d.mu.inFlight[region] >= limit {
		f := fault(result.RegionUnreachable, false, "too many requests are forwarded to the region "+region, nil)
		f.exclude = region
		return nil, f
	}
	d.mu.inFlight[region]++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.mu.inFlight[region]--
	}, nil
}

// InFlight is the number of requests forwarded to a region now.
func (d *Dispatcher) InFlight(region string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.inFlight[region]
}

func (d *Dispatcher) pick(region string, exclude map[string]bool) (Member, bool) {
	var left []Member
	for _, m := range d.Members.InRegion(region) {
		if m.Region == region && !exclude[instanceKey(m.Name)] {
			left = append(left, m)
		}
	}
	if len(left) == 0 {
		return Member{}, false
	}
	return left[rand.IntN(len(left))], true
}

// forwardRequest is the message for a call. It holds no key: the headers were
// stripped at the entry.
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
	for region := range c.Permit.Allowed {
		req.AllowedRegions = append(req.AllowedRegions, region)
	}
	for name, values := range c.Header {
		for _, v := range values {
			req.Headers = append(req.Headers, &peerv1.Header{Name: name, Value: v})
		}
	}
	if resumed > 0 {
		req.Headers = append(req.Headers, &peerv1.Header{Name: resumeHeader, Value: strconv.Itoa(resumed)})
	}
	if !c.StartDeadline.IsZero() {
		req.Headers = append(req.Headers, &peerv1.Header{Name: startHeader, Value: strconv.FormatInt(time.Until(c.StartDeadline).Milliseconds(), 10)})
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.RemainingMs = uint32(max(time.Until(deadline).Milliseconds(), 1))
	}
	return req
}

// send makes the one hop and waits for the head of the answer.
func (d *Dispatcher) send(ctx context.Context, c *Call, m Member, attempt, resumed int, resend bool) (*answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &sent{}
	client := d.PeerClients.Client(m.PeerAddress)
	call := client.Forward
	if resend {
		call = client.Resend
	}
	stream, err := call(s.trace(ctx), connect.NewRequest(d.forwardRequest(ctx, c, attempt, resumed)))
	if err != nil {
		defer cancel()
		return nil, d.hopFault(ctx, m, s, err)
	}
	f := &frameReader{stream: stream, id: c.ID, log: d.local.Log, suspects: d.local.CrashSuspects}
	head, err := f.head()
	if err != nil {
		defer func() { cancel(); _ = stream.Close() }()
		return nil, d.hopFault(ctx, m, s, err)
	}
	h := http.Header{}
	for _, p := range head.GetHeaders() {
		h.Add(p.GetName(), p.GetValue())
	}
	a := &answer{
		status: int(head.GetStatus()), header: h, target: head.GetTarget(), size: -1, body: f, exclude: instanceKey(m.Name),
		close: func() { cancel(); _ = stream.Close() },
	}
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil {
		a.size = n
	}
	return a, nil
}

// hopFault classifies a hop without an answer.
func (d *Dispatcher) hopFault(ctx context.Context, m Member, s *sent, err error) error {
	var f *attemptError
	switch {
	case ctx.Err() != nil:
		return contextFault(ctx, s.mayHave())
	case errors.As(err, &f):
	case s.mayHave():
		f = fault(result.TargetFailed, true, "the instance asked to run the request did not answer", err)
	default:
		f = fault(result.RegionUnreachable, false, "the instance asked to run the request could not be reached", err)
	}
	f.exclude = instanceKey(m.Name)
	return f
}

// frames is the receiving side of a stream of the inner protocol.
type frames interface {
	Receive() bool
	Msg() *peerv1.ForwardResponse
	Err() error
}

// frameReader checks the frames of one forwarded request and reads their data.
// It returns io.EOF only after a tail that reports success.
type frameReader struct {
	stream frames
	id     string
	log    *event.Logger
	seq    uint64
	data   []byte
	err    error
	used   float64 // tokens charged, by the tail
	// suspects takes the crashes that the tail reports; nil for none.
	suspects *CrashSuspects
}

func (f *frameReader) learn(reports []*peerv1.Crash) {
	if f.suspects != nil {
		f.suspects.MergeReports(reports)
	}
}

// next returns the next frame if it belongs here. Any other frame ends the
// answer: what follows it cannot be trusted to be complete.
func (f *frameReader) next() (*peerv1.ForwardResponse, error) {
	if !f.stream.Receive() {
		err := f.stream.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return nil, errors.Wrap(err, "the forwarded answer ended without a tail")
	}
	m := f.stream.Msg()
	if m.GetRequestId() != f.id || m.GetSequence() != f.seq+1 {
		f.log.Emit(event.FrameRejected, zap.String("request", f.id), zap.Uint64("expected", f.seq+1), zap.Uint64("sequence", m.GetSequence()))
		return nil, fault(result.TargetFailed, true, "a frame of another request or out of order arrived", nil)
	}
	f.seq++
	return m, nil
}

func (f *frameReader) head() (*peerv1.Head, error) {
	m, err := f.next()
	if err != nil {
		return nil, err
	}
	if t := m.GetTail(); t != nil {
		f.learn(t.GetCrashes())
		return nil, tailFault(t)
	}
	h := m.GetHead()
	if h == nil || h.GetStatus() < 200 || h.GetStatus() > 599 {
		return nil, fault(result.TargetFailed, true, "the forwarded answer does not begin with a head", nil)
	}
	return h, nil
}

// Read implements io.Reader.
func (f *frameReader) Read(p []byte) (int, error) {
	for len(f.data) == 0 {
		if f.err != nil {
			return 0, f.err
		}
		f.advance()
	}
	n := copy(p, f.data)
	f.data = f.data[n:]
	return n, nil
}

func (f *frameReader) advance() {
	m, err := f.next()
	if err != nil {
		f.err = err
		return
	}
	switch part := m.GetPart().(type) {
	case *peerv1.ForwardResponse_Data:
		f.data = part.Data
	case *peerv1.ForwardResponse_Tail:
		f.used = part.Tail.GetTokensUsed()
		f.learn(part.Tail.GetCrashes())
		if f.err = io.EOF; part.Tail.GetCode() != 0 {
			f.err = tailFault(part.Tail)
		}
	default:
		f.err = fault(result.TargetFailed, true, "a frame of the forwarded answer has no data", nil)
	}
}

// tailFault is the failure that a tail reports. A code about the request
// itself would be the same at any other instance.
func tailFault(t *peerv1.Tail) *attemptError {
	code := result.Code(t.GetCode())
	if _, ok := result.Lookup(code); !ok {
		code = result.TargetFailed
	}
	f := fault(code, t.GetMayHaveRun(), t.GetMessage(), nil)
	f.err = f.err.WithRetryAfter(time.Duration(t.GetRetryAfterMs()) * time.Millisecond)
	f.told = true
	f.final = code < result.OverRate || code == result.OutcomeUnknown
	return f
}
