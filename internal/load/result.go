package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// maxNotes is the maximum number of example requests kept in a result.
const maxNotes = 20

// maxLatency is the largest latency that a histogram holds; larger ones are
// recorded as maxLatency.
const maxLatency = 10 * time.Minute

// Result is the result of a run. Counts are numbers of requests unless stated
// otherwise.
type Result struct {
	Options           Options        `json:"options"`
	Sent              int            `json:"sent"`
	Classes           map[Class]int  `json:"classes"`
	Codes             map[string]int `json:"codes"` // errors by result code
	Retried           int            `json:"resent"`
	Interrupted       int            `json:"cut_off"` // broke off after the header, also if a retry succeeded
	DuplicateBookings int            `json:"doubled"`
	OutOfRegion       int            `json:"out_of_region"`
	FalseNotRun       int            `json:"false_not_run"`
	KeysSeen          int            `json:"keys_seen"`
	// Overruns counts arrivals at a target that exceeded its capacity.
	// MaxOverCapacity is the largest excess of requests in flight over a
	// target's capacity; it is negative if all targets had free slots
	// throughout the run.
	Overruns        int     `json:"overruns"`
	MaxOverCapacity int     `json:"highest_over"`
	WorstTarget     string  `json:"worst_target"`
	RemoteRequests  int     `json:"sent_away"`
	RemoteFraction  float64 `json:"sent_away_share"`
	// RemoteByResidency counts remote requests whose team may not run in the
	// caller's region.
	RemoteByResidency         int                `json:"sent_by_residency"`
	RemoteByResidencyFraction float64            `json:"residency_share"`
	Latency                   map[string]Summary `json:"latency_ms"` // by kind
	// Instances counts requests by the instance of their last attempt.
	Instances        map[string]int `json:"instances"`
	TimeToFirstToken Summary        `json:"first_token_ms"`
	LongestGap       Summary        `json:"longest_gap_ms"`
	Teams            []TeamResult   `json:"teams"`
	Notes            []string       `json:"notes,omitempty"`
}

