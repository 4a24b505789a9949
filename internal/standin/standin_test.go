package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func do(t *testing.T, method, url, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, ""
	}
	defer func() { _ = resp.Body.Close() }()
	out, _ := io.ReadAll(resp.Body)
	return resp, string(out)
}

func fetchRecord(t *testing.T, url string) Record {
	t.Helper()
	var rec Record
	_, body := do(t, "GET", url+"/record", "", nil)
	if err := json.Unmarshal([]byte(body), &rec); err != nil {
		t.Fatal(err)
	}
	return rec
}

func startEngine(t *testing.T, opt EngineOptions) string {
	t.Helper()
	opt.Crash = func() {}
	if opt.Capacity == 0 {
		opt.Capacity = 4
	}
	e, err := NewEngine(opt)
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(srv.Close)
	return srv.URL
}

func streamText(body string) (text string, done bool) {
	for sc := bufio.NewScanner(strings.NewReader(body)); sc.Scan(); {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if data == "[DONE]" {
			return text, true
		}
		var c Completion
		if ok && json.Unmarshal([]byte(data), &c) == nil {
			text += c.Content()
		}
	}
	return text, false
}

// Guards against a resumed stream that does not continue the stream of another
// engine, and against a checker that accepts a truncated response: the first
// stream is interrupted after 7 tokens and must not end with [DONE].
func TestResumedStreamContinues(t *testing.T) {
	body := `{"model":"m","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"hello #r1/care#"}]}`
	want := strings.Join(GenerateTokens("hello #r1/care#", 40), "")
	first, second := startEngine(t, EngineOptions{}), startEngine(t, EngineOptions{})
	do(t, "POST", first+"/control", `{"cut_after":7}`, nil)
	_, partial := do(t, "POST", first+"/v1/chat/completions", body, nil)
	head, done := streamText(partial)
	if done || head != want[:7*CharsPerToken] {
		t.Fatalf("interrupted stream: done %v, text %q", done, head)
	}
	_, rest := do(t, "POST", second+"/v1/chat/completions", body, map[string]string{"X-Resume-Tokens": "7"})
	tail, done := streamText(rest)
	if !done || head+tail != want {
		t.Fatalf("resumed stream: done %v, got %q, want %q", done, head+tail, want)
	}
	rec := fetchRecord(t, second)
	if r := rec.Runs[0]; r.ResumedFrom != 7 || r.Outcome != Done || r.Tag != (Tag{"r1", "care"}) {
		t.Fatalf("record %+v", r)
	}
}

// Guards against records that miss a caller key, a request above the capacity or
// a run that timed out: two requests run into their timeout on one slot.
func TestEngineRecordsWhatItSaw(t *testing.T) {
	journal := filepath.Join(t.TempDir(), "journal")
	url := startEngine(t, EngineOptions{Capacity: 1, OutputPerToken: time.Hour, Journal: journal})
	results := make(chan int)
	for range 2 {
		go func() {
			resp, _ := do(t, "POST", url+"/v1/completions", `{"prompt":"x"}`, map[string]string{
				"X-Run-Timeout-Ms": "300", "Authorization": "Bearer " + KeyMarker + "secret"})
			results <- resp.StatusCode
		}()
	}
	for range 2 {
		if status := <-results; status != http.StatusGatewayTimeout {
			t.Fatalf("status %d after the run timeout", status)
		}
	}
	rec := fetchRecord(t, url)
	if rec.SawKey != 2 || rec.SawAuthorization != 2 || rec.Overruns != 1 || rec.HighestInFlight != 2 {
		t.Fatalf("record %+v", rec)
	}
	runs, err := ReadJournal(journal)
	if err != nil || len(runs) != 2 || runs[0].Outcome != TimedOut {
		t.Fatalf("journal: %v, %+v", err, runs)
	}
}

// Guards against a prefix cache that exceeds its capacity or evicts the shortest
// prefix first, and an engine that accepts a command with a stale fencing token.
func TestCacheEventsAndFencing(t *testing.T) {
	url := startEngine(t, EngineOptions{CacheTokens: 128, ChecksFencing: true})
	prompt, _ := json.Marshal(CompletionRequest{Prompt: strings.Repeat("p", 3*BlockChars+5)})
	do(t, "POST", url+"/v1/completions", string(prompt), nil)
	var events struct{ Events []CacheEvent }
	_, body := do(t, "GET", url+"/cache-events?after=0", "", nil)
	if err := json.Unmarshal([]byte(body), &events); err != nil || len(events.Events) != 4 {
		t.Fatalf("events %s", body)
	}
	if last := events.Events[3]; last.Kind != "evicted" || last.Tokens != 192 {
		t.Fatalf("evicted %+v, want the longest prefix", last)
	}
	for _, c := range []struct{ fencing, want string }{{"5", "204"}, {"4", "409"}, {"5", "204"}} {
		resp, _ := do(t, "POST", url+"/orders", `{"kind":"set_role","name":"decode","fencing":`+c.fencing+`}`, nil)
		if !strings.HasPrefix(resp.Status, c.want) {
			t.Fatalf("command with fencing token %s: %s, want %s", c.fencing, resp.Status, c.want)
		}
	}
}

// Guards against a long poll that misses a change, and a configuration service
// that does not become stale or unavailable on a control request.
func TestConfigWatchStaleDown(t *testing.T) {
	c := NewConfigService()
	srv := httptest.NewServer(c.Handler())
	defer srv.Close()
	url := srv.URL + "/v1/values/table"
	if resp, _ := do(t, "GET", url, "", nil); resp.StatusCode != http.StatusNotFound {
		t.Fatalf("missing value: %s", resp.Status)
	}
	put := func(text string) { c.Apply(ConfigControl{Put: map[string]string{"table": text}}) }
	put("one")
	got := make(chan string)
	go func() {
		_, body := do(t, "GET", url+"?after=1&wait_ms=60000", "", nil)
		got <- body
	}()
	put("two")
	if body := <-got; body != "two" {
		t.Fatalf("long poll returned %q", body)
	}
	down, secondRevision, latest := true, int64(2), int64(0)
	put("three")
	c.Apply(ConfigControl{StaleAt: &secondRevision})
	if resp, body := do(t, "GET", url, "", nil); body != "two" || resp.Header.Get("X-Revision") != "2" {
		t.Fatalf("stale service returned %q", body)
	}
	if resp, _ := do(t, "GET", url+"?after=2&wait_ms=1", "", nil); resp.StatusCode != http.StatusNotModified {
		t.Fatalf("long poll without a change: %s", resp.Status)
	}
	c.Apply(ConfigControl{StaleAt: &latest, Down: &down})
	if resp, _ := do(t, "GET", url, "", nil); resp != nil {
		t.Fatalf("service that is down returned %s", resp.Status)
	}
}

// Guards against a booking that is missing from the record or that a lookup does
// not return.
func TestBookingIsRecorded(t *testing.T) {
	s, err := NewOrderService(OrderOptions{Name: "o1", Capacity: 2})
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	_, body := do(t, "POST", srv.URL+"/orders/bookings", `{"slot":"re-oil","ref":"#b1/care#"}`, map[string]string{"X-Request-Id": "q1"})
	var b Booking
	if err := json.Unmarshal([]byte(body), &b); err != nil || b.Ref != "#b1/care#" || b.RequestID != "q1" {
		t.Fatalf("booking %s", body)
	}
	if _, again := do(t, "GET", srv.URL+"/orders/bookings/"+b.ID, "", nil); !bytes.Equal([]byte(again), []byte(body)) {
		t.Fatalf("lookup %s, want %s", again, body)
	}
	if rec := fetchRecord(t, srv.URL); len(rec.Runs) != 2 || rec.Runs[0].Tag.ID != "b1" || rec.Runs[0].RequestID != "q1" {
		t.Fatalf("record %+v", rec)
	}
}
