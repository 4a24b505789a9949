package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// await waits for a state that another goroutine brings about.
func await(t testing.TB, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(safety); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the expected state was not reached")
		}
	}
}

// recv receives from a channel that another goroutine feeds.
func recv[T any](t *testing.T, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(safety):
		t.Fatal("nothing was received")
		panic("unreachable")
	}
}

// reply is an answer as the caller saw it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// fault returns the error of a JSON body or of a terminal event.
func (r reply) fault() (code result.Code, ran string) {
	text := r.body
	if i := strings.Index(text, "event: error\ndata: "); i >= 0 {
		text = strings.TrimSpace(text[i+len("event: error\ndata: "):])
	}
	var f struct {
		Error struct {
			Code int    `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(text), &f)
	return result.Code(f.Error.Code), f.Error.Ran
}

func (n *node) do(method, path, body string, headers ...string) reply {
	resp, err := n.start(context.Background(), method, path, body, headers...)
	if err != nil {
		return reply{err: err}
	}
	return rest(resp)
}

// rest reads the answer to its end.
func rest(resp *http.Response) reply {
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b), err}
}

// start sends a request on a connection of its own and returns the head.
func (n *node) start(ctx context.Context, method, path, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, n.url+path, strings.NewReader(body))
	check(n.w.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return (&http.Transport{DisableCompression: true, DisableKeepAlives: true}).RoundTrip(req)
}

// firstToken starts a stream and reads its first event.
func (n *node) firstToken(ctx context.Context) *http.Response {
	n.w.t.Helper()
	resp, err := n.start(ctx, "POST", "/v1/chat/completions", chat(true))
	check(n.w.t, err)
	got := make([]byte, len(token(0)))
	_, err = io.ReadFull(resp.Body, got)
	check(n.w.t, err)
	if string(got) != token(0) {
		n.w.t.Fatalf("the first event is %q", got)
	}
	return resp
}

func chat(stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":10,"messages":[{"role":"user","content":"eight ch"}]}`, model, stream)
}

func (n *node) chat(stream bool) reply { return n.do("POST", "/v1/chat/completions", chat(stream)) }

// text joins the output of a stream's events.
func (r reply) text() string {
	var b strings.Builder
	sc := bufio.NewScanner(strings.NewReader(r.body))
	for sc.Scan() {
		var f struct {
			Choices []struct {
				Delta struct{ Content string } `json:"delta"`
			} `json:"choices"`
		}
		if data, ok := strings.CutPrefix(sc.Text(), "data: "); ok && json.Unmarshal([]byte(data), &f) == nil && len(f.Choices) > 0 {
			b.WriteString(f.Choices[0].Delta.Content)
		}
	}
	return b.String()
}

// Parts of an engine's stream.
func token(i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d \"}}]}\n\n", i)
}

func ending(completion int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":2,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", completion)
}

func stream(w http.ResponseWriter, parts ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, p := range parts {
		_, _ = io.WriteString(w, p)
		w.(http.Flusher).Flush()
	}
}

// crash ends the connection without an end of the answer.
func crash() { panic(http.ErrAbortHandler) }
