package routereport

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

const testKey = "a-key-that-nobody-may-see"

// Guards against a description of a request that does not arrive as it was sent.
func TestQueryDescribesRequest(t *testing.T) {
	var got *Request
	server := httptest.NewServer(Handler(func(r *Request) (*Report, error) {
		got = r
		return &Report{Instance: "entry-1"}, nil
	}))
	defer server.Close()
	sent := &Request{Host: "shop.example", Path: "/a b?c=d&e=%20", Method: "POST"}
	for _, line := range []string{"Api-Key: " + testKey, "x-note: a: b, \xe9", "X-Note:second", "X-Empty:"} {
		if err := sent.AddHeader(line); err != nil {
			t.Fatal(err)
		}
	}
	report, body, err := Query(t.Context(), server.Listener.Addr().String(), sent)
	if err != nil || report.Instance != "entry-1" || !json.Valid(body) {
		t.Fatalf("%v: %+v", err, report)
	}
	if got.Host != sent.Host || got.Path != sent.Path || got.Method != sent.Method || len(got.Header) != 3 {
		t.Errorf("the instance got %+v", got)
	}
	if v := got.Header["X-Note"]; len(v) != 2 || v[0] != "a: b, \xe9" || v[1] != "second" || got.Header.Get("Api-Key") != testKey {
		t.Errorf("headers %q", got.Header)
	}
}

// Guards against errors that are unclear, and against ones that show a key: it may be in
// a header or in the path.
func TestErrorsAreClearAndShowNoKey(t *testing.T) {
	server := httptest.NewServer(Handler(func(*Request) (*Report, error) {
		return nil, result.New(result.UnknownKey, result.NotRun, "the key is not known")
	}))
	defer server.Close()
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer silent.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	for _, x := range []struct {
		address, want string
		limit         time.Duration
	}{
		{server.Listener.Addr().String(), "unknown_key (102): the key is not known", time.Minute},
		{other.Listener.Addr().String(), "has no report", time.Minute},
		{closed.Listener.Addr().String(), "does not answer: dial tcp", time.Minute},
		{silent.Listener.Addr().String(), "does not answer", time.Second},
		{"not an address", "is not an address", time.Minute},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), x.limit)
		_, _, err := Query(ctx, x.address, &Request{Path: "/?key=" + testKey, Header: http.Header{"Api-Key": {testKey}}})
		cancel()
		if err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), testKey) {
			t.Errorf("%s: %v, want %q", x.address, err, x.want)
		}
	}
	for _, line := range []string{testKey, "Api Key: " + testKey, "Api-Key: " + testKey + "\x00"} {
		if err := (&Request{}).AddHeader(line); err == nil || strings.Contains(err.Error(), testKey) {
			t.Errorf("header %q: %v", line, err)
		}
	}
}

// Guards against a panic in a report after which no query is answered any more.
func TestHandlerAnswersAfterPanic(t *testing.T) {
	panics := true
	h := Handler(func(*Request) (*Report, error) {
		if panics {
			panic("a fault")
		}
		return &Report{}, nil
	})
	func() {
		defer func() {
			if recover() == nil {
				t.Error("the panic was not passed on")
			}
		}()
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/route", nil))
	}()
	panics = false
	done := make(chan int, 1)
	go func() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/route", nil))
		done <- w.Code
	}()
	select {
	case code := <-done:
		if code != http.StatusOK {
			t.Errorf("status %d", code)
		}
	case <-time.After(10 * time.Second):
		t.Error("no answer after a panic")
	}
}

// Guards against queries that wait for a report though their client is gone, and against
// reports made for them.
func TestHandlerEndsWaitWithItsClient(t *testing.T) {
	started, release := make(chan struct{}, 2), make(chan struct{})
	h := Handler(func(*Request) (*Report, error) {
		started <- struct{}{}
		<-release
		return &Report{}, nil
	})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(release)
	wg.Go(func() { h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/route", nil)) })
	<-started
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	wg.Go(func() {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "/route", nil))
		close(ended)
	})
	cancel()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the query still waits")
	}
	if len(started) > 0 {
		t.Error("two reports at a time")
	}
}

// Guards against a panic of the handler, or a report, for descriptions that are broken.
func TestHandlerRefusesBrokenDescriptions(t *testing.T) {
	h := Handler(func(*Request) (*Report, error) {
		t.Error("a report was made")
		return &Report{}, nil
	})
	for _, x := range []struct {
		query  string
		header string
	}{{"path=%zz" + testKey, ""}, {"path=/", testKey}, {"", ":" + testKey}} {
		r := httptest.NewRequest(http.MethodGet, "/route", nil)
		r.URL.RawQuery = x.query
		if x.header != "" {
			r.Header.Set(headerField, x.header)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), "bad_request") || strings.Contains(w.Body.String(), testKey) {
			t.Errorf("%+v: status %d, %s", x, w.Code, w.Body.String())
		}
	}
}

// Guards against a text that leaves out what a person needs: whose answer it is, that
// the instance is draining, why a place is excluded, when to retry.
func TestTextNamesWhatDecides(t *testing.T) {
	age := int64(1200)
	r := &Report{
		Instance: "entry-1", Region: "east", Draining: true, Figures: Figures{TargetsSource: "store", TargetsAgeMS: &age}, Method: "POST", Host: "h", Path: "/p",
		Route: "safe", Team: "hotel", Allowance: &Account{Unit: "tokens", Level: 12, Burst: 100, Rate: 10, Share: 0.5, Request: 7},
		Placements: []Placement{
			{Service: "orders", Weight: 1, PrefixOwnerRegion: "south", First: &Choice{Target: "t-1", ExpectedMS: 31, Reason: "own region has room"}, SecondRefusal: &Refusal{Name: "no_slot", Code: 205},
				Targets: []Target{{ID: "t-1", Estimated: true, Pacing: &Pacing{4, 2, 1}}, {ID: "t-2", Rule: "it is down", AvoidedMS: 40}},
				Regions: []Region{{Name: "west", Rule: "no instance"}}},
			{Service: "other", Refusal: &Refusal{Name: "no_slot", Code: 205, RetryAfterMS: 377}},
		},
		Instances: []Instance{{Name: "entry-2", Rule: "its heartbeats do not arrive"}},
	}
	var out strings.Builder
	if err := r.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"entry-1", "answer of one instance", "draining", "1200 ms old", "age unknown", "12 tokens left of 100", "target t-1, expected 31 ms: own region has room",
		"second     none: no_slot", "paced: 1 of 2 (all instances: 4)", "it is down (40 ms)", "no instance", "Retry-After 377 ms", "its owner is in region south", "no other instance of the region is reachable",
		"(if the first attempt fails without having run and a retry is allowed)", "its heartbeats do not arrive"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
}
