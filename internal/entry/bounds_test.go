package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// Guards slots and tokens of a caller that disconnects in mid-stream.
func TestCallerDisconnects(t *testing.T) {
	w := newWorld(t)
	ended := make(chan struct{}, 2)
	w.target("t1", "south", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		stream(rw, token(0))
		<-r.Context().Done()
		ended <- struct{}{}
	})
	for _, n := range []*node{w.node("s", "south"), w.node("n", "north")} {
		ctx, cancel := context.WithCancel(t.Context())
		n.firstToken(ctx)
		cancel()
		recv(t, ended)
		if rec := recv(t, n.records); rec.Code != result.CallerTooSlow || rec.Tokens != 3 {
			t.Fatalf("%+v", rec)
		}
		if busy, _, used := n.adm.settled(); busy != 0 || len(used) != 1 || used[0] != 3 {
			t.Fatalf("busy %d, used %v", busy, used)
		}
		await(t, func() bool { return n.mem.ReservedBytes() == 0 && n.disp.InFlight("south") == 0 })
	}
}

// Guards shutdown: new requests are refused, running ones are not cut off.
func TestDrain(t *testing.T) {
	w := newWorld(t)
	finish := make(chan struct{})
	w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		stream(rw, token(0))
		select {
		case <-finish:
		case <-r.Context().Done():
		}
		stream(rw, token(1), ending(2))
	})
	n := w.node("n", "north")
	resp := n.firstToken(t.Context())
	drained := make(chan error, 1)
	go func() { drained <- n.srv.Drain(context.Background()) }()
	await(t, func() bool { code, _ := n.chat(true).fault(); return code == result.ShuttingDown })
	n.expect(t, n.chat(true), result.ShuttingDown, "not_run")
	// A booking sent again may have run here before.
	n.expect(t, n.do("POST", bookings, "x", "Idempotency-Key", n.key("n", 1)), result.ShuttingDown, "may_have_run")
	select {
	case <-drained:
		t.Fatal("drained while a stream was running")
	default:
	}
	close(finish)
	if r := rest(resp); r.text() != "w1 " || !strings.HasSuffix(r.body, "[DONE]\n\n") {
		t.Fatalf("%+v", r)
	}
	check(t, recv(t, drained))
}

// Guards serving after a pause: neither a new request nor the rest of a running
// stream may go out before the edition is confirmed, which may forbid it.
func TestPausedProcessDoesNotServe(t *testing.T) {
	w := newWorld(t)
	sendSecret, sent := make(chan struct{}), make(chan struct{})
	w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		stream(rw, token(0))
		<-sendSecret
		stream(rw, token(1))
		close(sent)
		<-r.Context().Done()
	})
	n := w.node("n", "north")
	resp := n.firstToken(t.Context())
	n.gate.OnProcessPause()
	close(sendSecret)
	recv(t, sent)
	n.expect(t, n.chat(true), result.NotReady, "not_run")
	w.edit(withdrawKey) // what the instance missed
	n.confirm <- struct{}{}
	r := rest(resp)
	n.expect(t, r, result.KeyWithdrawn, "may_have_run")
	if r.text() != "" {
		t.Fatalf("%q was served after the key was withdrawn", r.text())
	}
}

// Guards the number of requests at one time.
func TestStreamBound(t *testing.T) {
	w := newWorld(t)
	w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		stream(rw, token(0))
		<-r.Context().Done()
	})
	n := w.node("n", "north", func(b *settings.Bounds) { b.MaxStreams = 1 })
	ctx, cancel := context.WithCancel(t.Context())
	n.firstToken(ctx)
	n.expect(t, n.chat(true), result.MemoryBound, "not_run")
	cancel()
	recv(t, n.records)
	await(t, func() bool { return n.gate.Running() == 0 })
}

// raw sends a request by hand and never reads more than it is asked to.
func (n *node) raw(t testing.TB, text string) net.Conn {
	c, err := (&net.Dialer{}).Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	check(t, err)
	t.Cleanup(func() { _ = c.Close() })
	check(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(c, text)
	check(t, err)
	return c
}

func rawChat() string {
	b := chat(true)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(b), b)
}

// Guards memory against a caller that does not read: what is held stays within
// the bound, and after the write timeout the engine is cancelled.
func TestSlowReader(t *testing.T) {
	w := newWorld(t)
	var wrote atomic.Int64
	cancelled := make(chan struct{})
	event := "data: {\"choices\":[{\"delta\":{\"content\":\"" + strings.Repeat("x", 2000) + "\"}}]}\n\n"
	w.target("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			stream(rw, event)
			wrote.Add(int64(len(event)))
		}
		close(cancelled)
	})
	n := w.node("n", "north", func(b *settings.Bounds) { b.WriteTimeout = 300 * time.Millisecond })
	n.raw(t, rawChat())
	recv(t, cancelled)
	rec := recv(t, n.records)
	if bound := int64(64 << 10); rec.Code != result.CallerTooSlow || rec.Held > bound || rec.Held < bound/2 {
		t.Fatalf("%+v", rec)
	}
	await(t, func() bool { busy, _, _ := n.adm.settled(); return n.mem.ReservedBytes() == 0 && busy == 0 })
}

// Guards connections against callers that do not send what they announced.
func TestSlowSender(t *testing.T) {
	w := newWorld(t)
	n := w.node("n", "north", func(b *settings.Bounds) { b.ReadTimeout = 50 * time.Millisecond })
	c := n.raw(t, strings.TrimSuffix(rawChat(), "}"))
	b, err := io.ReadAll(c)
	if !strings.Contains(string(b), `"code":505`) || !strings.Contains(string(b), `"not_run"`) {
		t.Fatalf("%s %v", b, err)
	}
	if b, err := io.ReadAll(n.raw(t, "GET / HTTP/1.1\r\nHo")); err != nil && len(b) > 0 {
		t.Fatalf("%s %v", b, err)
	}
}

// Guards the memory for request bodies.
func TestBodyMemoryBound(t *testing.T) {
	w := newWorld(t)
	n := w.node("n", "north", func(b *settings.Bounds) { b.TeamBuffer = 50 })
	n.expect(t, n.chat(true), result.MemoryBound, "not_run")
	if n.mem.ReservedBytes() != 0 {
		t.Fatalf("%d bytes are still held", n.mem.ReservedBytes())
	}
}

// Guards the connections kept for callers: over the bound, the one idle longest
// is closed, and requests go on.
func TestConnectionBound(t *testing.T) {
	w := newWorld(t)
	n := w.node("n", "north", func(b *settings.Bounds) { b.MaxStreams = 1 }) // 66 connections
	first := n.raw(t, "GET /v1/directory HTTP/1.1\r\nHost: x\r\n\r\n")
	buf := make([]byte, 4096)
	_, err := first.Read(buf)
	check(t, err)
	for range 66 {
		c := n.raw(t, "GET /v1/directory HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err := c.Read(buf)
		check(t, err)
	}
	if _, err := first.Read(buf); err == nil {
		t.Fatal("the longest idle connection was kept")
	}
}
