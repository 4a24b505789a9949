package result

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Code is the result code of a request. Numbers are never reused.
type Code int

// Ran says whether a request may have been executed by a target.
type Ran int

const (
	// NotRun means that no target executed any part of the request.
	NotRun Ran = iota
	// MayHaveRun means that a target may have executed the request.
	MayHaveRun
)

// String returns the value of the field "ran" in error bodies.
func (r Ran) String() string {
	if r == NotRun {
		return "not_run"
	}
	return "may_have_run"
}

// Result codes. 1xx: the request itself; 2xx: limits and capacity; 3xx: the
// regions where the request may run; 4xx: targets; 5xx: the instance.
const (
	BadRequest          Code = 101
	UnknownKey          Code = 102
	KeyWithdrawn        Code = 103
	RouteNotAllowed     Code = 104
	UnknownRoute        Code = 105
	UnknownModel        Code = 106
	BodyTooLarge        Code = 107
	BadIdempotencyKey   Code = 108
	IdempotencyKeyInUse Code = 109
	RequestBlocked      Code = 110

	OverRate        Code = 201
	QueueFull       Code = 202
	DeadlineTooNear Code = 203
	TooLargeForTeam Code = 204
	NoSlot          Code = 205

	NoRegionAllowed   Code = 301
	RegionUnreachable Code = 302
	HopRefused        Code = 303

	TargetFailed      Code = 401
	TargetTimeout     Code = 402
	StreamInterrupted Code = 403
	NoTarget          Code = 404
	OutcomeUnknown    Code = 405
	InstanceGone      Code = 406

	ShuttingDown       Code = 501
	NotReady           Code = 502
	ConfigTooOld       Code = 503
	MemoryLimitReached Code = 504
	CallerTooSlow      Code = 505
	InternalError      Code = 599
)

// Info describes a code and what callers and operators do about it.
type Info struct {
	Code           Code
	Name           string
	Status         int
	Meaning        string
	CallerAction   string
	OperatorAction string
}

