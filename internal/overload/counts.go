package overload

import "time"

// counts are the totals of one service, for metrics.
type counts struct {
	refusals map[Reason]int
	starts   int
	waited   time.Duration
}

func (c *counts) refused(r Reason) {
	if c.refusals == nil {
		c.refusals = map[Reason]int{}
	}
	c.refusals[r]++
}

func (c *counts) started(waited time.Duration) {
	c.starts++
	c.waited += waited
}
