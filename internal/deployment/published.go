package deployment

// PublishedState is everything that operators publish. It is immutable. Instances
// exchange it as JSON, see Config.
type PublishedState struct {
	// Config is nil until a first configuration has been received.
	Config *Config
	// Evacuated is the set of failure domains whose targets must get no requests.
	Evacuated map[string]bool
}
