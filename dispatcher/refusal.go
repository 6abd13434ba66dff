package dispatcher

import "github.com/chervilvane/chervilvane/clock"

// retryAfter is the recommended delay before a resend after a transient
// condition.
const retryAfter = clock.Second

// The refusals of this package and of package scheduler.
var (
	refusalNoScheduler = Refusal{
		Reason:     ReasonNoScheduler,
		Detail:     "this instance doesn't schedule the availability zone any more",
		Remedy:     "send the same request id again",
		RetryAfter: retryAfter,
	}
	// RefusalShuttingDown is used while the scheduler hands its zone over.
	RefusalShuttingDown = Refusal{
		Reason:     ReasonShuttingDown,
		Detail:     "the scheduler of the availability zone is handing over",
		Remedy:     "send the same request id again",
		RetryAfter: retryAfter,
	}
	refusalCancelled = Refusal{
		Reason: ReasonCancelled,
		Detail: "the request was cancelled",
		Remedy: "submit it under a new id",
	}
	refusalDeadline = Refusal{
		Reason: ReasonDeadline,
		Detail: "the request's deadline has passed",
		Remedy: "submit it with a longer timeout",
	}
	refusalUpstreamLost = Refusal{
		Reason: ReasonUpstreamLost,
		Detail: "the upstream that was asked to run the request was lost",
		Remedy: "look whether the work was done before submitting it under a new id",
	}
	refusalTaskStopped = Refusal{
		Reason: ReasonUpstreamLost,
		Detail: "the task was stopped before its end and may not be run again",
		Remedy: "look whether the work was done before submitting it under a new id",
	}
	refusalUpstreamRefused = Refusal{
		Reason:     ReasonUpstreamRefused,
		Detail:     "every upstream that was asked refused to start the request",
		Remedy:     "send it again later, or look at the status of the upstreams",
		RetryAfter: retryAfter,
	}
	// RefusalLogUnreachable is used for requests that the log must record
	// before they start.
	RefusalLogUnreachable = Refusal{
		Reason:     ReasonLogUnreachable,
		Detail:     "work that isn't repeatable is started only after the replicated log has recorded it, and the log can't be reached",
		Remedy:     "send it again once the availability zone is connected",
		RetryAfter: retryAfter,
	}
	refusalStartedElsewhere = Refusal{
		Reason: ReasonUpstreamLost,
		Detail: "an earlier start of the request is recorded and its end isn't known",
		Remedy: "ask for the result later",
	}
)

// HolderChanged reports whether an outcome only means that another instance now
// schedules the zone, so that the same request id may be sent there at once.
func HolderChanged(o Outcome) bool {
	var refusal Refusal
	switch o := o.(type) {
	case NotRun:
		refusal = o.Refusal
	case Unknown:
		refusal = o.Refusal
	case Done:
		return false
	}
	return refusal.Reason == ReasonNoScheduler || refusal.Reason == ReasonShuttingDown
}
