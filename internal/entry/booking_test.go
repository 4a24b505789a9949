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

const bookingsPath = "/orders/bookings"

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	defer l.Close()
	return l.Addr().String()
}

// idempotencyKey returns an idempotency key that names an instance, with the
// incarnation of n.
func (n *testInstance) idempotencyKey(name string, i int) string {
	return idempotency.Key{Instance: name, Incarnation: n.incarnation, Issued: time.Now(), Random: fmt.Sprintf("random-%d", i)}.String()
}

func (n *testInstance) expectError(t *testing.T, r reply, code result.Code, ran string) {
	t.Helper()
	if c, got := r.errorCode(); c != code || got != ran {
		t.Fatalf("%+v, want %s %s", r, code, ran)
	}
}

// Guards against a second run of a booking whose target closes the connection
// after it has read the request. The GET before it leaves an idle keep-alive
// connection: on a reused one, net/http itself retries a request that has an
// Idempotency-Key header.
func TestBookingRunsAtMostOnce(t *testing.T) {
	cluster := newTestCluster(t)
	var runs atomic.Int32
	service := func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == "GET" {
			return // leaves an idle keep-alive connection
		}
		runs.Add(1)
		abortConnection()
	}
	cluster.startTarget("t1", "north", config.PlainService, service)
	cluster.startTarget("t2", "north", config.PlainService, service)
	n := cluster.startInstance("n", "north")
	for i := range 4 {
		n.do("GET", bookingsPath+"/1", "")
		headers := []string{}
		if i%2 == 1 {
			headers = []string{"Idempotency-Key", n.idempotencyKey("n", i)}
		}
		n.expectError(t, n.do("POST", bookingsPath, "book", headers...), result.TargetFailed, "may_have_run")
		if got := runs.Load(); got != int32(i+1) {
			t.Fatalf("%d runs after %d bookings", got, i+1)
		}
	}
	if busy, _, used := n.admitter.usage(); busy != 0 || used[len(used)-1] != 5 {
		t.Fatalf("busy %d, used %v", busy, used)
	}
}

// Guards both uses of "not run": a target that cannot be reached has not run the
// booking, so that another one is tried, and the response says "not run" if no
// target can be reached.
func TestBookingNotRun(t *testing.T) {
	cluster := newTestCluster(t)
	var runs atomic.Int32
	cluster.addTarget("t1", "north", config.PlainService, unusedAddress(t))
	n := cluster.startInstance("n", "north")
	k := n.idempotencyKey("n", 1)
	n.expectError(t, n.do("POST", bookingsPath, "book", "Idempotency-Key", k), result.TargetFailed, "not_run")
	cluster.startTarget("t2", "north", config.PlainService, func(rw http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		rw.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(rw, "booked "+r.Header.Get("X-Attempt"))
	})
	// The same key can be used again, because nothing ran under it.
	if r := n.do("POST", bookingsPath, "book", "Idempotency-Key", k); r.status != 201 || r.body != "booked 2" || runs.Load() != 1 {
		t.Fatalf("%+v after %d runs", r, runs.Load())
	}
}

