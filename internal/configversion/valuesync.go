package configversion

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// fetchTimeout bounds the first fetch from a peer; it doubles with each failure.
// A configuration of 1 MB takes 60 ms on the slowest link and a round trip 110 ms.
// With 1.5 s, one lost message kept a revoked API key in use for more than 3 s.
const fetchTimeout = 500 * time.Millisecond

// errPeerPaused is returned if the peer responded but cannot confirm a version.
var errPeerPaused = errors.New("the peer was paused and has not confirmed its configuration version")

// valueSync distributes one named value of the configuration service: the
// configuration or the instance list.
type valueSync struct {
	name string
	m    *Manager
	// parse returns a function that publishes the parsed version.
	parse func(Version) (publish func(), err error)
	// applyMu serializes parsing and publishing, so that subscribers see the
	// changes in order. It is locked before mu, which probes need and which is
	// therefore not held during parsing.
	applyMu sync.Mutex
	mu      struct {
		sync.Mutex
		state *VersionState
	}
	offerSignal  chan struct{} // capacity 1: signals that there are new offers
	firstVersion chan struct{} // closed once there is a version
}

func newValueSync(m *Manager, name string, parse func(Version) (func(), error)) *valueSync {
	s := &valueSync{name: name, m: m, parse: parse, offerSignal: make(chan struct{}, 1), firstVersion: make(chan struct{})}
	s.mu.state = &VersionState{}
	return s
}

func (s *valueSync) current() Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.state.Current()
}

func (s *valueSync) highestRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.state.HighestRevision()
}

func (s *valueSync) probeID() *peerv1.EditionID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.state.ProbeID()
}

// accept makes v the current version if it is newer and valid, and reports what
// became of it.
func (s *valueSync) accept(ctx context.Context, v Version, source string) Verdict {
	verdict, err := s.apply(v)
	switch verdict {
	case Accepted:
		s.notifyPeers(ctx)
	case Conflict:
		s.m.recordConflict(s.name, v.Revision, source)
	case Rejected:
		s.m.recordRejection(s.name, v, source, err)
	}
	return verdict
}

func (s *valueSync) apply(v Version) (Verdict, error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.mu.Lock()
	verdict, first := s.mu.state.Check(v), s.mu.state.Current().Revision == 0
	s.mu.Unlock()
	if verdict != Accepted {
		return verdict, nil
	}
	publish, err := s.parse(v)
	s.mu.Lock()
	if err != nil {
		s.mu.state.Reject(v)
	} else {
		s.mu.state.Accept(v)
	}
	s.mu.Unlock()
	if err != nil {
		return Rejected, err
	}
	publish()
	if first {
		close(s.firstVersion)
	}
	return Accepted, nil
}

// notifyPeers notifies a few members of the new revision; they fetch it and
// notify others in turn.
func (s *valueSync) notifyPeers(ctx context.Context) {
	if s.m.members == nil || ctx.Err() != nil {
		return
	}
	var addresses []string
	for _, member := range s.m.members.Random(notifyFanout) {
		addresses = append(addresses, member.PeerAddress)
	}
	s.m.background.Go(func() { s.m.members.SendProbes(ctx, addresses) })
}

// handleOffer records that a peer has the version id.
func (s *valueSync) handleOffer(from *peerv1.Identity, id *peerv1.EditionID) {
	s.mu.Lock()
	relation := s.mu.state.RecordOffer(from.GetPeerAddress(), id)
	s.mu.Unlock()
	switch relation {
	case Newer:
		select {
		case s.offerSignal <- struct{}{}:
		default:
		}
	case Equal:
		s.m.recordConfirmation(s.name)
	case Conflicting:
		s.m.recordConflict(s.name, id.Revision, from.GetInstance())
	}
}

// fetchOffers fetches from peers that offer a newer version, one at a time.
func (s *valueSync) fetchOffers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.offerSignal:
		}
		for ctx.Err() == nil {
			s.mu.Lock()
			address, failures, ok := s.mu.state.FetchSource()
			s.mu.Unlock()
			if !ok {
				break
			}
			err := s.fetchFrom(ctx, address, fetchTimeout<<failures)
			if err != nil && ctx.Err() == nil {
				s.m.cfg.Log.Emit(event.FetchFailed, zap.String("value", s.name), zap.String("peer", address), zap.Error(err))
			}
			// An accepted version has removed the offer. If it is still there, the
			// peer announced more than it has; without counting that as a failure,
			// it would be asked in a loop.
			s.mu.Lock()
			s.mu.state.RecordFetchFailure(address)
			s.mu.Unlock()
		}
	}
}

