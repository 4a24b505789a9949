package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// eventReader splits a stream of server-sent events into whole events.
type eventReader struct {
	r *bufio.Reader
	// lastDelivered is the id of the last event that the caller has received, or -1;
	// events up to it are skipped.
	lastDelivered int64
}

const (
	eventBufferSize = 4 << 10
	// maxEventBytes bounds one event, in bytes; a longer one is returned in pieces of
	// whole lines.
	maxEventBytes = 256 << 10
)

var errLineTooLong = errors.New("a line of the event stream exceeds the bound")

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferSize), lastDelivered: -1}
}

// skipThrough makes next skip the events up to and including the one with the given
// id. An id that is not a number has no effect.
func (e *eventReader) skipThrough(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		e.lastDelivered = n
	}
}

// next returns the bytes of the next event with the blank line that ends it,
// and its id, "" if it has none. io.EOF means that the stream ended between two
// events; it comes with the comments after the last one. Any other error comes
// without bytes: io.ErrUnexpectedEOF if the stream ended inside an event, and an
// error for a line of more than maxEventBytes.
func (e *eventReader) next() (event []byte, id string, err error) {
	begun := false
	for {
		line, err := e.r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull && len(event) > maxEventBytes:
			return nil, "", errLineTooLong
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && (begun || len(line) > 0):
			return nil, "", io.ErrUnexpectedEOF
		case err == io.EOF:
			return event, "", io.EOF
		case err != nil:
			return nil, "", err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		begun = begun || len(text) > 0 && text[0] != ':'
		if len(text) > 0 && len(event) < maxEventBytes {
			continue
		}
		if e.alreadyDelivered(id) {
			event, id = nil, ""
			continue
		}
		return event, id, nil
	}
}

// alreadyDelivered reports whether the caller has received the event with this id.
func (e *eventReader) alreadyDelivered(id string) bool {
	if e.lastDelivered < 0 || id == "" {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err == nil && n <= e.lastDelivered
}
