package intake

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge is returned for a body that exceeds its limit.
var ErrTooLarge = errors.New("the body exceeds its limit")

const (
	// firstBuffer is the size in bytes of the first buffer of a body of unknown
	// length, and of one that is longer than maxFirstBuffer.
	firstBuffer = 4 << 10
	// maxFirstBuffer is the largest buffer in bytes that a length reserves before any
	// byte of the body has arrived.
	maxFirstBuffer = 64 << 10
)

// Body is a request body in memory. Release it.
type Body struct {
	// Bytes is nil for an empty body.
	Bytes    []byte
	budget   *Budget
	reserved int64
}

// Release returns the memory to the budget. The zero value may be released.
func (b *Body) Release() {
	if b.reserved > 0 {
		b.budget.discard(b.reserved)
		b.reserved = 0
	}
}

// ReadBody reads a body whole. Each buffer is reserved before it is allocated. length
// is the length in bytes, -1 if it is not known; limit bounds it. After an error the
// body holds nothing.
func ReadBody(r io.Reader, length, limit int64, budget *Budget) (Body, error) {
	switch {
	case length == 0:
		return Body{}, nil
	case length > limit:
		return Body{}, ErrTooLarge
	}
	b := Body{budget: budget}
	size := int64(firstBuffer)
	if length > 0 && length <= maxFirstBuffer {
		size = length + 1 // one more byte, so that a full buffer means a longer body
	}
	for {
		if !b.grow(min(size, limit+1)) {
			b.Release()
			if t, ok := r.(*trackedBody); ok {
				t.port.count(refusedMemory)
			}
			return Body{}, ErrNoMemory
		}
		for len(b.Bytes) < cap(b.Bytes) {
			n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
			b.Bytes = b.Bytes[:len(b.Bytes)+n]
			if int64(len(b.Bytes)) > limit {
				b.Release()
				return Body{}, ErrTooLarge
			}
			if err == io.EOF {
				return b, nil
			}
			if err != nil {
				b.Release()
				return Body{}, err
			}
		}
		size = 2 * int64(cap(b.Bytes))
		// A client that has sent as much as a length alone may reserve gets the rest.
		if length > maxFirstBuffer && int64(cap(b.Bytes)) >= maxFirstBuffer {
			size = length + 1
		}
	}
}

// grow moves the body to a buffer of size bytes. Both buffers are reserved while they
// exist.
func (b *Body) grow(size int64) bool {
	if !b.budget.take(size, size) {
		return false
	}
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	b.Release()
	b.reserved = size
	return true
}
