package recorder

import "fmt"

// CorruptError reports that synced data in the folder is missing or damaged. The
// voter must not continue with the folder, since votes or entries that others rely
// on may be lost. Once an operator has moved the folder away, the voter starts with
// a new incarnation and receives the log from the others.
type CorruptError struct {
	File string
	// Offset is the position of the damage in the file, in bytes.
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; move the folder away to let this voter copy the log from the others", e.File, e.Offset, e.Reason)
}

// FailedError reports that a write or a sync failed. All later calls of the
// Recorder fail with the same error.
type FailedError struct {
	Dir       string
	Operation string
	Cause     error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("%s in %s failed: %v", e.Operation, e.Dir, e.Cause)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }
