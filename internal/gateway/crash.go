package gateway

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// crashReportTimeout bounds one report of a crash to another instance.
const crashReportTimeout = 2 * time.Second

// confirmCrash reports a lost target with the request that it ran, if the target
// takes no new connection: one that lives has only lost the answer, and the
// request must not be suspected of crashing targets.
func (g *Gateway) confirmCrash(target, address string, attempt uint64, f dispatch.Fingerprint, request string) {
	conn, err := net.DialTimeout("tcp", address, targetDialTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	g.CrashSuspects.Report(target, attempt, f)
	g.Log.Emit(event.TargetLost, zap.String("request", request), zap.String("target", target), zap.Stringer("fingerprint", f), zap.Error(err))
	// The request may come again at any instance.
	report := &peerv1.ProbeRequest{From: g.Self, Crashes: g.CrashSuspects.ReportsOf(f)}
	for _, m := range g.Members.Members() {
		if m.Reachable {
			go g.reportCrash(m.Row.GetInstance().GetPeerAddress(), report)
		}
	}
}

func (g *Gateway) reportCrash(peer string, report *peerv1.ProbeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	if _, err := g.Clients.Client(peer).Probe(ctx, connect.NewRequest(report)); err != nil {
		g.Log.Emit(event.ReportLost, zap.String("peer", peer), zap.Error(err))
	}
}
