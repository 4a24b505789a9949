package deployment

import "time"

// Settings are those of one instance.
type Settings struct {
	Instance string
	Region   string
	Domain   string // failure domain
	IP       string
	// RegionByDomain maps every failure domain of the deployment to its region.
	RegionByDomain map[string]string

	Listen ListenAddresses
	// FirstPort and LastPort bound the ports free for traffic between instances.
	FirstPort, LastPort int
	// Seeds are control addresses (IP:port) of at most three instances; they may
	// be stale or down.
	Seeds []string
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string

	MemoryBytes int64
	CPUShare    float64
	Bounds      Bounds
}

// ListenAddresses holds the addresses (IP:port) that an instance serves.
type ListenAddresses struct{ Callers, Ready, Control, Directory string }

// Bounds are the time and size bounds that the deployment publishes.
type Bounds struct {
	// DrainDelay is the time after which a leaving target gets no request.
	DrainDelay time.Duration
	// TerminationGrace is the time from SIGTERM to SIGKILL.
	TerminationGrace time.Duration
	// ConfigDelay is the time within which a configuration is in force.
	ConfigDelay time.Duration
	// EvacuationDelay is the time within which a failure domain gets no request.
	EvacuationDelay time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound repeated arrivals at the
	// targets of a service: ratio x requests + slack in any window, over all
	// instances.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// WarmupRateFactor and WarmupSlack bound requests to a cold target in one
	// second: its published rate x overage + slack, over all instances.
	WarmupRateFactor, WarmupSlack float64
	// MaxDirectoryTTL is the longest lifetime of a directory answer that counts.
	MaxDirectoryTTL time.Duration
	// AddressReuseDelay is the time after which the address of a target that ended
	// may belong to a target of another service.
	AddressReuseDelay time.Duration
}
