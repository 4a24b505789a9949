package dispatch

import (
	"encoding/json"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	charsPerToken = 4
	blockChars    = 256
	// maxHashes bounds the prefix hashes of one prompt.
	maxHashes = 4096
)

// CompletionRequest is a parsed request body of an engine.
type CompletionRequest struct {
	Model        string
	Stream       bool
	SingleChoice bool // one choice
	Prompt       string
	MaxTokens    int // max_tokens of the caller; 0 for none
	fields       map[string]json.RawMessage
}

// ParseCompletion reads a body in the OpenAI style. Errors have code
// BadRequest, not run.
func ParseCompletion(body []byte) (*CompletionRequest, error) {
	bad := func(what string) error { return result.New(result.BadRequest, result.NotRun, "%s", what) }
	c := &CompletionRequest{SingleChoice: true}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, bad("the body is not a JSON object")
	}
	var f struct {
		Model     string          `json:"model"`
		Stream    bool            `json:"stream"`
		N         *int            `json:"n"`
		MaxTokens *int            `json:"max_tokens"`
		MaxNew    *int            `json:"max_completion_tokens"`
		Messages  json.RawMessage `json:"messages"`
		Prompt    json.RawMessage `json:"prompt"`
	}
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, bad("a field of the body has the wrong type")
	}
	for _, limit := range []*int{f.MaxTokens, f.MaxNew} {
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return nil, bad("max_tokens is below 1")
		}
		if c.MaxTokens == 0 || *limit < c.MaxTokens {
			c.MaxTokens = *limit
		}
	}
	if f.N != nil && *f.N < 1 {
		return nil, bad("n is below 1")
	}
	c.Model, c.Stream, c.SingleChoice = f.Model, f.Stream, f.N == nil || *f.N == 1
	c.Prompt = promptText(f.Messages, f.Prompt)
	return c, nil
}

// choices is the number of answers asked for; each may use the output cap.
func (c *CompletionRequest) choices() int {
	n := 1
	if raw, ok := c.fields["n"]; ok {
		_ = json.Unmarshal(raw, &n)
	}
	return max(n, 1)
}

// promptText joins the texts that make up the prompt with newlines.
func promptText(messages, prompt json.RawMessage) string {
	var texts []string
	var chat []struct {
		Content json.RawMessage `json:"content"`
	}
	if json.Unmarshal(messages, &chat) == nil {
		for _, m := range chat {
			texts = append(texts, contentText(m.Content))
		}
	}
	if len(prompt) > 0 {
		var many []string
		if json.Unmarshal(prompt, &many) == nil {
			texts = append(texts, many...)
		} else {
			texts = append(texts, contentText(prompt))
		}
	}
	return strings.Join(texts, "\n")
}

func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		// Content of an unknown form still costs its length.
		return string(raw)
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

// CountTokens counts 4 characters as one token, rounded up.
func CountTokens(text string) int {
	return (utf8.RuneCountInString(text) + charsPerToken - 1) / charsPerToken
}

// PrefixHashes hashes the whole blocks of a prompt, shortest prefix first.
func PrefixHashes(prompt string) []uint64 {
	var out []uint64
	d := xxhash.New()
	chars, start := 0, 0
	for i, r := range prompt {
		if chars++; chars < blockChars {
			continue
		}
		end := i + utf8.RuneLen(r)
		if r == utf8.RuneError {
			_, n := utf8.DecodeRuneInString(prompt[i:])
			end = i + n
		}
		_, _ = d.WriteString(prompt[start:end])
		if out = append(out, d.Sum64()); len(out) == maxHashes {
			break
		}
		chars, start = 0, end
	}
	return out
}

// SetCompletion fills in what the call needs to know of its body and rewrites the
// body: the output cap becomes max_tokens, and usage is always asked for,
// because an answer without usage cannot be told from a truncated one.
func (c *Call) SetCompletion(p *CompletionRequest, maxOutput int) error {
	limit := p.MaxTokens
	if limit == 0 || (maxOutput > 0 && limit > maxOutput) {
		limit = maxOutput
	}
	if limit < 1 {
		return result.New(result.BadRequest, result.NotRun, "max_tokens is needed for this model")
	}
	fields := make(map[string]json.RawMessage, len(p.fields)+2)
	for name, v := range p.fields {
		fields[name] = v
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"], _ = json.Marshal(limit)
	if p.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return result.New(result.BadRequest, result.NotRun, "the body is not valid JSON").WithCause(err)
	}
	c.Body, c.Stream, c.Resumable = body, p.Stream, p.SingleChoice
	c.PrefixHashes, c.PromptTokens, c.OutputTokens = PrefixHashes(p.Prompt), CountTokens(p.Prompt), limit*p.choices()
	return nil
}
