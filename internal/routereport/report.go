package routereport

import "time"

// Report says where one instance would send a request now, and why. Times are in
// milliseconds.
type Report struct {
	// Instance, Region and Domain name the instance whose answer this is; others may
	// decide otherwise.
	Instance string    `json:"instance"`
	Region   string    `json:"region"`
	Domain   string    `json:"domain"`
	At       time.Time `json:"at"`
	// Draining is set while the instance is being stopped.
	Draining bool    `json:"draining"`
	Figures  Figures `json:"figures"`

	Host   string `json:"host"`
	Path   string `json:"path"` // without the query
	Method string `json:"method"`

	Route       string   `json:"route"`
	Priority    int      `json:"priority"`
	ObjectiveMS int64    `json:"objective_ms"`
	TimeLeftMS  int64    `json:"time_left_ms"` // until the deadline
	Prompt      *Prompt  `json:"prompt,omitempty"`
	Team        string   `json:"team,omitempty"`
	Allowance   *Account `json:"allowance,omitempty"`
	// AllowedRegions are the regions in which the request may run.
	AllowedRegions []string `json:"allowed_regions"`
	// Refusal is set if the request would be refused before it is placed. The
	// placements then say where it would go otherwise.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Placements has one entry for each service among which the route divides its
	// requests.
	Placements []Placement `json:"placements"`
	// Instances are the other instances that this one knows.
	Instances []Instance `json:"instances"`
}

// Figures says how old the figures are by which the instance decides.
type Figures struct {
	ConfigVersion int64 `json:"config_version"`
	// ConfigAgeMS is the time since the store confirmed the configuration to this
	// instance; absent if it never did.
	ConfigAgeMS *int64 `json:"config_age_ms,omitempty"`
	// TargetsAgeMS is the time since the reading of the list of targets began, as in
	// event 834; absent if there is no list.
	TargetsAgeMS    *int64 `json:"targets_age_ms,omitempty"`
	TargetsRevision int64  `json:"targets_revision"`
	// TargetsEra is the era of the store that TargetsRevision belongs to; 0 if the store
	// does not tell it.
	TargetsEra int64 `json:"targets_era"`
	// TargetsSource says where the list of targets was read: the store or an instance.
	TargetsSource string `json:"targets_source"`
	// OldestHeartbeatMS is the age of the oldest heartbeat of a reachable instance of the
	// own region: the load that others put on targets is as old as that. It is absent if
	// there is no such instance.
	OldestHeartbeatMS *int64 `json:"oldest_heartbeat_ms,omitempty"`
}

// Prompt describes the prompt of the request.
type Prompt struct {
	Tokens int `json:"tokens"`
	// Prefix identifies the shared part of the prompt; empty if it is too short.
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
}

// Account is the allowance of a team as this instance knows it.
type Account struct {
	// Unlimited is set if the team has no rate; Level, Rate and Share do not apply then.
	Unlimited bool    `json:"unlimited,omitempty"`
	Unit      string  `json:"unit"`  // tokens or requests
	Level     float64 `json:"level"` // what is left, before the request
	Burst     float64 `json:"burst"`
	Rate      float64 `json:"rate"`  // per second
	Share     float64 `json:"share"` // of the rate, for the instances that hear each other
	Request   float64 `json:"request"`
}

