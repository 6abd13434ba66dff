package dispatcher

import "github.com/chervilvane/chervilvane/clock"

// retryAfter is the wait proposed to callers for conditions that pass soon.
const retryAfter = clock.Second

// The refusals that this package and the scheduler give.
var (
	noScheduler = Refusal{
		Reason:     ReasonNoScheduler,
		Detail:     "this instance doesn't schedule the availability zone any more",
		Remedy:     "send the same request id again",
		RetryAfter: retryAfter,
	}
	// RefusalShuttingDown is the refusal of a scheduler that hands its zone over.
	RefusalShuttingDown = Refusal{
		Reason:     ReasonShuttingDown,
		Detail:     "the scheduler of the availability zone is handing over",
		Remedy:     "send the same request id again",
		RetryAfter: retryAfter,
	}
	cancelled = Refusal{
		Reason: ReasonCancelled,
		Detail: "the request was cancelled",
		Remedy: "submit it under a new id",
	}
	pastDeadline = Refusal{
		Reason: ReasonDeadline,
		Detail: "the request's deadline has passed",
		Remedy: "submit it with a longer timeout",
	}
	upstreamLost = Refusal{
		Reason: ReasonUpstreamLost,
		Detail: "the upstream that was asked to run the request was lost",
		Remedy: "look whether the work was done before submitting it under a new id",
	}
	upstreamStopped = Refusal{
		Reason: ReasonUpstreamLost,
		Detail: "the task was stopped before its end and may not be run again",
		Remedy: "look whether the work was done before submitting it under a new id",
	}
	upstreamRefused = Refusal{
		Reason:     ReasonUpstreamRefused,
		Detail:     "every upstream that was asked refused to start the request",
		Remedy:     "send it again later, or look at the status of the upstreams",
		RetryAfter: retryAfter,
	}
	// RefusalLogUnreachable is the refusal of what must be recorded first.
	RefusalLogUnreachable = Refusal{
		Reason:     ReasonLogUnreachable,
		Detail:     "work that isn't repeatable is started only after the replicated log has recorded it, and the log can't be reached",
		Remedy:     "send it again once the availability zone is connected",
		RetryAfter: retryAfter,
	}
	startedElsewhere = Refusal{
		Reason: ReasonUpstreamLost,
		Detail: "an earlier start of the request is recorded and its end isn't known",
		Remedy: "ask for the result later",
	}
)

// HolderChanged reports whether an outcome only says that another instance now
// schedules the zone: the same request id may be sent there at once.
func HolderChanged(o Outcome) bool {
	var why Refusal
	switch o := o.(type) {
	case NotRun:
		why = o.Refusal
	case Unknown:
		why = o.Refusal
	case Done:
		return false
	}
	return why.Reason == ReasonNoScheduler || why.Reason == ReasonShuttingDown
}
