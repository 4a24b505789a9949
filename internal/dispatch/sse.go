package dispatch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one server-sent event in bytes.
const maxEventBytes = 256 << 10

var (
	errEventTooLarge = errors.New("a server-sent event exceeds the bound")
	doneData         = []byte("[DONE]")
)

// sseEvent is one complete event.
type sseEvent struct {
	raw  []byte // with the blank line that ends it
	data []byte
}

// sseReader reads complete events. A partial event at the end of the input is
// reported as io.ErrUnexpectedEOF and never returned.
type sseReader struct {
	r *bufio.Reader
	// cleanEOF is set if the input ended as its transport prescribes.
	cleanEOF bool
}

func newSSEReader(r io.Reader) *sseReader { return &sseReader{r: bufio.NewReader(r)} }

func (s *sseReader) next() (sseEvent, error) {
	var ev sseEvent
	for {
		line, err := s.readLine(maxEventBytes - len(ev.raw))
		if err != nil {
			s.cleanEOF = err == io.EOF
			if err == io.EOF && (len(line) > 0 || len(ev.raw) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return sseEvent{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(ev.data) == 0 {
				ev.raw = nil // comments and blank lines only
				continue
			}
			ev.raw = append(ev.raw, '\n')
			return ev, nil
		}
		ev.raw = append(append(ev.raw, text...), '\n')
		if value, ok := bytes.CutPrefix(text, []byte("data:")); ok {
			if len(ev.data) > 0 {
				ev.data = append(ev.data, '\n')
			}
			ev.data = append(ev.data, bytes.TrimPrefix(value, []byte(" "))...)
		}
	}
}

func (s *sseReader) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		fragment, err := s.r.ReadSlice('\n')
		if len(line)+len(fragment) > limit {
			return nil, errEventTooLarge
		}
		line = append(line, fragment...)
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}

// usage is the token count that an engine reports at the end of a response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// chunk is what the gateway needs from one event of an engine's stream.
type chunk struct {
	hasOutput bool
	finished  bool
	usage     *usage
	failed    bool // the engine reported an error
}

func parseChunk(data []byte) (chunk, error) {
	var f struct {
		Error   json.RawMessage `json:"error"`
		Usage   *usage          `json:"usage"`
		Choices []struct {
			Text         string  `json:"text"`
			FinishReason *string `json:"finish_reason"`
			Delta        struct {
				Content   string            `json:"content"`
				Reasoning string            `json:"reasoning_content"`
				Refusal   string            `json:"refusal"`
				ToolCalls []json.RawMessage `json:"tool_calls"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return chunk{}, errors.Wrap(err, "an event of the engine is not JSON")
	}
	c := chunk{usage: f.Usage, failed: len(f.Error) > 0 && string(f.Error) != "null"}
	for _, ch := range f.Choices {
		d := ch.Delta
		c.hasOutput = c.hasOutput || ch.Text != "" || d.Content != "" || d.Reasoning != "" || d.Refusal != "" || len(d.ToolCalls) > 0
		c.finished = c.finished || ch.FinishReason != nil
	}
	return c, nil
}

// responseUsage returns the usage of a whole response, or nil if it has none and
// is therefore incomplete.
func responseUsage(body []byte) *usage {
	var f struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(body, &f) != nil {
		return nil
	}
	return f.Usage
}
