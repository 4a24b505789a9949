package overload

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
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
	// observeFill times the slots is the number of requests at engines above which the
	// window of an instance that has waiting requests is its share of the slots; below
	// it, the window grows by observeGrowth in each observeInterval. observeGain is the
	// weight of a new observation in the averages. observeMemory is how long they are
	// of use.
	observeFill     = 1.15
	observeGain     = 0.3
	observeGrowth   = 0.1
	observeInterval = 200 * time.Millisecond
	observeMemory   = 2 * time.Second
	// A window without a rejection for relaxDelay grows by relaxGrowth at each call of
	// relax, so that a few requests that do not end cannot hold up the others.
	relaxDelay  = time.Second
	relaxGrowth = 0.05
)

// window bounds the requests of one instance in flight at the local targets of a
// service, once a target has rejected one because it was full or engines have more
// requests than slots while others wait here. What other instances
// send is known with a delay, which is longer than a request to a plain service
// takes; rejections tell at once that all instances together send too much.
type window struct {
	inFlight atomic.Int32
	limit    atomic.Uint64 // bits of a float64; 0 means no limit
	// rejections counts the rejections; relaxed is its value at the last call of relax
	// that found a change, at quietSince. The latter two are guarded by mu.
	rejections atomic.Int64
	mu         sync.Mutex
	relaxed    int64
	quietSince time.Time
	// running and own are the averages of the requests at engines, all and those of
	// this instance, as of observed. They are guarded by mu.
	running, own float64
	observed     time.Time
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

// observe records the requests of all instances at the engines of a service, as far as
// heartbeats tell, and the slots of these engines. An engine accepts many more requests
// than it has slots, so that rejections come late. Calls within observeInterval have no
// effect.
func (w *window) observe(running, slots int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	age := now.Sub(w.observed)
	if age < observeInterval {
		return
	}
	w.observed = now
	bits := w.limit.Load()
	capacity := observeFill * float64(slots)
	n := float64(w.inFlight.Load())
	if age > observeMemory {
		w.running, w.own = float64(running), n
	}
	w.running += observeGain * (float64(running) - w.running)
	w.own += observeGain * (n - w.own)
	limit := math.Float64frombits(bits)
	switch share := max(capacity*w.own/max(w.running, 1), 1); {
	case w.running > capacity:
		limit = share
	case bits != 0:
		limit += observeGrowth * limit
	default:
		return
	}
	if limit > windowRelease*n+windowMargin {
		limit = 0
	}
	w.limit.CompareAndSwap(bits, math.Float64bits(limit))
}

// relax is called with each heartbeat that was applied.
func (w *window) relax(now time.Time) {
	bits := w.limit.Load()
	if bits == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := w.rejections.Load(); n != w.relaxed {
		w.relaxed, w.quietSince = n, now
	}
	if now.Sub(w.quietSince) < relaxDelay {
		return
	}
	limit := (1 + relaxGrowth) * math.Float64frombits(bits)
	if limit > windowRelease*float64(w.inFlight.Load())+windowMargin {
		limit = 0
	}
	w.limit.CompareAndSwap(bits, math.Float64bits(limit))
}

// end records the end of a request. rejected is set if the target had no room.
func (w *window) end(rejected bool) {
	n := float64(w.inFlight.Add(-1) + 1)
	if rejected {
		w.rejections.Add(1)
	}
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
