package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Guards against duplicated, missing and silently truncated text when an engine
// fails in mid-stream: the stream is resumed on another target, in the local
// region and over the hop, and is charged once.
func TestStreamResumes(t *testing.T) {
	cluster := newTestCluster(t)
	failing := func(rw http.ResponseWriter, r *http.Request) {
		// The last event is truncated. It follows a finish reason that the resuming
		// engine sends again.
		writeEvents(rw, tokenEvent(0), tokenEvent(1), "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", tokenEvent(2)[:20])
		abortConnection()
	}
	resume := make(chan string, 4)
	resuming := func(rw http.ResponseWriter, r *http.Request) {
		resume <- r.Header.Get("X-Resume-Tokens") + "/" + r.Header.Get("X-Attempt")
		writeEvents(rw, "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n", tokenEvent(2), finalEvents(3))
	}
	cluster.startTarget("t1", "south", config.Engine, failing)
	cluster.startTarget("t2", "south", config.Engine, resuming)
	south, north := cluster.startInstance("s", "south"), cluster.startInstance("n", "north")
	for _, n := range []*testInstance{south, north} {
		r := n.sendChat(true)
		if r.text() != "w0 w1 w2 " || strings.Count(r.body, "finish_reason") != 1 || strings.Count(r.body, "usage") != 1 || !strings.HasSuffix(r.body, "[DONE]\n\n") {
			t.Fatalf("%+v", r)
		}
		if got := recv(t, resume); got != "2/2" {
			t.Fatalf("resumed at token/attempt %s", got)
		}
		if busy, debit, used := n.admitter.usage(); busy != 0 || debit != 12 || len(used) != 1 || used[0] != 5 {
			t.Fatalf("busy %d, debit %v, used %v", busy, debit, used)
		}
		if rec := recv(t, n.records); rec.Code != 0 {
			t.Fatalf("%+v", rec)
		}
		n.admitter.mu.Lock()
		n.admitter.usedTokens, n.admitter.debited = nil, 0
		n.admitter.mu.Unlock()
	}
}

// Guards against a broken stream when the instance that serves it fails: the
// entry instance resumes it on another instance.
func TestStreamResumesAfterLostInstance(t *testing.T) {
	cluster := newTestCluster(t)
	var first atomic.Bool
	kill := make(chan struct{})
	cluster.startTarget("t1", "south", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			writeEvents(rw, tokenEvent(0))
			<-r.Context().Done()
			close(kill)
			return
		}
		if r.Header.Get("X-Resume-Tokens") != "1" {
			t.Errorf("resumed at %q", r.Header.Get("X-Resume-Tokens"))
		}
		writeEvents(rw, tokenEvent(1), finalEvents(2))
	})
	n, a, b := cluster.startInstance("n", "north"), cluster.startInstance("a", "south"), cluster.startInstance("b", "south")
	resp := n.startStream(t.Context())
	// Looked up before the loss: the stream then runs at the other instance, which must
	// not be closed, too.
	atA, atB := a.gate.Running(), b.gate.Running()
	if atA+atB != 1 {
		t.Fatalf("%d attempts at a, %d at b", atA, atB)
	}
	lost := a
	if atB == 1 {
		lost = b
	}
	_ = lost.peerServer.Close()
	recv(t, kill)
	if r := readResponse(resp); r.text() != "w1 " || !strings.HasSuffix(r.body, "[DONE]\n\n") {
		t.Fatalf("%+v", r)
	}
}

// Guards against silent truncation: each of these streams lacks something that a
// complete one has, and there is no other target to resume it.
func TestIncompleteStreams(t *testing.T) {
	for name, c := range map[string]struct {
		events []string
		code   result.Code
		text   string
	}{
		"no end marker":   {[]string{tokenEvent(0), strings.TrimSuffix(finalEvents(1), "data: [DONE]\n\n")}, result.StreamInterrupted, "w0 "},
		"no usage":        {[]string{tokenEvent(0), "data: [DONE]\n\n"}, result.StreamInterrupted, "w0 "},
		"truncated event": {[]string{tokenEvent(0), tokenEvent(1)[:9]}, result.StreamInterrupted, "w0 "},
		"error event":     {[]string{tokenEvent(0), "data: {\"error\":{\"message\":\"out of memory\"}}\n\n"}, result.StreamInterrupted, "w0 "},
		"not JSON":        {[]string{tokenEvent(0), "data: }\n\n"}, result.StreamInterrupted, "w0 "},
		"empty stream":    {nil, result.TargetFailed, ""},
		"end marker only": {[]string{"data: [DONE]\n\n"}, result.TargetFailed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t)
			cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, c.events...) })
			r := cluster.startInstance("n", "north").sendChat(true)
			if code, ran := r.errorCode(); code != c.code || ran != "may_have_run" || r.text() != c.text || strings.Contains(r.body, "DONE") {
				t.Fatalf("%+v", r)
			}
		})
	}
}