// Guards against a second run when the caller resends a booking: to the same
// instance, to another one, with another body, and after the instance named in
// the idempotency key is gone.
func TestResend(t *testing.T) {
	cluster := newTestCluster(t)
	var runs atomic.Int32
	cluster.startTarget("t1", "north", config.PlainService, func(rw http.ResponseWriter, r *http.Request) {
		rw.WriteHeader(http.StatusCreated)
		fmt.Fprintf(rw, "booking %d", runs.Add(1))
	})
	n, other, south := cluster.startInstance("n", "north"), cluster.startInstance("o", "north"), cluster.startInstance("s", "south")
	k := n.idempotencyKey("n", 1)
	for _, via := range []*testInstance{other, n, south, n} {
		if r := via.do("POST", bookingsPath, "book", "Idempotency-Key", k); r.status != 201 || r.body != "booking 1" {
			t.Fatalf("%+v", r)
		}
	}
	if _, _, used := south.admitter.usage(); len(used) != 1 || used[0] != 0 {
		t.Errorf("a replayed response was charged: %v", used)
	}
	for _, via := range []*testInstance{n, other} {
		n.expectError(t, via.do("POST", bookingsPath, "book two", "Idempotency-Key", k), result.IdempotencyKeyInUse, "not_run")
	}
	// Until the record of the key has been read, no refusal of a booking with an
	// idempotency key says "not run".
	n.expectError(t, other.do("POST", bookingsPath, "book", "Idempotency-Key", k, "Authorization", "Bearer x"), result.UnknownKey, "may_have_run")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = n.gate.Drain(ctx) // the named instance refuses the hop
	n.expectError(t, other.do("POST", bookingsPath, "book", "Idempotency-Key", k), result.ShuttingDown, "may_have_run")
	_ = n.peerServer.Close()
	n.expectError(t, other.do("POST", bookingsPath, "book", "Idempotency-Key", k), result.OutcomeUnknown, "may_have_run")
	n.incarnation++ // a later process of the instance
	n.expectError(t, other.do("POST", bookingsPath, "book", "Idempotency-Key", k), result.InstanceGone, "may_have_run")
	if runs.Load() != 1 {
		t.Fatalf("%d runs", runs.Load())
	}
}

// Guards against the loss or a second run of a booking whose caller disconnects
// before the response: the run goes on, a resend during it is refused, and a
// later resend gets the stored response.
func TestCallerDisconnectsDuringBooking(t *testing.T) {
	cluster := newTestCluster(t)
	var runs atomic.Int32
	started, finish := make(chan struct{}), make(chan struct{})
	cluster.startTarget("t1", "north", config.PlainService, func(rw http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		close(started)
		<-finish
		_, _ = io.WriteString(rw, "booked")
	})
	n := cluster.startInstance("n", "north")
	k := n.idempotencyKey("n", 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { recv(t, started); cancel() }()
	if _, err := n.send(ctx, "POST", bookingsPath, "book", "Idempotency-Key", k); err == nil {
		t.Fatal("the caller got a response")
	}
	n.expectError(t, n.do("POST", bookingsPath, "book", "Idempotency-Key", k), result.IdempotencyKeyInUse, "may_have_run")
	recv(t, n.records) // of the resend
	close(finish)
	// The slot is released before the response is stored; the record comes after both.
	recv(t, n.records)
	if busy, _, _ := n.admitter.usage(); busy != 0 {
		t.Errorf("%d slots are in use after the run", busy)
	}
	if r := n.do("POST", bookingsPath, "book", "Idempotency-Key", k); r.body != "booked" || runs.Load() != 1 {
		t.Fatalf("%+v after %d runs", r, runs.Load())
	}
}

// Guards against a truncated response of a plain service that looks complete.
// The request is retried, if that is allowed, when the connection to the target
// breaks before the response head was passed on to the caller; after that the
// caller's connection is closed.
func TestTruncatedPlainResponse(t *testing.T) {
	cluster := newTestCluster(t)
	var size atomic.Int64
	cluster.startTarget("t1", "north", config.PlainService, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Length", "1000000")
		_, _ = io.WriteString(rw, strings.Repeat("x", int(size.Load())))
	})
	cluster.startTarget("t2", "north", config.PlainService, func(rw http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(rw, "good") })
	n := cluster.startInstance("n", "north")
	size.Store(100)
	if r := n.do("GET", "/orders/stock/1", ""); r.body != "good" {
		t.Fatalf("%+v", r)
	}
	size.Store(300_000)
	if r := n.do("GET", "/orders/stock/1", ""); r.err == nil {
		t.Fatalf("a truncated response was taken for a complete one, %d bytes", len(r.body))
	}
}
