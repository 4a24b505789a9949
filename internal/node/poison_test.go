package node

import (
	"net/http"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Guards against a request that goes on crashing targets after its second
// crash, through whichever instance it is sent again, and against other
// requests of its team being stopped with it (I16).
func TestRequestThatCrashesTargetsIsStopped(t *testing.T) {
	w := newWorld(t, 100000, map[string]int{"north": 2, "south": 1, "west": 1})
	w.poison = "crash-the-engine"
	w.ready()
	if status, body := w.ask("north-1", w.poison); status == http.StatusOK {
		t.Fatalf("the request was answered: %s", body)
	}
	if got := w.crashes.Load(); got != 2 {
		t.Errorf("%d crashes by one sending, want 2", got)
	}
	blocked := result.FingerprintBlock.Status()
	for _, name := range w.names {
		w.eventually(name+" stops the request", func() bool {
			status, _ := w.ask(name, w.poison)
			return status == blocked
		})
	}
	t.Logf("%d crashes until every instance stopped it", w.crashes.Load())
	before := w.crashes.Load()
	for _, name := range w.names {
		if status, body := w.ask(name, w.poison); status != blocked {
			t.Errorf("%s: %d %s", name, status, body)
		}
		w.eventually(name+" answers another request of the team", func() bool {
			status, _ := w.ask(name, "an innocent question")
			return status == http.StatusOK
		})
	}
	if got := w.crashes.Load(); got != before {
		t.Errorf("%d crashes after every instance had stopped it", got-before)
	}
}
