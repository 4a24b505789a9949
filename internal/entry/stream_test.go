package entry_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Guards against doubled, missing and silently truncated text when an engine
// is lost in mid-stream: the stream goes on at another target, in this region
// and over the hop, and is charged once.
func TestStreamResumes(t *testing.T) {
	w := newWorld(t)
	lost := func(rw http.ResponseWriter, r *http.Request) {
		// The last event is cut in its middle, after a finish reason that the
		// resuming engine will repeat.
		stream(rw, token(0), token(1), "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", token(2)[:20])
		crash()
	}
	resume := make(chan string, 4)
	rest := func(rw http.ResponseWriter, r *http.Request) {
		resume <- r.Header.Get("X-Resume-Tokens") + "/" + r.Header.Get("X-Attempt")
		stream(rw, "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n", token(2), ending(3))
	}
	w.target("t1", "south", config.Engine, lost)
	w.target("t2", "south", config.Engine, rest)
	south, north := w.node("s", "south"), w.node("n", "north")
	for _, n := range []*node{south, north} {
		r := n.chat(true)
		if r.text() != "w0 w1 w2 " || strings.Count(r.body, "finish_reason") != 1 || strings.Count(r.body, "usage") != 1 || !strings.HasSuffix(r.body, "[DONE]\n\n") {
			t.Fatalf("%+v", r)
		}
		if got := recv(t, resume); got != "2/2" {
			t.Fatalf("resumed at token/attempt %s", got)
		}
		if busy, debit, used := n.adm.settled(); busy != 0 || debit != 12 || len(used) != 1 || used[0] != 5 {
			t.Fatalf("busy %d, debit %v, used %v", busy, debit, used)
		}
		if rec := recv(t, n.records); rec.Code != 0 {
			t.Fatalf("%+v", rec)
		}
		n.adm.mu.Lock()
		n.adm.used, n.adm.debit = nil, 0
		n.adm.mu.Unlock()
	}
}

// Guards the resume by the entry when the serving instance itself dies.
func TestStreamResumesAfterLostInstance(t *testing.T) {
	w := newWorld(t)
	var first atomic.Bool
	kill := make(chan struct{})
	w.target("t1", "south", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			stream(rw, token(0))
			<-r.Context().Done()
			close(kill)
			return
		}
		if r.Header.Get("X-Resume-Tokens") != "1" {
			t.Errorf("resumed at %q", r.Header.Get("X-Resume-Tokens"))
		}
		stream(rw, token(1), ending(2))
	})
	n, a, b := w.node("n", "north"), w.node("a", "south"), w.node("b", "south")
	resp := n.firstToken(t.Context())
	for _, s := range []*node{a, b} {
		if s.gate.Running() == 1 {
			_ = s.peers.Close()
		}
	}
	recv(t, kill)
	if r := rest(resp); r.text() != "w1 " || !strings.HasSuffix(r.body, "[DONE]\n\n") {
		t.Fatalf("%+v", r)
	}
}

// Guards against silent truncation: each of these answers lacks something that
// a whole answer has, and no other target is there to complete it.
func TestIncompleteStreams(t *testing.T) {
	for name, c := range map[string]struct {
		parts []string
		code  result.Code
		text  string
	}{
		"no end marker":      {[]string{token(0), strings.TrimSuffix(ending(1), "data: [DONE]\n\n")}, result.StreamInterrupted, "w0 "},
		"no usage":           {[]string{token(0), "data: [DONE]\n\n"}, result.StreamInterrupted, "w0 "},
		"half an event":      {[]string{token(0), token(1)[:9]}, result.StreamInterrupted, "w0 "},
		"error event":        {[]string{token(0), "data: {\"error\":{\"message\":\"out of memory\"}}\n\n"}, result.StreamInterrupted, "w0 "},
		"not JSON":           {[]string{token(0), "data: }\n\n"}, result.StreamInterrupted, "w0 "},
		"nothing":            {nil, result.TargetFailed, ""},
		"end marker at once": {[]string{"data: [DONE]\n\n"}, result.TargetFailed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { stream(rw, c.parts...) })
			r := w.node("n", "north").chat(true)
			if code, ran := r.fault(); code != c.code || ran != "may_have_run" || r.text() != c.text || strings.Contains(r.body, "DONE") {
				t.Fatalf("%+v", r)
			}
		})
	}
}

// Guards against passing on a stream whose parts do not fit: this engine counts
// two tokens for one event, so the resumed part starts at the wrong place.
func TestResumedStreamMustAddUp(t *testing.T) {
	w := newWorld(t)
	w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { stream(rw, token(0)); crash() })
	w.target("t2", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { stream(rw, token(1), ending(4)) })
	r := w.node("n", "north").chat(true)
	if code, _ := r.fault(); code != result.StreamInterrupted || strings.Contains(r.body, "DONE") {
		t.Fatalf("%+v", r)
	}
}

// Guards whole answers: without usage they are incomplete and are retried.
func TestIncompleteWholeAnswer(t *testing.T) {
	w := newWorld(t)
	w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte(whole[:20])) })
	w.target("t2", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "500")
		_, _ = rw.Write([]byte(whole))
	})
	w.target("t3", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte(whole)) })
	if r := w.node("n", "north").chat(false); r.body != whole {
		t.Fatalf("%+v", r)
	}
}

// Guards a stream of several choices: it has no single position to resume from.
func TestSeveralChoicesAreNotResumed(t *testing.T) {
	w := newWorld(t)
	w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { stream(rw, token(0)); crash() })
	w.target("t2", "north", config.Engine, func(http.ResponseWriter, *http.Request) { t.Error("resumed") })
	n := w.node("n", "north")
	r := n.do("POST", "/v1/chat/completions", strings.Replace(chat(true), "{", `{"n":2,`, 1))
	if code, _ := r.fault(); code != result.StreamInterrupted {
		t.Fatalf("%+v", r)
	}
}
