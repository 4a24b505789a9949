package catalog

import (
	"fmt"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// modelState is what three instances know: the version, the revision that holds
// and the revision of the last change of each.
type modelState [3]struct{ version, revision, change int64 }

// modelVersions are the versions by store revision; the operators' versions and
// an evacuation that changes nothing of them.
var modelVersions = map[int64]int64{1: 3, 2: 3, 3: 8, 4: 20}

// modelPublished is what the store holds at a revision.
func modelPublished(revision int64) deployment.PublishedState {
	if revision == 2 {
		return published(modelVersions[revision], "a")
	}
	return published(modelVersions[revision])
}

// load builds the instance i of a state anew, with the program's own code.
func (s *modelState) load(i int) *Manager {
	m, _ := newManager()
	m.log = event.Nop()
	if x := s[i]; x.revision > 0 {
		v := *m.Current()
		v.PublishedState, v.PublishedRevision, v.PublishedChange = modelPublished(x.revision), x.revision, x.change
		m.view.Store(&v)
	}
	return m
}

func (s modelState) with(i int, m *Manager) modelState {
	v := m.Current()
	s[i].version, s[i].revision, s[i].change = 0, v.PublishedRevision, v.PublishedChange
	if v.Config != nil {
		s[i].version = v.Config.Version
	}
	return s
}

// TestVersionNeverGoesBackInAnyOrder goes through all states that three instances
// can reach by answers of the store in any order (also old ones), snapshots of
// each other in any order, and restarts. No step but a restart takes a version
// back, and from every state an answer of the newest revision brings the newest
// version.
func TestVersionNeverGoesBackInAnyOrder(t *testing.T) {
	seen := map[modelState]bool{{}: true}
	queue := []modelState{{}}
	steps := 0
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		visit := func(i int, what string, next modelState) {
			steps++
			if next[i].version < s[i].version || next[i].revision < s[i].revision {
				t.Fatalf("instance %d goes back by %s: %v, then %v", i, what, s, next)
			}
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
		for i := range s {
			for revision := range modelVersions {
				m := s.load(i)
				m.setPublished(modelPublished(revision), revision, revision)
				next := s.with(i, m)
				visit(i, fmt.Sprint("an answer of revision ", revision), next)
				if newest := int64(len(modelVersions)); revision == newest && next[i].version != modelVersions[newest] {
					t.Fatalf("instance %d does not take the newest version: %v", i, next)
				}
			}
			for j := range s {
				if text, err := s.load(j).MarshalSnapshot(); i != j && err == nil {
					m := s.load(i)
					m.adopt(text)
					visit(i, fmt.Sprint("a snapshot of ", j), s.with(i, m))
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
		t.Errorf("only %d states: the model is cut short", len(seen))
	}
}
