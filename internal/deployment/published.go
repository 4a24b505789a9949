package deployment

// PublishedState is everything that operators publish. It is immutable. Instances
// exchange it as JSON, see Config.
type PublishedState struct {
	// Config is nil until a first configuration has been received.
	Config *Config
	// Evacuated is the set of failure domains whose targets must get no requests.
	Evacuated map[string]bool
	// ChangedAt is the highest store revision of a change that is part of the state; 0
	// if not known. The removal of a key counts only if it was seen to happen.
	ChangedAt int64 `json:",omitempty"`
}
