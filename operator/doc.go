// Package operator is the peer package for operators: the HTTP interface
// under which they change the configuration and the keys and look at the
// system, and the client for it.
//
// Changes need an operator's key; its hash is in the settings of the
// instances. Every change is safe to resend: a configuration by its id and
// base version, a key by its id.
package operator
