package configversion_test

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/membership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

func (w *world) reaches(a, b *node) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cut[[2]string{a.self.Region, b.self.Region}]
}

func (w *world) setCut(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = cut, cut
}

func (w *world) lost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < w.loss
}

func delay(a, b *node) time.Duration {
	switch {
	case a.self.Region != b.self.Region:
		return 55 * time.Millisecond
	case a.self.Domain != b.self.Domain:
		return 500 * time.Microsecond
	}
	return 100 * time.Microsecond
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// call carries one request and its answer. A refused connection fails at
// once; an unreachable host, a lost message or a frozen process runs into the
// deadline.
func call[Q, R proto.Message](ctx context.Context, from *node, address string, req Q, handle func(*configversion.Manager, *membership.Manager, Q) (R, error)) (R, error) {
	var none R
	w := from.w
	w.mu.Lock()
	to := w.byAddr[address]
	w.mu.Unlock()
	if err := from.awake(ctx); err != nil {
		return none, err
	}
	if to == nil {
		return none, errors.New("no such host")
	}
	if !w.reaches(from, to) || w.lost() {
		<-ctx.Done()
		return none, errors.Join(ctx.Err(), from.awake(ctx))
	}
	count(from, proto.Size(req))
	if err := pause(ctx, delay(from, to)); err != nil {
		return none, err
	}
	type result struct {
		res R
		err error
	}
	answer := make(chan result, 1)
	w.running.Go(func() {
		_ = to.awake(context.Background()) // delivered late, but delivered
		em, mm := to.managers()
		if em == nil {
			answer <- result{err: errors.New("connection refused")}
			return
		}
		res, err := handle(em, mm, proto.CloneOf(req))
		if err == nil {
			count(to, proto.Size(res))
		}
		answer <- result{res, err}
	})
	select {
	case <-ctx.Done():
		return none, errors.Join(ctx.Err(), from.awake(ctx))
	case r := <-answer:
		if !w.reaches(to, from) {
			<-ctx.Done()
			return none, ctx.Err()
		}
		if err := pause(ctx, delay(to, from)); err != nil {
			return none, err
		}
		if err := from.awake(ctx); err != nil || r.err != nil {
			return none, errors.Join(err, r.err)
		}
		return proto.CloneOf(r.res), nil
	}
}

func count(n *node, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent += bytes
}

type nodePeers struct{ n *node }

func (p nodePeers) Probe(ctx context.Context, address string, req *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	return call(ctx, p.n, address, req, func(_ *configversion.Manager, m *membership.Manager, q *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
		return m.HandleProbe(ctx, q)
	})
}

func (p nodePeers) FetchEdition(ctx context.Context, address string, req *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error) {
	return call(ctx, p.n, address, req, func(m *configversion.Manager, _ *membership.Manager, q *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error) {
		return m.HandleFetchEdition(ctx, q)
	})
}

// publish sets a value of the service.
func (w *world) publish(name string, revision int64, text []byte) {
	s := &w.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[name] = confservice.Value{Revision: revision, Text: text}
	close(s.changed)
	s.changed = make(chan struct{})
}

type nodeService struct{ n *node }

func (s nodeService) get(name string) (v confservice.Value, changed chan struct{}, err error) {
	svc := &s.n.w.service
	svc.mu.Lock()
	defer svc.mu.Unlock()
	s.n.mu.Lock()
	cut := s.n.noServe
	s.n.mu.Unlock()
	if svc.down || cut {
		return v, nil, errors.New("connection refused")
	}
	v = svc.values[name]
	if svc.useStale {
		v = svc.stale[name]
	}
	if v.Revision == 0 {
		return v, svc.changed, confservice.ErrMissing
	}
	return v, svc.changed, nil
}

func (s nodeService) begin(ctx context.Context) error {
	svc := &s.n.w.service
	svc.mu.Lock()
	svc.calls++
	svc.perSec[int(time.Since(s.n.w.start)/time.Second)]++
	svc.mu.Unlock()
	if err := s.n.awake(ctx); err != nil {
		return err
	}
	return pause(ctx, time.Millisecond)
}

func (s nodeService) Read(ctx context.Context, name string) (confservice.Value, error) {
	if err := s.begin(ctx); err != nil {
		return confservice.Value{}, err
	}
	v, _, err := s.get(name)
	return v, errors.Join(err, s.n.awake(ctx))
}

func (s nodeService) Wait(ctx context.Context, name string, after int64, wait time.Duration) (confservice.Value, bool, error) {
	if err := s.begin(ctx); err != nil {
		return confservice.Value{}, false, err
	}
	end := time.After(wait)
	for {
		v, changed, err := s.get(name)
		if err != nil {
			return confservice.Value{}, false, err
		}
		if v.Revision > after {
			return v, true, s.n.awake(ctx)
		}
		select {
		case <-ctx.Done():
			return confservice.Value{}, false, ctx.Err()
		case <-end:
			return confservice.Value{}, false, s.n.awake(ctx)
		case <-changed:
		}
	}
}
