package dispatch

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReadBuffered(t *testing.T) {
	const initial, limit = 16, 100
	for size, want := range map[int]struct {
		whole    bool
		reserved int
	}{
		0: {true, 0}, 15: {true, 0},
		// One byte more of buffer tells that the body ends with the 16th byte.
		16: {true, 16}, 50: {true, 48}, 100: {true, 85},
		101: {false, 85}, 1000: {false, 85},
	} {
		reserved := 0
		body, whole, err := ReadBuffered(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", size))), initial, limit, func(n int) bool { reserved += n; return true })
		if err != nil || whole != want.whole || reserved != want.reserved || reserved != cap(body)-initial || whole && len(body) != size {
			t.Errorf("%d bytes: read %d, whole %v, reserved %d, error %v", size, len(body), whole, reserved, err)
		}
	}
	body, whole, err := ReadBuffered(strings.NewReader(strings.Repeat("x", 50)), initial, limit, func(int) bool { return false })
	if err != nil || whole || len(body) != initial {
		t.Errorf("without memory: read %d, whole %v, error %v", len(body), whole, err)
	}
	body, _, err = ReadBuffered(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), initial, limit, func(int) bool { return true })
	if err != io.ErrUnexpectedEOF || len(body) != 1 {
		t.Errorf("broken off: read %d, error %v", len(body), err)
	}
}
