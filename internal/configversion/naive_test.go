package configversion_test

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

// naive is a distribution that takes whatever the service said last, or, if
// the service does not answer, whatever a peer has, and serves at once after a
// start or a pause. The checks of this package must find its faults.
type naive struct {
	n  *node
	mu sync.Mutex
	rv int64
}

const naivePeriod = 500 * time.Millisecond

func (v *naive) run(ctx context.Context) {
	for ctx.Err() == nil {
		if got, err := (nodeService{v.n}).Read(ctx, "table"); err == nil {
			if _, err := config.Parse(got.Text); err == nil {
				v.set(got.Revision)
			}
		} else {
			v.askPeer(ctx)
		}
		_ = pause(ctx, naivePeriod)
	}
}

func (v *naive) askPeer(ctx context.Context) {
	w := v.n.w
	peer := w.nodes[w.uint64()%uint64(len(w.nodes))]
	if peer == v.n || !w.reaches(v.n, peer) || pause(ctx, 2*delay(v.n, peer)) != nil || v.n.awake(ctx) != nil {
		return
	}
	peer.mu.Lock()
	up := peer.frozen == nil && peer.naive != nil
	other := peer.naive
	peer.mu.Unlock()
	if up {
		if r := other.revision(); r > 0 {
			v.set(r)
		}
	}
}

func (v *naive) set(revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rv = revision
}

func (v *naive) revision() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rv
}
