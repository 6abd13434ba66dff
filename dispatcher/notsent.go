package dispatcher

import (
	"fmt"

	"github.com/chervilvane/chervilvane/unit"
)

// NotSentError says that an order surely never reached its upstream. Any
// other error of a call leaves open whether the order was received.
type NotSentError struct {
	Task  unit.Task
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("the order for task %s was not sent: %v", e.Task, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }
