package listener

import "github.com/chervilvane/chervilvane/unit"

// Used returns the bytes that requests hold.
func (a *Admission) Used() unit.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Used()
}
