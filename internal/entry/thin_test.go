package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const whole = `{"choices":[{"message":{"content":"hello"}}],"usage":{"prompt_tokens":2,"completion_tokens":3}}`

// Guards the thin path: whole and streamed completions in the own region and
// over the hop, with the cap passed on and the refund by usage.
func TestCompletions(t *testing.T) {
	w := newWorld(t)
	bodies := make(chan string, 10)
	engine := func(rw http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		bodies <- string(b) + r.Header.Get("X-Request-Id") + r.Header.Get("Authorization")
		if strings.Contains(string(b), `"stream":true`) {
			stream(rw, token(0), token(1), token(2), ending(3))
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(rw, whole)
	}
	w.target("t1", "south", config.Engine, engine)
	north, south := w.node("n", "north"), w.node("s", "south")
	for _, n := range []*node{south, north} {
		r := n.chat(false)
		if r.status != 200 || r.body != whole || r.header.Get("X-Request-Id") == "" {
			t.Fatalf("whole answer: %+v", r)
		}
		if b := recv(t, bodies); !strings.Contains(b, `"max_tokens":10`) || !strings.Contains(b, r.header.Get("X-Request-Id")) || strings.Contains(b, key) {
			t.Fatalf("the engine got %s", b)
		}
		r = n.chat(true)
		if r.status != 200 || r.text() != "w0 w1 w2 " || !strings.HasSuffix(r.body, "data: [DONE]\n\n") || r.err != nil {
			t.Fatalf("stream: %+v", r)
		}
		recv(t, bodies)
		// 8 characters are 2 tokens; 10 more are the cap, 3 were used.
		busy, debit, used := n.adm.settled()
		if busy != 0 || debit != 24 || used[0] != 5 || used[1] != 5 {
			t.Fatalf("busy %d, debit %v, used %v", busy, debit, used)
		}
		for range 2 {
			if rec := recv(t, n.records); rec.Region != "south" || rec.Code != 0 || rec.Tokens != 5 || rec.Attempts != 1 || rec.FirstByte == 0 {
				t.Fatalf("record %+v", rec)
			}
		}
	}
}

// Guards what a plain service sees: everything end to end, and no key.
func TestPlainService(t *testing.T) {
	w := newWorld(t)
	type seen struct {
		uri, method, body string
		h                 http.Header
	}
	got := make(chan seen, 1)
	w.target("t1", "south", config.Plain, func(rw http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got <- seen{r.RequestURI, r.Method, string(b), r.Header}
		rw.Header().Set("X-Stock", "7")
		rw.Header().Set("Keep-Alive", "timeout=5")
		rw.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(rw, "done")
	})
	north, south := w.node("n", "north"), w.node("s", "south")
	for _, n := range []*node{south, north} {
		r := n.do("PUT", "/orders/stock/a%20b?x=1&k="+key+"&y=%2F", "count=3", "X-Color", "red", "X-Copy", "is "+key, "Connection", "X-Local", "X-Local", "1")
		if r.status != 202 || r.body != "done" || r.header.Get("X-Stock") != "7" || r.header.Get("Keep-Alive") != "" {
			t.Fatalf("answer %+v", r)
		}
		s := recv(t, got)
		if s.uri != "/orders/stock/a%20b?x=1&y=%2F" || s.method != "PUT" || s.body != "count=3" || s.h.Get("X-Color") != "red" {
			t.Fatalf("the service got %+v", s)
		}
		for _, name := range []string{"Authorization", "X-Copy", "X-Local", "Connection"} {
			if s.h.Get(name) != "" {
				t.Errorf("the service got the header %s", name)
			}
		}
	}
}

// Guards the form of refusals, all of them before any target was asked.
func TestRefusals(t *testing.T) {
	w := newWorld(t)
	n := w.node("n", "north")
	for _, c := range []struct {
		method, path, body string
		headers            []string
		code               result.Code
	}{
		{"POST", "/v1/chat/completions", chat(false), []string{"Authorization", "Bearer nobody"}, result.UnknownKey},
		{"POST", "/v1/chat/completions", "[", nil, result.BadRequest},
		{"POST", "/v1/chat/completions", `{"model":"none"}`, nil, result.UnknownModel},
		{"POST", "/v1/chat/completions", chat(false), nil, result.NoRegionAllowed},
		{"POST", "/v1/chat/completions", `{"model":"planner","prompt":"` + key + `"}`, nil, result.BadRequest},
		{"POST", "/v1/chat/completions", strings.Repeat(" ", 1<<20+1), nil, result.BodyTooLarge},
		{"GET", "/v1/chat/completions", "", nil, result.UnknownRoute},
		{"GET", "/nowhere", "", nil, result.UnknownRoute},
		{"DELETE", "/orders/stock/1", "", nil, result.UnknownRoute},
		{"GET", "/orders/stock/%2e%2e/bookings", "", nil, result.BadRequest},
		{"POST", "/orders/bookings", "", []string{"Idempotency-Key", "abc"}, result.BadIdempotencyKey},
	} {
		r := n.do(c.method, c.path, c.body, c.headers...)
		if code, ran := r.fault(); code != c.code || ran != "not_run" || r.status != c.code.Status() || r.header.Get("X-Request-Id") == "" {
			t.Errorf("%s %s: %+v, want %s", c.method, c.path, r, c.code)
		}
	}
	if r := n.do("GET", "/v1/models", ""); r.body != `{"data":[{"id":"planner","object":"model","owned_by":"wigeonhill"}],"object":"list"}`+"\n" {
		t.Errorf("models: %+v", r)
	}
	if r := n.do("GET", "/v1/directory?caller=c1", ""); r.body != `{"asked":"north/c1"}`+"\n" {
		t.Errorf("directory: %+v", r)
	}
}
