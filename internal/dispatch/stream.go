package dispatch

import (
	"bytes"
	"context"
	"io"

	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/sse"
)

// deliverStream passes on the events of an engine. Events without output (the
// finish reason, the usage) are held until the next output or the end marker: if
// the engine is lost before that, the engine that resumes sends them again.
func (r *run) deliverStream(ctx context.Context, resp *attemptResponse) error {
	events, release := r.newEventReader(resp)
	defer release()
	resumedAt := r.deliveredTokens
	var pending [][]byte
	pendingBytes := 0
	var reported *usage
	for {
		ev, err := nextEvent(events)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			attemptErr := newAttemptError(result.TargetFailed, true, "the stream of the target ended early", err)
			// A target that ended the response itself is still running.
			attemptErr.crash, err = err != io.EOF || resp.endsWithConnection, attemptErr
		}
		if err != nil {
			return classifyReadError(ctx, err)
		}
		data := sse.Data(ev.Raw)
		if len(data) == 0 {
			continue
		}
		if bytes.Equal(data, doneData) {
			if reported == nil {
				return newAttemptError(result.TargetFailed, true, "the stream ended without usage", nil)
			}
			return r.endStream(resp, pending, ev.Raw, reported, resumedAt)
		}
		c, err := parseChunk(data)
		if err != nil {
			return newAttemptError(result.TargetFailed, true, "the stream of the target is damaged", err)
		}
		if c.failed {
			return newAttemptError(result.TargetFailed, true, "the engine reported an error in its stream", nil)
		}
		if c.usage != nil {
			reported = c.usage
		}
		if !c.hasOutput {
			// The first event of a resumed stream repeats the role, and its last
			// one a finish reason that may have been sent with the last output.
			if resumedAt == 0 || c.usage != nil || c.finished && !r.finished {
				pending = append(pending, bytes.Clone(ev.Raw))
				pendingBytes += len(ev.Raw)
			}
			if len(pending) > maxPendingEvents || pendingBytes > maxPendingBytes {
				return newAttemptError(result.TargetFailed, true, "the stream has too many events without output", nil)
			}
			continue
		}
		if err := r.sendEvents(resp, append(pending, ev.Raw)); err != nil {
			return err
		}
		pending, pendingBytes = nil, 0
		r.deliveredTokens++
		if r.running != nil && r.deliveredTokens == resumedAt+crash.RespondingEvents {
			r.running.Responding()
		}
		r.finished = r.finished || c.finished
		r.attemptsWithoutProgress = 0
	}
}

// maxPendingEvents and maxPendingBytes bound the events held until the next output.
const (
	maxPendingEvents = 16
	maxPendingBytes  = 64 << 10
)

// endStream checks that the token counts of a resumed stream add up before it
// passes on the end. An engine that counts tokens differently would have repeated
// or skipped text, and the caller must not take that for a complete response.
func (r *run) endStream(resp *attemptResponse, pending [][]byte, done []byte, u *usage, resumedAt int) error {
	if resumedAt > 0 && u.CompletionTokens != r.deliveredTokens && u.CompletionTokens != r.deliveredTokens-resumedAt {
		attemptErr := newAttemptError(result.StreamInterrupted, true, "the resumed stream does not fit the part delivered before", nil)
		attemptErr.final = true
		return attemptErr
	}
	r.usage = u
	if err := r.sendEvents(resp, append(pending, done)); err != nil {
		return err
	}
	if f, ok := resp.body.(*frameReader); ok {
		// The response is complete, but its tail is not read yet. Closing the
		// stream now would cancel the other instance while it settles the request.
		_, _ = f.Read(make([]byte, 1))
	}
	return nil
}

func (r *run) sendEvents(resp *attemptResponse, events [][]byte) error {
	if err := r.sendHead(resp, -1); err != nil {
		return err
	}
	return r.sendData(bytes.Join(events, nil))
}
