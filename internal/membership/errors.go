package membership

import "fmt"

// MalformedError reports a message that was rejected without any effect.
type MalformedError struct {
	Field  string
	Reason string
}

// Error implements error. The message names the field, the reason and the remedy.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("refused a message: %s %s; check that the sender runs the same version of the program", e.Field, e.Reason)
}

// SupersededError reports an announcement of an older process of a backend server, or of a process that
// has left.
type SupersededError struct {
	Service  string
	Instance string
	// Known is the incarnation that this node knows.
	Known uint64
}

// Error implements error. The message names the server and the remedy.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("the announcement of %s/%s is older than incarnation %d or the server has left; announce with a higher incarnation", e.Service, e.Instance, e.Known)
}

// UnknownServiceError reports an announcement for a service that is not configured.
type UnknownServiceError struct {
	Service string
}

// Error implements error. The message names the service and the remedy.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("service %q is not configured; ask an operator to add it or correct the name", e.Service)
}

// UnreachableHostSetError reports that no member of a service's host set accepted a forwarded
// announcement.
type UnreachableHostSetError struct {
	Service string
}

// Error implements error. The message names the service and the remedy.
func (e *UnreachableHostSetError) Error() string {
	return fmt.Sprintf("no host of service %q could be reached; announce again or to another host", e.Service)
}
