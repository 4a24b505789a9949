package gateway

import (
	"testing"
	"time"
)

// Guards against a process that notices the signal late and is killed while its requests
// have no answer.
func TestDrainEndsEarlierInProcessThatLags(t *testing.T) {
	const grace = 8 * time.Second
	for _, c := range []struct {
		// noticed is how late the signal is noticed, and answering how long the process
		// takes to answer the requests that are ended.
		noticed, answering time.Duration
	}{{0, 200 * time.Millisecond}, {500 * time.Millisecond, 700 * time.Millisecond}, {2 * time.Second, 2200 * time.Millisecond}} {
		refuse, cutoff, end := drainTimes(grace, c.noticed)
		if cutoff < refuse || refuse+c.noticed > max(drainAcceptTime, c.noticed) {
			t.Errorf("lag %s: new requests are refused at %s, running ones ended at %s", c.noticed, refuse, cutoff)
		}
		if killed := grace - c.noticed; end > killed-drainMargin || cutoff+c.answering > end {
			t.Errorf("lag %s: requests are ended at %s, the drain at %s, the process is killed at %s", c.noticed, cutoff, end, killed)
		}
	}
}
