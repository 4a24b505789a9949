package intake

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

// Guards against bodies that are counted only after they were read, and against memory
// that is not returned.
func TestBodiesAreReservedBeforeTheyAreRead(t *testing.T) {
	for _, size := range []int64{1, 4095, 4096, 4097, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, length := range []int64{size, -1} {
			for name, reader := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "by byte": iotest.OneByteReader} {
				b := NewBudget(8 << 20)
				want := bytes.Repeat([]byte{'x'}, int(size))
				got, err := ReadBody(reader(bytes.NewReader(want)), length, 1<<20, b)
				if err != nil || !bytes.Equal(got.Bytes, want) || b.Used() < size || b.Used() != int64(cap(got.Bytes)) {
					t.Fatalf("%d bytes, length %d, %s: %d bytes, %d reserved, %v", size, length, name, len(got.Bytes), b.Used(), err)
				}
				if got.Release(); b.Used() != 0 {
					t.Fatalf("%d bytes are still reserved", b.Used())
				}
			}
		}
	}
}

// Guards against a body over the limit or without memory that keeps what it reserved.
func TestRefusedBodiesHoldNothing(t *testing.T) {
	b := NewBudget(1 << 20)
	for _, c := range []struct {
		length, size, limit int64
		want                error
	}{
		{-1, 4097, 4096, ErrTooLarge}, {4097, 4097, 4096, ErrTooLarge}, {-1, 4 << 20, 8 << 20, ErrNoMemory}, {4 << 20, 4 << 20, 8 << 20, ErrNoMemory},
		{100, 100, 100, nil}, {-1, 100, 100, nil},
	} {
		body, err := ReadBody(bytes.NewReader(make([]byte, c.size)), c.length, c.limit, b)
		if err != c.want {
			t.Errorf("%+v: %v", c, err)
		}
		if body.Release(); b.Used() != 0 {
			t.Errorf("%+v: %d bytes are still reserved", c, b.Used())
		}
	}
	if !b.take(880<<10, 880<<10) {
		t.Fatal("nothing is free")
	}
	if _, err := ReadBody(bytes.NewReader(make([]byte, 64<<10)), 64<<10, 1<<20, b); err != ErrNoMemory {
		t.Errorf("a large body took the part for small ones: %v", err)
	}
	if small, err := ReadBody(strings.NewReader("small"), 5, 1<<20, b); err != nil || string(small.Bytes) != "small" {
		t.Errorf("a small body was refused: %v", err)
	}
	b.put(880 << 10)
}

// Guards against bodies that are refused one after the other and whose buffers fill
// the memory until the garbage collector would run by itself.
func TestDiscardedBuffersAreCollected(t *testing.T) {
	const size = 1 << 20
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b := NewBudget(8 << 20)
	for range 64 {
		if _, err := ReadBody(bytes.NewReader(make([]byte, size+1)), -1, size, b); err != ErrTooLarge {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	// Each body takes its size twice: here, and as the buffers of ReadBody.
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 3*b.Limit() {
		t.Errorf("64 bodies take %d MB with a budget of %d", grown>>20, b.Limit()>>20)
	}
}

// testServer serves h on a port with limits.
func testServer(t *testing.T, l Limits, b *Budget, h http.HandlerFunc) (*Port, string) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := NewPort("test", func() Limits { return l }, b, event.Nop())
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	p.Configure(s)
	go func() { _ = s.Serve(p.Listen(inner)) }()
	t.Cleanup(func() { _ = s.Close() })
	return p, inner.Addr().String()
}

func dial(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func expectStatus(t *testing.T, r *bufio.Reader, status int) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != status {
		t.Fatalf("status %d, want %d, %v", resp.StatusCode, status, err)
	}
}

const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// Guards against a client that loses the refusal of its request because the connection
// is closed while it sends the body, and against a body that holds the response back.
func TestRefusedBodyGetsCompleteResponse(t *testing.T) {
	var requests atomic.Int64
	_, address := testServer(t, Limits{}, NewBudget(0), func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "refused") // without a length: the end is written later
	})
	const size = 3 << 20
	head := fmt.Sprintf("PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
	c, r := dial(t, address, head)
	for range 30 { // the client reads nothing before it has sent the body
		if _, err := c.Write(make([]byte, size/30)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(15 * time.Millisecond)
	}
	_, _ = c.Write(make([]byte, size%30))
	expectStatus(t, r, http.StatusServiceUnavailable)
	// The whole body arrived, so that the connection can be used again.
	if _, err := io.WriteString(c, get); err != nil {
		t.Fatal(err)
	}
	expectStatus(t, r, http.StatusServiceUnavailable)

	before := requests.Load()
	_, r = dial(t, address, head+get) // a client that sends little of its body
	expectStatus(t, r, http.StatusServiceUnavailable)
	if readsByte(r) {
		t.Fatal("something follows the response")
	}
	if n := requests.Load() - before; n != 1 {
		t.Fatalf("%d requests: a part of the body was taken for one", n)
	}
}

// Guards the connections on which requests are served: the bound closes others, the
// longest idle first, and refuses new ones if there are none.
func TestConnectionBoundSparesRequestsBeingServed(t *testing.T) {
	finish := make(chan struct{})
	var once sync.Once
	defer once.Do(func() { close(finish) })
	p, address := testServer(t, Limits{MaxConns: 3}, NewBudget(0), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-finish
		}
	})
	slow := strings.Replace(get, "/ ", "/slow ", 1)
	_, first := dial(t, address, slow)
	_, idle := dial(t, address, get)
	expectStatus(t, idle, http.StatusOK)
	waitForPhases(t, p, 1, 1)
	_, laterIdle := dial(t, address, get)
	expectStatus(t, laterIdle, http.StatusOK)
	waitForPhases(t, p, 1, 2)
	_, second := dial(t, address, slow)
	if readsByte(idle) {
		t.Fatal("the longest idle connection was kept")
	}
	waitForPhases(t, p, 2, 1)
	_, third := dial(t, address, slow)
	if readsByte(laterIdle) {
		t.Fatal("the idle connection was kept")
	}
	waitForPhases(t, p, 3, 0)
	if _, r := dial(t, address, ""); readsByte(r) {
		t.Fatal("a connection over the bound was served")
	}
	once.Do(func() { close(finish) })
	for _, r := range []*bufio.Reader{first, second, third} {
		expectStatus(t, r, http.StatusOK)
	}
}

