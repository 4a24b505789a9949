package routereport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// secondCondition says when there is a second attempt.
const secondCondition = "if the first attempt fails without having run and a retry is allowed"

// WriteText writes a report for people.
func (r *Report) WriteText(out io.Writer) error {
	w := &errWriter{w: out}
	w.printf("instance   %s, region %s, failure domain %s, %s\n", r.Instance, r.Region, r.Domain, r.At.UTC().Format(time.RFC3339))
	w.printf("           this is the answer of one instance; another one may decide otherwise\n")
	if r.Draining {
		w.printf("           it is draining: callers are sent to other instances\n")
	}
	f := &r.Figures
	w.printf("figures    configuration %d (%s); targets from %s, revision %d of era %d (%s); %s\n",
		f.ConfigVersion, age(f.ConfigAgeMS), f.TargetsSource, f.TargetsRevision, f.TargetsEra, age(f.TargetsAgeMS), f.heartbeatText())
	w.printf("request    %s %s%s\n", r.Method, r.Host, r.Path)
	w.printf("route      %s, priority %d, objective %d ms, deadline in %d ms\n", r.Route, r.Priority, r.ObjectiveMS, r.TimeLeftMS)
	if p := r.Prompt; p != nil {
		w.printf("prompt     %d tokens", p.Tokens)
		if p.Prefix != "" {
			w.printf(", shared prefix %s of %d tokens", p.Prefix, p.PrefixTokens)
		}
		w.printf("\n")
	}
	w.printf("team       %s\n", r.teamText())
	w.printf("regions    %s\n", orNone(strings.Join(r.AllowedRegions, ", ")))
	if r.Refusal != nil {
		w.printf("REFUSED    %s\n", r.Refusal.text())
	}
	for i := range r.Placements {
		r.Placements[i].write(w, r.Refusal != nil)
	}
	w.table("instances", "NAME\tREGION\tAGE\tRULE", len(r.Instances), func(i int) string {
		m := &r.Instances[i]
		return fmt.Sprintf("%s\t%s\t%d ms\t%s", m.Name, m.Region, m.AgeMS, orNone(m.Rule))
	})
	return w.err
}

func (f *Figures) heartbeatText() string {
	if f.OldestHeartbeatMS == nil {
		return "no other instance of the region is reachable"
	}
	return fmt.Sprintf("oldest heartbeat in the region %d ms", *f.OldestHeartbeatMS)
}

func (r *Report) teamText() string {
	a := r.Allowance
	switch {
	case r.Team == "":
		return "none"
	case a == nil:
		return r.Team
	case a.Unlimited:
		return r.Team + ", no limit"
	}
	return fmt.Sprintf("%s, %.0f %s left of %.0f at %.0f a second (part of the rate %.2f); the request takes %.0f", r.Team, a.Level, a.Unit, a.Burst, a.Rate, a.Share, a.Request)
}

func (e *Refusal) text() string {
	s := fmt.Sprintf("%s (%d), status %d: %s", e.Name, e.Code, e.Status, e.Message)
	if e.RetryAfterMS > 0 {
		s += fmt.Sprintf("; Retry-After %d ms", e.RetryAfterMS)
	}
	return s
}

func (c *Choice) text() string {
	s := "target " + c.Target
	if c.Region != "" {
		s = "region " + c.Region + ", where another instance decides again"
	}
	s += fmt.Sprintf(", expected %d ms: %s", c.ExpectedMS, c.Reason)
	for _, x := range []struct {
		set  bool
		text string
	}{{c.Cached, "prefix cached"}, {c.FetchFrom != "", "prefix copied from " + c.FetchFrom}, {c.WarmingUp, "warming up"}, {c.Leaving, "leaving"}} {
		if x.set {
			s += ", " + x.text
		}
	}
	return s
}

func (p *Placement) write(w *errWriter, refused bool) {
	w.printf("\nservice    %s, weight %g\n", p.Service, p.Weight)
	if p.PrefixOwnerRegion != "" {
		w.printf("prefix     its owner is in region %s\n", p.PrefixOwnerRegion)
	}
	first := "placed"
	if refused {
		first = "otherwise"
	}
	switch {
	case p.First != nil:
		w.printf("%-10s %s\n", first, p.First.text())
	case p.Refusal != nil:
		w.printf("REFUSED    %s\n", p.Refusal.text())
	}
	switch {
	case p.Second != nil:
		w.printf("second     %s (%s)\n", p.Second.text(), secondCondition)
	case p.SecondRefusal != nil:
		w.printf("second     none: %s (%s)\n", p.SecondRefusal.text(), secondCondition)
	}
	w.table("targets", "ID\tEXPECTED\tRUNNING\tCAPACITY\tSLOWDOWN\tSTATE\tPREFIX\tRULE", len(p.Targets), func(i int) string { return p.Targets[i].row() })
	w.table("other regions", "NAME\tDELAY\tROUND TRIP\tFREE\tAGE\tSOURCE\tRULE", len(p.Regions), func(i int) string {
		x := &p.Regions[i]
		if x.Source == "" {
			return fmt.Sprintf("%s\t-\t-\t-\t-\t-\t%s", x.Name, orNone(x.Rule))
		}
		return fmt.Sprintf("%s\t%d ms\t%d ms\t%d\t%d ms\t%s\t%s", x.Name, x.DelayMS, x.RoundTripMS, x.FreeSlots, x.AgeMS, x.Source, orNone(x.Rule))
	})
}

func (t *Target) row() string {
	if !t.Estimated {
		rule := t.Rule
		if t.AvoidedMS > 0 {
			rule += fmt.Sprintf(" (%d ms)", t.AvoidedMS)
		}
		return fmt.Sprintf("%s\t-\t-\t-\t-\t-\t-\t%s", t.ID, rule)
	}
	slow := fmt.Sprintf("%.2f", t.Slowdown)
	if t.SlowdownAgeMS != nil {
		slow += fmt.Sprintf(" (%d ms)", *t.SlowdownAgeMS)
	}
	var state []string
	if t.WarmingUp {
		state = append(state, "warming up")
	}
	if t.Leaving {
		state = append(state, "leaving")
	}
	if t.Pacing != nil {
		state = append(state, fmt.Sprintf("paced: %d of %d (all instances: %d)", t.Pacing.InFlight, t.Pacing.Share, t.Pacing.Limit))
	}
	prefix := ""
	if t.Cached {
		prefix = "cached"
	}
	if t.CacheAgeMS != nil {
		prefix += fmt.Sprintf(" (%d ms)", *t.CacheAgeMS)
	}
	return fmt.Sprintf("%s\t%d ms\t%d (own %d)\t%d\t%s\t%s\t%s\t%s", t.ID, t.ExpectedMS, t.Running, t.OwnRunning, t.Capacity, slow,
		orNone(strings.Join(state, ", ")), orNone(prefix), orNone(t.Rule))
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func age(ms *int64) string {
	if ms == nil {
		return "age unknown"
	}
	return fmt.Sprintf("%d ms old", *ms)
}

// errWriter keeps the first error of a series of writes.
type errWriter struct {
	w   io.Writer
	err error
}

func (w *errWriter) printf(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.w, format, args...)
	}
}

// table writes n rows under a heading, and nothing if there are none.
func (w *errWriter) table(heading, columns string, n int, row func(i int) string) {
	if n == 0 || w.err != nil {
		return
	}
	w.printf("%s\n", heading)
	t := tabwriter.NewWriter(w.w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "  %s\n", columns)
	for i := range n {
		fmt.Fprintf(t, "  %s\n", row(i))
	}
	w.err = t.Flush()
}
