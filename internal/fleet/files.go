package fleet

import (
	"crypto/sha256"
	"fmt"
	"strings"

	"github.com/wigeonhill/wigeonhill/internal/load"
)

// ConfigText returns the configuration of the fleet in INI format.
func (f *Fleet) ConfigText() string {
	var b strings.Builder
	writef := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	for _, region := range f.Spec.Regions {
		var voters []string
		for _, in := range f.Instances {
			if in.Region == region && len(voters) < f.Spec.VotersPerRegion {
				voters = append(voters, in.PeerAddress)
			}
		}
		writef("[region %s]\nseats = %s\n", region, strings.Join(voters, ", "))
		writef("[residency only-%s]\nregions = %s\n", region, region)
	}
	for i, a := range f.Spec.Regions {
		for _, z := range f.Spec.Regions[i+1:] {
			writef("[link %s %s]\nbandwidth = 140Mbit\ndelay = 55ms\ncost = 1\n", a, z)
		}
	}
	for _, model := range []string{load.CareModel, load.QuestionModel} {
		writef("[model %s]\nmax_output = 256\nmax_run = %v\n", model, f.Spec.MaxRun)
	}
	writef("[service orders]\nmax_run = %v\n", f.Spec.ServiceMaxRun)
	writef("[route bookings]\nprefix = %s\nservice = orders\nmethods = GET, POST\nidempotent = GET\n", load.BookingPath)
	writef("[route stock]\nprefix = %s\nservice = orders\nmethods = GET\nidempotent = GET\n", load.StockPath)
	for _, t := range f.Teams {
		writef("[team %s]\nweight = 1\nrate = %g\nburst = %g", t.Name, t.Rate, t.Burst)
		if len(t.Regions) > 0 {
			writef("residency = only-%s", t.Regions[0])
		}
		if t.Key != "" {
			writef("\n[key %s]\nteam = %s\nsha256 = %x\n", t.Name, t.Name, sha256.Sum256([]byte(t.Key)))
		}
	}
	for _, e := range f.Engines {
		writef("[target %s]\nkind = engine\naddress = %s\nregion = %s\ndomain = %s\nmodels = %s, %s\ncapacity = %d\n",
			e.Name, e.Address, e.Region, e.Domain, load.CareModel, load.QuestionModel, f.Spec.EngineCapacity)
	}
	for _, o := range f.OrderServices {
		writef("[target %s]\nkind = service\naddress = %s\nregion = %s\ndomain = %s\nservice = orders\ncapacity = %d\n",
			o.Name, o.Address, o.Region, o.Domain, f.Spec.OrderServiceCapacity)
	}
	writef("[policy]\ncost_weight = 1\nsent_away_weight = 1\nlatency_weight = 1\nworst_team_weight = 1\nqueue_wait = 5s\nhop_slots = 64")
	return b.String()
}

// settingsText returns the settings file of an instance.
func (f *Fleet) settingsText(in *Proc) string {
	var bootstrap []string
	for _, other := range f.Instances {
		// Two instances per region are enough to discover the others.
		if other != in && strings.HasSuffix(other.Name, "-1") || strings.HasSuffix(other.Name, "-2") && other != in {
			bootstrap = append(bootstrap, other.PeerAddress)
		}
	}
	return fmt.Sprintf(`[instance]
name = %s
region = %s
domain = %s

[listen]
callers = %s
peers = %s
operators = %s

[platform]
config = http://%s

[peers]
bootstrap = %s
insecure = true
%s%s`, in.Name, in.Region, in.Domain, in.Address, in.PeerAddress, in.OperatorAddress, f.ConfigService.Address, strings.Join(bootstrap, ", "), f.Spec.ExtraSettings, in.settings)
}
