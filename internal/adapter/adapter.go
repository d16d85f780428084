// Package adapter defines the interface of an adapter to the conventions of another platform. An adapter
// translates between the formats of that platform and the types of tarragonmux, and contains no policy.
package adapter

import (
	"context"
	"net/http"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Adapter translates between one platform and tarragonmux.
type Adapter interface {
	// Dialect returns the HTTP conventions of callers and backend servers.
	Dialect() *entry.Dialect
	// ControlHandler returns the handler for backend servers and operators on a control host.
	ControlHandler(c Control) http.Handler
	// DirectoryHandler returns the handler for callers that look up the addresses of entry hosts.
	DirectoryHandler(d Directory) http.Handler
	// ReadyHandler returns the handler that reports whether a node serves callers.
	ReadyHandler(ready func() bool) http.Handler
}

// Control is the interface of a control host to backend servers and operators. It is safe for concurrent use.
type Control interface {
	// Announce records the announcement of a backend server. For a draining server it returns nil once the
	// departure is confirmed, as RecordDeparture does. What can never be accepted is a *membership.MalformedError.
	Announce(ctx context.Context, s backend.Server) error
	// RecordDeparture records that a backend server is draining or has left. The context tells whether the sender still
	// waits. It returns nil once the departure is confirmed, so that every host that may send work to the server soon stops
	// doing so. Errors are as those of Announce.
	RecordDeparture(ctx context.Context, d backend.Departure) error
	// EntryUnreadable counts an announcement or withdrawal that the adapter could not read and has refused.
	EntryUnreadable()
	// Supersede puts a document in force if its version is above the one in force. If the document is
	// invalid, the error is a *configuration.Rejection; after any other error the outcome is unknown.
	Supersede(ctx context.Context, d *configpb.Document, author string) error
	// Document returns the newest document, after a read from a majority of the control replicas.
	Document(ctx context.Context) (*configpb.Document, error)
}

// Directory lists the entry hosts that currently serve callers. It is safe for concurrent use.
type Directory interface {
	// Endpoints lists up to limit hosts for the caller with the given name or address. The list must not be
	// modified.
	Endpoints(now time.Time, caller string, limit int) []hostset.Endpoint
	// TTL returns how long callers may cache the list of endpoints.
	TTL() time.Duration
}
