package gateway

import (
	"context"
	"net"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// crashReportTimeout bounds the sending of a crash report to one other instance.
const crashReportTimeout = 2 * time.Second

// confirmCrash reports that a target crashed while it ran a request, if the target
// accepts no new connection. A target that does accept one has only lost the
// response, and the request must not be suspected of crashing targets.
func (g *Gateway) confirmCrash(target, address string, attempt uint64, f dispatch.Fingerprint, request string, parts []deployment.PromptPart) {
	conn, err := net.DialTimeout("tcp", address, targetDialTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) && g.Tracker.SetRefused(target, time.Now()) {
		g.Log.Emit(event.TargetAvoided, zap.String("target", target), zap.String("request", request), zap.String("reason", err.Error()))
		g.OnTargetDown(target)
	}
	g.CrashSuspects.RecordCrash(target, attempt, f)
	g.Log.Emit(event.TargetLost, zap.String("request", request), zap.String("target", target), zap.Stringer("fingerprint", f),
		zap.Strings("parts", partIDs(parts)), zap.Int("running", g.CrashSuspects.Running(target)), zap.Error(err))
	// The caller may send the request again to any instance.
	report := &peerv1.ProbeRequest{From: g.Self, Crashes: g.CrashSuspects.ReportsFor(f)}
	for _, m := range g.Members.Members() {
		if m.Reachable {
			go g.reportCrash(m.Heartbeat.GetInstance().GetPeerAddress(), report)
		}
	}
}

func (g *Gateway) reportCrash(peer string, report *peerv1.ProbeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	if _, err := g.Clients.Client(peer).Probe(ctx, connect.NewRequest(report)); err != nil {
		g.Log.Emit(event.CrashReportFailed, zap.String("peer", peer), zap.Error(err))
	}
}

// partIDs returns the ids of the parts of a prompt in their order.
func partIDs(parts []deployment.PromptPart) []string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}
