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

// await polls until ok returns true.
func await(t testing.TB, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the expected state was not reached")
		}
	}
}

// recv receives from ch and fails the test if nothing arrives in time.
func recv[T any](t *testing.T, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing was received")
		panic("unreachable")
	}
}

// reply is a response as the caller received it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// errorCode returns the code of the error in a JSON body or in the error event
// of a stream, and whether the request may have run.
func (r reply) errorCode() (code result.Code, ran string) {
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

func (n *testInstance) do(method, path, body string, headers ...string) reply {
	resp, err := n.send(context.Background(), method, path, body, headers...)
	if err != nil {
		return reply{err: err}
	}
	return readResponse(resp)
}

// readResponse reads the response to its end.
func readResponse(resp *http.Response) reply {
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b), err}
}

// send sends a request on a connection of its own and returns the response with
// its body unread.
func (n *testInstance) send(ctx context.Context, method, path, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, n.url+path, strings.NewReader(body))
	check(n.cluster.t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return (&http.Transport{DisableCompression: true, DisableKeepAlives: true}).RoundTrip(req)
}

// startStream starts a stream and reads its first event.
func (n *testInstance) startStream(ctx context.Context) *http.Response {
	n.cluster.t.Helper()
	resp, err := n.send(ctx, "POST", "/v1/chat/completions", chatBody(true))
	check(n.cluster.t, err)
	got := make([]byte, len(tokenEvent(0)))
	_, err = io.ReadFull(resp.Body, got)
	check(n.cluster.t, err)
	if string(got) != tokenEvent(0) {
		n.cluster.t.Fatalf("the first event is %q", got)
	}
	return resp
}

func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":10,"messages":[{"role":"user","content":"eight ch"}]}`, model, stream)
}

func (n *testInstance) sendChat(stream bool) reply {
	return n.do("POST", "/v1/chat/completions", chatBody(stream))
}

// text returns the concatenated output text of a stream's events.
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

// tokenEvent returns the event of an engine's stream with the i-th token.
func tokenEvent(i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d \"}}]}\n\n", i)
}

// finalEvents returns the end of an engine's stream: the finish reason, the usage
// and the end marker.
func finalEvents(completion int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":2,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", completion)
}

func writeEvents(w http.ResponseWriter, events ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, p := range events {
		_, _ = io.WriteString(w, p)
		w.(http.Flusher).Flush()
	}
}

// abortConnection makes an HTTP handler close the connection before the end of
// the response, as a crashing target does.
func abortConnection() { panic(http.ErrAbortHandler) }
