// Package e2e contains end-to-end tests of the built binary, in which every host is a separate process.
package e2e
