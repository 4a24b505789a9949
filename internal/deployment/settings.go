package deployment

import "time"

// Settings are the settings of one instance.
type Settings struct {
	Instance string
	Region   string
	Domain   string // failure domain
	IP       string
	// RegionByDomain maps every failure domain of the deployment to its region.
	RegionByDomain map[string]string

	Listen ListenAddresses
	// FirstPort and LastPort bound the range of ports that may be used for traffic
	// between instances.
	FirstPort, LastPort int
	// Seeds are the control addresses (IP:port) of at most three instances, some
	// of which may have moved or be down.
	Seeds []string
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string

	MemoryBytes int64
	// CPUShare is the fraction of a core that the instance may use.
	CPUShare float64
	// MaxDescriptors bounds the open file descriptors of the process, and
	// LinkBytesPerSecond is the bandwidth of the instance's link; 0 if unknown.
	MaxDescriptors     int
	LinkBytesPerSecond float64
	Bounds             Bounds
}

// ListenAddresses are the addresses (IP:port) on which an instance listens.
type ListenAddresses struct{ Callers, Ready, Control, Directory string }

// Bounds are the bounds on times and rates that the platform sets.
type Bounds struct {
	// DrainDelay is the time after which a leaving target must get no more
	// requests.
	DrainDelay time.Duration
	// TerminationGrace is the time from SIGTERM to SIGKILL.
	TerminationGrace time.Duration
	// ConfigDelay is the time within which a published configuration must be in
	// force.
	ConfigDelay time.Duration
	// EvacuationDelay is the time after which an evacuated failure domain must get
	// no more requests.
	EvacuationDelay time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries that arrive at the
	// targets of a service: at most RetryRatio x requests + RetrySlack in any
	// window of RetryWindow, over all instances.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// WarmupRateFactor and WarmupSlack bound the requests to a target that is
	// warming up: at most its published rate x WarmupRateFactor + WarmupSlack in
	// one second, over all instances.
	WarmupRateFactor, WarmupSlack float64
	// MaxDirectoryTTL is the longest TTL of a directory response that takes
	// effect.
	MaxDirectoryTTL time.Duration
	// AddressReuseDelay is the time after the end of a target before its address
	// may be given to a target of another service.
	AddressReuseDelay time.Duration
}
