package dispatch

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/sse"
)

var (
	errEventTooLarge = errors.New("a server-sent event exceeds the bound")
	doneData         = []byte("[DONE]")
)

// newEventReader returns a reader of the stream in resp whose long events count
// against the memory for responses, and a function that releases it.
func (r *run) newEventReader(resp *attemptResponse) (events *sse.Reader, release func()) {
	memory := r.local.ResponseMemory.NewReservation("")
	events = sse.NewReader(resp.body)
	events.Reserve = memory.Grow
	return events, memory.Close
}

// nextEvent returns the next event of an engine's stream.
func nextEvent(r *sse.Reader) (sse.Piece, error) {
	p, err := r.Next()
	if p.More || errors.Is(err, sse.ErrLineTooLong) {
		return sse.Piece{}, errEventTooLarge
	}
	return p, err
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
