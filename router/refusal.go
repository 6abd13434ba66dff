package router

import (
	"fmt"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// retryAfter is the delay before a resend that refusals recommend for transient
// conditions.
const retryAfter = 1 * clock.Second

func overloaded() dispatcher.Outcome {
	return dispatcher.NotRun{Refusal: dispatcher.Refusal{
		Reason:     dispatcher.ReasonOverloaded,
		Detail:     "this instance has as many requests in progress as it serves at once",
		Remedy:     "resend later, or to another instance",
		RetryAfter: retryAfter,
	}}
}

func noConfiguration() dispatcher.Outcome {
	return dispatcher.NotRun{Refusal: dispatcher.Refusal{
		Reason:     dispatcher.ReasonNoConfiguration,
		Detail:     "this instance has no configuration with availability zones yet",
		Remedy:     "an operator must apply a configuration",
		RetryAfter: retryAfter,
	}}
}

func refusalNoScheduler(home unit.AvailabilityZone, err error) dispatcher.Refusal {
	detail := fmt.Sprintf("availability zone %s has no scheduler that this instance can reach", home)
	if err != nil {
		detail += ": " + err.Error()
	}
	return dispatcher.Refusal{
		Reason:     dispatcher.ReasonNoScheduler,
		Detail:     detail,
		Remedy:     "resend with the same id, or submit under a new id from another availability zone",
		RetryAfter: retryAfter,
	}
}

func refusalOfKey(reason dispatcher.Reason) dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: reason,
		Detail: "the key that admitted the request is no longer honoured at the scheduler's instance",
		Remedy: "resend with a valid key",
	}
}

func internalError(err error) dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonInternal,
		Detail: err.Error(),
		Remedy: "report this to the operators; the request id is in the log",
	}
}
