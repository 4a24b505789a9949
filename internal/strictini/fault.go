package strictini

import (
	"fmt"
	"sort"
	"strings"
)

// maxFaults bounds the faults that are kept for one text. A text of 1 MB could
// have more faults than lines.
const maxFaults = 1000

// Fault is one error in a text.
type Fault struct {
	Line    int // starts at 1; 0 if the fault is not in a particular line
	Message string
}

// Faults is the error for a rejected text: all its faults, ordered by line.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	var b strings.Builder
	for i, fault := range f {
		if i > 0 {
			b.WriteByte('\n')
		}
		if fault.Line > 0 {
			fmt.Fprintf(&b, "line %d: ", fault.Line)
		}
		b.WriteString(fault.Message)
	}
	return b.String()
}

// Collector collects the faults of one text.
type Collector struct {
	faults  Faults
	dropped int
}

// Add records a fault in the given line; 0 stands for no particular line.
func (c *Collector) Add(line int, format string, args ...any) {
	if len(c.faults) == maxFaults {
		c.dropped++
		return
	}
	c.faults = append(c.faults, Fault{line, fmt.Sprintf(format, args...)})
}

// Err returns the faults ordered by line, as Faults, or nil if there are none.
func (c *Collector) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	sort.SliceStable(c.faults, func(i, j int) bool { return c.faults[i].Line < c.faults[j].Line })
	if c.dropped > 0 {
		return append(c.faults, Fault{0, fmt.Sprintf("%d further faults are not listed", c.dropped)})
	}
	return c.faults
}
