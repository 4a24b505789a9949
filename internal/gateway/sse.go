package gateway

import (
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/sse"
)

var errUnknownPosition = errors.New("the id of an event could not be read, so it is not known whether the caller has received it")

// eventReader reads the events of a stream that the caller has not received yet.
type eventReader struct {
	*sse.Reader
	// lastDelivered is the id of the last event that the caller has received, or -1;
	// events up to it are skipped.
	lastDelivered int64
	// inEvent is set if the next piece continues an event, skipping if that event is
	// skipped.
	inEvent, skipping bool
	// sawEvent is set once the response has had an event, also one that is skipped.
	sawEvent bool
	// sawID is set once the response has had an event with an id. What comes before
	// it in a resumed response may be no part of the stream, such as an error.
	sawID bool
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{Reader: sse.NewReader(r), lastDelivered: -1}
}

// skipThrough makes next skip the events up to and including the one with the given
// id. An id that is not a number has no effect.
func (e *eventReader) skipThrough(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		e.lastDelivered = n
	}
}

// next returns the next event or piece of one that is not skipped; see
// sse.Reader.Next.
func (e *eventReader) next() (sse.Piece, error) {
	for {
		p, err := e.Next()
		if err != nil {
			return p, err
		}
		if !e.inEvent {
			if p.ID == "" && (p.More || !p.Comment && !e.sawID) && e.lastDelivered >= 0 {
				return sse.Piece{}, errUnknownPosition
			}
			e.sawID = e.sawID || p.ID != ""
			e.skipping = e.alreadyDelivered(p.ID)
		}
		e.inEvent = p.More
		e.sawEvent = e.sawEvent || !p.Comment
		if !e.skipping {
			return p, nil
		}
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
