package catalog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// readCounter counts the reads of the list of targets.
type readCounter struct {
	Store
	reads atomic.Int64
}

func (s *readCounter) ReadTargets(context.Context) (map[string]*deployment.Target, int64, error, error) {
	return nil, s.reads.Add(1), nil, nil
}

// enoughReaders implements Peers for an instance that takes the catalog from others.
type enoughReaders struct{ noPeers }

func (enoughReaders) EnoughReaders() bool { return true }

func TestInstanceThatTakesSnapshotsReadsListOnRefresh(t *testing.T) {
	store := &readCounter{}
	m := New(store, enoughReaders{}, event.Nop(), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.runWithBackoff(ctx, m.pollTargets); close(done) }()
	for range 3 {
		want := store.reads.Load() + 1
		before := time.Now()
		m.Refresh()
		for m.Current().TargetsRevision < want {
			time.Sleep(time.Millisecond)
		}
		if m.Current().TargetsReadAt.Before(before) {
			t.Error("the list counts as read before it was to be read")
		}
	}
	cancel()
	<-done
	if n := store.reads.Load(); n != 3 {
		t.Errorf("%d reads, want 3", n)
	}
}
