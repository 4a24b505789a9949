package fleet

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/load"
)

// Spec says what to start.
type Spec struct {
	// Bin is the directory of the programs wigeonhill and standin.
	Bin string
	// Dir holds settings, logs and journals.
	Dir string
	// Regions by name.
	Regions []string
	// InstancesPerRegion, EnginesPerRegion and OrdersPerRegion.
	InstancesPerRegion, EnginesPerRegion, OrdersPerRegion int
	// SeatsPerRegion is the number of instances that vote.
	SeatsPerRegion int
	Teams          []load.Team
	// Capacity of an engine and of an order service.
	EngineCapacity, OrderCapacity int
	// PerToken is the engines' time for an output token.
	PerToken time.Duration
	// MaxRun and ServiceMaxRun bound the run time of requests to engines and to
	// plain services. A new grantor hands out unaccounted slots of plain
	// services only after ServiceMaxRun, as they report no load.
	MaxRun, ServiceMaxRun time.Duration
	// ExtraSettings is appended to the settings of each instance.
	ExtraSettings string
}

// DemoSpec is the fleet of the demo: three regions with three instances each,
// twelve model replicas and three order replicas.
func DemoSpec(bin, dir string) Spec {
	regions := []string{"port-louis", "curepipe", "mahebourg"}
	return Spec{
		Bin: bin, Dir: dir, Regions: regions,
		InstancesPerRegion: 3, EnginesPerRegion: 4, OrdersPerRegion: 1, SeatsPerRegion: 3,
		EngineCapacity: 8, OrderCapacity: 8,
		PerToken: 5 * time.Millisecond, MaxRun: 20 * time.Second, ServiceMaxRun: 3 * time.Second,
		Teams: []load.Team{
			// Two large teams, one bound to a home region, one small, and one
			// that sends several times its rate.
			{Name: "care", Rate: 30000, Burst: 120000, Share: 0.35},
			{Name: "workshop", Rate: 20000, Burst: 90000, Share: 0.25},
			{Name: "clinic", Rate: 15000, Burst: 60000, Share: 0.15, Regions: regions[:1]},
			{Name: "retail", Rate: 15000, Burst: 60000, Share: 0.1},
			{Name: "batch", Rate: 500, Burst: 30000, Share: 0.15},
		},
	}
}
