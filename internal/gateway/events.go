package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// eventReader cuts a stream of server-sent events into whole events.
type eventReader struct {
	r *bufio.Reader
	// skip is the last event that the caller has; events up to it are dropped.
	skip int64
}

const (
	eventBuffer = 4 << 10
	// maxEvent bounds one event, in bytes; a longer one is passed on in pieces.
	maxEvent = 256 << 10
)

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBuffer), skip: -1}
}

// skipTo drops the events up to the one with the given id.
func (e *eventReader) skipTo(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		e.skip = n
	}
}

// next returns the bytes of the next event with the blank line that ends it,
// and its id, "" if it has none. At a regular end it returns the rest with
// io.EOF; after any other error there is no rest.
func (e *eventReader) next() (event []byte, id string, err error) {
	for {
		line, err := e.r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF:
			return event, id, io.EOF
		case err != nil:
			return nil, "", err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(text) > 0 && len(event) < maxEvent {
			continue
		}
		if e.known(id) {
			event, id = nil, ""
			continue
		}
		return event, id, nil
	}
}

// known reports whether the caller has the event already.
func (e *eventReader) known(id string) bool {
	if e.skip < 0 || id == "" {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err == nil && n <= e.skip
}