// TeamResult is the result of one team.
type TeamResult struct {
	Name     string  `json:"name"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Tokens   float64 `json:"tokens"`
	// Limit is burst + rate x t for the time between the first and the last
	// start.
	Limit float64 `json:"limit"`
	// Peak is the maximum, over all intervals, of tokens used minus rate x t;
	// invariant I7 bounds it by Burst.
	Peak             float64 `json:"peak"`
	TimeToFirstToken Summary `json:"first_token_ms"`
}

// Summary holds percentiles of a latency in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

func (h histogram) add(d time.Duration) {
	_ = h.h.RecordValue(max(1, min(d, maxLatency).Microseconds()))
}

func (h histogram) summary() Summary {
	at := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / 1000 }
	return Summary{h.h.TotalCount(), at(50), at(95), at(99), float64(h.h.Max()) / 1000}
}

// NewResult checks the outcomes against the records of the targets and returns
// the result of the run.
func NewResult(p *Plan, o Options, requests []*Request, outcomes []Outcome, records []*standin.Record) *Result {
	res := &Result{Options: o, Sent: len(requests), Classes: map[Class]int{}, Codes: map[string]int{}, Latency: map[string]Summary{}, Instances: map[string]int{}}
	names := map[string]string{}
	for _, in := range p.Instances {
		names[in.Callers] = in.Name
		res.Instances[in.Name] = 0
	}
	for _, t := range p.Teams {
		res.Teams = append(res.Teams, TeamResult{Name: t.Name, Rate: t.Rate, Burst: t.Burst})
	}
	res.check(p, requests, outcomes, records)
	latency := map[Kind]histogram{}
	firstToken, longestGap := newHistogram(), newHistogram()
	teamFirstToken := map[string]histogram{}
	for _, t := range p.Teams {
		teamFirstToken[t.Name] = newHistogram()
	}
	for i, r := range requests {
		out := &outcomes[i]
		res.Classes[out.Class]++
		if out.Code != 0 {
			res.Codes[fmt.Sprint(out.Code)]++
		}
		if out.Attempts > 1 {
			res.Retried++
		}
		res.Instances[names[out.Instance]]++
		if out.Interrupted {
			res.Interrupted++
		}
		t := res.team(r.Team.Name)
		t.Sent++
		switch out.Class {
		case Answered:
			t.Answered++
			if _, ok := latency[r.Kind]; !ok {
				latency[r.Kind] = newHistogram()
			}
			latency[r.Kind].add(out.Latency)
			if out.TimeToFirstToken > 0 {
				firstToken.add(out.TimeToFirstToken)
				teamFirstToken[t.Name].add(out.TimeToFirstToken)
				longestGap.add(out.LongestGap)
			}
		case Refused:
			t.Refused++
		default:
			res.addNote(r, out, out.Detail)
		}
	}
	for k, h := range latency {
		res.Latency[string(k)] = h.summary()
	}
	for i := range res.Teams {
		res.Teams[i].TimeToFirstToken = teamFirstToken[res.Teams[i].Name].summary()
	}
	res.TimeToFirstToken, res.LongestGap = firstToken.summary(), longestGap.summary()
	return res
}

func (res *Result) team(name string) *TeamResult {
	for i := range res.Teams {
		if res.Teams[i].Name == name {
			return &res.Teams[i]
		}
	}
	return nil
}

func (res *Result) addNote(r *Request, o *Outcome, text string) {
	if len(res.Notes) < maxNotes {
		res.Notes = append(res.Notes, fmt.Sprintf("%s %s due %v, request id %q, sends %d, %s: %s", r.Tag, r.Kind, r.At.Round(time.Millisecond), o.RequestID, o.Attempts, o.Class, text))
	}
}

// Violations describes each kind of violated guarantee in one line. It returns
// nil if there are none.
func (res *Result) Violations() []string {
	var out []string
	add := func(n int, what string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(res.Classes[Lost], "lost")
	add(res.DuplicateBookings, "doubled bookings")
	add(res.Classes[Mismatched], "crossed")
	add(res.Classes[Truncated], "truncated")
	add(res.OutOfRegion, "served out of region")
	add(res.FalseNotRun, "refused as not_run but run")
	add(res.KeysSeen, "requests in which a target saw a key")
	add(res.Overruns, "arrivals above a target's capacity")
	for _, t := range res.Teams {
		if t.Peak > t.Burst {
			out = append(out, fmt.Sprintf("team %s used %.0f tokens above its rate, burst %.0f", t.Name, t.Peak, t.Burst))
		}
	}
	return out
}

// Write writes the result to a JSON file.
func (res *Result) Write(path string) error {
	raw, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// ReadResult reads a file written by Write.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	res := &Result{}
	return res, json.Unmarshal(raw, res)
}

// row is a labeled line of the printed report.
type row struct{ name, value string }

func (res *Result) rows() []row {
	out := []row{{"sent", fmt.Sprint(res.Sent)}}
	for _, c := range []Class{Answered, Refused, InDoubt, Lost, Mismatched, Truncated} {
		out = append(out, row{string(c), fmt.Sprint(res.Classes[c])})
	}
	var counts []int
	for _, n := range res.Instances {
		counts = append(counts, n)
	}
	sort.Ints(counts)
	codes := make([]string, 0, len(res.Codes))
	for c := range res.Codes {
		codes = append(codes, c)
	}
	sort.Strings(codes)
	for i, c := range codes {
		codes[i] = fmt.Sprintf("%s:%d", c, res.Codes[c])
	}
	out = append(out,
		row{"errors by code", strings.Join(codes, " ")},
		row{"requests by instance", strings.Trim(fmt.Sprint(counts), "[]")},
		row{"resent by callers", fmt.Sprint(res.Retried)},
		row{"broke off after the header", fmt.Sprint(res.Interrupted)},
		row{"doubled bookings", fmt.Sprint(res.DuplicateBookings)},
		row{"out of region", fmt.Sprint(res.OutOfRegion)},
		row{"false not_run", fmt.Sprint(res.FalseNotRun)},
		row{"keys seen by targets", fmt.Sprint(res.KeysSeen)},
		row{"arrivals over capacity", fmt.Sprint(res.Overruns)},
		row{"highest in flight/capacity", res.WorstTarget},
		row{"sent to another region", fmt.Sprintf("%.1f%%, by residency %.1f%%", 100*res.RemoteFraction, 100*res.RemoteByResidencyFraction)},
		row{"first token p50/p95/p99 ms", res.TimeToFirstToken.String()},
	)
	for _, k := range Kinds {
		out = append(out, row{string(k) + " p50/p95/p99 ms", res.Latency[string(k)].String()})
	}
	for _, t := range res.Teams {
		out = append(out, row{"team " + t.Name, fmt.Sprintf("%d sent, %d answered, %d refused, %.0f of %.0f tokens, peak %.0f of %.0f, first token %v",
			t.Sent, t.Answered, t.Refused, t.Tokens, t.Limit, t.Peak, t.Burst, t.TimeToFirstToken)})
	}
	return out
}

// String returns the percentiles as p50/p95/p99.
func (s Summary) String() string { return fmt.Sprintf("%.0f/%.0f/%.0f", s.P50, s.P95, s.P99) }

// Print writes a table with one column for each result.
func Print(w io.Writer, results ...*Result) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	columns := make([]map[string]string, len(results))
	var names []string
	seen := map[string]bool{}
	for i, res := range results {
		columns[i] = map[string]string{}
		for _, r := range res.rows() {
			columns[i][r.name] = r.value
			if !seen[r.name] {
				seen[r.name] = true
				names = append(names, r.name)
			}
		}
	}
	for _, name := range names {
		_, _ = fmt.Fprint(tw, name)
		for _, c := range columns {
			_, _ = fmt.Fprint(tw, "\t", c[name])
		}
		_, _ = fmt.Fprintln(tw)
	}
	return tw.Flush()
}
