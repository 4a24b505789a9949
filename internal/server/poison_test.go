package server

import (
	"net/http"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Guards against a request that continues to crash targets after its second
// crash, whichever instance it is sent to, and against other requests of its team
// being blocked with it (I16).
func TestRequestThatCrashesTargetsIsStopped(t *testing.T) {
	c := newCluster(t, 100000, map[string]int{"north": 2, "south": 1, "west": 1})
	c.poisonPrompt = "crash-the-engine"
	c.waitReady()
	if status, body := c.sendChat("north-1", c.poisonPrompt); status == http.StatusOK {
		t.Fatalf("the request that crashes its target succeeded: %s", body)
	}
	if got := c.crashes.Load(); got != 2 {
		t.Errorf("%d crashes caused by one request, want 2", got)
	}
	blocked := result.RequestBlocked.Status()
	for _, name := range c.names {
		c.eventually(name+" blocks the request", func() bool {
			status, _ := c.sendChat(name, c.poisonPrompt)
			return status == blocked
		})
	}
	t.Logf("%d crashes until every instance blocked the request", c.crashes.Load())
	before := c.crashes.Load()
	for _, name := range c.names {
		if status, body := c.sendChat(name, c.poisonPrompt); status != blocked {
			t.Errorf("%s: %d %s", name, status, body)
		}
		c.eventually(name+" serves another request of the team", func() bool {
			status, _ := c.sendChat(name, "an innocent question")
			return status == http.StatusOK
		})
	}
	if got := c.crashes.Load(); got != before {
		t.Errorf("%d crashes after every instance had blocked the request", got-before)
	}
}
