package deployment

// PublishedState is what operators publish. It is immutable.
type PublishedState struct {
	// Config is nil until the first configuration is known.
	Config *Config
	// Evacuated holds the failure domains that get no requests.
	Evacuated map[string]bool
}
