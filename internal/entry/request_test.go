package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const completeResponse = `{"choices":[{"message":{"content":"hello"}}],"usage":{"prompt_tokens":2,"completion_tokens":3}}`

// Guards the basic path of a request: streamed and non-streamed completions in
// the local region and over the hop. The engine gets the limit on output tokens,
// and unused tokens are refunded according to the usage that it reports.
func TestCompletions(t *testing.T) {
	cluster := newTestCluster(t)
	bodies := make(chan string, 10)
	engine := func(rw http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		bodies <- string(b) + r.Header.Get("X-Request-Id") + r.Header.Get("Authorization")
		if strings.Contains(string(b), `"stream":true`) {
			writeEvents(rw, tokenEvent(0), tokenEvent(1), tokenEvent(2), finalEvents(3))
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(rw, completeResponse)
	}
	cluster.startTarget("t1", "south", config.Engine, engine)
	north, south := cluster.startInstance("n", "north"), cluster.startInstance("s", "south")
	for _, n := range []*testInstance{south, north} {
		r := n.sendChat(false)
		if r.status != 200 || r.body != completeResponse || r.header.Get("X-Request-Id") == "" {
			t.Fatalf("non-streamed response: %+v", r)
		}
		if b := recv(t, bodies); !strings.Contains(b, `"max_tokens":10`) || !strings.Contains(b, r.header.Get("X-Request-Id")) || strings.Contains(b, apiKey) {
			t.Fatalf("the engine received %s", b)
		}
		r = n.sendChat(true)
		if r.status != 200 || r.text() != "w0 w1 w2 " || !strings.HasSuffix(r.body, "data: [DONE]\n\n") || r.err != nil {
			t.Fatalf("stream: %+v", r)
		}
		recv(t, bodies)
		// The prompt of 8 characters counts as 2 tokens. The limit on output tokens
		// adds 10, of which the engine uses 3.
		busy, debit, used := n.admitter.usage()
		if busy != 0 || debit != 24 || used[0] != 5 || used[1] != 5 {
			t.Fatalf("busy %d, debit %v, used %v", busy, debit, used)
		}
		for range 2 {
			if rec := recv(t, n.records); rec.Region != "south" || rec.Code != 0 || rec.TokensUsed != 5 || rec.Attempts != 1 || rec.TimeToFirstByte == 0 {
				t.Fatalf("record %+v", rec)
			}
		}
	}
}

// Guards what a plain service receives: method, path, query, body and end-to-end
// headers of the caller, without the API key and hop-by-hop headers.
func TestPlainService(t *testing.T) {
	cluster := newTestCluster(t)
	type seen struct {
		uri, method, body string
		h                 http.Header
	}
	got := make(chan seen, 1)
	cluster.startTarget("t1", "south", config.PlainService, func(rw http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got <- seen{r.RequestURI, r.Method, string(b), r.Header}
		rw.Header().Set("X-Stock", "7")
		rw.Header().Set("Keep-Alive", "timeout=5")
		rw.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(rw, "done")
	})
	north, south := cluster.startInstance("n", "north"), cluster.startInstance("s", "south")
	for _, n := range []*testInstance{south, north} {
		r := n.do("PUT", "/orders/stock/a%20b?x=1&k="+apiKey+"&y=%2F", "count=3", "X-Color", "red", "X-Copy", "is "+apiKey, "Connection", "X-Local", "X-Local", "1")
		if r.status != 202 || r.body != "done" || r.header.Get("X-Stock") != "7" || r.header.Get("Keep-Alive") != "" {
			t.Fatalf("response %+v", r)
		}
		s := recv(t, got)
		if s.uri != "/orders/stock/a%20b?x=1&y=%2F" || s.method != "PUT" || s.body != "count=3" || s.h.Get("X-Color") != "red" {
			t.Fatalf("the service received %+v", s)
		}
		for _, name := range []string{"Authorization", "X-Copy", "X-Local", "Connection"} {
			if s.h.Get(name) != "" {
				t.Errorf("the service received the header %s", name)
			}
		}
	}
}

// Guards the form and the code of refusals. All of them come before any target
// is tried.
func TestRefusals(t *testing.T) {
	cluster := newTestCluster(t)
	n := cluster.startInstance("n", "north")
	for _, c := range []struct {
		method, path, body string
		headers            []string
		code               result.Code
	}{
		{"POST", "/v1/chat/completions", chatBody(false), []string{"Authorization", "Bearer nobody"}, result.UnknownKey},
		{"POST", "/v1/chat/completions", "[", nil, result.BadRequest},
		{"POST", "/v1/chat/completions", `{"model":"none"}`, nil, result.UnknownModel},
		{"POST", "/v1/chat/completions", chatBody(false), nil, result.NoRegionAllowed},
		{"POST", "/v1/chat/completions", `{"model":"planner","prompt":"` + apiKey + `"}`, nil, result.BadRequest},
		{"POST", "/v1/chat/completions", strings.Repeat(" ", 1<<20+1), nil, result.BodyTooLarge},
		{"GET", "/v1/chat/completions", "", nil, result.UnknownRoute},
		{"GET", "/nowhere", "", nil, result.UnknownRoute},
		{"DELETE", "/orders/stock/1", "", nil, result.UnknownRoute},
		{"GET", "/orders/stock/%2e%2e/bookings", "", nil, result.BadRequest},
		{"POST", "/orders/bookings", "", []string{"Idempotency-Key", "abc"}, result.BadIdempotencyKey},
	} {
		r := n.do(c.method, c.path, c.body, c.headers...)
		if code, ran := r.errorCode(); code != c.code || ran != "not_run" || r.status != c.code.Status() || r.header.Get("X-Request-Id") == "" {
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

func TestResponseWithoutLengthIsCompleteUnlessReset(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		reset    bool
		complete bool
	}{
		"short":        {"12345", false, true},
		"empty":        {"", false, true},
		"long":         {strings.Repeat("x", 300<<10), false, true},
		"short, reset": {"12345", true, false},
		"long, reset":  {strings.Repeat("x", 300<<10), true, false},
	} {
		cluster := newTestCluster(t)
		handler := func(rw http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(rw).Hijack()
			check(t, err)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+c.body)
			if c.reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
		cluster.startTarget("t1", "south", config.PlainService, handler)
		south, north := cluster.startInstance("s", "south"), cluster.startInstance("n", "north")
		for _, n := range []*testInstance{south, north} {
			r := n.do("POST", bookingsPath, "book")
			complete := r.err == nil && r.status == 200 && r.body == c.body
			if complete != c.complete || r.err == nil && r.status == 200 && !complete {
				t.Errorf("%s: status %d, %d of %d bytes, %v", name, r.status, len(r.body), len(c.body), r.err)
			}
		}
	}
}

func TestEventStreamOfPlainServiceCutInsideEventIsNotComplete(t *testing.T) {
	const whole = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"
	for cut, complete := range map[int]bool{len(whole): true, len(whole) - 1: false, len(whole) - 2: false, len(whole)/2 + 3: false} {
		for _, framing := range []string{"Connection: close\r\n\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\n", cut)} {
			cluster := newTestCluster(t)
			cluster.startTarget("t1", "south", config.PlainService, func(rw http.ResponseWriter, _ *http.Request) {
				respondRaw(t, rw, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+framing+whole[:cut])
			})
			south, north := cluster.startInstance("s", "south"), cluster.startInstance("n", "north")
			for _, n := range []*testInstance{south, north} {
				r := n.do("POST", bookingsPath, "book")
				if (r.err == nil) != complete || complete && r.body != whole || r.status != 200 || !strings.HasPrefix(whole, r.body) {
					t.Errorf("cut after %d of %d bytes, %q: %+v", cut, len(whole), framing, r)
				}
			}
		}
	}
}

// Guards against events of a plain service that are held until the response ends.
func TestEventsOfPlainServiceArriveAtOnce(t *testing.T) {
	cluster := newTestCluster(t)
	received := make(chan struct{})
	cluster.startTarget("t1", "north", config.PlainService, func(rw http.ResponseWriter, r *http.Request) {
		writeEvents(rw, "data: a\n\n")
		recv(t, received)
		writeEvents(rw, "data: b\n\n")
	})
	n := cluster.startInstance("n", "north")
	resp, err := n.send(t.Context(), "POST", bookingsPath, "book")
	check(t, err)
	first := make([]byte, len("data: a\n\n"))
	_, err = io.ReadFull(resp.Body, first)
	check(t, err)
	close(received)
	if r := readResponse(resp); r.body != "data: b\n\n" || r.err != nil {
		t.Errorf("%+v", r)
	}
}
