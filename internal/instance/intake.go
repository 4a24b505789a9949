package instance

import (
	"math"
	"net/http"
	"syscall"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/intake"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// The fractions of the process's descriptors that the connections of each port may
	// take. The rest is for targets, other instances, the store and files.
	callerDescriptors    = 0.4
	controlDescriptors   = 0.1
	directoryDescriptors = 0.1
	otherDescriptors     = 0.02 // readiness, metrics
	// minConnections is the least number of connections of a port.
	minConnections = 16
	// connectionMemoryFraction is the fraction of the instance's memory that callers'
	// connections may take, connectionBytes what one takes: two buffers of 4 KiB and a
	// stack.
	connectionMemoryFraction = 0.15
	connectionBytes          = 20 << 10
	// timeoutMargin is added to the published timeouts: what a caller has sent in time
	// may be read later.
	timeoutMargin = 2 * time.Second
	// Limits that apply without a configuration.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 75 * time.Second
	defaultMaxHeader     = 64 << 10
	// bodyTimeout bounds the time in which a body must have arrived, whatever deadline
	// its caller names.
	bodyTimeout = time.Minute
	// smallMaxHeader bounds the heads of requests for the directory, readiness and
	// metrics, and smallTimeout the time in which each of them and each response must
	// be transferred.
	smallMaxHeader = 16 << 10
	smallTimeout   = 10 * time.Second
)

// intakePorts are the intakes of an instance's listeners.
type intakePorts struct{ callers, ready, directory, control, metrics *intake.Port }

func (i *Instance) newIntakePorts(budget *intake.Budget) intakePorts {
	s := i.settings
	descriptors := s.MaxDescriptors
	var rlimit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit) == nil && (descriptors <= 0 || rlimit.Cur < uint64(descriptors)) {
		descriptors = int(min(rlimit.Cur, math.MaxInt32))
	}
	conns := func(fraction float64) int { return max(minConnections, int(fraction*float64(descriptors))) }
	callerConns := conns(callerDescriptors)
	if s.MemoryBytes > 0 {
		callerConns = min(callerConns, max(minConnections, int(connectionMemoryFraction*float64(s.MemoryBytes)/connectionBytes)))
	}
	small := func(name string, fraction float64) *intake.Port {
		limits := intake.Limits{MaxConns: conns(fraction), MaxHeadBytes: smallMaxHeader, HeadTimeout: readHeaderTimeout, BodyTimeout: smallTimeout, IdleTimeout: 10 * readHeaderTimeout}
		return intake.NewPort(name, func() intake.Limits { return limits }, budget, i.log)
	}
	p := intakePorts{
		callers: intake.NewPort("callers", func() intake.Limits {
			var published deployment.Limits
			if c := i.catalog.Current().Config; c != nil {
				published = c.Limits
			}
			return callerLimits(published, callerConns)
		}, budget, i.log),
		ready: small("readiness", otherDescriptors), directory: small("directory", directoryDescriptors), metrics: small("metrics", otherDescriptors),
	}
	p.callers.NameRequests(platform.RequestIDHeader)
	// Connections of instances end by the timeouts of their server.
	control := intake.Limits{MaxConns: conns(controlDescriptors), HeadTimeout: readHeaderTimeout, BodyTimeout: bodyTimeout}
	p.control = intake.NewPort("control", func() intake.Limits { return control }, budget, i.log)
	p.control.ReserveMessages(peerapi.CallBytes, peerapi.MessageFactor)
	return p
}

// callerLimits returns the limits of the port for callers.
func callerLimits(published deployment.Limits, conns int) intake.Limits {
	l := intake.Limits{MaxConns: conns, MaxHeadBytes: defaultMaxHeader, HeadTimeout: defaultHeaderTimeout, BodyTimeout: bodyTimeout, IdleTimeout: defaultIdleTimeout}
	if published.MaxHeader > 0 {
		l.MaxHeadBytes = published.MaxHeader
	}
	if published.HeaderTimeout > 0 {
		l.HeadTimeout = published.HeaderTimeout + timeoutMargin
	}
	if published.IdleTimeout > 0 {
		l.IdleTimeout = published.IdleTimeout + timeoutMargin
	}
	return l
}

// newSmallServer returns a server for requests without bodies and small responses.
func newSmallServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: 10 * readHeaderTimeout, WriteTimeout: smallTimeout, MaxHeaderBytes: smallMaxHeader}
}
