package planner

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// maxBacklog limits the estimated memory of the accepted jobs that haven't ended. It is
// several times the memory of the 40,000 running tasks that users expect in two years, and a
// fraction of the memory of the leader's instance.
const maxBacklog = 128 * unit.Megabyte

// The estimated memory of a job's parts, without its text. A small job took 793 bytes in
// TestFloodOfOneAccountIsBounded, which compares the sum with the heap. A task counts with
// the size of its state once it has begun.
const (
	jobSize  unit.Bytes = 1000
	stepSize unit.Bytes = 500
	taskSize unit.Bytes = 200
)

// retryOverloaded is when a caller should retry after its account's backlog was full: late
// enough that some jobs have ended, and within the 3 s after which users' callers give up.
const retryOverloaded = 2 * clock.Second

// backlog is the estimated memory of the jobs that haven't ended.
//
// It is meant for an account that submits far more than can be run. Each account may use as
// much as is still free (the dynamic threshold of Choudhury and Hahne, 1998): an account
// that floods gets half at most, and some is always left for the others.
type backlog struct {
	total     unit.Bytes
	byAccount map[unit.ClientAccount]unit.Bytes
}

// admits reports whether a submission fits into the account's backlog.
func (b *backlog) admits(account unit.ClientAccount, submission *keeper.Submission) bool {
	return b.byAccount[account]+sizeOf(submission) <= maxBacklog-b.total
}

// add adds an accepted submission.
func (b *backlog) add(account unit.ClientAccount, submission *keeper.Submission) {
	if b.byAccount == nil {
		b.byAccount = map[unit.ClientAccount]unit.Bytes{}
	}
	size := sizeOf(submission)
	b.total += size
	b.byAccount[account] += size
}

// sizeOf returns the estimated memory of a job, with its text.
func sizeOf(submission *keeper.Submission) unit.Bytes {
	size := jobSize + unit.Bytes(len(submission.Spec))
	for i := range submission.Steps {
		s := &submission.Steps[i]
		size += stepSize + unit.Bytes(s.Count)*taskSize
	}
	return size
}
