package gateway

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/placement"
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

// Guards against refusals of an instance that count as attempts at a target, and against
// a request that is sent again after a refusal that does not say "not run".
func TestRefusalByInstanceIsNoAttempt(t *testing.T) {
	for _, in := range result.Table() {
		refused := map[result.Code]bool{result.NoSlot: true, result.ShuttingDown: true, result.HopRefused: true, result.NotReady: true}[in.Code]
		for _, mayHaveRun := range []bool{false, true} {
			f := tailFailure(&peerv1.Tail{Code: uint32(in.Code), MayHaveRun: mayHaveRun})
			if f.uncounted != (refused && !mayHaveRun) || refusedByInstance(f) != (f.uncounted && in.Code != result.NoSlot) {
				t.Errorf("%s, may have run %t: uncounted %t, another instance %t", in.Name, mayHaveRun, f.uncounted, refusedByInstance(f))
			}
		}
	}
}

// Guards against a sound target that is avoided because this instance lacks descriptors.
func TestLackOfDescriptorsSaysNothingAboutTarget(t *testing.T) {
	for err, want := range map[error]placement.Outcome{syscall.EMFILE: placement.Inconclusive, syscall.ENFILE: placement.Inconclusive,
		syscall.EADDRNOTAVAIL: placement.Inconclusive, syscall.ECONNREFUSED: placement.Refused, syscall.EHOSTUNREACH: placement.Unreachable} {
		f := sendFailure(t.Context(), &connTracker{}, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)})
		if f.outcome != want || f.err.Ran != result.NotRun {
			t.Errorf("%v: outcome %v, %v", err, f.outcome, f.err)
		}
	}
}
