package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// A message that crashes every engine is stopped, also in requests that differ in
// everything else, at an instance that forwards them too. Requests with the same
// other messages are not.
func TestMessageThatCrashesEnginesIsBlocked(t *testing.T) {
	for _, hop := range []bool{false, true} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("hop=%v,stream=%v", hop, stream), func(t *testing.T) {
				cluster := newTestCluster(t)
				region := map[bool]string{false: "north", true: "south"}[hop]
				var crashes atomic.Int32
				for i := range 6 {
					cluster.startTarget(fmt.Sprintf("t%d", i), region, config.Engine, func(rw http.ResponseWriter, r *http.Request) {
						body, _ := io.ReadAll(r.Body)
						if strings.Contains(string(body), "crash the engine") {
							crashes.Add(1)
							if stream {
								writeEvents(rw, tokenEvent(0)[:3])
							}
							abortConnection()
						}
						if stream {
							writeEvents(rw, tokenEvent(0), tokenEvent(1), finalEvents(2))
							return
						}
						_, _ = io.WriteString(rw, completeResponse)
					})
				}
				n := cluster.startInstance("n", "north")
				instances := []*testInstance{n}
				if hop {
					instances = append(instances, cluster.startInstance("s", "south"))
				}
				sent := 0
				send := func(second string) reply {
					sent++
					for _, i := range instances {
						i.clock.Advance(time.Second)
					}
					return n.do("POST", "/v1/chat/completions", fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":10,"messages":[{"role":"system","content":"be brief"},{"role":"user","content":%q},{"role":"user","content":"question %d"}]}`, model, stream, second, sent))
				}
				blocked := 0
				for range 20 {
					if code, _ := send("crash the engine").errorCode(); code == result.RequestBlocked {
						blocked++
					}
					for range 4 {
						if r := send("a sound message"); r.status != http.StatusOK {
							t.Fatalf("a sound request: %+v", r)
						}
					}
				}
				if before := crashes.Load(); blocked < 12 || before > 12 {
					t.Errorf("%d of 20 requests were blocked, %d crashes", blocked, before)
				}
			})
		}
	}
}
