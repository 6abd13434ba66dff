package dispatcher

import (
	"fmt"

	"github.com/chervilvane/chervilvane/unit"
)

// NotSentError means that an order never reached its upstream. After any other
// error of a call, the upstream may have received the order.
type NotSentError struct {
	Task  unit.Task
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("the order for task %s was not sent: %v", e.Task, e.Cause)
}

// Unwrap returns the cause of the failed send.
func (e *NotSentError) Unwrap() error { return e.Cause }
