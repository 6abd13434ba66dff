// Package limiter holds each team's running work under its upper limit.
//
// A limit covers the whole fleet and is held as allotments, one for each
// availability zone. The sum of a team's allotments never exceeds its limit,
// except right after the limit was lowered, until the zones have given back
// the excess. FleetQuota is the side in the replicated log, ZoneQuota is the side of a
// zone's scheduler. A zone spends only its own allotment, so it needs nobody's
// leave to start work while it is cut off.
//
// Both are deterministic state machines: no goroutine, no clock.
package limiter
