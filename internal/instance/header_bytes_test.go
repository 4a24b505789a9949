package instance

import (
	"net/http"
	"testing"
)

// Guards against requests and responses that are lost behind a hop because a header
// value, the request id included, is not UTF-8.
func TestHeaderBytesReachOtherSideUnchanged(t *testing.T) {
	const text = "caf\xe9 \xff\xfe"
	d := newTestDeployment(t)
	target := newFakeTarget(t, "t-1")
	target.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("X-Answer", text)
		w.Header().Set("X-Echo", r.Header.Get("X-Note"))
		return false
	})
	d.publishConfig(nil)
	d.listTarget(target, "b", "ready", 1)
	entry, home := d.startInstance("a"), d.startInstance("b")
	for _, inst := range []*testInstance{home, entry} {
		eventually(t, "the target is reached", func() bool { return sendRequest("POST", inst.url("/unsafe/x"), nil).status == http.StatusOK })
		for _, id := range []string{"plain", "caf\xe9-\xff"} {
			before := target.runCount()
			got := sendRequest("POST", inst.url("/unsafe/x"), func(h http.Header) {
				h.Set("X-Note", text)
				h.Set("X-Request-Id", id)
			})
			if got.status != http.StatusOK || got.header.Get("X-Answer") != text || got.header.Get("X-Echo") != text || got.header.Get("X-Request-Id") != id || target.runCount() != before+1 {
				t.Errorf("hop %t, id %q: %d, %q, the target ran %d requests", inst == entry, id, got.status, got.header, target.runCount()-before)
			}
		}
	}
}
