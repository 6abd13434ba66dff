// Package driver runs the planner on the instance that leads the replicated
// log: it gives the planner its events one at a time, proposes what it decided,
// and carries out the effects once the commands before them are committed.
//
// A session lasts as long as one leadership. It starts from what the log had
// committed, under a fencing token made of the leadership's term, and ends with
// the term; whoever still waits is told that the result isn't known. Nothing
// leaves a session, neither an order nor an answer, while the leader's lease
// isn't valid.
package driver
