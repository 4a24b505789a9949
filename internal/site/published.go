package site

// Published is what operators publish. It is immutable.
type Published struct {
	// Config is nil until the first configuration is known.
	Config *Config
	// Evacuated holds the failure domains that get no requests.
	Evacuated map[string]bool
}
