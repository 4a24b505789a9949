package gateway

import (
	"io"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// messageStream is the response to a forwarded request, the next message first.
type messageStream []*peerv1.ForwardResponse

func (s *messageStream) Receive() bool {
	if len(*s) > 0 {
		*s = (*s)[1:]
	}
	return len(*s) > 0
}
func (s *messageStream) Msg() *peerv1.ForwardResponse { return (*s)[0] }
func (s *messageStream) Err() error                   { return nil }
func (s *messageStream) Close() error                 { return nil }

func message(id string, part any) *peerv1.ForwardResponse {
	m := &peerv1.ForwardResponse{RequestId: id}
	switch p := part.(type) {
	case int:
		m.Part = &peerv1.ForwardResponse_Head{Head: &peerv1.Head{Status: uint32(p)}}
	case *peerv1.Header:
		m.Part = &peerv1.ForwardResponse_Head{Head: &peerv1.Head{Status: 200, Headers: []*peerv1.Header{p}}}
	case string:
		m.Part = &peerv1.ForwardResponse_Data{Data: []byte(p)}
	case *peerv1.Tail:
		m.Part = &peerv1.ForwardResponse_Tail{Tail: p}
	}
	return m
}

func TestForwardedResponseIsCompleteOnlyWithItsTail(t *testing.T) {
	ok := &peerv1.Tail{}
	for name, c := range map[string]struct {
		messages messageStream
		data     string
		complete bool
	}{
		"complete":         {messageStream{message("r", 200), message("r", "ab"), message("r", ""), message("r", "c"), message("r", ok)}, "abc", true},
		"no tail":          {messageStream{message("r", 200), message("r", "ab")}, "ab", false},
		"failed":           {messageStream{message("r", 200), message("r", "ab"), message("r", &peerv1.Tail{Code: 403, MayHaveRun: true})}, "ab", false},
		"crossed":          {messageStream{message("r", 200), message("r", "ab"), message("q", "no"), message("r", ok)}, "ab", false},
		"crossed tail":     {messageStream{message("r", 200), message("r", "ab"), message("q", ok)}, "ab", false},
		"crossed head":     {messageStream{message("q", 200), message("r", ok)}, "", false},
		"second head":      {messageStream{message("r", 200), message("r", "ab"), message("r", 200), message("r", ok)}, "ab", false},
		"no part":          {messageStream{message("r", 200), message("r", nil), message("r", ok)}, "", false},
		"data before head": {messageStream{message("r", "ab"), message("r", ok)}, "", false},
		"tail only":        {messageStream{message("r", ok)}, "", false},
		"no messages":      {nil, "", false},
		"status 0":         {messageStream{message("r", 0), message("r", "ab"), message("r", ok)}, "", false},
		"status 101":       {messageStream{message("r", 101), message("r", "ab"), message("r", ok)}, "", false},
		"change":           {messageStream{message("r", &peerv1.Header{Name: publishedChangeField, Value: []byte("7")}), message("r", "ab"), message("r", ok)}, "ab", true},
		"blank in a name":  {messageStream{message("r", &peerv1.Header{Name: "X Broken"}), message("r", "ab"), message("r", ok)}, "", false},
		"status 600":       {messageStream{message("r", 600), message("r", "ab"), message("r", ok)}, "", false},
	} {
		s := append(messageStream{nil}, c.messages...)
		f := &forwardBody{stream: &s, requestID: "r", cancel: func() {}}
		_, _, err := f.head()
		var data []byte
		if err == nil {
			data, err = io.ReadAll(f)
		}
		if string(data) != c.data || (err == nil) != c.complete {
			t.Errorf("%s: %q, %v", name, data, err)
		}
		if e, ok := err.(*failure); ok && e.err.Ran != result.MayHaveRun {
			t.Errorf("%s: %v", name, e)
		}
		if _, again := f.Read(make([]byte, 1)); c.complete && again != io.EOF {
			t.Errorf("%s: %v after the end", name, again)
		}
	}
}
