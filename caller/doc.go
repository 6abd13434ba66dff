// Package caller implements the HTTP interface through which client accounts
// submit requests, fetch their results and cancel them, and a client for that
// interface.
//
// Every response has a JSON body. If a request has no answer of its own, the
// body holds the outcome (NotRun or Unknown), the reason for it, and what would
// make the request succeed. Request ids are scoped by client account, so no
// account can read the answers of another.
package caller
