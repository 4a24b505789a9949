package routing

import "strconv"

// reasonLog collects the lines of Choice.Reasons in one buffer, which saves an
// allocation per line.
type reasonLog struct {
	buf  []byte
	ends []int
}

// typicalLineBytes is the typical length of a line, used to size the buffer.
const typicalLineBytes = 100

func (r *reasonLog) grow(lines int) {
	r.buf = make([]byte, 0, lines*typicalLineBytes)
	r.ends = make([]int, 0, lines)
}

func (r *reasonLog) add(name, reason string) {
	r.buf = append(append(append(r.buf, name...), ": "...), reason...)
	r.ends = append(r.ends, len(r.buf))
}

func (r *reasonLog) field(name string, n int) {
	r.buf = append(append(append(r.buf, ' '), name...), '=')
	r.buf = strconv.AppendInt(r.buf, int64(n), 10)
}

// score ends a line with the score in thousandths: formatting an integer is much
// cheaper than formatting a float.
func (r *reasonLog) score(s float64) {
	r.field("score_milli", int(s*1000))
	r.ends = append(r.ends, len(r.buf))
}

func (r *reasonLog) target(t *TargetView, score float64) {
	r.buf = append(append(r.buf, t.Target.Name...), ':')
	r.field("cached", t.CachedTokens)
	r.field("running", t.Running)
	r.field("queued", t.Queued)
	r.field("pending", t.PendingTokens)
	r.field("free", t.FreeSlots)
	r.score(score)
}

func (r *reasonLog) region(v *RegionView, score float64, reason string) {
	r.buf = append(append(append(append(r.buf, v.Region...), ": "...), reason...), ';')
	r.field("free", v.FreeSlots)
	r.field("in_flight", v.InFlight)
	r.field("link_percent", int(v.LinkLoad*100))
	r.score(score)
}

func (r *reasonLog) lines() []string {
	all := string(r.buf)
	out := make([]string, len(r.ends))
	from := 0
	for i, end := range r.ends {
		out[i] = all[from:end]
		from = end
	}
	return out
}
