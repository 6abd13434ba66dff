package recorder

import "fmt"

// CorruptError says that something in the folder that had been synced is
// missing or damaged. The voter must not go on with it: it may have forgotten
// votes or entries that others count on. Its folder is to be moved away; it
// then comes back under a new incarnation and is filled by the others.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; move the folder away to have this voter filled anew by the others", e.File, e.Offset, e.Reason)
}

// FailedError says that a write or a sync failed; the Recorder refuses all
// further calls with the same error.
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
