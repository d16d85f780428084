// Package e2e holds tests over the built binary, with every host as a process of its own.
package e2e
