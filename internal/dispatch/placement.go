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
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routing"
)

// maxPlacementRounds bounds how often a request returns to the queue because its
// admission expired or the configuration changed while it waited.
const maxPlacementRounds = 8

// maxAvoidRounds bounds the rounds in which a request avoids targets that run its
// co-suspects in a crash. If only such targets are left, it must run there.
const maxAvoidRounds = 3

// placement is where an attempt is made: a target, or an instance of a region.
type placement struct {
	target *config.Target // nil for a hop
	region string
	weight float64
	maxRun time.Duration
	// permit is the permit under the configuration that confirmed the placement.
	permit auth.Permit
	// attempt is that of Crashes; nil for another region.
	attempt *crash.Attempt
}

func (p placement) name() string {
	if p.target != nil {
		return p.target.Name
	}
	return p.region
}

// poolOf names the targets that a request may run on.
func poolOf(p auth.Permit) string {
	if p.Model != "" {
		return "model " + p.Model
	}
	return "service " + p.Service
}

// place chooses a placement and obtains admission for it. If it returns no error,
// the request may be sent at once.
func (r *run) place(ctx context.Context) (placement, error) {
	for round := range maxPlacementRounds {
		cfg, p, err := r.local.currentPermit(r.call, r.suspects)
		if err != nil {
			return placement{}, err
		}
		if r.mayHaveRun && !p.Idempotent {
			return placement{}, r.lastErr // the route was idempotent in the previous attempt
		}
		choice, err := r.choose(cfg, p)
		if err != nil {
			return placement{}, err
		}
		err = r.admit(ctx, cfg, p, choice.Targets)
		if r.tryRemote(err, p, choice) {
			continue
		}
		if err != nil {
			return placement{}, err
		}
		pl, ok, err := r.confirmPlacement(choice.Region)
		if ok && pl.target != nil {
			pl.attempt, ok = r.local.Crashes.Begin(pl.target.Name, poolOf(p), r.suspects, round >= maxAvoidRounds)
		}
		if err != nil || ok {
			return pl, err
		}
		r.releaseAdmission()
	}
	return placement{}, result.New(result.DeadlineTooNear, result.NotRun, "the request could not be sent while its admission was valid")
}

// choose asks the Chooser and removes targets that cfg does not allow.
func (r *run) choose(cfg *config.Config, p auth.Permit) (routing.Choice, error) {
	localRegion := r.local.Instance.Region
	q := routing.Query{
		Team: p.Team, Model: p.Model, Service: p.Service, PrefixHashes: r.call.PrefixHashes,
		PromptTokens: r.call.PromptTokens, OutputTokens: r.call.OutputTokens,
		AllowedRegions: r.allowedRegions(p), Exclude: maps.Clone(r.exclude), LocalOnly: r.forwarder == nil,
	}
	for _, target := range r.local.Crashes.TargetsToAvoid(r.suspects[0]) {
		q.Exclude[target] = true
	}
	for target := range r.fullTargets {
		q.Exclude[target] = true
	}
	choice := r.local.Chooser.Choose(q)
	if len(choice.Targets) == 0 && choice.Region == "" && len(q.Exclude) > len(r.exclude) {
		q.Exclude = maps.Clone(r.exclude)
		choice = r.local.Chooser.Choose(q)
	}
	r.query = q
	r.local.Requests.AddStep(r.call.ID, "choice", strings.Join(choice.Reasons, "; "))
	choice.Targets = slices.DeleteFunc(slices.Clone(choice.Targets), func(name string) bool {
		return r.exclude[name] || !serves(cfg.Targets[name], p, localRegion)
	})
	if len(choice.Targets) > 0 {
		choice.Region = ""
		return choice, nil
	}
	if choice.Region == "" || choice.Region == localRegion || r.exclude[choice.Region] || !p.AllowedRegions[choice.Region] {
		return choice, r.noTargetError(cfg, p)
	}
	if r.forwarder == nil {
		return choice, result.New(result.HopRefused, result.NotRun, "a forwarded request is not forwarded again")
	}
	return choice, nil
}

// allowedRegions returns the regions that the request may run in from here; only
// the local one if it cannot be forwarded.
func (r *run) allowedRegions(p auth.Permit) map[string]bool {
	if r.forwarder != nil {
		return p.AllowedRegions
	}
	localRegion := r.local.Instance.Region
	return map[string]bool{localRegion: p.AllowedRegions[localRegion]}
}