// fetchFrom fetches a newer version from a peer. It returns an error if the peer
// has none, unless the peer confirms the current version.
func (s *valueSync) fetchFrom(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	base := s.current()
	req := &peerv1.FetchEditionRequest{Name: s.name, From: s.m.identity()}
	if base.Revision > 0 {
		req.Have = &peerv1.EditionID{Revision: base.Revision, Digest: base.Digest[:]}
	}
	for range 2 {
		res, err := s.m.cfg.PeerClient.FetchEdition(ctx, address, req)
		if err != nil {
			return errors.Wrap(err, "fetching from a peer")
		}
		s.mu.Lock()
		v, ok, retryWhole := s.mu.state.DecodeResponse(base, res)
		latest := s.mu.state.Current()
		s.mu.Unlock()
		if ok {
			verdict := s.accept(s.m.ctx, v, address)
			switch {
			case res.Paused:
				return errPeerPaused
			case verdict == Accepted:
				s.m.recordConfirmation(s.name)
			}
			return nil
		}
		if !retryWhole {
			if res.GetPaused() {
				return errPeerPaused
			}
			if res.GetEdition().GetRevision() == latest.Revision && latest.Revision > 0 && bytes.Equal(res.Edition.Digest, latest.Digest[:]) {
				s.m.recordConfirmation(s.name)
				return nil
			}
			return errors.Newf("the peer has revision %d, this instance %d", res.GetEdition().GetRevision(), latest.Revision)
		}
		req.Have = nil // applying the changes did not give the announced digest
	}
	return errors.New("the whole text does not match the digest that the peer announced")
}

// handleServiceValue handles one response of the service and reports whether the
// service has no older version than this instance.
func (s *valueSync) handleServiceValue(ctx context.Context, got confservice.Value, changed bool) bool {
	if changed {
		s.accept(ctx, NewVersion(got.Revision, got.Text), "service")
	}
	if changed && got.Revision < s.highestRevision() {
		return false
	}
	s.m.recordConfirmation(s.name)
	return true
}

// readService reads the value from the service once.
func (s *valueSync) readService(ctx context.Context) error {
	calledAt := s.m.now()
	got, err := s.m.cfg.Service.Read(ctx, s.name)
	if err != nil {
		return err
	}
	if s.handleServiceValue(ctx, got, true) {
		s.m.recordServiceConfirmation(s.name, calledAt)
	}
	return nil
}

// watchService keeps a long-polling call at the service until ctx ends.
func (s *valueSync) watchService(ctx context.Context) {
	s.m.cfg.Log.Emit(event.WatchStarted, zap.String("value", s.name))
	failing := false
	confservice.Watch(ctx, s.m.cfg.Service, s.name, s.highestRevision, func(o confservice.Outcome) {
		switch {
		case o.Err != nil && !failing:
			failing = true
			s.m.cfg.Log.Emit(event.ConfigServiceFailed, zap.String("value", s.name), zap.Error(o.Err))
		case o.Err == nil && failing:
			failing = false
			s.m.cfg.Log.Emit(event.ConfigServiceRecovered, zap.String("value", s.name))
		}
		if o.Err == nil {
			s.handleServiceValue(s.m.ctx, o.Value, o.Changed)
		}
	})
	s.m.cfg.Log.Emit(event.WatchEnded, zap.String("value", s.name))
}

// fetchFirst obtains the first version, from peers or else from the service. It
// reads the service only while mayRead returns true.
func (s *valueSync) fetchFirst(ctx context.Context, mayRead func() bool) {
	attempt, nextReadAt, interval := 0, s.m.now()+s.nextReadDelay(0), firstFetchInterval
	for {
		s.fetchFromAny(ctx)
		if mayRead() && s.current().Revision == 0 && s.m.now() >= nextReadAt {
			err := s.readService(ctx)
			if err == nil || errors.Is(err, confservice.ErrNotFound) {
				s.m.serviceResponded.Store(true)
			} else if attempt == 0 {
				s.m.cfg.Log.Emit(event.ConfigServiceFailed, zap.String("value", s.name), zap.Error(err))
			}
			attempt++
			nextReadAt = s.m.now() + s.nextReadDelay(attempt)
		}
		delay := min(max(nextReadAt-s.m.now(), 10*time.Millisecond), interval)
		interval = min(2*interval, maxFirstFetchInterval)
		select {
		case <-ctx.Done():
			return
		case <-s.firstVersion:
			return
		case <-time.After(delay):
		}
	}
}

func (s *valueSync) nextReadDelay(attempt int) time.Duration {
	return ReadDelay(attempt, s.m.hasInstanceList(), s.m.isWatcher(), rand.Float64())
}

// fetchFromAny asks a few members or bootstrap addresses at the same time. It
// returns once one of them has delivered a version or all have failed.
func (s *valueSync) fetchFromAny(ctx context.Context) bool {
	addresses := s.m.fetchPeers()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, a := range addresses {
		go func() { results <- s.fetchFrom(ctx, a, fetchTimeout) }()
	}
	for range addresses {
		if <-results == nil {
			return true
		}
	}
	return false
}
