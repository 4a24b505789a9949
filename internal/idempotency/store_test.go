package idempotency

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

var start = time.UnixMilli(1_800_000_000_000)

func newStore(cfg Config) (*Store, *clock.Virtual) {
	c := &clock.Virtual{}
	cfg.Instance, cfg.Incarnation, cfg.Clock, cfg.Start = "a.b", 7, c, start
	return New(cfg), c
}

func keyAt(issued time.Time, i int) Key {
	return Key{Instance: "a.b", Incarnation: 7, Issued: issued, Random: fmt.Sprintf("random-%02d", i)}
}

func wantCode(t *testing.T, err error, code result.Code, ran result.Ran) {
	t.Helper()
	if err == nil || result.FromError(err).Code != code || result.FromError(err).Ran != ran {
		t.Fatalf("got %v, want %s %s", err, code, ran)
	}
}

// Guards against a second run of a request, in each state of its record.
func TestRecord(t *testing.T) {
	s, _ := newStore(Config{})
	k := keyAt(start, 1)
	claim, stored, err := s.Begin("team", k, Digest{1})
	if claim == nil || stored != nil || err != nil {
		t.Fatal(claim, stored, err)
	}
	_, _, err = s.Begin("team", k, Digest{1})
	wantCode(t, err, result.IdempotencyKeyInUse, result.MayHaveRun)
	_, _, err = s.Begin("team", k, Digest{2})
	wantCode(t, err, result.IdempotencyKeyInUse, result.NotRun)
	if c, _, err := s.Begin("other team", k, Digest{1}); c == nil || err != nil {
		t.Fatal("the same key of another team was not a separate key")
	}
	claim.Release()
	if claim, _, err = s.Begin("team", k, Digest{1}); err != nil {
		t.Fatal("a request that has not run could not be sent again", err)
	}
	claim.Finish(&Response{Status: 201, Body: []byte("x")})
	claim.MarkUnknown() // no effect after Finish
	if _, a, err := s.Begin("team", k, Digest{1}); err != nil || a.Status != 201 {
		t.Fatal(a, err)
	}
	claim, _, _ = s.Begin("team", keyAt(start, 2), Digest{1})
	claim.MarkUnknown()
	_, _, err = s.Begin("team", keyAt(start, 2), Digest{1})
	wantCode(t, err, result.OutcomeUnknown, result.MayHaveRun)
	_, _, err = s.Begin("team", Key{Instance: "a.b", Incarnation: 8, Issued: start, Random: "random-01"}, Digest{1})
	wantCode(t, err, result.OutcomeUnknown, result.MayHaveRun)
}

// Guards against a second run after a record was removed while its key is still
// accepted. Steps of the wall clock and late or early issue times could cause
// that.
func TestKeyDoesNotOutliveItsRecord(t *testing.T) {
	for _, issued := range []time.Duration{0, -Retention, maxClockSkew, -time.Minute} {
		s, c := newStore(Config{})
		k := keyAt(start.Add(issued), 1)
		claim, _, err := s.Begin("team", k, Digest{1})
		if err != nil {
			t.Fatal(issued, err)
		}
		claim.Finish(&Response{Status: 200})
		for range 2 * int(Retention/time.Second) {
			c.Advance(time.Second)
			c.AdvanceUpper(-time.Minute) // steps of the wall clock must have no effect
			// Begin of another request removes expired records.
			if other, _, err := s.Begin("team", keyAt(start.Add(c.Now().Lower), 2), Digest{2}); err == nil && other != nil {
				other.Release()
			}
			if again, _, _ := s.Begin("team", k, Digest{1}); again != nil {
				t.Fatalf("issued at %s, run again after %s", issued, c.Now().Lower)
			}
		}
		if n, _ := s.Size(); n != 0 {
			t.Fatalf("%d expired records were not removed", n)
		}
	}
	s, _ := newStore(Config{})
	_, _, err := s.Begin("team", keyAt(start.Add(maxClockSkew+time.Millisecond), 1), Digest{})
	wantCode(t, err, result.BadIdempotencyKey, result.NotRun)
	_, _, err = s.Begin("team", keyAt(start.Add(-Retention-time.Millisecond), 1), Digest{})
	wantCode(t, err, result.OutcomeUnknown, result.MayHaveRun)
}

// Guards against a record that is dropped to make room, which would allow a
// second run. Only stored responses may be dropped.
func TestBounds(t *testing.T) {
	s, _ := newStore(Config{MaxRecords: 8, MaxResponseBytes: 10, MaxTotalBytes: 25})
	for i := range 2 {
		claim, _, _ := s.Begin("a", keyAt(start, i), Digest{})
		claim.Finish(&Response{Status: 200, Body: make([]byte, 10), Header: http.Header{}})
	}
	_, _, err := s.Begin("a", keyAt(start, 2), Digest{})
	wantCode(t, err, result.MemoryLimitReached, result.NotRun)
	for i := range 6 {
		claim, _, err := s.Begin(fmt.Sprint("team", i/2), keyAt(start, i), Digest{})
		if err != nil {
			t.Fatal(err)
		}
		claim.Finish(&Response{Status: 200, Body: make([]byte, 10+i%2)})
	}
	_, _, err = s.Begin("z", keyAt(start, 2), Digest{})
	wantCode(t, err, result.MemoryLimitReached, result.NotRun)
	if n, bytes := s.Size(); n != 8 || bytes > 25 {
		t.Fatalf("%d records, %d bytes", n, bytes)
	}
	// The first response was dropped; the one of 11 bytes was never stored.
	_, _, err = s.Begin("a", keyAt(start, 0), Digest{})
	wantCode(t, err, result.OutcomeUnknown, result.MayHaveRun)
	_, _, err = s.Begin("team2", keyAt(start, 5), Digest{})
	wantCode(t, err, result.OutcomeUnknown, result.MayHaveRun)
}

// Guards against a parser that accepts an invalid key, or more than one text for
// the same key.
func FuzzParse(f *testing.F) {
	f.Add(keyAt(start, 1).String())
	f.Add("a.000000000000000A.1.random-01")
	f.Add("a.000000000000000a.01.random-01")
	f.Add("..a.000000000000000a.-1.random-01")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := Parse(text)
		if err != nil {
			wantCode(t, err, result.BadIdempotencyKey, result.NotRun)
			return
		}
		if k.String() != text || k.Instance == "" || len(k.Random) < minRandomLen || len(text) > maxKeyLen {
			t.Fatalf("%q was parsed as %+v", text, k)
		}
	})
}
