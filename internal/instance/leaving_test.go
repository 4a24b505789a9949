package instance

import (
	"net/http"
	"testing"
)

// sayLeaving makes a target say in its responses that it leaves. respond writes the
// rest of the response; it may be nil.
func sayLeaving(respond func(w http.ResponseWriter, r *http.Request) bool) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Server-Leaving", "1")
		return respond != nil && respond(w, r)
	}
}

func statusResponse(status int, header string) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		if header != "" {
			w.Header().Set(header, "1")
		}
		w.WriteHeader(status)
		return true
	}
}

// The store lists a target as ready that says in its responses that it leaves.
func TestTargetThatSaysItLeavesGetsNoNewRequest(t *testing.T) {
	for name, respond := range map[string]func(w http.ResponseWriter, r *http.Request) bool{
		"success": nil, "stream": eventStream(3, 3), "broken stream": eventStream(3, 1),
		"error": statusResponse(http.StatusInternalServerError, ""), "rejection": statusResponse(http.StatusServiceUnavailable, "X-Not-Executed"),
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDeployment(t)
			leaving, staying := newFakeTarget(t, "t-1"), newFakeTarget(t, "t-2")
			d.publishConfig(nil)
			d.listTarget(leaving, "a", "ready", 1)
			inst := d.startInstance("a")
			eventually(t, "the request is served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
			leaving.setHandler(sayLeaving(respond))
			sendRequest("POST", inst.url("/stream/ask"), nil)
			d.listTarget(leaving, "a", "ready", 2)
			d.listTarget(staying, "a", "ready", 1)
			eventually(t, "the second target is known", func() bool { return len(inst.catalog.Current().Targets) == 2 })
			before := leaving.runCount()
			for range 20 {
				if got := sendRequest("GET", inst.url("/safe/x"), nil); got.status != http.StatusOK {
					t.Fatalf("response %+v", got)
				}
			}
			if n := leaving.runCount() - before; n > 0 {
				t.Errorf("%d requests were sent to the target after it had said that it leaves", n)
			}
		})
	}
}

// Without another target, one that leaves is used only for a part of the time in
// which it still takes requests.
func TestLastTargetThatLeavesIsUsedForLimitedTime(t *testing.T) {
	d := newTestDeployment(t)
	leaving := newFakeTarget(t, "t-1")
	d.publishConfig(nil)
	d.listTarget(leaving, "a", "ready", 1)
	inst := d.startInstance("a")
	leaving.setHandler(sayLeaving(nil))
	eventually(t, "the request is served", func() bool { return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusOK })
	eventually(t, "the target gets no more requests", func() bool {
		return sendRequest("GET", inst.url("/safe/x"), nil).status == http.StatusServiceUnavailable
	})
}
