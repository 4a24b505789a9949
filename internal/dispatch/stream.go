package dispatch

import (
	"bytes"
	"context"
	"io"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// deliverStream passes on the events of an engine. Events without output (the
// finish reason, the usage) wait for the next output or for the end marker: if
// the engine is lost before it, the engine that resumes sends them again.
func (r *run) deliverStream(ctx context.Context, a *answer) error {
	in := newSSEReader(a.body)
	resumedAt := r.delivered
	var waiting [][]byte
	var reported *usage
	for {
		ev, err := in.next()
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			f := fault(result.TargetFailed, true, "the stream of the target ended early", err)
			f.crash, err = !in.ended, f
		}
		if err != nil {
			return readFault(ctx, err)
		}
		if bytes.Equal(ev.data, doneData) {
			if reported == nil {
				return fault(result.TargetFailed, true, "the stream ended without usage", nil)
			}
			return r.endStream(a, waiting, ev.raw, reported, resumedAt)
		}
		c, err := parseChunk(ev.data)
		if err != nil {
			return fault(result.TargetFailed, true, "the stream of the target is damaged", err)
		}
		if c.failed {
			return fault(result.TargetFailed, true, "the engine reported an error in its stream", nil)
		}
		if c.usage != nil {
			reported = c.usage
		}
		if !c.content {
			// The opening event of a resumed stream repeats the role, and its
			// end a finish reason that may have come with the last output.
			if resumedAt == 0 || c.usage != nil || c.finished && !r.finished {
				waiting = append(waiting, ev.raw)
			}
			if len(waiting) > maxWaiting {
				return fault(result.TargetFailed, true, "the stream has too many events without output", nil)
			}
			continue
		}
		if err := r.sendEvents(a, append(waiting, ev.raw)); err != nil {
			return err
		}
		waiting = nil
		r.delivered++
		r.finished = r.finished || c.finished
		r.fruitless = 0
	}
}

// maxWaiting bounds the events that wait for output.
const maxWaiting = 16

// endStream checks that the parts of a resumed stream add up before it passes
// on the end: an engine that counts tokens otherwise would have doubled or left
// out text, and the caller must not take that for the whole answer.
func (r *run) endStream(a *answer, waiting [][]byte, done []byte, u *usage, resumedAt int) error {
	if resumedAt > 0 && u.CompletionTokens != r.delivered && u.CompletionTokens != r.delivered-resumedAt {
		f := fault(result.StreamInterrupted, true, "the resumed stream does not fit the part delivered before", nil)
		f.final = true
		return f
	}
	r.usage = u
	if err := r.sendEvents(a, append(waiting, done)); err != nil {
		return err
	}
	if f, ok := a.body.(*frameReader); ok {
		// The answer is complete. Ending the call before its tail would cancel
		// the other instance while it settles the request.
		_, _ = f.Read(make([]byte, 1))
	}
	return nil
}

func (r *run) sendEvents(a *answer, events [][]byte) error {
	if err := r.sendHead(a, -1); err != nil {
		return err
	}
	return r.sendData(bytes.Join(events, nil))
}
