package dispatch

import (
	"io"
	"sync"
)

// bufferBlockBytes is the size in bytes of the blocks of a ResponseBuffer.
const bufferBlockBytes = 32 << 10

// bufferBlocks keeps free blocks, so that responses that are given up one after
// another leave no garbage behind.
var bufferBlocks = sync.Pool{New: func() any { return new([bufferBlockBytes]byte) }}

// ResponseBuffer holds the bytes of a response that were read into memory. It grows
// by blocks: unlike a slice, it never holds a second copy while it grows.
type ResponseBuffer struct {
	first  []byte
	blocks []*[bufferBlockBytes]byte
	size   int
}

// ReadBuffered reads r up to limit bytes, or as far as reserve returns true, which is
// called with the growth of the buffer in bytes. Its first bytes, as many as initial,
// are not reserved. whole reports whether r has ended within the limit. The caller
// must call Free, with an error too.
func ReadBuffered(r io.Reader, initial, limit int, reserve func(n int) bool) (b *ResponseBuffer, whole bool, err error) {
	b = &ResponseBuffer{first: make([]byte, initial)}
	free := b.first
	for {
		if len(free) == 0 {
			if b.size > limit || !reserve(bufferBlockBytes) {
				return b, false, nil
			}
			block := bufferBlocks.Get().(*[bufferBlockBytes]byte)
			b.blocks = append(b.blocks, block)
			free = block[:]
		}
		n, err := r.Read(free)
		b.size += n
		free = free[n:]
		switch {
		case err == io.EOF:
			return b, b.size <= limit, nil
		case err != nil:
			return b, false, err
		}
	}
}

// Len returns the number of bytes that were read.
func (b *ResponseBuffer) Len() int { return b.size }

// Each calls f with the bytes, part by part, until f returns an error.
func (b *ResponseBuffer) Each(f func(p []byte) error) error {
	left := b.size
	for i := -1; left > 0; i++ {
		part := b.first
		if i >= 0 {
			part = b.blocks[i][:]
		}
		part = part[:min(len(part), left)]
		left -= len(part)
		if err := f(part); err != nil {
			return err
		}
	}
	return nil
}

// Bytes returns the bytes in one piece, which stays valid after Free. It is a copy
// unless they fit into the first part.
func (b *ResponseBuffer) Bytes() []byte {
	if b.size <= len(b.first) {
		return b.first[:b.size]
	}
	all := make([]byte, 0, b.size)
	_ = b.Each(func(p []byte) error { all = append(all, p...); return nil }) // cannot fail
	return all
}

// Space returns the memory of the last part, which may be overwritten once the bytes
// are not needed any more.
func (b *ResponseBuffer) Space() []byte {
	if len(b.blocks) > 0 {
		return b.blocks[len(b.blocks)-1][:]
	}
	return b.first
}

// Free gives the blocks back. What Each and Space have passed out must not be used
// afterwards. More calls have no effect.
func (b *ResponseBuffer) Free() {
	for _, block := range b.blocks {
		bufferBlocks.Put(block)
	}
	*b = ResponseBuffer{}
}
