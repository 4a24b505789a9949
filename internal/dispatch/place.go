package dispatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/admission"
	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routing"
)

// maxRounds bounds how often a request goes back to the queue because its
// admission expired or the edition changed while it waited.
const maxRounds = 8

// maxApart bounds the rounds in which a request avoids the targets of its
// companions in a crash; where only such targets are left, it must run there.
const maxApart = 3

// place is where an attempt is made: a target, or an instance of a region.
type place struct {
	target *config.Target // nil for a hop
	region string
	weight float64
	maxRun time.Duration
	// permit by the edition that confirmed the place.
	permit auth.Permit
	// attempt and end are those of Suspects.Begin.
	attempt uint64
	end     func()
}

func (p place) name() string {
	if p.target != nil {
		return p.target.Name
	}
	return p.region
}

// place chooses a place and obtains admission for it. When it returns without
// an error, the request may be sent at once.
func (r *run) place(ctx context.Context) (place, error) {
	for round := range maxRounds {
		e, p, err := r.l.current(r.c, r.fingerprint)
		if err != nil {
			return place{}, err
		}
		if r.spent && !p.Idempotent {
			return place{}, r.last // the route was idempotent before
		}
		choice, err := r.choose(e, p)
		if err != nil {
			return place{}, err
		}
		err = r.admit(ctx, e, p, choice.Targets)
		if r.tryElsewhere(err, p, choice) {
			continue
		}
		if err != nil {
			return place{}, err
		}
		pl, ok, err := r.confirm(choice.Region)
		if ok && pl.target != nil {
			pl.attempt, pl.end, ok = r.l.CrashSuspects.BeginAttempt(pl.target.Name, r.fingerprint, round >= maxApart)
		}
		if err != nil || ok {
			return pl, err
		}
		r.giveBack()
	}
	return place{}, result.New(result.DeadlineTooNear, result.NotRun, "the request could not be sent while its admission was valid")
}

// choose asks for a choice and drops what the edition does not allow.
func (r *run) choose(e *config.Config, p auth.Permit) (routing.Choice, error) {
	own := r.l.Instance.Region
	q := routing.Query{
		Team: p.Team, Model: p.Model, Service: p.Service, PrefixHashes: r.c.PrefixHashes,
		PromptTokens: r.c.PromptTokens, OutputTokens: r.c.OutputTokens,
		AllowedRegions: r.reach(p), Exclude: maps.Clone(r.exclude), LocalOnly: r.hop == nil,
	}
	for _, target := range r.l.CrashSuspects.TargetsToAvoid(r.fingerprint) {
		q.Exclude[target] = true
	}
	for target := range r.full {
		q.Exclude[target] = true
	}
	choice := r.l.Chooser.Choose(q)
	if len(choice.Targets) == 0 && choice.Region == "" && len(q.Exclude) > len(r.exclude) {
		q.Exclude = maps.Clone(r.exclude)
		choice = r.l.Chooser.Choose(q)
	}
	r.query = q
	r.l.Requests.Note(r.c.ID, "choice", strings.Join(choice.Reasons, "; "))
	choice.Targets = slices.DeleteFunc(slices.Clone(choice.Targets), func(name string) bool {
		return r.exclude[name] || !serves(e.Targets[name], p, own)
	})
	if len(choice.Targets) > 0 {
		choice.Region = ""
		return choice, nil
	}
	if choice.Region == "" || choice.Region == own || r.exclude[choice.Region] || !p.Allowed[choice.Region] {
		return choice, r.nowhere(e, p)
	}
	if r.hop == nil {
		return choice, result.New(result.HopRefused, result.NotRun, "a forwarded request is not forwarded again")
	}
	return choice, nil
}

// reach is where the request may go from here.
func (r *run) reach(p auth.Permit) map[string]bool {
	if r.hop != nil {
		return p.Allowed
	}
	own := r.l.Instance.Region
	return map[string]bool{own: p.Allowed[own]}
}