// Guards against passing on a resumed stream whose token count is inconsistent:
// this engine counts two tokens for one event, so the resumed part starts at the
// wrong position.
func TestResumedStreamMismatch(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, tokenEvent(0)); abortConnection() })
	cluster.startTarget("t2", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, tokenEvent(1), finalEvents(4)) })
	r := cluster.startInstance("n", "north").sendChat(true)
	if code, _ := r.errorCode(); code != result.StreamInterrupted || strings.Contains(r.body, "DONE") {
		t.Fatalf("%+v", r)
	}
}

// Guards responses that are not streamed: a truncated one, which lacks its usage
// or the rest of its body, is retried.
func TestIncompleteResponse(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte(completeResponse[:20])) })
	cluster.startTarget("t2", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "500")
		_, _ = rw.Write([]byte(completeResponse))
	})
	cluster.startTarget("t3", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte(completeResponse)) })
	if r := cluster.startInstance("n", "north").sendChat(false); r.body != completeResponse {
		t.Fatalf("%+v", r)
	}
}

// Guards against resuming a stream of several choices, which has no single
// position to resume from.
func TestSeveralChoicesAreNotResumed(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, tokenEvent(0)); abortConnection() })
	cluster.startTarget("t2", "north", config.Engine, func(http.ResponseWriter, *http.Request) { t.Error("resumed") })
	n := cluster.startInstance("n", "north")
	r := n.do("POST", "/v1/chat/completions", strings.Replace(chatBody(true), "{", `{"n":2,`, 1))
	if code, _ := r.errorCode(); code != result.StreamInterrupted {
		t.Fatalf("%+v", r)
	}
}

func TestTruncatedResponseOverHTTP10EndsWithReset(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.startTarget("t1", "north", config.PlainService, func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, strings.Repeat("x", 300<<10))
		_ = http.NewResponseController(rw).Flush()
		if r.URL.RawQuery == "cut" {
			abortConnection()
		}
	})
	n := cluster.startInstance("n", "north")
	for query, complete := range map[string]bool{"": true, "?cut": false} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		check(t, err)
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "GET %s%s HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n", bookingsPath, query, apiKey)
		if body, err := io.ReadAll(conn); (err == nil) != complete || complete && len(body) < 300<<10 {
			t.Errorf("query %q: %d bytes, %v", query, len(body), err)
		}
	}
}

// An error that answers the resumption of a stream must reach the caller neither in
// the stream nor as its end.
func TestErrorAfterStreamBrokeOffStaysOutOfStream(t *testing.T) {
	const text = "error text of the second target"
	for name, response := range map[string]string{
		"not found":         "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 31\r\n\r\n" + text,
		"bad request":       "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: 31\r\n\r\n" + text,
		"error":             "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 31\r\n\r\n" + text,
		"refusal":           "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nContent-Length: 31\r\n\r\n" + text,
		"no content":        "HTTP/1.1 204 No Content\r\n\r\n",
		"other type":        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 31\r\n\r\n" + text,
		"error as stream":   "HTTP/1.1 404 Not Found\r\nContent-Type: text/event-stream\r\nContent-Length: 31\r\n\r\n" + text,
		"head in a stream":  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 31\r\n\r\n" + text,
		"event in a stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: " + text + "\n\n",
	} {
		for _, region := range []string{"north", "south"} { // south is a hop away
			t.Run(name+" "+region, func(t *testing.T) {
				cluster := newTestCluster(t)
				cluster.startTarget("t1", region, config.Engine, func(rw http.ResponseWriter, _ *http.Request) {
					writeEvents(rw, tokenEvent(0))
					abortConnection()
				})
				asked := make(chan string, 4)
				cluster.startTarget("t2", region, config.Engine, func(rw http.ResponseWriter, r *http.Request) {
					asked <- r.Header.Get("X-Resume-Tokens")
					respondRaw(t, rw, response)
				})
				n := cluster.startInstance("n", "north")
				if region != "north" {
					cluster.startInstance("s", region)
				}
				r := n.sendChat(true)
				if got := recv(t, asked); got != "1" {
					t.Fatalf("resumed at %q", got)
				}
				// A stream that ends inside an event has crashed a second target. The region
				// that forwards it may then try again before it has read the first event.
				code, ran := r.errorCode()
				crashed := code == result.RequestBlocked && name == "head in a stream" && (r.text() == "w0 " || r.text() == "")
				if !crashed && (code != result.StreamInterrupted || r.text() != "w0 ") || ran != "may_have_run" || strings.Contains(r.body, text) || strings.Contains(r.body, "HTTP/1") {
					t.Fatalf("%+v", r)
				}
			})
		}
	}
}
