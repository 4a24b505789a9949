package fleet

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/load"
)

// Spec describes the processes of a fleet.
type Spec struct {
	// Bin is the directory that holds the programs wigeonhill and standin.
	Bin string
	// Dir is the directory for settings, logs and journals.
	Dir string
	// Regions are the names of the regions.
	Regions []string
	// Number of processes of each kind in each region.
	InstancesPerRegion, EnginesPerRegion, OrderServicesPerRegion int
	// VotersPerRegion is the number of instances in each region that vote for
	// its leader.
	VotersPerRegion int
	Teams           []load.Team
	// Capacity of each engine and each order service, in requests in flight.
	EngineCapacity, OrderServiceCapacity int
	// PerToken is the time in which an engine generates one output token.
	PerToken time.Duration
	// MaxRun and ServiceMaxRun bound the run time of requests to engines and to
	// plain services. Plain services report no load, so a new leader grants
	// their unaccounted slots only after ServiceMaxRun.
	MaxRun, ServiceMaxRun time.Duration
	// ExtraSettings is appended to the settings file of each instance.
	ExtraSettings string
	// SettingsInTurn are appended too, one to each instance of a region in turn, so
	// that instances are of unequal capacity.
	SettingsInTurn []string
}

// DemoSpec returns the fleet of the demo: three regions, each with three
// instances, four engines and one order service (twelve engines and three order
// services in all).
func DemoSpec(bin, dir string) Spec {
	regions := []string{"port-louis", "curepipe", "mahebourg"}
	return Spec{
		Bin: bin, Dir: dir, Regions: regions,
		InstancesPerRegion: 3, EnginesPerRegion: 4, OrderServicesPerRegion: 1, VotersPerRegion: 3,
		EngineCapacity: 8, OrderServiceCapacity: 8,
		PerToken: 5 * time.Millisecond, MaxRun: 20 * time.Second, ServiceMaxRun: 3 * time.Second,
		Teams: []load.Team{
			// Two large teams, one restricted to one region, one small team, and
			// one that sends several times its rate.
			{Name: "care", Rate: 30000, Burst: 120000, LoadWeight: 0.35},
			{Name: "workshop", Rate: 20000, Burst: 90000, LoadWeight: 0.25},
			{Name: "clinic", Rate: 15000, Burst: 60000, LoadWeight: 0.15, Regions: regions[:1]},
			{Name: "retail", Rate: 15000, Burst: 60000, LoadWeight: 0.1},
			{Name: "batch", Rate: 500, Burst: 30000, LoadWeight: 0.15},
		},
	}
}
