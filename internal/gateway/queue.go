package gateway

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/overload"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	// queueMemoryFraction is the fraction of the instance's memory that the bodies of
	// the requests waiting for one service may take. It is a part of
	// bodyMemoryFraction.
	queueMemoryFraction = 0.1
	// latePriority is the priority sent to targets with late requests, so that an
	// engine serves them after all others.
	latePriority = 9
	// maxRegionRefusals is the number of refusals by a region after which a waiting
	// request is not sent there again.
	maxRegionRefusals = 2
	// regionReservation is how long a request counts against the reported free slots
	// of a region that it was sent to: until the region's heartbeats include it.
	regionReservation = 600 * time.Millisecond
)

// reservations counts the requests for which the queue chose a target or a region and
// whose attempts have not been recorded there, so that one pass over the queue does
// not choose the same free slot many times.
type reservations struct {
	total atomic.Int32
	mu    sync.Mutex
	held  map[string]reservation // by target or region
}

type reservation struct{ requests, tokens int }

func (r *reservations) add(place string, requests, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held == nil {
		r.held = map[string]reservation{}
	}
	h := r.held[place]
	h.requests, h.tokens = h.requests+requests, h.tokens+tokens
	if r.held[place] = h; h.requests == 0 {
		delete(r.held, place)
	}
	r.total.Add(int32(requests))
}

// apply adds the reservations to the load of targets and regions.
func (r *reservations) apply(targets []placement.TargetView, regions []placement.RegionView) {
	if r.total.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range targets {
		if h, ok := r.held[targets[i].ID]; ok {
			t := &targets[i]
			t.Running, t.Own, t.PendingTokens = t.Running+h.requests, t.Own+h.requests, t.PendingTokens+h.tokens
			t.AtCapacity = t.AtCapacity || !t.Full && t.Running >= t.Capacity
			t.Full = t.Full || t.Running >= t.Capacity
		}
	}
	for i := range regions {
		regions[i].FreeSlots -= r.held[regions[i].Name].requests
	}
}

// reserve counts a call against the place that the queue chose for it, until
// c.placed is called for a target, or for regionReservation for a region.
func (g *Gateway) reserve(c *call, choice placement.Choice) {
	if choice.Region != "" {
		g.reservations.add(choice.Region, 1, 0)
		time.AfterFunc(regionReservation, func() { g.reservations.add(choice.Region, -1, 0) })
		return
	}
	tokens := c.PromptTokens
	if choice.Cached || choice.FetchFrom != "" {
		_, shared := placement.SharedPrefix(c.PromptParts)
		tokens -= min(shared, tokens)
	}
	g.reservations.add(choice.Target, 1, tokens)
	c.releaseReservation = func() { g.reservations.add(choice.Target, -1, -tokens) }
}

// placed ends the reservation of the call, if any: the tracker counts its attempt.
func (c *call) placed() {
	if c.releaseReservation != nil {
		c.releaseReservation()
		c.releaseReservation = nil
	}
}

// targetPriority returns the priority that is sent to a target with the call.
func (c *call) targetPriority(team *deployment.Team) int {
	if c.late {
		return latePriority
	}
	return c.route.PriorityFor(team)
}

// waited returns the part of the objective that has passed for a call that waited at
// this instance or at the one that forwarded it.
func (c *call) waited(now time.Time) time.Duration {
	if c.queued {
		return now.Sub(c.arrived)
	}
	if c.waitedBefore > 0 {
		return c.waitedBefore + now.Sub(c.arrived)
	}
	return 0
}

// wait queues a call until it has a place. refused is the result of choose for it.
func (g *Gateway) wait(ctx context.Context, c *call, exclude map[string]bool, refused error) (choice placement.Choice, v *catalog.View, err error) {
	now := time.Now()
	r := g.queueRequest(c, now)
	c.allowRejectingPlaces(exclude)
	if !c.queued {
		c.queued = true
		g.Log.Emit(event.RequestQueued, zap.String("request", c.ID), zap.String("route", c.route.Name), zap.String("service", c.service),
			zap.Int("queued", g.Queue.Waiting(c.service)), zap.Int("rank", r.Rank), zap.String("team", c.team))
	}
	service := c.service
	qerr := g.Queue.Acquire(ctx, service, r, func(mode overload.Mode, now time.Time) bool {
		choice, v, err = g.choose(c, exclude, mode, now)
		if err != nil {
			return !choice.Wait
		}
		g.reserve(c, choice)
		return true
	})
	if qerr == nil {
		return choice, v, err
	}
	return placement.Choice{}, g.Catalog.Current(), g.queueError(ctx, c, service, qerr, refused)
}

