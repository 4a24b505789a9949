package admission

import "time"

// demandBuckets holds a token bucket per team, with the team's whole rate and
// burst, that counts the team's requests at this instance. It has no influence on
// admission; it only distinguishes refusals caused by the team's own demand from
// others. A team that sends to several instances counts as within its rate too
// often.
type demandBuckets struct {
	teams map[string]*demandBucket
}

type demandBucket struct {
	level     float64 // tokens available at updatedAt
	updatedAt time.Duration
}

// recordArrival counts an arriving request and reports whether the team is
// within its rate and burst.
func (d *demandBuckets) recordArrival(team string, tokens, rate, burst float64, now time.Duration) bool {
	if d.teams == nil {
		d.teams = map[string]*demandBucket{}
	}
	b := d.teams[team]
	if b == nil {
		b = &demandBucket{level: burst, updatedAt: now}
		d.teams[team] = b
	}
	b.level = min(b.level+rate*(now-b.updatedAt).Seconds(), burst)
	b.updatedAt = now
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// sweep deletes the buckets of teams idle for teamIdleTimeout.
func (d *demandBuckets) sweep(now time.Duration) {
	for name, b := range d.teams {
		if now-b.updatedAt > teamIdleTimeout {
			delete(d.teams, name)
		}
	}
}
