package dispatch

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReadBuffered(t *testing.T) {
	const initial, limit = 16, 2*bufferBlockBytes + 100
	for size, want := range map[int]struct {
		whole  bool
		blocks int
	}{
		0: {true, 0}, 15: {true, 0},
		// One byte more of buffer tells that the body ends with the 16th byte.
		16: {true, 1}, 50: {true, 1}, 15 + bufferBlockBytes: {true, 1}, 16 + bufferBlockBytes: {true, 2},
		limit: {true, 3}, limit + 1: {false, 3}, 2 * limit: {false, 3},
	} {
		text := make([]byte, size)
		for i := range text {
			text[i] = byte(i / 7)
		}
		reserved := 0
		body, whole, err := ReadBuffered(iotest.HalfReader(bytes.NewReader(text)), initial, limit, func(n int) bool { reserved += n; return true })
		if err != nil || whole != want.whole || reserved != want.blocks*bufferBlockBytes || len(body.blocks) != want.blocks || whole && body.Len() != size {
			t.Errorf("%d bytes: read %d, whole %v, reserved %d, error %v", size, body.Len(), whole, reserved, err)
		}
		var parts []byte
		if err := body.Each(func(p []byte) error { parts = append(parts, p...); return nil }); err != nil {
			t.Error(err)
		}
		if read := text[:body.Len()]; !bytes.Equal(body.Bytes(), read) || !bytes.Equal(parts, read) {
			t.Errorf("%d bytes: the buffer holds other bytes than were read", size)
		}
		body.Free()
	}
	body, whole, err := ReadBuffered(strings.NewReader(strings.Repeat("x", 50)), initial, limit, func(int) bool { return false })
	if err != nil || whole || body.Len() != initial {
		t.Errorf("without memory: read %d, whole %v, error %v", body.Len(), whole, err)
	}
	body, whole, err = ReadBuffered(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), initial, limit, func(int) bool { return true })
	if err != io.ErrUnexpectedEOF || whole || body.Len() != 1 {
		t.Errorf("broken off: read %d, error %v", body.Len(), err)
	}
}

// The parts of a buffer end at the first error of the function that takes them.
func TestResponseBufferStopsAtError(t *testing.T) {
	body, _, err := ReadBuffered(strings.NewReader(strings.Repeat("x", 3*bufferBlockBytes)), 16, 4*bufferBlockBytes, func(int) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	err = body.Each(func([]byte) error {
		if calls++; calls == 2 {
			return io.ErrShortWrite
		}
		return nil
	})
	if err != io.ErrShortWrite || calls != 2 {
		t.Errorf("%d calls, error %v", calls, err)
	}
}
