// Package e2e contains end-to-end tests: they run the project's binaries as
// separate processes on loopback and send requests from a caller to an upstream
// and back. The package has no code besides tests.
package e2e
