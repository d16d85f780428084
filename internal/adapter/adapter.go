// Package adapter defines what an adapter to the conventions of another platform does: it translates
// between the formats of that platform and the types of the product, and decides nothing.
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

// Adapter translates for one platform.
type Adapter interface {
	// Dialect is how callers and backend servers speak HTTP.
	Dialect() *entry.Dialect
	// ControlHandler serves backend servers and operators on a control host.
	ControlHandler(c Control) http.Handler
	// DirectoryHandler serves callers that ask where to connect.
	DirectoryHandler(d Directory) http.Handler
	// ReadyHandler answers whether a node serves callers.
	ReadyHandler(ready func() bool) http.Handler
}

// Control is what a control host offers to backend servers and operators. It is safe for concurrent use.
type Control interface {
	// Announce records what a backend server says about itself. It returns nil once the announcement
	// binds: that of a draining server when no host places new work on it.
	Announce(ctx context.Context, s backend.Server) error
	// RecordDeparture records that a backend server drains or has left, whatever its service; an incarnation of
	// 0 means the known one. It returns nil once no host places new work on it.
	RecordDeparture(ctx context.Context, instance string, incarnation uint64, state backend.State) error
	// Supersede puts a document in force if its version is above the one in force. Errors are
	// *configuration.Rejection if the document is invalid; others leave it open.
	Supersede(ctx context.Context, d *configpb.Document, author string) error
	// Document returns the newest document, as a majority of the control replicas knows it.
	Document(ctx context.Context) (*configpb.Document, error)
}

// Directory lists the entry hosts that serve callers at present. It is safe for concurrent use.
type Directory interface {
	Endpoints(now time.Time) []hostset.Endpoint
	// TTL is how long callers may keep an answer.
	TTL() time.Duration
}
