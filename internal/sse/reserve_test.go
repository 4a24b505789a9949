package sse

import (
	"io"
	"strings"
	"testing"
)

// Without memory a long event comes in pieces, which together are its bytes, and the
// events after it come whole again.
func TestEventWithoutMemoryComesInPieces(t *testing.T) {
	long := "id: 7\ndata: " + strings.Repeat("x", 100<<10) + "\ndata: " + strings.Repeat("y", 50<<10) + "\n\n"
	short := "id: 8\ndata: z\n\n"
	for _, granted := range []int{0, 40 << 10, MaxEventBytes} {
		left, reserved := granted, 0
		r := NewReader(strings.NewReader(long + short))
		r.Reserve = func(n int) bool {
			if n > left {
				return false
			}
			left, reserved = left-n, reserved+n
			return true
		}
		var got strings.Builder
		pieces := 0
		for {
			p, err := r.Next()
			if err != nil {
				t.Fatalf("%d bytes granted: error %v", granted, err)
			}
			pieces++
			got.Write(p.Raw)
			if len(p.Raw) > unreservedBytes+reserved {
				t.Errorf("%d bytes granted: a piece has %d bytes, %d are reserved", granted, len(p.Raw), reserved)
			}
			if !p.More {
				if p.ID != "7" {
					t.Errorf("%d bytes granted: id %q", granted, p.ID)
				}
				break
			}
		}
		if got.String() != long {
			t.Errorf("%d bytes granted: the pieces have %d bytes, the event has %d", granted, got.Len(), len(long))
		}
		if whole := pieces == 1; whole != (granted == MaxEventBytes) {
			t.Errorf("%d bytes granted: %d pieces", granted, pieces)
		}
		if p, err := r.Next(); err != nil || string(p.Raw) != short || p.ID != "8" || p.More {
			t.Errorf("%d bytes granted: next event %q, error %v", granted, p.Raw, err)
		}
		if _, err := r.Next(); err != io.EOF {
			t.Errorf("%d bytes granted: error %v at the end", granted, err)
		}
	}
}

// A line without end is an error also if its pieces are passed on.
func TestLineWithoutEndIsAnErrorWithoutMemory(t *testing.T) {
	r := NewReader(strings.NewReader("data: " + strings.Repeat("x", 2*MaxEventBytes)))
	r.Reserve = func(int) bool { return false }
	total := 0
	for {
		p, err := r.Next()
		if err != nil {
			if err != ErrLineTooLong || total > MaxEventBytes {
				t.Errorf("error %v after %d bytes", err, total)
			}
			return
		}
		total += len(p.Raw)
	}
}
