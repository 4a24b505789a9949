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

// fetchTimeout of the first fetch from a peer; it doubles with each failure.
// A table of 1 MB takes 60 ms on the slowest link and a round trip 110 ms.
// With 1.5 s, one lost message kept a withdrawn key in use for more than 3 s.
const fetchTimeout = 500 * time.Millisecond

// errPeerPaused: the peer answered but cannot confirm anything.
var errPeerPaused = errors.New("the peer was paused and has not confirmed its edition")

// value distributes one named value.
type value struct {
	name string
	m    *Manager
	// parse returns a function that puts the text into force.
	parse func(Text) (publish func(), err error)
	// Serialises parsing and publishing, so that subscribers see the changes
	// in order. Locked before mu, which is not held while a text is parsed:
	// probes need it.
	take sync.Mutex
	mu   struct {
		sync.Mutex
		keeper *Keeper
	}
	offered chan struct{} // capacity 1: there are offers to look at
	known   chan struct{} // closed once there is a text
}

func newValue(m *Manager, name string, parse func(Text) (func(), error)) *value {
	v := &value{name: name, m: m, parse: parse, offered: make(chan struct{}, 1), known: make(chan struct{})}
	v.mu.keeper = &Keeper{}
	return v
}

func (v *value) current() Text {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mu.keeper.Current()
}

func (v *value) after() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mu.keeper.After()
}

func (v *value) id() *peerv1.EditionID {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mu.keeper.ID()
}

// accept takes a text if it is newer and reports what became of it.
func (v *value) accept(ctx context.Context, t Text, source string) Verdict {
	verdict, err := v.replace(t)
	switch verdict {
	case Taken:
		v.push(ctx)
	case Conflict:
		v.m.conflict(v.name, t.Revision, source)
	case Rejected:
		v.m.rejected(v.name, t, source, err)
	}
	return verdict
}

func (v *value) replace(t Text) (Verdict, error) {
	v.take.Lock()
	defer v.take.Unlock()
	v.mu.Lock()
	verdict, first := v.mu.keeper.Check(t), v.mu.keeper.Current().Revision == 0
	v.mu.Unlock()
	if verdict != Taken {
		return verdict, nil
	}
	publish, err := v.parse(t)
	v.mu.Lock()
	if err != nil {
		v.mu.keeper.Reject(t)
	} else {
		v.mu.keeper.Put(t)
	}
	v.mu.Unlock()
	if err != nil {
		return Rejected, err
	}
	publish()
	if first {
		close(v.known)
	}
	return Taken, nil
}

// push tells a few members of the new revision; they fetch it and push on.
func (v *value) push(ctx context.Context) {
	if v.m.members == nil || ctx.Err() != nil {
		return
	}
	var addresses []string
	for _, one := range v.m.members.Random(pushFanout) {
		addresses = append(addresses, one.PeerAddress)
	}
	v.m.background.Go(func() { v.m.members.Tell(ctx, addresses) })
}

// offer notes that a peer has the text id.
func (v *value) offer(from *peerv1.Identity, id *peerv1.EditionID) {
	v.mu.Lock()
	relation := v.mu.keeper.Offer(from.GetPeerAddress(), id)
	v.mu.Unlock()
	switch relation {
	case Newer:
		select {
		case v.offered <- struct{}{}:
		default:
		}
	case Equal:
		v.m.confirmed(v.name)
	case Different:
		v.m.conflict(v.name, id.Revision, from.GetInstance())
	}
}

// fetchOffers fetches from peers that have a newer text, one at a time.
func (v *value) fetchOffers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.offered:
		}
		for ctx.Err() == nil {
			v.mu.Lock()
			address, failures, ok := v.mu.keeper.Source()
			v.mu.Unlock()
			if !ok {
				break
			}
			err := v.fetch(ctx, address, fetchTimeout<<failures)
			if err != nil && ctx.Err() == nil {
				v.m.cfg.Log.Emit(event.FetchFailed, zap.String("value", v.name), zap.String("peer", address), zap.Error(err))
			}
			// A text that was taken removed the offer. If it is still there, the
			// peer announced more than it has; asking again at once would loop.
			v.mu.Lock()
			v.mu.keeper.FetchFailed(address)
			v.mu.Unlock()
		}
	}
}

