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

// Guards against leaked slots, memory and tokens, and an engine that runs on,
// when a caller disconnects in mid-stream.
func TestCallerDisconnects(t *testing.T) {
	cluster := newTestCluster(t)
	ended := make(chan struct{}, 2)
	cluster.startTarget("t1", "south", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		writeEvents(rw, tokenEvent(0))
		<-r.Context().Done()
		ended <- struct{}{}
	})
	for _, n := range []*testInstance{cluster.startInstance("s", "south"), cluster.startInstance("n", "north")} {
		ctx, cancel := context.WithCancel(t.Context())
		n.startStream(ctx)
		cancel()
		recv(t, ended)
		if rec := recv(t, n.records); rec.Code != result.CallerTooSlow || rec.TokensUsed != 3 {
			t.Fatalf("%+v", rec)
		}
		if busy, _, used := n.admitter.usage(); busy != 0 || len(used) != 1 || used[0] != 3 {
			t.Fatalf("busy %d, used %v", busy, used)
		}
		await(t, func() bool { return n.memory.ReservedBytes() == 0 && n.dispatcher.InFlight("south") == 0 })
	}
}

// Guards shutdown: while the instance drains, new requests are refused and
// running ones complete.
func TestDrain(t *testing.T) {
	cluster := newTestCluster(t)
	finish := make(chan struct{})
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		writeEvents(rw, tokenEvent(0))
		select {
		case <-finish:
		case <-r.Context().Done():
		}
		writeEvents(rw, tokenEvent(1), finalEvents(2))
	})
	n := cluster.startInstance("n", "north")
	resp := n.startStream(t.Context())
	drained := make(chan error, 1)
	go func() { drained <- n.server.Drain(context.Background()) }()
	await(t, func() bool { code, _ := n.sendChat(true).errorCode(); return code == result.ShuttingDown })
	n.expectError(t, n.sendChat(true), result.ShuttingDown, "not_run")
	// A booking that is resent may have run on this instance before.
	n.expectError(t, n.do("POST", bookingsPath, "x", "Idempotency-Key", n.idempotencyKey("n", 1)), result.ShuttingDown, "may_have_run")
	select {
	case <-drained:
		t.Fatal("drained while a stream was running")
	default:
	}
	close(finish)
	if r := readResponse(resp); r.text() != "w1 " || !strings.HasSuffix(r.body, "[DONE]\n\n") {
		t.Fatalf("%+v", r)
	}
	check(t, recv(t, drained))
}

// Guards against serving under an outdated configuration after a process pause:
// a new request is refused, and the rest of a running stream is held back, until
// the configuration is confirmed, because a newer one may forbid them.
func TestPausedProcessDoesNotServe(t *testing.T) {
	cluster := newTestCluster(t)
	sendToken, sent := make(chan struct{}), make(chan struct{})
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		writeEvents(rw, tokenEvent(0))
		<-sendToken
		writeEvents(rw, tokenEvent(1))
		close(sent)
		<-r.Context().Done()
	})
	n := cluster.startInstance("n", "north")
	resp := n.startStream(t.Context())
	n.gate.OnProcessPause()
	close(sendToken)
	recv(t, sent)
	n.expectError(t, n.sendChat(true), result.NotReady, "not_run")
	cluster.updateConfig(withdrawKey) // the change that the instance missed
	n.confirmations <- struct{}{}
	r := readResponse(resp)
	n.expectError(t, r, result.KeyWithdrawn, "may_have_run")
	if r.text() != "" {
		t.Fatalf("%q was served after the key was withdrawn", r.text())
	}
}

// Guards the limit on concurrent requests.
func TestMaxStreams(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		writeEvents(rw, tokenEvent(0))
		<-r.Context().Done()
	})
	n := cluster.startInstance("n", "north", func(b *settings.Bounds) { b.MaxStreams = 1 })
	ctx, cancel := context.WithCancel(t.Context())
	n.startStream(ctx)
	n.expectError(t, n.sendChat(true), result.MemoryLimitReached, "not_run")
	cancel()
	recv(t, n.records)
	await(t, func() bool { return n.gate.Running() == 0 })
}

// dialAndSend sends text on a connection of its own. Nothing is read from the
// connection unless the test reads it.
func (n *testInstance) dialAndSend(t testing.TB, text string) net.Conn {
	c, err := (&net.Dialer{}).Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	check(t, err)
	t.Cleanup(func() { _ = c.Close() })
	check(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(c, text)
	check(t, err)
	return c
}

func rawChatRequest() string {
	b := chatBody(true)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(b), b)
}

