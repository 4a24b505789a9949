package gateway

import (
	"context"
	"net"
	"testing"
	"time"
)

// callerPair returns both ends of a connection on loopback.
func callerPair(t testing.TB) (caller, accepted net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if caller, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	return caller, accepted
}

// Guards against a request that is sent although its caller has disconnected: only the
// first attempt, right after the request was read, may rely on the earlier answer of the
// kernel.
func TestCallerLeftIsAskedAgainUnlessJustChecked(t *testing.T) {
	caller, conn := callerPair(t)
	c := &call{conn: conn, connCheckedAt: time.Now().Add(-connCheckAge)}
	if e := c.callerLeft(t.Context()); e != nil {
		t.Fatalf("the caller is connected: %v", e)
	}
	_ = caller.Close()
	for {
		if state, ok := readCallerConn(conn); !ok || state.closed {
			break
		}
		time.Sleep(time.Millisecond)
	}
	c.connCheckedAt = time.Now().Add(-connCheckAge)
	if c.callerLeft(t.Context()) == nil {
		t.Error("an old answer counts")
	}
	c.connCheckedAt = time.Now().Add(time.Hour)
	if e := c.callerLeft(t.Context()); e != nil {
		t.Errorf("the kernel was asked again: %v", e)
	}
	if c.callerLeft(t.Context()) == nil {
		t.Error("a second attempt relies on the answer for the first one")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.connCheckedAt = time.Now().Add(time.Hour)
	if c.callerLeft(ctx) == nil {
		t.Error("the end of the context does not count")
	}
}

func BenchmarkReadCallerConn(b *testing.B) {
	_, conn := callerPair(b)
	for b.Loop() {
		readCallerConn(conn)
	}
}
