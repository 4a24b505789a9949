package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// crashReportTimeout bounds the exchange of crash news with one other instance.
	crashReportTimeout = time.Second
	// crashReportPause is the time between two rounds of crash reports, which
	// gathers the losses of one crash.
	crashReportPause = 50 * time.Millisecond
	// crashConfirmWait bounds how long a retry waits until it is known whether the
	// target crashed; it is many times the round trip within a region.
	crashConfirmWait = 100 * time.Millisecond
	// blockSyncInterval is the least time between two exchanges of blocks with
	// instances that know others.
	blockSyncInterval = time.Second
)

// crashReporter is the state of the exchange of crash news.
type crashReporter struct {
	mu struct {
		sync.Mutex
		reporting bool      // rounds of reports are in progress
		lastSync  time.Time // last exchange because of a digest
	}
}

// startConfirmCrash calls confirmCrash in the background and returns a channel that
// is closed when it has returned.
func (g *Gateway) startConfirmCrash(target, address string, a *crash.Attempt, request string, parts []string) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.confirmCrash(target, address, a, request, parts)
	}()
	return done
}

// awaitConfirmCrash waits a short time until it is known whether an attempt failed
// because its target crashed.
func awaitConfirmCrash(ctx context.Context, f *failure) {
	if f.crashConfirmed == nil {
		return
	}
	timer := time.NewTimer(crashConfirmWait)
	defer timer.Stop()
	select {
	case <-f.crashConfirmed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// confirmCrash records that a target crashed while it ran a request, if its address
// refuses connections. A target that accepts one has only lost the response, one
// that does not answer may be cut off, and one that was about to leave has left:
// none of that says anything about the request.
func (g *Gateway) confirmCrash(target, address string, a *crash.Attempt, request string, parts []string) {
	conn, err := net.DialTimeout("tcp", address, targetDialTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	if g.Tracker.SetRefused(target, time.Now()) {
		g.Log.Emit(event.TargetAvoided, zap.String("target", target), zap.String("request", request), zap.String("reason", err.Error()))
		g.OnTargetDown(target)
	}
	if e := g.Catalog.Current().Targets[target]; e == nil || e.Leaving || g.Tracker.SaidLeaving(target) {
		return
	}
	g.Crashes.RecordLoss(a)
	g.Log.Emit(event.TargetLost, zap.String("request", request), zap.String("target", target), zap.Stringers("suspects", a.Suspects()),
		zap.Strings("parts", parts), zap.Int("running", g.Crashes.Running(target)), zap.Error(err))
	g.reportCrashes()
}

// partIDs returns the ids of the parts of a prompt in their order.
func partIDs(parts []deployment.PromptPart) []string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}

// reportCrashes tells all reachable instances what this one has lost, hears what
// they know about it, and then decides what to block: the caller may send the
// request again to any instance. It returns at once if that is in progress.
func (g *Gateway) reportCrashes() {
	r := &g.crashReporter
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mu.reporting {
		return
	}
	r.mu.reporting = true
	go func() {
		for {
			if news := g.Crashes.Outgoing(); news != nil {
				g.exchangeWithAll(news)
				g.Crashes.Decide()
			}
			r.mu.Lock()
			if !g.Crashes.HasOutgoing() {
				r.mu.reporting = false
				r.mu.Unlock()
				return
			}
			r.mu.Unlock()
			time.Sleep(crashReportPause)
		}
	}()
}

// exchangeWithAll exchanges news with all reachable instances.
func (g *Gateway) exchangeWithAll(news *peerv1.CrashNews) {
	var wg sync.WaitGroup
	for _, m := range g.Members.Members() {
		if m.Reachable {
			wg.Go(func() { g.exchangeCrashNews(m.Address(), news) })
		}
	}
	wg.Wait()
}

func (g *Gateway) exchangeCrashNews(peer string, news *peerv1.CrashNews) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	res, err := g.Clients.Client(peer).Probe(ctx, connect.NewRequest(&peerv1.ProbeRequest{From: g.Self, CrashNews: news}))
	if err != nil {
		g.Log.Emit(event.CrashReportFailed, zap.String("peer", peer), zap.Error(err))
		return
	}
	g.mergeCrashNews(res.Msg.GetCrashNews())
}

// mergeCrashNews merges the news of another instance and returns the response to
// it. To one that sends blocks, all blocks known here are returned.
func (g *Gateway) mergeCrashNews(news *peerv1.CrashNews) *peerv1.CrashNews {
	reply := g.Crashes.Merge(news)
	if len(news.GetBlocks()) > 0 {
		known := g.Crashes.BlockNews()
		reply.Blocks, reply.Sound = known.GetBlocks(), append(reply.GetSound(), known.GetSound()...)
	}
	return reply
}

// SyncBlocks weighs the known crashes anew, and exchanges blocks with one of the
// members that know others than this instance, as one does that was cut off or has
// just started.
func (g *Gateway) SyncBlocks(members []heartbeat.Member, now time.Time) {
	if g.Crashes.Decide(); g.Crashes.HasOutgoing() {
		g.reportCrashes()
	}
	r := &g.crashReporter
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.mu.lastSync) < blockSyncInterval {
		return
	}
	digest := g.Crashes.Digest()
	var others []string
	for _, m := range members {
		if m.Reachable && m.Heartbeat.GetCrashBlocks() != digest {
			others = append(others, m.Address())
		}
	}
	if len(others) > 0 {
		r.mu.lastSync = now
		go g.exchangeCrashNews(others[rand.IntN(len(others))], g.Crashes.BlockNews())
	}
}
