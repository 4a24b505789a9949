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

func (s *readCounter) ReadTargets(context.Context) (map[string]*deployment.Target, deployment.Revision, error, error) {
	return nil, deployment.Revision{Number: s.reads.Add(1)}, nil, nil
}

// enoughReaders implements Peers for an instance that takes the catalog from others.
type enoughReaders struct{ noPeers }

func (enoughReaders) EnoughReaders(int64) bool { return true }

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
		for m.Current().TargetsRevision.Number < want {
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

// A call of Refresh must not make an instance read the store again and again.
func TestRefreshCausesOneRead(t *testing.T) {
	for name, c := range map[string]struct {
		peers Peers
		want  int64
	}{"reader": {noPeers{}, 2}, "takes snapshots": {enoughReaders{}, 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &readCounter{}
			m := New(store, c.peers, event.Nop(), time.Now)
			m.Refresh()
			if err := m.pollTargets(t.Context()); err != nil {
				t.Fatal(err)
			}
			if n := store.reads.Load(); n != c.want || len(m.refresh) != 0 {
				t.Errorf("%d reads, want %d; %d refreshes are left", n, c.want, len(m.refresh))
			}
		})
	}
}