// Guards against unbounded buffering for a caller that does not read: the
// buffered bytes stay within the limit, and after the write timeout the request
// to the engine is cancelled.
func TestSlowReader(t *testing.T) {
	cluster := newTestCluster(t)
	var wrote atomic.Int64
	cancelled := make(chan struct{})
	event := "data: {\"choices\":[{\"delta\":{\"content\":\"" + strings.Repeat("x", 2000) + "\"}}]}\n\n"
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			writeEvents(rw, event)
			wrote.Add(int64(len(event)))
		}
		close(cancelled)
	})
	n := cluster.startInstance("n", "north", func(b *settings.Bounds) { b.WriteTimeout = 300 * time.Millisecond })
	n.dialAndSend(t, rawChatRequest())
	recv(t, cancelled)
	rec := recv(t, n.records)
	if bound := int64(64 << 10); rec.Code != result.CallerTooSlow || rec.PeakBufferedBytes > bound || rec.PeakBufferedBytes < bound/2 {
		t.Fatalf("%+v", rec)
	}
	await(t, func() bool { busy, _, _ := n.admitter.usage(); return n.memory.ReservedBytes() == 0 && busy == 0 })
}

// Guards against connections that stay open for callers that stop sending in the
// middle of a header or of a body.
func TestSlowSender(t *testing.T) {
	cluster := newTestCluster(t)
	n := cluster.startInstance("n", "north", func(b *settings.Bounds) { b.ReadTimeout = 50 * time.Millisecond })
	c := n.dialAndSend(t, strings.TrimSuffix(rawChatRequest(), "}"))
	b, err := io.ReadAll(c)
	if !strings.Contains(string(b), `"code":505`) || !strings.Contains(string(b), `"not_run"`) {
		t.Fatalf("%s %v", b, err)
	}
	if b, err := io.ReadAll(n.dialAndSend(t, "GET / HTTP/1.1\r\nHo")); err != nil && len(b) > 0 {
		t.Fatalf("%s %v", b, err)
	}
}

// Guards the memory limit on request bodies, and the release of what a refused
// body had reserved.
func TestBodyMemoryLimit(t *testing.T) {
	cluster := newTestCluster(t)
	n := cluster.startInstance("n", "north", func(b *settings.Bounds) { b.TeamBuffer = 50 })
	n.expectError(t, n.sendChat(true), result.MemoryLimitReached, "not_run")
	if n.memory.ReservedBytes() != 0 {
		t.Fatalf("%d bytes are still reserved", n.memory.ReservedBytes())
	}
}

// Whole responses share response_buffer: one that does not fit ends with an error that
// says that the request may have run, and leaves nothing reserved.
func TestWholeResponseWithoutMemoryIsRefused(t *testing.T) {
	cluster := newTestCluster(t)
	var size atomic.Int64
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		content := strings.Repeat("x", int(size.Load()))
		_, _ = io.WriteString(rw, strings.Replace(completeResponse, "hello", content, 1))
	})
	n := cluster.startInstance("n", "north", func(b *settings.Bounds) { b.ResponseBuffer = 100 << 10 })
	for _, kb := range []int64{1, 90, 300, 90} {
		size.Store(kb << 10)
		r := n.sendChat(false)
		if kb == 300 {
			n.expectError(t, r, result.MemoryLimitReached, "may_have_run")
		} else if want := int(size.Load()) + len(completeResponse) - len("hello"); r.status != http.StatusOK || len(r.body) != want {
			t.Fatalf("%d KB: status %d, %d bytes of %d", kb, r.status, len(r.body), want)
		}
		await(t, func() bool { return n.responses.ReservedBytes() == 0 && n.memory.ReservedBytes() == 0 })
	}
}

// Memory for whole responses is needed until a response is complete, not until a slow
// caller has read it.
func TestSlowReaderHoldsNoResponseMemory(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, strings.Replace(completeResponse, "hello", strings.Repeat("x", 900<<10), 1))
	})
	n := cluster.startInstance("n", "north")
	b := chatBody(false)
	n.dialAndSend(t, fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(b), b))
	await(t, func() bool { return n.memory.ReservedBytes() >= 900<<10 && n.responses.ReservedBytes() == 0 })
}

// Guards the limit on caller connections: a new connection over the limit closes
// the one that has been idle longest, and requests are still served.
func TestConnectionLimit(t *testing.T) {
	cluster := newTestCluster(t)
	n := cluster.startInstance("n", "north", func(b *settings.Bounds) { b.MaxStreams = 1 }) // limit of 66 connections
	first := n.dialAndSend(t, "GET /v1/directory HTTP/1.1\r\nHost: x\r\n\r\n")
	buf := make([]byte, 4096)
	_, err := first.Read(buf)
	check(t, err)
	for range 66 {
		c := n.dialAndSend(t, "GET /v1/directory HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err := c.Read(buf)
		check(t, err)
	}
	if _, err := first.Read(buf); err == nil {
		t.Fatal("the longest idle connection was kept")
	}
}
