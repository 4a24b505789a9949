package configversion

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonhill/wigeonhill/internal/membership"
)

const (
	// watchersPerDomain is the number of instances that watch the service in
	// each failure domain; the second one covers the time until the failure of
	// the first is detected.
	watchersPerDomain = 2
	// notifyFanout is the number of members notified of a new revision at once.
	notifyFanout = 3
	// firstReadSpread is the time over which instances that start together spread
	// their first reads. 330 instances then make 110 calls/s; 200 are allowed,
	// and the first watch calls fall into the same seconds.
	firstReadSpread = 3 * time.Second
	// minReadRetryDelay and maxReadRetryDelay bound the backoff between the reads
	// of an instance that starts while the service is down.
	minReadRetryDelay = 4 * time.Second
	maxReadRetryDelay = 10 * time.Second
	// nonWatcherReadInterval is the mean time between reads of an instance that
	// has no version and is not a watcher.
	nonWatcherReadInterval = 30 * time.Second
)

// IsWatcher reports whether the instance self is among the watchers of its
// failure domain. live are the members considered alive, with or without self.
func IsWatcher(self membership.Member, live []membership.Member) bool {
	selfRank, higher := watcherRank(self.Domain, self.Name), 0
	for _, m := range live {
		if m.Name == self.Name || m.Domain != self.Domain {
			continue
		}
		if r := watcherRank(self.Domain, m.Name); r > selfRank || r == selfRank && m.Name < self.Name {
			higher++
		}
	}
	return higher < watchersPerDomain
}

func watcherRank(domain, name string) uint64 {
	return xxhash.Sum64String("watch/" + domain + "/" + name)
}

// ReadDelay returns the delay before an instance without a version reads the
// service. attempt is 0 for the first read. listed is true if the instance list,
// which determines the watchers, is known; watches is true if the instance is a
// watcher. random is in [0, 1).
func ReadDelay(attempt int, listed, watches bool, random float64) time.Duration {
	switch {
	case !watches && (listed || attempt > 0):
		// The watchers notify peers of new versions. This read covers the case
		// that none of them can reach the service.
		return time.Duration((0.5 + random) * float64(nonWatcherReadInterval))
	case attempt == 0 && listed:
		return 0
	case attempt == 0:
		return time.Duration(random * float64(firstReadSpread))
	}
	d := min(maxReadRetryDelay, minReadRetryDelay<<min(attempt-1, 8))
	return d/2 + time.Duration(random*float64(d/2))
}
