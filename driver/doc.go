// Package driver runs the planner on the instance that leads the replicated log.
// It passes events to the planner one at a time, proposes the commands that the
// planner returns, and executes each effect once the commands before it are
// committed.
//
// A session runs while the instance is the leader. It starts from the committed
// state of the log, under a fencing token derived from the term, and ends with
// the leadership. Requests that are pending then get the code Unknown. A session
// sends orders and replies only while the leader's lease is valid.
package driver