// queueError converts an error of the queue.
func (g *Gateway) queueError(ctx context.Context, c *call, service string, qerr, refused error) error {
	var r *overload.RefusedError
	switch {
	case errors.As(qerr, &r) && r.Reason == overload.Stopping, errors.Is(context.Cause(ctx), errCutOff):
		return result.New(result.ShuttingDown, result.NotRun, "the instance is stopping").WithRetryAfter(notReadyRetryAfter)
	case !errors.As(qerr, &r):
		return result.New(result.NoSlot, result.NotRun, "%v", qerr)
	}
	c.scheduled = true
	g.Log.Emit(event.RequestNotQueued, zap.String("request", c.ID), zap.String("service", service), zap.String("reason", string(r.Reason)),
		zap.Duration("expected", r.Expected), zap.Duration("retry_after", r.RetryAfter))
	message := ""
	if refused != nil {
		message = "; " + result.FromError(refused).Message
	}
	return result.New(result.NoSlot, result.NotRun, "no capacity: %s, expected wait %s%s", r.Reason, r.Expected.Round(time.Millisecond), message).WithRetryAfter(r.RetryAfter)
}

// scheduleReturn gives a refusal for lack of capacity that the queue did not decide
// the time at which capacity is expected.
func (g *Gateway) scheduleReturn(c *call, err error) error {
	e := result.FromError(err)
	if c.forwarded || c.scheduled || e.Ran != result.NotRun || e.Code != result.NoSlot && e.Code != result.NoTarget || c.route == nil {
		return err
	}
	r, ok := g.Queue.Refuse(c.service, g.queueRequest(c, time.Now()))
	if !ok {
		return err
	}
	c.scheduled = true
	return e.WithRetryAfter(r.RetryAfter)
}

// queueRequest describes a call to the queue.
func (g *Gateway) queueRequest(c *call, now time.Time) overload.Request {
	v := g.Catalog.Current()
	team := v.Config.Teams[c.team]
	q := c.placementQuery(g.Settings.Region, team, now)
	unloaded, work := g.requestWork(v, c, q)
	r := overload.Request{
		ID: c.ID, Team: c.team, Rank: c.route.PriorityFor(team), Arrived: c.arrived, Objective: c.route.FirstByteObjective, Deadline: c.firstByteDeadline(), CallerDeadline: c.deadline,
		Unloaded: unloaded, Work: work, Bytes: int64(cap(c.body)), Jitter: rand.Float64(),
	}
	if team != nil {
		r.Weight = team.Rate
	}
	r.Key = c.returnKey()
	return r
}

// returnKey identifies the call when its caller comes back.
func (c *call) returnKey() uint64 {
	if c.cachedReturnKey == 0 {
		fingerprint := dispatch.FingerprintOf(c.body, c.team, c.host, c.path)
		c.cachedReturnKey = max(binary.BigEndian.Uint64(fingerprint[:]), 1)
	}
	return c.cachedReturnKey
}

// requestWork returns the time to the first byte and the target time of a call at an
// idle target. q is computed if it is nil.
func (g *Gateway) requestWork(v *catalog.View, c *call, q *placement.Query) (unloaded, work time.Duration) {
	s := v.Config.Services[c.service]
	if s == nil || c.workService == c.service {
		return c.unloaded, c.work
	}
	m, slots := g.Tracker.Model(s), 1
	if s.Engine != nil {
		slots = s.Engine.Slots
	}
	if q == nil {
		q = c.placementQuery(g.Settings.Region, v.Config.Teams[c.team], time.Now())
	}
	c.workService, c.unloaded, c.work = c.service, m.Unloaded(q, s.Engine != nil), m.Work(q, c.ExpectedOutputTokens(), slots, s.Engine != nil)
	return c.unloaded, c.work
}

// allowRejectingPlaces makes a call that waits try the targets again that rejected it
// because they were full, and regions that had no room.
func (c *call) allowRejectingPlaces(exclude map[string]bool) {
	for _, place := range c.rejectedBy {
		delete(exclude, place)
	}
	c.rejectedBy = nil
}

// recordRejection records that a place was full.
func (c *call) recordRejection(choice placement.Choice, f *failure) {
	switch {
	case choice.Target != "" && f.outcome == placement.Rejected:
		c.rejectedBy = append(c.rejectedBy, choice.Target)
	case choice.Region != "" && f.uncounted && f.err.Code == result.NoSlot && c.regionRefusals < maxRegionRefusals:
		c.regionRefusals++
		c.rejectedBy = append(c.rejectedBy, choice.Region)
	}
}

// recordArrival counts the work of a call when it arrives, and recordStart when it is
// placed, for the rates by which the queue expects waits.
func (g *Gateway) recordArrival(c *call) {
	if v := g.Catalog.Current(); !c.counted && c.route != nil && v.Config != nil {
		c.counted = true
		_, work := g.requestWork(v, c, nil)
		g.Queue.Arrived(c.service, c.team, c.route.PriorityFor(v.Config.Teams[c.team]), work)
	}
}

// recordStart is described at recordArrival. It returns its other arguments.
func (g *Gateway) recordStart(c *call, choice placement.Choice, v *catalog.View, err error) (placement.Choice, *catalog.View, error) {
	if err == nil {
		_, work := g.requestWork(v, c, nil)
		g.Queue.Started(c.service, work)
		if !c.queued {
			g.Queue.Returned(c.service, c.returnKey)
		}
	}
	return choice, v, err
}
