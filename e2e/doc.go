// Package e2e holds the tests that run the project's own binaries as separate
// processes on loopback: the whole path from a caller to an upstream and back,
// and the same under kills, freezes, cuts and lost disks. It has no code of its
// own.
package e2e