// fetch asks a peer for a newer text. It is an error if the peer has none,
// unless it confirms the one in force.
func (v *value) fetch(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	base := v.current()
	req := &peerv1.FetchEditionRequest{Name: v.name, From: v.m.identity()}
	if base.Revision > 0 {
		req.Have = &peerv1.EditionID{Revision: base.Revision, Digest: base.Digest[:]}
	}
	for range 2 {
		res, err := v.m.cfg.Peers.FetchEdition(ctx, address, req)
		if err != nil {
			return errors.Wrap(err, "fetching from a peer")
		}
		v.mu.Lock()
		t, ok, whole := v.mu.keeper.Fetched(base, res)
		now := v.mu.keeper.Current()
		v.mu.Unlock()
		if ok {
			verdict := v.accept(v.m.ctx, t, address)
			switch {
			case res.Paused:
				return errPeerPaused
			case verdict == Taken:
				v.m.confirmed(v.name)
			}
			return nil
		}
		if !whole {
			if res.GetPaused() {
				return errPeerPaused
			}
			if res.GetEdition().GetRevision() == now.Revision && now.Revision > 0 && bytes.Equal(res.Edition.Digest, now.Digest[:]) {
				v.m.confirmed(v.name)
				return nil
			}
			return errors.Newf("the peer has revision %d, this instance %d", res.GetEdition().GetRevision(), now.Revision)
		}
		req.Have = nil // the changes did not give the digest
	}
	return errors.New("the whole text does not have the digest that the peer gave")
}

// fromService handles one answer of the service and reports whether the
// service has no older text than this instance.
func (v *value) fromService(ctx context.Context, got confservice.Value, changed bool) bool {
	if changed {
		v.accept(ctx, NewText(got.Revision, got.Text), "service")
	}
	if changed && got.Revision < v.after() {
		return false
	}
	v.m.confirmed(v.name)
	return true
}

// read asks the service once.
func (v *value) read(ctx context.Context) error {
	began := v.m.now()
	got, err := v.m.cfg.Service.Read(ctx, v.name)
	if err != nil {
		return err
	}
	if v.fromService(ctx, got, true) {
		v.m.serviceAnswered(v.name, began)
	}
	return nil
}

// watch keeps a call waiting at the service until ctx ends.
func (v *value) watch(ctx context.Context) {
	v.m.cfg.Log.Emit(event.WatchStarted, zap.String("value", v.name))
	failing := false
	confservice.Watch(ctx, v.m.cfg.Service, v.name, v.after, func(o confservice.Outcome) {
		switch {
		case o.Err != nil && !failing:
			failing = true
			v.m.cfg.Log.Emit(event.ServiceFailed, zap.String("value", v.name), zap.Error(o.Err))
		case o.Err == nil && failing:
			failing = false
			v.m.cfg.Log.Emit(event.ServiceBack, zap.String("value", v.name))
		}
		if o.Err == nil {
			v.fromService(v.m.ctx, o.Value, o.Changed)
		}
	})
	v.m.cfg.Log.Emit(event.WatchEnded, zap.String("value", v.name))
}

// start obtains the first text: from peers, else from the service. The
// service is read only while mayRead is true.
func (v *value) start(ctx context.Context, mayRead func() bool) {
	attempt, due, ask := 0, v.m.now()+v.nextRead(0), askPeriod
	for {
		v.askPeers(ctx)
		if mayRead() && v.current().Revision == 0 && v.m.now() >= due {
			err := v.read(ctx)
			if err == nil || errors.Is(err, confservice.ErrMissing) {
				v.m.serviceUp.Store(true)
			} else if attempt == 0 {
				v.m.cfg.Log.Emit(event.ServiceFailed, zap.String("value", v.name), zap.Error(err))
			}
			attempt++
			due = v.m.now() + v.nextRead(attempt)
		}
		pause := min(max(due-v.m.now(), 10*time.Millisecond), ask)
		ask = min(2*ask, maxAskPeriod)
		select {
		case <-ctx.Done():
			return
		case <-v.known:
			return
		case <-time.After(pause):
		}
	}
}

func (v *value) nextRead(attempt int) time.Duration {
	return NextRead(attempt, v.m.listed(), v.m.watches(), rand.Float64())
}

// askPeers asks a few members or bootstrap addresses at the same time. It
// returns once one of them delivered or all have failed.
func (v *value) askPeers(ctx context.Context) bool {
	addresses := v.m.peersToAsk()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, a := range addresses {
		go func() { results <- v.fetch(ctx, a, fetchTimeout) }()
	}
	for range addresses {
		if <-results == nil {
			return true
		}
	}
	return false
}
