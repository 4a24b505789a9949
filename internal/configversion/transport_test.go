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

func (sim *simulation) reaches(a, b *node) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return !sim.partitioned[[2]string{a.self.Region, b.self.Region}]
}

func (sim *simulation) setPartitioned(a, b string, partitioned bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.partitioned[[2]string{a, b}], sim.partitioned[[2]string{b, a}] = partitioned, partitioned
}

func (sim *simulation) dropMessage() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.Float64() < sim.lossRate
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

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// call delivers a request and its response with the delay of the link. A refused
// connection fails at once; an unreachable host, a lost message or a frozen
// process causes a timeout.
func call[Q, R proto.Message](ctx context.Context, from *node, address string, req Q, handle func(*configversion.Manager, *membership.Manager, Q) (R, error)) (R, error) {
	var none R
	sim := from.sim
	sim.mu.Lock()
	to := sim.byAddr[address]
	sim.mu.Unlock()
	if err := from.waitAwake(ctx); err != nil {
		return none, err
	}
	if to == nil {
		return none, errors.New("no such host")
	}
	if !sim.reaches(from, to) || sim.dropMessage() {
		<-ctx.Done()
		return none, errors.Join(ctx.Err(), from.waitAwake(ctx))
	}
	countSent(from, proto.Size(req))
	if err := sleep(ctx, delay(from, to)); err != nil {
		return none, err
	}
	type result struct {
		res R
		err error
	}
	reply := make(chan result, 1)
	sim.goroutines.Go(func() {
		_ = to.waitAwake(context.Background()) // a frozen process receives the request once it runs again
		cm, mm := to.managers()
		if cm == nil {
			reply <- result{err: errors.New("connection refused")}
			return
		}
		res, err := handle(cm, mm, proto.CloneOf(req))
		if err == nil {
			countSent(to, proto.Size(res))
		}
		reply <- result{res, err}
	})
	select {
	case <-ctx.Done():
		return none, errors.Join(ctx.Err(), from.waitAwake(ctx))
	case r := <-reply:
		if !sim.reaches(to, from) {
			<-ctx.Done()
			return none, ctx.Err()
		}
		if err := sleep(ctx, delay(to, from)); err != nil {
			return none, err
		}
		if err := from.waitAwake(ctx); err != nil || r.err != nil {
			return none, errors.Join(err, r.err)
		}
		return proto.CloneOf(r.res), nil
	}
}

func countSent(n *node, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent += bytes
}

type simulatedPeers struct{ n *node }

func (p simulatedPeers) Probe(ctx context.Context, address string, req *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	return call(ctx, p.n, address, req, func(_ *configversion.Manager, m *membership.Manager, q *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
		return m.HandleProbe(ctx, q)
	})
}

func (p simulatedPeers) FetchEdition(ctx context.Context, address string, req *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error) {
	return call(ctx, p.n, address, req, func(m *configversion.Manager, _ *membership.Manager, q *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error) {
		return m.HandleFetchEdition(ctx, q)
	})
}

// publish sets a value at the configuration service.
func (sim *simulation) publish(name string, revision int64, text []byte) {
	s := &sim.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[name] = confservice.Value{Revision: revision, Text: text}
	close(s.changed)
	s.changed = make(chan struct{})
}

type simulatedService struct{ n *node }

func (s simulatedService) lookup(name string) (v confservice.Value, changed chan struct{}, err error) {
	svc := &s.n.sim.service
	svc.mu.Lock()
	defer svc.mu.Unlock()
	s.n.mu.Lock()
	unreachable := s.n.serviceUnreachable
	s.n.mu.Unlock()
	if svc.down || unreachable {
		return v, nil, errors.New("connection refused")
	}
	v = svc.values[name]
	if svc.useStale {
		v = svc.stale[name]
	}
	if v.Revision == 0 {
		return v, svc.changed, confservice.ErrNotFound
	}
	return v, svc.changed, nil
}

func (s simulatedService) beginCall(ctx context.Context) error {
	svc := &s.n.sim.service
	svc.mu.Lock()
	svc.calls++
	svc.callsPerSecond[int(time.Since(s.n.sim.startedAt)/time.Second)]++
	svc.mu.Unlock()
	if err := s.n.waitAwake(ctx); err != nil {
		return err
	}
	return sleep(ctx, time.Millisecond)
}

func (s simulatedService) Read(ctx context.Context, name string) (confservice.Value, error) {
	if err := s.beginCall(ctx); err != nil {
		return confservice.Value{}, err
	}
	v, _, err := s.lookup(name)
	return v, errors.Join(err, s.n.waitAwake(ctx))
}

func (s simulatedService) Wait(ctx context.Context, name string, after int64, wait time.Duration) (confservice.Value, bool, error) {
	if err := s.beginCall(ctx); err != nil {
		return confservice.Value{}, false, err
	}
	end := time.After(wait)
	for {
		v, changed, err := s.lookup(name)
		if err != nil {
			return confservice.Value{}, false, err
		}
		if v.Revision > after {
			return v, true, s.n.waitAwake(ctx)
		}
		select {
		case <-ctx.Done():
			return confservice.Value{}, false, ctx.Err()
		case <-end:
			return confservice.Value{}, false, s.n.waitAwake(ctx)
		case <-changed:
		}
	}
}