// table lists all codes in ascending order. Names are sent to callers;
// docs/ERRORS.md repeats the whole table.
var table = []Info{
	{BadRequest, "bad_request", http.StatusBadRequest, "the request cannot be parsed or has an invalid value", "correct the request", "none"},
	{UnknownKey, "unknown_key", http.StatusUnauthorized, "no key, or a key that the table does not list", "check the key", "check that the edition in force lists the key"},
	{KeyWithdrawn, "key_withdrawn", http.StatusUnauthorized, "the key was withdrawn while the request was running", "obtain a new key", "none"},
	{RouteNotAllowed, "route_not_allowed", http.StatusForbidden, "the team may not use this route", "use another route", "check `routes` of the team"},
	{UnknownRoute, "unknown_route", http.StatusNotFound, "no route has this method and path", "check the path", "check the routes of the table"},
	{UnknownModel, "unknown_model", http.StatusNotFound, "no model has this name", "list models with GET /v1/models", "check the models of the table"},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "the request body exceeds the bound", "send less", "see `max_body` in the settings"},
	{BadIdempotencyKey, "bad_idempotency_key", http.StatusBadRequest, "the idempotency key was not built with a prefix from the directory, or has expired", "fetch /v1/directory and build a new key", "none"},
	{IdempotencyKeyInUse, "idempotency_key_in_use", http.StatusConflict, "a request with this idempotency key is still running, or had another body", "wait for the first request", "none"},
	{RequestBlocked, "request_blocked", http.StatusUnprocessableEntity, "this request or a part of its prompt crashed targets and is blocked", "change the request", "see the audit trail for the targets"},

	{OverRate, "over_rate", http.StatusTooManyRequests, "the team's rate and burst are used up", "retry after the given time", "compare the team's rate with its demand"},
	{QueueFull, "queue_full", http.StatusTooManyRequests, "the queue for this team or target is full", "retry after the given time", "add capacity"},
	{DeadlineTooNear, "deadline_too_near", http.StatusServiceUnavailable, "the request could not start before its deadline", "retry later or allow more time", "check queue time"},
	{TooLargeForTeam, "too_large_for_team", http.StatusBadRequest, "the request needs more tokens than half of the team's burst, the most that can be granted at one time", "lower max_tokens or the prompt", "raise the burst"},
	{NoSlot, "no_slot", http.StatusServiceUnavailable, "no target had a free slot in time", "retry after the given time", "add capacity"},

	{NoRegionAllowed, "no_region_allowed", http.StatusForbidden, "no region allowed by the residency rule has a target for the request", "none", "check residency rules and targets"},
	{RegionUnreachable, "region_unreachable", http.StatusServiceUnavailable, "the regions allowed for the request cannot be reached", "retry after the given time", "check links between regions"},
	{HopRefused, "hop_refused", http.StatusServiceUnavailable, "the instance asked to run the request refused it", "retry", "compare the editions of the two instances"},

	{TargetFailed, "target_failed", http.StatusBadGateway, "the target failed", "retry if the request is idempotent", "check the target"},
	{TargetTimeout, "target_timeout", http.StatusGatewayTimeout, "the target did not answer in time", "retry if the request is idempotent", "check the target"},
	{StreamInterrupted, "stream_interrupted", http.StatusBadGateway, "the stream ended before the answer was complete and could not be resumed", "retry", "check the target"},
	{NoTarget, "no_target", http.StatusServiceUnavailable, "no live target serves this request", "retry after the given time", "check targets and the instance list"},
	{OutcomeUnknown, "outcome_unknown", http.StatusConflict, "an earlier attempt with this idempotency key may have run; it was not run again", "look up the outcome before booking again", "none"},
	{InstanceGone, "instance_gone", http.StatusConflict, "the instance named in the idempotency key is gone; this attempt was not run, an earlier one with this key may have run", "if no earlier attempt was sent, fetch /v1/directory and build a new key; else look up the outcome", "none"},

	{ShuttingDown, "shutting_down", http.StatusServiceUnavailable, "the instance is shutting down", "use the next instance of the directory", "none"},
	{NotReady, "not_ready", http.StatusServiceUnavailable, "the instance has not confirmed an edition yet", "use the next instance of the directory", "see /readyz"},
	{ConfigTooOld, "edition_too_old", http.StatusServiceUnavailable, "the instance has been cut off from the configuration for too long", "use another instance", "restore the links; see `max_edition_age`"},
	{MemoryLimitReached, "memory_bound", http.StatusServiceUnavailable, "the memory bound of the instance is reached", "use another instance", "see the memory metrics"},
	{CallerTooSlow, "caller_too_slow", http.StatusRequestTimeout, "the caller sent or read too slowly", "read faster", "none"},
	{InternalError, "internal_fault", http.StatusInternalServerError, "a fault of the instance", "report the request id", "see the log for the request id"},
}

// Table returns the descriptions of all codes, ordered by code. The caller may
// change the slice.
func Table() []Info { return append([]Info(nil), table...) }

// Lookup returns the description of c; the bool is false if c is unknown.
func Lookup(c Code) (Info, bool) {
	for _, in := range table {
		if in.Code == c {
			return in, true
		}
	}
	return Info{}, false
}

// String returns the name of the code, or "code_" and its number if unknown.
func (c Code) String() string {
	if in, ok := Lookup(c); ok {
		return in.Name
	}
	return fmt.Sprintf("code_%d", int(c))
}

// Status returns the HTTP status of the code, 500 for an unknown one.
func (c Code) Status() int {
	if in, ok := Lookup(c); ok {
		return in.Status
	}
	return http.StatusInternalServerError
}

// Error is the error of a failed or refused request.
type Error struct {
	Code       Code
	Ran        Ran
	Message    string
	RetryAfter time.Duration // 0: unspecified
	cause      error
}

// New returns an Error whose message is formatted as by fmt.Sprintf.
func New(code Code, ran Ran, format string, args ...any) *Error {
	return &Error{Code: code, Ran: ran, Message: fmt.Sprintf(format, args...)}
}

// WithCause returns a copy of e that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.cause = cause
	return &c
}

// WithRetryAfter returns a copy of e that tells the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s (%d, %s): %s: %v", e.Code, int(e.Code), e.Ran, e.Message, e.cause)
	}
	return fmt.Sprintf("%s (%d, %s): %s", e.Code, int(e.Code), e.Ran, e.Message)
}

// Unwrap returns the error given to WithCause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// FromError returns the *Error in the chain of err. If there is none, it returns
// an InternalError with MayHaveRun: whether the request ran is not known.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(InternalError, MayHaveRun, "internal fault").WithCause(err)
}
