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
	// maxPrefixHashes bounds the prefix hashes of one prompt.
	maxPrefixHashes = 4096
)

// CompletionRequest is the parsed body of a request to an engine.
type CompletionRequest struct {
	Model        string
	Stream       bool
	SingleChoice bool // exactly one choice
	Prompt       string
	PromptParts  []string // messages or prompts without the last
	MaxTokens    int      // max_tokens of the caller; 0 if not given
	fields       map[string]json.RawMessage
}

// ParseCompletion parses a body in the format of the OpenAI API. Errors have code
// BadRequest and say "not run".
func ParseCompletion(body []byte) (*CompletionRequest, error) {
	badRequest := func(what string) error { return result.New(result.BadRequest, result.NotRun, "%s", what) }
	c := &CompletionRequest{SingleChoice: true}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, badRequest("the body is not a JSON object")
	}
	var f struct {
		Model               string          `json:"model"`
		Stream              bool            `json:"stream"`
		N                   *int            `json:"n"`
		MaxTokens           *int            `json:"max_tokens"`
		MaxCompletionTokens *int            `json:"max_completion_tokens"`
		Messages            json.RawMessage `json:"messages"`
		Prompt              json.RawMessage `json:"prompt"`
	}
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, badRequest("a field of the body has the wrong type")
	}
	for _, limit := range []*int{f.MaxTokens, f.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return nil, badRequest("max_tokens is below 1")
		}
		if c.MaxTokens == 0 || *limit < c.MaxTokens {
			c.MaxTokens = *limit
		}
	}
	if f.N != nil && *f.N < 1 {
		return nil, badRequest("n is below 1")
	}
	c.Model, c.Stream, c.SingleChoice = f.Model, f.Stream, f.N == nil || *f.N == 1
	texts := promptTexts(f.Messages, f.Prompt)
	c.Prompt, c.PromptParts = strings.Join(texts, "\n"), texts[:max(len(texts)-1, 0)]
	return c, nil
}

// choices returns the number of choices requested; each may use MaxTokens.
func (c *CompletionRequest) choices() int {
	n := 1
	if raw, ok := c.fields["n"]; ok {
		_ = json.Unmarshal(raw, &n)
	}
	return max(n, 1)
}

// promptTexts returns the texts that make up the prompt.
func promptTexts(messages, prompt json.RawMessage) (texts []string) {
	var chat []struct {
		Content json.RawMessage `json:"content"`
	}
	if json.Unmarshal(messages, &chat) == nil {
		for _, m := range chat {
			texts = append(texts, contentText(m.Content))
		}
	}
	if len(prompt) > 0 {
		var prompts []string
		if json.Unmarshal(prompt, &prompts) == nil {
			texts = append(texts, prompts...)
		} else {
			texts = append(texts, contentText(prompt))
		}
	}
	return texts
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
		// Content in an unknown format is still counted by its length.
		return string(raw)
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

// CountTokens estimates the tokens of a text: 4 characters each, rounded up.
func CountTokens(text string) int {
	return (utf8.RuneCountInString(text) + charsPerToken - 1) / charsPerToken
}

// PrefixHashes hashes the complete blocks of a prompt, shortest prefix first.
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
		if out = append(out, d.Sum64()); len(out) == maxPrefixHashes {
			break
		}
		chars, start = 0, end
	}
	return out
}

// SetCompletion sets the fields of the call that depend on its body, and rewrites
// the body: the output limit becomes max_tokens, and usage is always requested,
// because a response without usage cannot be distinguished from a truncated one.
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
	c.PromptParts = p.PromptParts
	c.PrefixHashes, c.PromptTokens, c.OutputTokens = PrefixHashes(p.Prompt), CountTokens(p.Prompt), limit*p.choices()
	return nil
}
