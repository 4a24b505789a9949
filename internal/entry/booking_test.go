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
	"github.com/wigeonhill/wigeonhill/internal/idempotency"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const bookings = "/orders/bookings"

// dead returns an address on which nothing listens.
func dead(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	defer l.Close()
	return l.Addr().String()
}

// key builds an idempotency key that names n.
func (n *node) key(name string, i int) string {
	return idempotency.Key{Instance: name, Incarnation: n.inc, Issued: time.Now(), Random: fmt.Sprintf("random-%d", i)}.String()
}

func (n *node) expect(t *testing.T, r reply, code result.Code, ran string) {
	t.Helper()
	if c, got := r.fault(); c != code || got != ran {
		t.Fatalf("%+v, want %s %s", r, code, ran)
	}
}

// Guards against a second run of a booking whose target closes the connection
// after it has read the request. Kept connections matter: net/http repeats a
// request with an Idempotency-Key header on them.
func TestBookingRunsAtMostOnce(t *testing.T) {
	w := newWorld(t)
	var runs atomic.Int32
	service := func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == "GET" {
			return // leaves a kept connection
		}
		runs.Add(1)
		crash()
	}
	w.target("t1", "north", config.Plain, service)
	w.target("t2", "north", config.Plain, service)
	n := w.node("n", "north")
	for i := range 4 {
		n.do("GET", bookings+"/1", "")
		headers := []string{}
		if i%2 == 1 {
			headers = []string{"Idempotency-Key", n.key("n", i)}
		}
		n.expect(t, n.do("POST", bookings, "book", headers...), result.TargetFailed, "may_have_run")
		if got := runs.Load(); got != int32(i+1) {
			t.Fatalf("%d runs after %d bookings", got, i+1)
		}
	}
	if busy, _, used := n.adm.settled(); busy != 0 || used[len(used)-1] != 5 {
		t.Fatalf("busy %d, used %v", busy, used)
	}
}

// Guards both sides of "not run": a target that cannot be reached has not run
// the booking, so another one is asked; if none can be reached, it has not run.
func TestBookingNotRun(t *testing.T) {
	w := newWorld(t)
	var runs atomic.Int32
	w.address("t1", "north", config.Plain, dead(t))
	n := w.node("n", "north")
	k := n.key("n", 1)
	n.expect(t, n.do("POST", bookings, "book", "Idempotency-Key", k), result.TargetFailed, "not_run")
	w.target("t2", "north", config.Plain, func(rw http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		rw.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(rw, "booked "+r.Header.Get("X-Attempt"))
	})
	// The same key is free again, because nothing ran under it.
	if r := n.do("POST", bookings, "book", "Idempotency-Key", k); r.status != 201 || r.body != "booked 2" || runs.Load() != 1 {
		t.Fatalf("%+v after %d runs", r, runs.Load())
	}
}

// Guards at most one run when the caller sends again: to the same instance, to
// another one, with another body, and after the named instance is gone.
func TestResend(t *testing.T) {
	w := newWorld(t)
	var runs atomic.Int32
	w.target("t1", "north", config.Plain, func(rw http.ResponseWriter, r *http.Request) {
		rw.WriteHeader(http.StatusCreated)
		fmt.Fprintf(rw, "booking %d", runs.Add(1))
	})
	n, other, south := w.node("n", "north"), w.node("o", "north"), w.node("s", "south")
	k := n.key("n", 1)
	for _, via := range []*node{other, n, south, n} {
		if r := via.do("POST", bookings, "book", "Idempotency-Key", k); r.status != 201 || r.body != "booking 1" {
			t.Fatalf("%+v", r)
		}
	}
	if _, _, used := south.adm.settled(); len(used) != 1 || used[0] != 0 {
		t.Errorf("a replayed answer was charged: %v", used)
	}
	for _, via := range []*node{n, other} {
		n.expect(t, via.do("POST", bookings, "book two", "Idempotency-Key", k), result.KeyInUse, "not_run")
	}
	// Before its record was read, no refusal of a keyed booking is "not run".
	n.expect(t, other.do("POST", bookings, "book", "Idempotency-Key", k, "Authorization", "Bearer x"), result.UnknownKey, "may_have_run")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = n.gate.Drain(ctx) // the named instance refuses the hop
	n.expect(t, other.do("POST", bookings, "book", "Idempotency-Key", k), result.ShuttingDown, "may_have_run")
	_ = n.peers.Close()
	n.expect(t, other.do("POST", bookings, "book", "Idempotency-Key", k), result.OutcomeUnknown, "may_have_run")
	n.inc++ // another process under the same name
	n.expect(t, other.do("POST", bookings, "book", "Idempotency-Key", k), result.InstanceGone, "may_have_run")
	if runs.Load() != 1 {
		t.Fatalf("%d runs", runs.Load())
	}
}

// Guards the answer of a booking whose caller disconnects before it: the run
// goes on, a resend meanwhile is refused, and a later one gets the answer.
func TestCallerLeavesBooking(t *testing.T) {
	w := newWorld(t)
	var runs atomic.Int32
	started, finish := make(chan struct{}), make(chan struct{})
	w.target("t1", "north", config.Plain, func(rw http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		close(started)
		<-finish
		_, _ = io.WriteString(rw, "booked")
	})
	n := w.node("n", "north")
	k := n.key("n", 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { recv(t, started); cancel() }()
	if _, err := n.start(ctx, "POST", bookings, "book", "Idempotency-Key", k); err == nil {
		t.Fatal("the caller got an answer")
	}
	n.expect(t, n.do("POST", bookings, "book", "Idempotency-Key", k), result.KeyInUse, "may_have_run")
	close(finish)
	await(t, func() bool { busy, _, _ := n.adm.settled(); return busy == 0 })
	if r := n.do("POST", bookings, "book", "Idempotency-Key", k); r.body != "booked" || runs.Load() != 1 {
		t.Fatalf("%+v after %d runs", r, runs.Load())
	}
}

// Guards the caller against a plain answer that breaks off: before its head was
// passed on it is repeated if that is allowed, after it the connection breaks.
func TestPlainAnswerBreaksOff(t *testing.T) {
	w := newWorld(t)
	var size atomic.Int64
	w.target("t1", "north", config.Plain, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Length", "1000000")
		_, _ = io.WriteString(rw, strings.Repeat("x", int(size.Load())))
	})
	w.target("t2", "north", config.Plain, func(rw http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(rw, "good") })
	n := w.node("n", "north")
	size.Store(100)
	if r := n.do("GET", "/orders/stock/1", ""); r.body != "good" {
		t.Fatalf("%+v", r)
	}
	size.Store(300_000)
	if r := n.do("GET", "/orders/stock/1", ""); r.err == nil {
		t.Fatalf("a truncated answer was taken for a whole one, %d bytes", len(r.body))
	}
}
