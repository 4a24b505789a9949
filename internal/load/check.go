package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// recordClient fetches the records of the targets.
var recordClient = httpclient.New(standin.ClientConfig)

// FetchRecords returns the record of every target. For a target that does not
// respond it builds the record from the target's journal.
func FetchRecords(ctx context.Context, p *Plan) ([]*standin.Record, error) {
	var out []*standin.Record
	for _, t := range p.Targets {
		rec, err := fetchRecord(ctx, t.Address)
		if err != nil && t.Journal != "" {
			rec = &standin.Record{Name: t.Name, Region: t.Region, Capacity: t.Capacity}
			rec.Runs, err = standin.ReadJournal(t.Journal)
			for _, run := range rec.Runs {
				rec.HighestInFlight = max(rec.HighestInFlight, run.InFlight)
				if run.InFlight > t.Capacity {
					rec.Overruns++
				}
			}
		}
		if err != nil {
			return nil, fmt.Errorf("record of %s: %w", t.Name, err)
		}
		out = append(out, rec)
	}
	return out, nil
}

func fetchRecord(ctx context.Context, address string) (*standin.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/record", nil)
	if err != nil {
		return nil, err
	}
	resp, err := recordClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	rec := &standin.Record{}
	return rec, json.NewDecoder(resp.Body).Decode(rec)
}

// recordedRun is a run with the region of the target that recorded it.
type recordedRun struct {
	*standin.Run
	region string
}

// check compares the outcomes with the records of the targets and counts
// violations and remote runs.
func (res *Result) check(p *Plan, requests []*Request, outcomes []Outcome, records []*standin.Record) {
	runs := map[string][]recordedRun{}
	for _, rec := range records {
		for _, run := range rec.Runs {
			runs[run.Tag.ID] = append(runs[run.Tag.ID], recordedRun{run, rec.Region})
		}
		res.checkRecord(rec)
	}
	served := 0
	for i, r := range requests {
		reqRuns := runs[r.Tag.ID]
		o := &outcomes[i]
		res.checkRequest(r, o, reqRuns)
		if o.Class != Answered || len(reqRuns) == 0 {
			continue
		}
		served++
		last := slices.MaxFunc(reqRuns, func(a, b recordedRun) int { return int(a.StartMs - b.StartMs) })
		if last.region != r.CallerRegion {
			res.RemoteRequests++
			if len(r.Team.Regions) > 0 && !slices.Contains(r.Team.Regions, r.CallerRegion) {
				res.RemoteByResidency++
			}
		}
	}
	if served > 0 {
		res.RemoteFraction = float64(res.RemoteRequests) / float64(served)
		res.RemoteByResidencyFraction = float64(res.RemoteByResidency) / float64(served)
	}
	for i := range res.Teams {
		res.Teams[i].checkTokens(runs)
	}
}

func (res *Result) checkRecord(rec *standin.Record) {
	res.KeysSeen += rec.SawKey + rec.SawAuthorization
	res.Overruns += rec.Overruns
	if over := rec.HighestInFlight - rec.Capacity; over > res.MaxOverCapacity || res.WorstTarget == "" {
		res.MaxOverCapacity, res.WorstTarget = over, fmt.Sprintf("%s %d/%d", rec.Name, rec.HighestInFlight, rec.Capacity)
	}
}

func (res *Result) checkRequest(r *Request, o *Outcome, reqRuns []recordedRun) {
	if r.Kind == Booking && len(reqRuns) > 1 {
		res.DuplicateBookings++
		res.addNote(r, o, fmt.Sprintf("booking ran %d times", len(reqRuns)))
	}
	// A refused retry of an idempotent request does not rule out that an earlier
	// attempt ran.
	if o.Class == Refused && len(reqRuns) > 0 && (o.Attempts == 1 || r.Keyed) {
		res.FalseNotRun++
		res.addNote(r, o, "refused as not_run, but a target ran it")
	}
	// A response that no target produced counts as lost.
	if o.Class == Answered && len(reqRuns) == 0 {
		o.Class, o.Detail = Lost, "answered, but no target recorded a run"
	}
	for _, run := range reqRuns {
		if len(r.Team.Regions) > 0 && !slices.Contains(r.Team.Regions, run.region) {
			res.OutOfRegion++
			res.addNote(r, o, "ran in "+run.region)
		}
	}
}

// checkTokens sums the tokens that engines recorded for the team. A request
// counts once, at the start of its first run, with its prompt and all of its
// output, however many attempts it took. Peak is the maximum, over all
// intervals, of tokens minus rate x t; invariant I7 bounds it by the burst.
func (t *TeamResult) checkTokens(runs map[string][]recordedRun) {
	type use struct {
		at     int64
		tokens float64
	}
	var uses []use
	for _, reqRuns := range runs {
		if reqRuns[0].Tag.Team != t.Name {
			continue
		}
		u := use{at: reqRuns[0].StartMs}
		for _, run := range reqRuns {
			u.at = min(u.at, run.StartMs)
			u.tokens = max(u.tokens, float64(run.PromptTokens+run.ResumedFrom+run.OutputTokens))
		}
		if u.tokens > 0 {
			uses = append(uses, u)
		}
	}
	sort.Slice(uses, func(i, j int) bool { return uses[i].at < uses[j].at })
	level := 0.0
	for i, u := range uses {
		if i > 0 {
			level = max(0, level-t.Rate*float64(u.at-uses[i-1].at)/1000)
		}
		level += u.tokens
		t.Tokens += u.tokens
		t.Peak = max(t.Peak, level)
	}
	if n := len(uses); n > 0 {
		t.Limit = t.Burst + t.Rate*float64(uses[n-1].at-uses[0].at)/1000
	}
}
