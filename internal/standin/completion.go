package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// defaultMaxTokens is used for a request without max_tokens.
const defaultMaxTokens = 16

// maxRequestBytes bounds the body of a completion request.
const maxRequestBytes = 16 << 20

// Message is one message of a chat request or response.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest holds the fields that an engine uses of an OpenAI-style
// completion request.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Text returns the prompt: the contents of all messages joined by newlines, or
// Prompt if there are no messages.
func (c *CompletionRequest) Text() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	parts := make([]string, len(c.Messages))
	for i, m := range c.Messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, "\n")
}

// Usage counts tokens. CompletionTokens includes the tokens that an earlier
// attempt of a resumed stream delivered.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is the only element of choices in a response or stream event.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the text that one stream event adds to a chat response.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Completion is a whole response or one event of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Content returns the text of the response or event.
func (c *Completion) Content() string {
	if len(c.Choices) == 0 {
		return ""
	}
	switch ch := c.Choices[0]; {
	case ch.Message != nil:
		return ch.Message.Content
	case ch.Delta != nil:
		return ch.Delta.Content
	default:
		return ch.Text
	}
}

// completionRun is the state of one completion request on an engine.
type completionRun struct {
	req          CompletionRequest
	kind         string
	id           string
	record       *Run
	promptTokens int
	output       []string
	resumeFrom   int
	// done is closed when the connection closes or X-Run-Timeout-Ms has elapsed.
	done <-chan struct{}
}

func (e *Engine) serveCompletion(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			return // incomplete body: not run
		}
		j := &completionRun{kind: kind, id: r.Header.Get("X-Request-Id")}
		if err := json.Unmarshal(raw, &j.req); err != nil {
			rejectNotRun(w, http.StatusBadRequest, err.Error())
			return
		}
		if f, _ := e.faults.Get(); f.Refuse || !e.hasModel(j.req.Model) {
			rejectNotRun(w, http.StatusServiceUnavailable, "refused")
			return
		}
		text := j.req.Text()
		j.record = e.rec.Begin(kind, r, text)
		outcome := Cancelled
		defer func() { e.rec.End(j.record, outcome) }()
		if ok, o := e.faults.applyAtStart(w, r, text); !ok {
			outcome = o
			return
		}
		outcome = e.execute(w, r, j, text)
		if outcome == Cancelled && j.req.Stream {
			e.rec.End(j.record, outcome)
			panic(http.ErrAbortHandler) // without the abort, the stream would end as if it were complete
		}
	}
}

func rejectNotRun(w http.ResponseWriter, status int, message string) {
	w.Header().Set("X-Not-Run", "true")
	http.Error(w, message, status)
}

func (e *Engine) execute(w http.ResponseWriter, r *http.Request, j *completionRun, text string) string {
	ctx := r.Context()
	j.done = ctx.Done()
	if ms, _ := strconv.ParseInt(r.Header.Get("X-Run-Timeout-Ms"), 10, 64); ms > 0 {
		timeout := make(chan struct{})
		t := time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { close(timeout) })
		defer t.Stop()
		merged := make(chan struct{})
		go func() {
			defer close(merged)
			select {
			case <-timeout:
			case <-ctx.Done(): // also closed when the handler returns
			}
		}()
		j.done = merged
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	if !e.slots.acquire(j.done, priority) {
		return e.endEarly(w, r, false)
	}
	defer e.slots.release()
	maxTokens := j.req.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	j.output, j.promptTokens = GenerateTokens(text, maxTokens), CountTokens(text)
	j.resumeFrom, _ = strconv.Atoi(r.Header.Get("X-Resume-Tokens"))
	j.resumeFrom = max(0, min(j.resumeFrom, len(j.output)))
	hashes := PrefixHashes(text)
	cached := e.cache.cachedTokens(hashes)
	e.rec.UpdateRun(j.record, func(run *Run) {
		run.PromptTokens, run.CachedTokens, run.ResumedFrom = j.promptTokens, cached, j.resumeFrom
	})
	if !e.faults.sleep(j.done, time.Duration(j.promptTokens+j.resumeFrom-cached)*e.opt.PrefillPerToken) {
		return e.endEarly(w, r, false)
	}
	e.cache.store(hashes)
	if j.req.Stream {
		return e.stream(w, r, j)
	}
	if !e.faults.sleep(j.done, time.Duration(len(j.output))*e.opt.OutputPerToken) {
		return e.endEarly(w, r, false)
	}
	e.rec.UpdateRun(j.record, func(run *Run) { run.OutputTokens = len(j.output) })
	completion := j.response(strings.Join(j.output, ""), true, true)
	e.rec.End(j.record, Done)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion)
	return Done
}

// endEarly reports the run timeout to the caller and returns the outcome of the
// run. It writes nothing if the connection was closed.
func (e *Engine) endEarly(w http.ResponseWriter, r *http.Request, streaming bool) string {
	if r.Context().Err() != nil {
		return Cancelled
	}
	if streaming {
		_, _ = io.WriteString(w, "data: {\"error\":{\"message\":\"run time is over\"}}\n\n")
		return TimedOut
	}
	http.Error(w, `{"error":{"message":"run time is over"}}`, http.StatusGatewayTimeout)
	return TimedOut
}

// stream sends one event per output token, then one with the usage, and returns
// the outcome of the run.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *completionRun) string {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := j.resumeFrom; i < len(j.output); i++ {
		f, changed := e.faults.Get()
		if f.Hang {
			select {
			case <-changed:
			case <-j.done:
			}
		}
		if f.CutAfter > 0 && i-j.resumeFrom >= f.CutAfter {
			return Cancelled
		}
		if !e.faults.sleep(j.done, e.opt.OutputPerToken) {
			return e.endEarly(w, r, true)
		}
		e.rec.UpdateRun(j.record, func(run *Run) { run.OutputTokens++ })
		writeEvent(w, j.response(j.output[i], false, false))
		if flusher.Flush() != nil {
			return Cancelled
		}
	}
	writeEvent(w, j.response("", true, false))
	e.rec.End(j.record, Done)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	return Done
}

func writeEvent(w io.Writer, c Completion) {
	body, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
}

func (j *completionRun) response(text string, last, whole bool) Completion {
	ch := Choice{Text: text}
	object := "text_completion"
	if j.kind == "chat" {
		ch.Text, object = "", "chat.completion.chunk"
		if whole {
			ch.Message, object = &Message{Role: "assistant", Content: text}, "chat.completion"
		} else {
			ch.Delta = &Delta{Content: text}
		}
	}
	c := Completion{ID: "cmpl-" + j.id, Object: object, Model: j.req.Model, Choices: []Choice{ch}}
	if last {
		reason := "stop"
		c.Choices[0].FinishReason = &reason
		c.Usage = &Usage{PromptTokens: j.promptTokens, CompletionTokens: len(j.output), TotalTokens: j.promptTokens + len(j.output)}
	}
	return c
}
