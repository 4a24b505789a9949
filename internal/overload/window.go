package overload

import (
	"math"
	"sync/atomic"
)

const (
	// windowCut is what a rejection multiplies the window with, and windowGrowth what
	// a window of sound responses adds to it. In the trial of a plain service at 1.3
	// times its rate (TestScenarios) a growth of 1 led to 10 times as many rejections.
	windowCut    = 0.8
	windowGrowth = 0.1
	// A window that exceeds windowRelease times the requests in flight by
	// windowMargin ends: it no longer limits anything.
	windowRelease = 2
	windowMargin  = 4
)

// window bounds the requests of one instance in flight at the local targets of a
// service, once a target has rejected one because it was full. What other instances
// send is known with a delay, which is longer than a request to a plain service
// takes; rejections tell at once that all instances together send too much.
type window struct {
	inFlight atomic.Int32
	limit    atomic.Uint64 // bits of a float64; 0 means no limit
}

// active reports whether the window limits the requests in flight.
func (w *window) active() bool { return w.limit.Load() != 0 }

// full reports whether the window has no room.
func (w *window) full() bool {
	limit := w.limit.Load()
	return limit != 0 && float64(w.inFlight.Load()) >= math.Floor(math.Float64frombits(limit))
}

// size returns the limit; 0 if there is none.
func (w *window) size() float64 { return math.Float64frombits(w.limit.Load()) }

func (w *window) begin() { w.inFlight.Add(1) }

// end records the end of a request. rejected is set if the target had no room.
func (w *window) end(rejected bool) {
	n := float64(w.inFlight.Add(-1) + 1)
	for {
		bits := w.limit.Load()
		limit := math.Float64frombits(bits)
		switch {
		case rejected && bits == 0:
			limit = max(windowCut*n, 1)
		case rejected:
			limit = max(windowCut*min(limit, n+1), 1)
		case bits == 0:
			return
		default:
			// A window that is not used grows too, so that it ends when the load does.
			limit += windowGrowth / limit
		}
		if limit > windowRelease*n+windowMargin {
			limit = 0
		}
		if w.limit.CompareAndSwap(bits, math.Float64bits(limit)) {
			return
		}
	}
}
