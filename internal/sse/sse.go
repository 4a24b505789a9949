// Package sse splits streams of server-sent events into events without changing
// their bytes. Lines end with LF, CRLF or CR, as the HTML standard defines.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"mime"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// MaxEventBytes is the size in bytes from which on an event is returned in
	// pieces of whole lines. A line of more bytes is an error, because bytes without
	// a line end may have no end at all.
	MaxEventBytes = 256 << 10
	bufferBytes   = 4 << 10
	// initialBytes is the first size in bytes of the buffer of an event, and
	// unreservedBytes the size up to which it grows without asking Reserve. Both have
	// room for one more part beyond a power of two.
	initialBytes    = 8<<10 + bufferBytes
	unreservedBytes = 16<<10 + bufferBytes
	// maxFieldBytes is how much of a line is kept, in bytes, to find its field.
	maxFieldBytes = 1 << 10
)

// ErrLineTooLong means that a line has more than MaxEventBytes.
var ErrLineTooLong = errors.New("a line of the event stream exceeds the bound")

// Piece is an event with the blank line that ends it, or a part of a long event.
type Piece struct {
	// Raw is valid until the next call of Next.
	Raw []byte
	// ID is the id of the event, "" if it has none or if it was not read yet.
	ID string
	// More is set if the event continues with the next piece.
	More bool
	// Comment is set for comments and blank lines that belong to no event.
	Comment bool
}

// Reader reads the events of one stream.
type Reader struct {
	// Reserve is asked for the memory of long events, n bytes more each time. If it
	// returns false, the event is returned in pieces, which may end inside a line.
	// What was reserved stays in use as long as the Reader. Optional.
	Reserve func(n int) bool

	r *bufio.Reader
	// raw is the buffer of the pieces. While a piece is read, it has room for one
	// more part.
	raw []byte
	// line is the start of the line being read, lineBytes the size of all that was
	// read of it.
	line      []byte
	lineBytes int
	// inEvent is set after the first field of an event.
	inEvent bool
	id      string
	// bareCR is set once a line has ended with CR alone; skipLF if an LF that
	// follows belongs to that line.
	bareCR, skipLF bool
}

// NewReader returns a Reader of the stream r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferBytes)}
}

// Next returns the next event, or the next piece of an event of at least
// MaxEventBytes, or of one for which Reserve gave no memory. io.EOF means that the
// stream ended between two events; it comes with the comments after the last one.
// Any other error comes without bytes: io.ErrUnexpectedEOF if the stream ended inside
// an event, or that of the underlying reader, or ErrLineTooLong.
func (r *Reader) Next() (Piece, error) {
	if r.raw == nil {
		r.raw = make([]byte, 0, initialBytes)
	}
	p := Piece{Raw: r.raw[:0]}
	for {
		part, ended, err := r.readPart()
		if err != nil {
			return r.end(p, err)
		}
		p.Raw = append(p.Raw, part...)
		if r.lineBytes += len(part); r.lineBytes > MaxEventBytes {
			return Piece{}, ErrLineTooLong
		}
		if !ended {
			if !r.makeRoom(&p) {
				p.ID, p.More = r.id, true
				return p, nil
			}
			continue
		}
		r.lineBytes = 0
		if r.endLine() {
			p.ID, p.Comment = r.id, !r.inEvent
			r.id, r.inEvent = "", false
			return p, nil
		}
		if len(p.Raw) >= MaxEventBytes || !r.makeRoom(&p) {
			p.ID, p.More = r.id, true
			return p, nil
		}
	}
}

// makeRoom grows the buffer of p unless there is room for one more part. It reports
// false if there is no memory for that.
func (r *Reader) makeRoom(p *Piece) bool {
	size := cap(p.Raw)
	if size-len(p.Raw) >= bufferBytes {
		return true
	}
	growth := size - bufferBytes
	if r.Reserve != nil && size+growth > unreservedBytes && !r.Reserve(growth) {
		return false
	}
	r.raw = make([]byte, 0, size+growth)
	p.Raw = append(r.raw, p.Raw...)
	return true
}

func (r *Reader) end(p Piece, err error) (Piece, error) {
	switch {
	case err != io.EOF:
		return Piece{}, err
	case r.inEvent || len(r.line) > 0:
		return Piece{}, io.ErrUnexpectedEOF
	}
	return Piece{Raw: p.Raw, Comment: true}, io.EOF
}

// endLine processes the line in r.line and reports whether it is blank.
func (r *Reader) endLine() (blank bool) {
	line := r.line
	r.line = r.line[:0]
	if len(line) == 0 {
		return true
	}
	r.inEvent = r.inEvent || line[0] != ':'
	if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		r.id = string(bytes.TrimSpace(value))
	}
	return false
}

// readPart returns the next bytes of the stream, up to the end of a line at most;
// ended reports whether they end one. The bytes are valid until the next call.
func (r *Reader) readPart() (part []byte, ended bool, err error) {
	if _, err := r.r.Peek(1); err != nil {
		return nil, false, err
	}
	buf, _ := r.r.Peek(r.r.Buffered()) // cannot fail
	text, size := buf, len(buf)
	switch i := bytes.IndexAny(buf, "\r\n"); {
	case i == 0 && buf[0] == '\n' && r.skipLF:
		text, size = nil, 1
	case i >= 0 && buf[i] == '\n':
		text, size, ended = buf[:i], i+1, true
	case i >= 0 && i+1 < len(buf):
		text, size, ended = buf[:i], i+1, true
		if buf[i+1] == '\n' {
			size++
		} else {
			r.bareCR = true
		}
	case i > 0:
		text, size = buf[:i], i
	case i == 0 && !r.bareCR:
		// Only the next byte tells whether the line ends with CR or CRLF.
		if _, err := r.r.Peek(2); err == io.EOF {
			return nil, false, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, false, err
		}
		return r.readPart()
	case i == 0:
		text, size, ended = nil, 1, true
	}
	r.skipLF = ended && buf[size-1] == '\r'
	r.line = append(r.line, text[:min(len(text), maxFieldBytes-len(r.line))]...)
	_, _ = r.r.Discard(size) // the bytes are buffered
	return buf[:size], ended, nil
}

// IsStream reports whether the headers are those of a stream of events.
func IsStream(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return t == "text/event-stream" && (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter))
}

// Data returns the data of an event: the values of its data fields, joined with LF.
func Data(raw []byte) []byte {
	var data []byte
	first := true
	for line := range bytes.FieldsFuncSeq(raw, func(c rune) bool { return c == '\r' || c == '\n' }) {
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if !first {
			data = append(data, '\n')
		}
		first = false
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	return data
}
