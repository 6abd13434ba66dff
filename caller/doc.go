// Package caller is the peer package for callers: the HTTP interface under
// which client accounts submit requests, fetch results and cancel, and the
// client for it.
//
// Every answer is a JSON body. An answer that isn't the request's own says the
// outcome (NotRun or Unknown), the reason, and what would make the request
// pass. Ids are scoped by client account, so one account never sees another's
// answers.
package caller
