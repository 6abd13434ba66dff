// Package fetcher sends an HTTP request to the instances of the fleet in turn
// until one of them gives a final answer. The clients for callers and for
// operators are written on it.
//
// What it knows beyond plain HTTP is doubt: whether an instance may have
// received an attempt whose answer was lost. A caller may be told that its
// request did not run only without such a doubt. Resending is safe all the
// same, since every request that changes something carries its own id.
package fetcher