func readsByte(r *bufio.Reader) bool {
	_, err := r.ReadByte()
	return err == nil
}

// waitForPhases waits until the port has connections in these phases.
func waitForPhases(t *testing.T, p *Port, serving, idle int) {
	t.Helper()
	waitFor(t, func() bool {
		p.connMu.Lock()
		defer p.connMu.Unlock()
		count := map[int32]int{}
		for c := range p.conns {
			count[c.phase.Load()]++
		}
		return count[phaseServing] == serving && count[phaseIdle] == idle
	})
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the expected state was not reached")
}

// Guards against heads and bodies that arrive in pieces for longer than their time, and
// against idle connections that are kept for ever.
func TestSlowClientsAreClosed(t *testing.T) {
	limits := Limits{HeadTimeout: 300 * time.Millisecond, BodyTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond, MaxHeadBytes: 16 << 10}
	p, address := testServer(t, limits, NewBudget(0), func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(r.Body, r.ContentLength, 1000, NewBudget(0)); err == ErrTooSlow {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})
	trickle := func(c net.Conn) {
		for {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	head, headReader := dial(t, address, "GET / HTTP/1.1\r\nHost: ")
	go trickle(head)
	body, bodyReader := dial(t, address, "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 999\r\n\r\n")
	go trickle(body)
	_, idleReader := dial(t, address, get)
	expectStatus(t, idleReader, http.StatusOK)
	expectStatus(t, bodyReader, http.StatusRequestTimeout)
	for name, r := range map[string]*bufio.Reader{"head": headReader, "idle": idleReader, "body": bodyReader} {
		if readsByte(r) {
			t.Errorf("%s: the connection is still open", name)
		}
	}
	waitFor(t, func() bool { return p.Connections() == 0 })
}

// Guards against heads over the limit without an answer, and heads of which each is
// within the limit but all together are not.
func TestHeadsAreBounded(t *testing.T) {
	budget := NewBudget(256 << 10)
	p, address := testServer(t, Limits{MaxHeadBytes: 16 << 10}, budget, func(http.ResponseWriter, *http.Request) {})
	_, r := dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("x", 24<<10))
	expectStatus(t, r, http.StatusRequestHeaderFieldsTooLarge)
	for range 20 {
		dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 2000))
	}
	waitFor(t, func() bool { return p.refused[refusedMemory].Load() > 0 })
	_, r = dial(t, address, get)
	expectStatus(t, r, http.StatusOK)
	if budget.Used() > budget.Limit() {
		t.Errorf("%d of %d bytes are reserved", budget.Used(), budget.Limit())
	}
}

// Guards against memory that bodies hold that no longer arrive while others need it;
// such a body is refused, and its request has not run.
func TestStalledBodiesAreRefusedUnderPressure(t *testing.T) {
	budget := NewBudget(200 << 10)
	_, address := testServer(t, Limits{}, budget, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r.Body, r.ContentLength, 1<<20, budget)
		if err == ErrNoMemory {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		body.Release()
	})
	_, stalled := dial(t, address, "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 150000\r\n\r\n"+strings.Repeat("x", 140000))
	expectStatus(t, stalled, http.StatusServiceUnavailable)
	waitFor(t, func() bool { return budget.Used() == 0 })
}

// Guards the time that the intake takes of each request.
func BenchmarkRequest(b *testing.B) {
	for _, method := range []string{"GET", "POST"} {
		for _, with := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/intake=%v", method, with), func(b *testing.B) { benchmarkRequest(b, method, with) })
		}
	}
}

func benchmarkRequest(b *testing.B, method string, with bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	budget := NewBudget(0)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !with { // as the code before read bodies
			rc := http.NewResponseController(w)
			if r.ContentLength != 0 {
				_ = rc.SetReadDeadline(time.Now().Add(time.Minute))
				_, _ = io.ReadFull(http.MaxBytesReader(w, r.Body, 1<<20), make([]byte, r.ContentLength+1))
				_ = rc.SetReadDeadline(time.Time{})
			}
			return
		}
		SetDeadline(r.Body, time.Now().Add(time.Minute))
		body, _ := ReadBody(r.Body, r.ContentLength, 1<<20, budget)
		body.Release()
	})}
	var serving net.Listener = l
	if with {
		p := NewPort("bench", func() Limits {
			return Limits{MaxConns: 1000, MaxHeadBytes: 16 << 10, HeadTimeout: time.Minute, BodyTimeout: time.Minute, IdleTimeout: time.Minute}
		}, budget, event.Nop())
		p.Configure(s)
		serving = p.Listen(l)
	}
	go func() { _ = s.Serve(serving) }()
	defer s.Close()
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	text := get
	if method == "POST" {
		text = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000)
	}
	r := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, text); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
