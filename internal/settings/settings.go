package settings

import "time"

// Settings are the settings of one instance.
type Settings struct {
	Instance  Instance
	Listen    Listen
	Platform  Platform
	Peers     Peers
	Bounds    Bounds
	Log       Log
	Operators Operators
}

// Instance is the `[instance]` section.
type Instance struct {
	Name   string
	Region string
	Domain string // failure domain
}

// Listen is the `[listen]` section: the IP:port on which each server listens.
type Listen struct {
	Callers   string
	Peers     string
	Operators string
}

// Platform is the `[platform]` section.
type Platform struct {
	// ConfigServiceURL is the base URL of the configuration service.
	ConfigServiceURL string
}

// Peers is the `[peers]` section.
type Peers struct {
	// Bootstrap lists the peer addresses to contact before the instance list is
	// known.
	Bootstrap []string
	// Insecure selects plain text instead of mutual TLS between instances.
	Insecure                  bool
	CertFile, KeyFile, CAFile string
}

// Bounds is the `[bounds]` section.
type Bounds struct {
	MaxBody         int64 // bytes of a request body
	MaxHeader       int   // bytes of request headers
	MaxStreams      int   // concurrent requests
	StreamBuffer    int64 // bytes buffered for one slow reader
	TeamBuffer      int64 // bytes buffered for one team
	ProcessBuffer   int64 // bytes buffered for all callers
	ResponseBuffer  int64 // bytes held of whole responses of engines, beyond 32 KiB each, and of events, beyond 20 KiB each
	MaxConfigAge    time.Duration
	RequestTimeout  time.Duration
	ShutdownTimeout time.Duration
	ReadTimeout     time.Duration // for a request's headers and body
	WriteTimeout    time.Duration // without progress while writing to a slow reader
	IdleTimeout     time.Duration
	IntakeBuffer    int64 // bytes of request heads, of bodies until they have arrived, and of messages of other instances
	MaxConns        int   // connections of callers; 0 for a number that follows from MaxStreams
	MaxPeerConns    int   // connections of other instances
}

// Log is the `[log]` section.
type Log struct {
	Format string // json or console
	Level  string
}

// Operators is the `[operators]` section.
type Operators struct {
	AuditEntries   int
	RequestRecords int
}
