// Package limiter keeps the resources of each team's running tasks within the
// team's limit.
//
// A limit covers the whole fleet. It is divided into allotments, one for each
// availability zone. The sum of a team's allotments never exceeds its limit,
// except after the limit was lowered, until the zones have released the excess.
// A zone charges its tasks only to its own allotment, so it can start tasks
// while it can't reach the log.
//
// FleetQuota is the part in the replicated log, ZoneQuota the part in a zone's
// scheduler. Both are deterministic state machines: they start no goroutine and
// read no clock.
package limiter
