package routing

import "strconv"

// reasons collects the lines of Choice.Reasons in one buffer.
type reasons struct {
	buf  []byte
	ends []int
}

// lineBytes is the usual length of a line.
const lineBytes = 100

func (r *reasons) grow(lines int) {
	r.buf = make([]byte, 0, lines*lineBytes)
	r.ends = make([]int, 0, lines)
}

func (r *reasons) add(name, why string) {
	r.buf = append(append(append(r.buf, name...), ": "...), why...)
	r.ends = append(r.ends, len(r.buf))
}

func (r *reasons) field(name string, n int) {
	r.buf = append(append(append(r.buf, ' '), name...), '=')
	r.buf = strconv.AppendInt(r.buf, int64(n), 10)
}

// score is written in thousandths, which is much cheaper than as a float.
func (r *reasons) score(s float64) {
	r.field("score_milli", int(s*1000))
	r.ends = append(r.ends, len(r.buf))
}

func (r *reasons) target(t *TargetView, score float64) {
	r.buf = append(append(r.buf, t.Target.Name...), ':')
	r.field("cached", t.CachedTokens)
	r.field("running", t.Running)
	r.field("queued", t.Queued)
	r.field("pending", t.PendingTokens)
	r.field("free", t.FreeSlots)
	r.score(score)
}

func (r *reasons) region(v *RegionView, score float64, why string) {
	r.buf = append(append(append(append(r.buf, v.Region...), ": "...), why...), ';')
	r.field("free", v.FreeSlots)
	r.field("in_flight", v.InFlight)
	r.field("link_percent", int(v.LinkLoad*100))
	r.score(score)
}

func (r *reasons) lines() []string {
	all := string(r.buf)
	out := make([]string, len(r.ends))
	from := 0
	for i, end := range r.ends {
		out[i] = all[from:end]
		from = end
	}
	return out
}
