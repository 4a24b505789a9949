package configversion

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonhill/wigeonhill/internal/membership"
)

const (
	// watchersPerDomain watch the service in each failure domain; the second
	// one covers the time until the failure of the first is noticed.
	watchersPerDomain = 2
	// pushFanout is the number of members told of a new revision at once.
	pushFanout = 3
	// startSpread: the first reads of instances that start together are spread
	// over this time. 330 instances then make 110 calls/s; 200 are allowed, and
	// the watches begin in the same seconds.
	startSpread = 3 * time.Second
	// retryMin and retryMax: delays between the reads of an instance that
	// starts while the service is down.
	retryMin = 4 * time.Second
	retryMax = 10 * time.Second
	// fallbackDelay between reads of an instance that has no text and is not
	// chosen to watch.
	fallbackDelay = 30 * time.Second
)

// Watches reports whether the instance self is among the watchers of its
// failure domain. live are the members believed alive, with or without self.
func Watches(self membership.Member, live []membership.Member) bool {
	own, before := rank(self.Domain, self.Name), 0
	for _, m := range live {
		if m.Name == self.Name || m.Domain != self.Domain {
			continue
		}
		if r := rank(self.Domain, m.Name); r > own || r == own && m.Name < self.Name {
			before++
		}
	}
	return before < watchersPerDomain
}

func rank(domain, name string) uint64 { return xxhash.Sum64String("watch/" + domain + "/" + name) }

// NextRead returns the delay before an instance without a text reads the
// service. attempt is 0 for the first one; listed tells that the instance list
// is known and with it who watches. random is in [0, 1).
func NextRead(attempt int, listed, watches bool, random float64) time.Duration {
	switch {
	case !watches && (listed || attempt > 0):
		// The watchers push the text. This covers the case that all of them
		// are cut off from the service.
		return time.Duration((0.5 + random) * float64(fallbackDelay))
	case attempt == 0 && listed:
		return 0
	case attempt == 0:
		return time.Duration(random * float64(startSpread))
	}
	d := min(retryMax, retryMin<<min(attempt-1, 8))
	return d/2 + time.Duration(random*float64(d/2))
}
