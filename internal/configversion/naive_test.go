package configversion_test

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

// naiveDistributor accepts the latest response of the service or, if the service
// fails, the version of any peer, and serves at once after a start or a pause. It
// proves the checks of this package: they must find its faults.
type naiveDistributor struct {
	n   *node
	mu  sync.Mutex
	rev int64
}

const naiveReadInterval = 500 * time.Millisecond

func (v *naiveDistributor) run(ctx context.Context) {
	for ctx.Err() == nil {
		if got, err := (simulatedService{v.n}).Read(ctx, "table"); err == nil {
			if _, err := config.Parse(got.Text); err == nil {
				v.set(got.Revision)
			}
		} else {
			v.askPeer(ctx)
		}
		_ = sleep(ctx, naiveReadInterval)
	}
}

func (v *naiveDistributor) askPeer(ctx context.Context) {
	sim := v.n.sim
	peer := sim.nodes[sim.uint64()%uint64(len(sim.nodes))]
	if peer == v.n || !sim.reaches(v.n, peer) || sleep(ctx, 2*delay(v.n, peer)) != nil || v.n.waitAwake(ctx) != nil {
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

func (v *naiveDistributor) set(revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rev = revision
}

func (v *naiveDistributor) revision() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rev
}
