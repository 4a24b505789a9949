package gateway

import (
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Guards against a forwarded request that cannot be encoded, or arrives changed,
// because a part of it is not UTF-8: protobuf strings must be.
func TestForwardedRequestKeepsBytes(t *testing.T) {
	g := newTestGateway()
	for _, text := range []string{"plain", "caf\u00e9", "caf\xe9", "\xff\xfe"} {
		c := &call{Request: deployment.Request{ID: text}, route: &deployment.Route{}, path: "/" + text, deadline: time.Now().Add(time.Second), header: http.Header{"X-Note": {text}}}
		b, err := proto.Marshal(g.forwardRequest(c, &catalog.View{}, text))
		if err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		var got peerv1.ForwardRequest
		if err := proto.Unmarshal(b, &got); err != nil {
			t.Fatal(err)
		}
		h := http.Header{}
		for _, x := range got.GetHeaders() {
			h.Add(x.GetName(), string(x.GetValue()))
		}
		path, resumeAfter := takeText(h, got.GetPath(), pathField), takeText(h, got.GetResumeAfter(), resumeAfterField)
		if path != c.path || resumeAfter != text || h.Get("X-Note") != text || len(h) != 1 {
			t.Errorf("%q: path %q, resume after %q, headers %q", text, path, resumeAfter, h)
		}
	}
}

// Guards against a panic if a forwarded request that may have run at the sender's
// target finds no place here, and against an error that says it has not run.
func TestForwardedRequestThatMayHaveRunFindsNoPlace(t *testing.T) {
	g, c := newTestGateway(), resumableCall()
	err := g.finishFailed(c, &delivery{sink: &recordingSink{}}, nil, result.New(result.NoSlot, result.NotRun, "no place"))
	if e := result.FromError(err); e.Ran != result.MayHaveRun || e.Code != result.TargetFailed {
		t.Errorf("%v", err)
	}
}
