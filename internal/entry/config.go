package entry

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/route"
	"github.com/tarragonmux/tarragonmux/internal/settings"
)

// Limits of requests and answers.
const (
	// MaxDeadline bounds the deadline that a caller may state.
	MaxDeadline = 10 * time.Minute
	// DefaultDeadline applies when neither caller nor route states one.
	DefaultDeadline = 10 * time.Second
	// DefaultBodyLimit applies to routes without a body limit, in bytes.
	DefaultBodyLimit = 256 << 10
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 255
	// MaxIDBytes bounds a request id and a team name.
	MaxIDBytes = 128
	// MaxReplayBytes is the largest request body of idempotent work that is kept for a retry.
	MaxReplayBytes = 64 << 10
	// MaxRecordBytes is the largest answer body that is recorded for replays.
	MaxRecordBytes = 64 << 10

	copyBytes = 32 << 10
	// leaveMargin covers callers that asked for endpoints just before the host began to leave.
	leaveMargin = 2 * time.Second
	// settleTimeout bounds the wait for the records before a refusal of keyed work; a claim takes a
	// few milliseconds.
	settleTimeout = 250 * time.Millisecond
	// abandonTimeout bounds the write of an abandoned claim, which delays a refusal.
	abandonTimeout = 500 * time.Millisecond
	// drainTimeout bounds the wait for the rest of a body that was refused.
	drainTimeout = 300 * time.Millisecond
	// staleForOnce is the longest idle time of a connection that non-idempotent work may reuse: a
	// connection that the server closes at that moment leaves the outcome unknown.
	staleForOnce = 2 * time.Second
)

// Endpoint is one address that callers may use.
type Endpoint struct {
	// Address is ip:port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Endpoints chooses addresses for a caller of a service; caller may be empty.
type Endpoints func(service, caller string) []Endpoint

// Config has the settings and the collaborators of the entry server.
type Config struct {
	Settings settings.Entry
	// Dialect of callers and backend servers; nil means the product's own.
	Dialect  *Dialect
	Routes   route.Source
	Grants   grant.Source
	Claims   attempt.Claimer
	Backends backend.Registry
	// Endpoints answers GET /v1/endpoints.
	Endpoints Endpoints
	// Ready tells whether requests may be served; nil means always.
	Ready func() bool
	// LeaveFor is how long a leaving host goes on accepting; 0 means the life of an endpoint answer and a margin.
	LeaveFor time.Duration
	// Observer hears of each finished request; nil means none.
	Observer Observer
	// Log receives the log lines; nil discards them.
	Log *log.Logger
	// Pool sets up the connections to backend servers.
	Pool roundtrip.Config
}

func (c Config) withDefaults() Config {
	e := &c.Settings
	e.HeaderTimeout = orDefault(e.HeaderTimeout, settings.Duration(settings.DefaultHeaderTimeout))
	e.BodyTimeout = orDefault(e.BodyTimeout, settings.Duration(settings.DefaultBodyTimeout))
	e.IdleTimeout = orDefault(e.IdleTimeout, settings.Duration(settings.DefaultIdleTimeout))
	e.MaxHeaderBytes = orDefault(e.MaxHeaderBytes, settings.DefaultMaxHeaderBytes)
	e.MaxRequests = orDefault(e.MaxRequests, settings.DefaultMaxRequests)
	e.EndpointTTL = orDefault(e.EndpointTTL, settings.Duration(settings.DefaultEndpointTTL))
	c.LeaveFor = orDefault(c.LeaveFor, c.Settings.EndpointTTL.D()+leaveMargin)
	if c.Dialect == nil {
		c.Dialect = Native()
	}
	if c.Ready == nil {
		c.Ready = func() bool { return true }
	}
	if c.Observer == nil {
		c.Observer = discardObserver{}
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	c.Log = c.Log.WithPrefix("entry")
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
