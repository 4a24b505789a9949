package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

// snapshotAt returns the snapshot of an instance that knows modelPublished(revision).
func snapshotAt(t *testing.T, revision int64) []byte {
	m, _ := newManager()
	m.applyPublished(modelPublished(revision), rev(revision), rev(revision))
	snapshot, err := m.MarshalSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func fixed(snapshot []byte, err error) func(context.Context) ([]byte, string, error) {
	return func(context.Context) ([]byte, string, error) { return snapshot, "sender", err }
}

// Guards against a forwarded request that is decided by an older version than that of
// its sender.
func TestEnsurePublishedFetchesNewerState(t *testing.T) {
	m, c := newManager()
	m.applyPublished(modelPublished(1), rev(1), rev(1))
	if !m.EnsurePublished(t.Context(), Known{Published: rev(1)}, fixed(nil, errDown)) {
		t.Error("state that is known is fetched")
	}
	if m.EnsurePublished(t.Context(), Known{Published: rev(3)}, fixed(snapshotAt(t, 2), nil)) {
		t.Error("older state than needed counts as enough")
	}
	c.add(ensurePause)
	if !m.EnsurePublished(t.Context(), Known{Published: rev(4)}, fixed(snapshotAt(t, 4), nil)) || m.Current().Config.Version != modelVersions[4] {
		t.Errorf("in force: %+v", m.Current().PublishedState)
	}
}

// Guards against a receiver that holds each request for the whole timeout while it
// cannot reach the sender, and against one that never tries again.
func TestEnsurePublishedRefusesAtOnceAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(nil, noPeers{}, event.Nop(), time.Now)
		hangs := func(ctx context.Context) ([]byte, string, error) { <-ctx.Done(); return nil, "", ctx.Err() }
		began := time.Now()
		if m.EnsurePublished(t.Context(), Known{Published: rev(3)}, hangs) || time.Since(began) != ensureTimeout {
			t.Errorf("took %s", time.Since(began))
		}
		synctest.Wait()
		began = time.Now()
		if m.EnsurePublished(t.Context(), Known{Published: rev(3)}, fixed(snapshotAt(t, 3), nil)) || time.Since(began) != 0 {
			t.Errorf("took %s right after a failure", time.Since(began))
		}
		time.Sleep(ensurePause)
		if !m.EnsurePublished(t.Context(), Known{Published: rev(3)}, fixed(snapshotAt(t, 3), nil)) {
			t.Error("not fetched after the pause")
		}
	})
}

// Requests that need newer state at the same time share one fetch, also if the first of
// them is given up, and all go on at once if the store is quicker.
func TestEnsurePublishedSharesFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, storeFirst := range []bool{false, true} {
			m := New(nil, noPeers{}, event.Nop(), time.Now)
			var fetches, ok atomic.Int64
			get := func(context.Context) ([]byte, string, error) {
				fetches.Add(1)
				time.Sleep(100 * time.Millisecond)
				return snapshotAt(t, 4), "sender", nil
			}
			first, leave := context.WithCancel(t.Context())
			go m.EnsurePublished(first, Known{Published: rev(3)}, get)
			synctest.Wait()
			leave()
			began := time.Now()
			var running sync.WaitGroup
			for range 20 {
				running.Go(func() {
					if m.EnsurePublished(t.Context(), Known{Published: rev(3)}, get) {
						ok.Add(1)
					}
				})
			}
			synctest.Wait()
			want := 100 * time.Millisecond
			if storeFirst {
				want = 10 * time.Millisecond
				time.Sleep(want)
				m.applyPublished(modelPublished(3), rev(3), rev(3))
			}
			running.Wait()
			if fetches.Load() != 1 || ok.Load() != 20 || time.Since(began) != want {
				t.Errorf("store first %t: %d fetches, %d of 20 served, after %s", storeFirst, fetches.Load(), ok.Load(), time.Since(began))
			}
			synctest.Wait()
			time.Sleep(time.Second)
		}
	})
}

// Guards against instances that fetch from each other what they know already, because
// they have read the same state at different revisions, as after each restart; and
// against a removed key that is taken for no change.
func TestReadersAgreeOnRevisionOfChange(t *testing.T) {
	early, _ := newManager()
	late, _ := newManager()
	p := published(3, "d")
	p.ChangedAt = 10
	early.applyPublished(p, rev(12), early.changeOf(&p, rev(12)))
	late.applyPublished(p, rev(5000), late.changeOf(&p, rev(5000)))
	if e, l := early.Current().PublishedChange, late.Current().PublishedChange; e != rev(10) || l != rev(10) || !early.HasPublished(late.Current().Known()) {
		t.Errorf("the change is one at revision %v and %v, want 10", e, l)
	}
	ended := published(3) // read as a range: the removal of the key has no revision
	ended.ChangedAt = 9
	if got := early.changeOf(&ended, rev(20)); got != rev(20) {
		t.Errorf("the end of an evacuation is a change at revision %v, want 20", got)
	}
	for changedAt, want := range map[int64]int64{0: 30, 31: 30, 25: 25} {
		next := published(4, "d")
		next.ChangedAt = changedAt
		if got := early.changeOf(&next, rev(30)); got != rev(want) {
			t.Errorf("changed at %d, read at 30: a change at %v, want %d", changedAt, got, want)
		}
	}
}
