package catalog

import (
	"fmt"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// modelState is the state of three instances: the configuration version, the
// revision up to which it is current, and the revision of its last change.
type modelState [3]struct{ version, revision, change int64 }

// modelVersions are the configuration versions by store revision. Revision 2 is an
// evacuation, which leaves the version unchanged.
var modelVersions = map[int64]int64{1: 3, 2: 3, 3: 8, 4: 20}

// modelPublished returns the published state in the store at a revision.
func modelPublished(revision int64) deployment.PublishedState {
	if revision == 2 {
		return published(modelVersions[revision], "a")
	}
	return published(modelVersions[revision])
}

// manager returns a Manager in the state of instance i.
func (s *modelState) manager(i int) *Manager {
	m, _ := newManager()
	m.log = event.Nop()
	if x := s[i]; x.revision > 0 {
		v := *m.Current()
		v.PublishedState, v.PublishedRevision, v.PublishedChange = modelPublished(x.revision), x.revision, x.change
		m.view.Store(&v)
	}
	return m
}

// withManager returns s with the state of instance i taken from m.
func (s modelState) withManager(i int, m *Manager) modelState {
	v := m.Current()
	s[i].version, s[i].revision, s[i].change = 0, v.PublishedRevision, v.PublishedChange
	if v.Config != nil {
		s[i].version = v.Config.Version
	}
	return s
}

// TestVersionNeverDecreasesInAnyOrder explores all states that three instances
// can reach by responses of the store in any order (including outdated ones),
// snapshots of each other in any order, and restarts. Only a restart may decrease
// a version, and in every state a response with the newest revision must lead to
// the newest version.
func TestVersionNeverDecreasesInAnyOrder(t *testing.T) {
	seen := map[modelState]bool{{}: true}
	queue := []modelState{{}}
	steps := 0
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		visit := func(i int, step string, next modelState) {
			steps++
			if next[i].version < s[i].version || next[i].revision < s[i].revision {
				t.Fatalf("instance %d went back to an older state after %s: %v, then %v", i, step, s, next)
			}
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
		for i := range s {
			for revision := range modelVersions {
				m := s.manager(i)
				m.applyPublished(modelPublished(revision), revision, revision)
				next := s.withManager(i, m)
				visit(i, fmt.Sprint("a response of revision ", revision), next)
				if newest := int64(len(modelVersions)); revision == newest && next[i].version != modelVersions[newest] {
					t.Fatalf("instance %d did not apply the newest version: %v", i, next)
				}
			}
			for j := range s {
				if snapshot, err := s.manager(j).MarshalSnapshot(); i != j && err == nil {
					m := s.manager(i)
					m.applySnapshot(snapshot, "peer")
					visit(i, fmt.Sprint("a snapshot of instance ", j), s.withManager(i, m))
				}
			}
			restarted := s
			restarted[i].version, restarted[i].revision, restarted[i].change = 0, 0, 0
			if !seen[restarted] {
				seen[restarted] = true
				queue = append(queue, restarted)
			}
		}
	}
	t.Logf("%d states, %d steps", len(seen), steps)
	if len(seen) < 100 {
		t.Errorf("only %d states were explored, want at least 100", len(seen))
	}
}
