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

// defaultMaxTokens applies to a request without max_tokens.
const defaultMaxTokens = 16

// maxPrompt bounds the body of a request.
const maxPrompt = 16 << 20

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the part of an OpenAI-style request that is used.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Text returns the prompt text: the contents of all messages, joined by newlines.
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

// Usage counts tokens; completion_tokens includes resumed ones.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is the only element of choices in an answer or event.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is a part of a chat answer.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Completion is a whole answer or one event of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Content returns the text of an answer or event.
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

// job is one request on an engine.
type job struct {
	req     CompletionRequest
	kind    string
	id      string
	run     *Run
	prompt  int
	tokens  []string
	resumed int
	// end is closed when the connection closes or the run time is over.
	end <-chan struct{}
}

func (e *Engine) serveCompletion(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPrompt))
		if err != nil {
			return // the body did not arrive; nothing ran
		}
		j := &job{kind: kind, id: r.Header.Get("X-Request-Id")}
		if err := json.Unmarshal(raw, &j.req); err != nil {
			notRun(w, http.StatusBadRequest, err.Error())
			return
		}
		if f, _ := e.ctl.Get(); f.Refuse || !e.hasModel(j.req.Model) {
			notRun(w, http.StatusServiceUnavailable, "refused")
			return
		}
		text := j.req.Text()
		j.run = e.rec.Begin(kind, r, text)
		outcome := Cancelled
		defer func() { e.rec.End(j.run, outcome) }()
		if ok, o := e.ctl.before(w, r, text); !ok {
			outcome = o
			return
		}
		outcome = e.execute(w, r, j, text)
		if outcome == Cancelled && j.req.Stream {
			e.rec.End(j.run, outcome)
			panic(http.ErrAbortHandler) // the answer must not look complete
		}
	}
}

func notRun(w http.ResponseWriter, status int, message string) {
	w.Header().Set("X-Not-Run", "true")
	http.Error(w, message, status)
}

func (e *Engine) execute(w http.ResponseWriter, r *http.Request, j *job, text string) string {
	ctx := r.Context()
	j.end = ctx.Done()
	if ms, _ := strconv.ParseInt(r.Header.Get("X-Run-Timeout-Ms"), 10, 64); ms > 0 {
		end := make(chan struct{})
		t := time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { close(end) })
		defer t.Stop()
		merged := make(chan struct{})
		go func() {
			defer close(merged)
			select {
			case <-end:
			case <-ctx.Done(): // also after the handler returned
			}
		}()
		j.end = merged
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	if !e.slots.take(j.end, priority) {
		return e.stopped(w, r, false)
	}
	defer e.slots.release()
	limit := j.req.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	j.tokens, j.prompt = Answer(text, limit), Tokens(text)
	j.resumed, _ = strconv.Atoi(r.Header.Get("X-Resume-Tokens"))
	j.resumed = max(0, min(j.resumed, len(j.tokens)))
	hashes := PrefixHashes(text)
	cached := e.cache.cached(hashes)
	e.rec.Update(j.run, func(run *Run) {
		run.PromptTokens, run.CachedTokens, run.ResumedFrom = j.prompt, cached, j.resumed
	})
	if !e.ctl.wait(j.end, time.Duration(j.prompt+j.resumed-cached)*e.opt.PrefillPerToken) {
		return e.stopped(w, r, false)
	}
	e.cache.store(hashes)
	if j.req.Stream {
		return e.stream(w, r, j)
	}
	if !e.ctl.wait(j.end, time.Duration(len(j.tokens))*e.opt.OutputPerToken) {
		return e.stopped(w, r, false)
	}
	e.rec.Update(j.run, func(run *Run) { run.OutputTokens = len(j.tokens) })
	answer := j.event(strings.Join(j.tokens, ""), true, true)
	e.rec.End(j.run, Done)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
	return Done
}

// stopped answers a request whose run time is over; a closed connection needs
// no answer.
func (e *Engine) stopped(w http.ResponseWriter, r *http.Request, streaming bool) string {
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

// stream sends one event per output token, then one with the usage.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job) string {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := j.resumed; i < len(j.tokens); i++ {
		f, changed := e.ctl.Get()
		if f.Hang {
			select {
			case <-changed:
			case <-j.end:
			}
		}
		if f.CutAfter > 0 && i-j.resumed >= f.CutAfter {
			return Cancelled
		}
		if !e.ctl.wait(j.end, e.opt.OutputPerToken) {
			return e.stopped(w, r, true)
		}
		e.rec.Update(j.run, func(run *Run) { run.OutputTokens++ })
		writeEvent(w, j.event(j.tokens[i], false, false))
		if flusher.Flush() != nil {
			return Cancelled
		}
	}
	writeEvent(w, j.event("", true, false))
	e.rec.End(j.run, Done)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	return Done
}

func writeEvent(w io.Writer, c Completion) {
	body, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
}

func (j *job) event(text string, last, whole bool) Completion {
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
		c.Usage = &Usage{PromptTokens: j.prompt, CompletionTokens: len(j.tokens), TotalTokens: j.prompt + len(j.tokens)}
	}
	return c
}
