// Package operator implements the HTTP interface through which operators change
// the configuration and the keys and read the system's status, and a client for
// that interface.
//
// All requests except the one for the status need an operator's key, whose hash
// is in the settings of the instances. Every change can safely be resent: a
// configuration is identified by its id and base version, a key by its id.
package operator