func serves(t *config.Target, p auth.Permit, region string) bool {
	if t == nil || t.Region != region || !p.AllowedRegions[region] {
		return false
	}
	if p.Model != "" {
		return t.Kind == config.Engine && t.Models[p.Model]
	}
	return t.Kind == config.PlainService && t.Service == p.Service
}

// noTargetError distinguishes a rule that excludes every target from targets that
// are missing at the moment.
func (r *run) noTargetError(cfg *config.Config, p auth.Permit) error {
	for _, t := range cfg.Targets {
		if serves(t, p, t.Region) {
			return result.New(result.NoTarget, result.NotRun, "no target is available").WithRetryAfter(time.Second)
		}
	}
	return result.New(result.NoRegionAllowed, result.NotRun, "no allowed region has a target for the request")
}

// admit obtains the admission, or only a slot for a further attempt.
func (r *run) admit(ctx context.Context, cfg *config.Config, p auth.Permit, targets []string) error {
	req := admission.Request{Team: p.Team, Tokens: r.call.TokenCost(), Targets: targets, Prepaid: r.call.Prepaid, Weight: teamWeight(cfg, p)}
	if cfg.Policy.MaxQueueWait > 0 {
		req.Deadline = time.Now().Add(r.admissionWait(cfg.Policy.MaxQueueWait, p, targets))
	}
	if d, ok := ctx.Deadline(); ok && (req.Deadline.IsZero() || d.Before(req.Deadline)) {
		req.Deadline = d
	}
	if startDeadline := r.call.StartDeadline; !startDeadline.IsZero() && !r.mayHaveRun && startDeadline.Before(req.Deadline) {
		req.Deadline = startDeadline
	}
	if !r.admitted {
		t, err := r.local.Admitter.Admit(ctx, req)
		if err != nil {
			return classifyWaitError(ctx, err)
		}
		r.ticket, r.admitted = t, true
		r.local.Requests.AddStep(r.call.ID, "admitted", "waited "+t.Waited.String())
		return nil
	}
	if len(targets) == 0 {
		return nil
	}
	slot, err := r.local.Admitter.AcquireSlot(ctx, req)
	if err != nil {
		return classifyWaitError(ctx, err)
	}
	r.ticket.Slot, r.ticket.HasSlot = slot, true
	return nil
}

// classifyWaitError prefers the reason for which ctx of a waiting request ended.
func classifyWaitError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, false)
	}
	return err
}

func teamWeight(cfg *config.Config, p auth.Permit) float64 {
	if t := cfg.Teams[p.Team]; t != nil && t.Weight > 0 {
		return t.Weight
	}
	return 1
}

// confirmPlacement checks the request against the newest configuration right
// before the first byte is sent, because it may have waited. The second result is
// false if the request must return to the queue.
func (r *run) confirmPlacement(region string) (placement, bool, error) {
	// Store the region before reading the configuration. In the other order,
	// neither this check nor the recheck of running requests would apply a
	// configuration that arrives in between.
	placedRegion := region
	if placedRegion == "" {
		placedRegion = r.local.Instance.Region
	}
	r.region.Store(&placedRegion)
	cfg, p, err := r.local.currentPermit(r.call, r.suspects)
	if err != nil {
		return placement{}, false, err
	}
	pl := placement{region: region, weight: teamWeight(cfg, p), maxRun: maxRun(cfg, p), permit: p}
	if region == "" {
		if !r.ticket.HasSlot {
			return pl, false, result.New(result.InternalError, result.NotRun, "admission gave no slot")
		}
		t := cfg.Targets[r.ticket.Slot.Target]
		if !serves(t, p, r.local.Instance.Region) || !r.local.Slots.Usable(r.ticket.Slot) {
			return pl, false, nil
		}
		pl.target, pl.region = t, t.Region
	} else {
		pl.maxRun = 0 // the receiver bounds the run time, from when it sends the request
	}
	if !p.AllowedRegions[pl.region] {
		return pl, false, nil
	}
	if startDeadline := r.call.StartDeadline; !startDeadline.IsZero() && !r.mayHaveRun && time.Now().After(startDeadline) {
		return pl, false, result.New(result.DeadlineTooNear, result.NotRun, "the admission at the sender has ended")
	}
	// A request that was sent before has used its debit while it was valid.
	return pl, r.mayHaveRun || r.local.Admitter.Valid(r.ticket), nil
}
