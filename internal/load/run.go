package load

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// Run sends each request at its due time, even if earlier requests have not
// ended, and returns the outcomes in the order of the requests.
func Run(ctx context.Context, p *Plan, o Options, requests []*Request) []Outcome {
	client := httpclient.New(standin.ClientConfig)
	defer client.CloseIdleConnections()
	callers := map[callerID]*caller{}
	for _, r := range requests {
		id := r.caller()
		if callers[id] == nil {
			callers[id] = &caller{client, newDirectory(client, p, id, r.Team.Key)}
		}
	}
	out := make([]Outcome, len(requests))
	var wg sync.WaitGroup
	start := time.Now()
	for i, r := range requests {
		select {
		case <-time.After(time.Until(start.Add(r.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			out[i] = Outcome{Class: Lost, Detail: "not sent: " + ctx.Err().Error()}
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			rctx, cancel := context.WithTimeout(ctx, o.Timeout)
			defer cancel()
			out[i] = callers[r.caller()].send(rctx, r, start.Add(r.At))
		}()
	}
	wg.Wait()
	return out
}

// Report holds the result of a run with the requests, outcomes and records from
// which it was computed.
type Report struct {
	*Result
	Requests []*Request
	Outcomes []Outcome
	Records  []*standin.Record
}

// RunAndCheck generates and sends the requests, then checks the outcomes against
// the records of the targets.
func RunAndCheck(ctx context.Context, p *Plan, o Options) (*Report, error) {
	rep := &Report{Requests: Generate(p, o)}
	rep.Outcomes = Run(ctx, p, o, rep.Requests)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	var err error
	if rep.Records, err = FetchRecords(ctx, p); err != nil {
		return nil, err
	}
	rep.Result = NewResult(p, o, rep.Requests, rep.Outcomes, rep.Records)
	return rep, nil
}
