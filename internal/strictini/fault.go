package strictini

import (
	"fmt"
	"sort"
	"strings"
)

// maxFaults bounds the faults kept of one text. A text of 1 MB could have
// more faults than lines.
const maxFaults = 1000

// Fault is one thing wrong with a text.
type Fault struct {
	Line    int // 1 is the first line; 0 if the text as a whole is at fault
	Message string
}

// Faults is the error of a rejected text: all its faults in order of lines.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	var b strings.Builder
	for i, one := range f {
		if i > 0 {
			b.WriteByte('\n')
		}
		if one.Line > 0 {
			fmt.Fprintf(&b, "line %d: ", one.Line)
		}
		b.WriteString(one.Message)
	}
	return b.String()
}

// Collector gathers faults.
type Collector struct {
	faults  Faults
	dropped int
}

// Add records a fault of a line.
func (c *Collector) Add(line int, format string, args ...any) {
	if len(c.faults) == maxFaults {
		c.dropped++
		return
	}
	c.faults = append(c.faults, Fault{line, fmt.Sprintf(format, args...)})
}

// Err returns the faults in order of lines, or nil if there are none.
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
