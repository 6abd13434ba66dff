// Package fetcher sends an HTTP request to the instances of the fleet in turn until
// one of them gives a final response. The clients for callers and for operators are
// built on it.
//
// The package tracks whether an instance may have received an attempt whose response
// was lost. A client can report that the request did not run only if no instance
// may have received it. Resending is safe in either case, since every request that
// changes something carries its own ID.
package fetcher