// Refusal is the error that the caller would get.
type Refusal struct {
	Code         int    `json:"code"`
	Name         string `json:"name"`
	Status       int    `json:"status"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Placement is the decision for one service.
type Placement struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // in the split of the route
	// PrefixOwnerRegion is the region whose target of the service owns the shared prefix
	// of the prompt; empty without one.
	PrefixOwnerRegion string `json:"prefix_owner_region,omitempty"`
	// First is where the request would go; nil if it would be refused. Second is where
	// it would go if the first attempt fails without having run and a retry is allowed;
	// SecondRefusal is set if it would then be refused.
	First         *Choice  `json:"first,omitempty"`
	Refusal       *Refusal `json:"refusal,omitempty"`
	Second        *Choice  `json:"second,omitempty"`
	SecondRefusal *Refusal `json:"second_refusal,omitempty"`
	Targets       []Target `json:"targets"`
	Regions       []Region `json:"regions"`
}

// Choice is a target of the own region, or another region, one of whose instances
// would then decide again.
type Choice struct {
	Target     string `json:"target,omitempty"`
	Region     string `json:"region,omitempty"`
	ExpectedMS int64  `json:"expected_ms"`
	FetchFrom  string `json:"fetch_from,omitempty"`
	Cached     bool   `json:"cached,omitempty"`
	WarmingUp  bool   `json:"warming_up,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
	Reason     string `json:"reason"`
}

// Target is a listed target of the own region.
type Target struct {
	ID string `json:"id"`
	// Rule is the rule that excludes the target; empty if it might be chosen.
	Rule string `json:"rule,omitempty"`
	// Estimated is set if the instance estimates the state of the target. Otherwise the
	// fields from ExpectedMS to CacheAgeMS are 0 or absent.
	Estimated bool `json:"estimated"`
	// ExpectedMS is the expected delay if the target got the request, also where Rule
	// excludes that.
	ExpectedMS int64 `json:"expected_ms"`
	Running    int   `json:"running"`
	// OwnRunning is the part of Running that this instance has sent; the rest is known
	// from heartbeats.
	OwnRunning    int     `json:"own_running"`
	Slots         int     `json:"slots"`
	Capacity      int     `json:"capacity"`
	PendingTokens int     `json:"pending_tokens,omitempty"`
	Slowdown      float64 `json:"slowdown"`
	// SlowdownAgeMS is the time since the last response that changed Slowdown here;
	// absent without any.
	SlowdownAgeMS *int64 `json:"slowdown_age_ms,omitempty"`
	OldestWaitMS  int64  `json:"oldest_wait_ms,omitempty"`
	WarmingUp     bool   `json:"warming_up,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"`
	// Pacing is set while the target is paced.
	Pacing *Pacing `json:"pacing,omitempty"`
	Cached bool    `json:"cached,omitempty"`
	// CacheAgeMS is the time since the shared prefix was last used at the target; absent
	// if it is not known to have been.
	CacheAgeMS *int64 `json:"cache_age_ms,omitempty"`
	// AvoidedMS is the rest of the time for which the target is avoided after failures or
	// a rejection. A target that is down has none: a health check ends that.
	AvoidedMS int64 `json:"avoided_ms,omitempty"`
	// ListedAgeMS is the time since this listing of the target was first read.
	ListedAgeMS int64 `json:"listed_age_ms"`
}

// Pacing is the limit of the requests in flight at a target that has started, come
// back or become slow.
type Pacing struct {
	Limit    int `json:"limit"` // over all instances
	Share    int `json:"share"` // of this instance
	InFlight int `json:"in_flight"`
}

// Region is another region.
type Region struct {
	Name string `json:"name"`
	Rule string `json:"rule,omitempty"`
	// DelayMS is the delay that the region reports for a small request.
	DelayMS     int64 `json:"delay_ms"`
	RoundTripMS int64 `json:"round_trip_ms"`
	FreeSlots   int   `json:"free_slots"`
	// Source is the instance that reports the figures, and AgeMS their age.
	Source string `json:"source,omitempty"`
	AgeMS  int64  `json:"age_ms"`
}

// Instance is another instance.
type Instance struct {
	Name      string `json:"name"`
	Region    string `json:"region"`
	Domain    string `json:"domain"`
	Reachable bool   `json:"reachable"`
	Ready     bool   `json:"ready"`
	AgeMS     int64  `json:"age_ms"` // of its last heartbeat
	// Rule is the rule by which the request is not forwarded to the instance.
	Rule string `json:"rule,omitempty"`
}

// Millis returns d in milliseconds, rounded.
func Millis(d time.Duration) int64 { return d.Round(time.Millisecond).Milliseconds() }