func serves(t *config.Target, p auth.Permit, region string) bool {
	if t == nil || t.Region != region || !p.Allowed[region] {
		return false
	}
	if p.Model != "" {
		return t.Kind == config.Engine && t.Models[p.Model]
	}
	return t.Kind == config.Plain && t.Service == p.Service
}

// nowhere tells a rule that excludes every target from targets that are missing.
func (r *run) nowhere(e *config.Config, p auth.Permit) error {
	for _, t := range e.Targets {
		if serves(t, p, t.Region) {
			return result.New(result.NoTarget, result.NotRun, "no target is available").WithRetryAfter(time.Second)
		}
	}
	return result.New(result.NoRegionAllowed, result.NotRun, "no allowed region has a target for the request")
}

// admit obtains the admission, or a slot for a further attempt.
func (r *run) admit(ctx context.Context, e *config.Config, p auth.Permit, targets []string) error {
	req := admission.Request{Team: p.Team, Tokens: r.c.TokenCost(), Targets: targets, Prepaid: r.c.Prepaid, Weight: weight(e, p)}
	if e.Policy.QueueWait > 0 {
		req.Deadline = time.Now().Add(r.wait(e.Policy.QueueWait, p, targets))
	}
	if d, ok := ctx.Deadline(); ok && (req.Deadline.IsZero() || d.Before(req.Deadline)) {
		req.Deadline = d
	}
	if by := r.c.StartDeadline; !by.IsZero() && !r.spent && by.Before(req.Deadline) {
		req.Deadline = by
	}
	if !r.admitted {
		t, err := r.l.Admitter.Admit(ctx, req)
		if err != nil {
			return waitFault(ctx, err)
		}
		r.ticket, r.admitted = t, true
		r.l.Requests.Note(r.c.ID, "admitted", "waited "+t.Waited.String())
		return nil
	}
	if len(targets) == 0 {
		return nil
	}
	slot, err := r.l.Admitter.AcquireSlot(ctx, req)
	if err != nil {
		return waitFault(ctx, err)
	}
	r.ticket.Slot, r.ticket.HasSlot = slot, true
	return nil
}

// waitFault prefers the reason for which a waiting request was ended.
func waitFault(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextFault(ctx, false)
	}
	return err
}

func weight(e *config.Config, p auth.Permit) float64 {
	if t := e.Teams[p.Team]; t != nil && t.Weight > 0 {
		return t.Weight
	}
	return 1
}

// confirm is the last check before the first byte, by the newest edition: the
// request may have waited. It is false if the request must go back to the queue.
func (r *run) confirm(region string) (place, bool, error) {
	// The check of running requests must see the region before this check reads
	// the edition; an edition that arrives in between would be seen by neither.
	at := region
	if at == "" {
		at = r.l.Instance.Region
	}
	r.region.Store(&at)
	e, p, err := r.l.current(r.c, r.fingerprint)
	if err != nil {
		return place{}, false, err
	}
	pl := place{region: region, weight: weight(e, p), maxRun: maxRun(e, p), permit: p}
	if region == "" {
		if !r.ticket.HasSlot {
			return pl, false, result.New(result.InternalFault, result.NotRun, "admission gave no slot")
		}
		t := e.Targets[r.ticket.Slot.Target]
		if !serves(t, p, r.l.Instance.Region) || !r.l.Slots.Usable(r.ticket.Slot) {
			return pl, false, nil
		}
		pl.target, pl.region = t, t.Region
	} else {
		pl.maxRun = 0 // counted by the receiver from its own dispatch
	}
	if !p.Allowed[pl.region] {
		return pl, false, nil
	}
	if by := r.c.StartDeadline; !by.IsZero() && !r.spent && time.Now().After(by) {
		return pl, false, result.New(result.DeadlineTooNear, result.NotRun, "the admission at the sender has ended")
	}
	// A request that was sent once has spent its tokens within their validity.
	return pl, r.spent || r.l.Admitter.Valid(r.ticket), nil
}
