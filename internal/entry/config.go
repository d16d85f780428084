package entry

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/inbound"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/route"
	"github.com/tarragonmux/tarragonmux/internal/settings"
)

// Limits of requests and responses.
const (
	// MaxDeadline is the longest deadline of a request; a longer one stated by a caller is reduced to it.
	MaxDeadline = 10 * time.Minute
	// DefaultDeadline applies if neither the caller nor the route states a deadline.
	DefaultDeadline = 10 * time.Second
	// DefaultBodyLimit applies to routes without a body limit, in bytes.
	DefaultBodyLimit = 256 << 10
	// MaxKeyBytes limits an idempotency key.
	MaxKeyBytes = 255
	// MaxIDBytes limits a request id and a team name.
	MaxIDBytes = 128
	// MaxReplayBytes is the largest request body of idempotent work that is buffered for a retry.
	MaxReplayBytes = 64 << 10
	// MaxKeptBytes is the largest request body of keyless non-idempotent work that is read completely before a grant is
	// acquired. It covers the usual uploads, which have 60 to 360 KB.
	MaxKeptBytes = 512 << 10
	// MaxRecordBytes is the largest response body that is recorded for replays.
	MaxRecordBytes = 64 << 10

	// copyBufferBytes is the size of the buffers for streaming, and the largest response of stated length
	// that is read completely before it is relayed.
	copyBufferBytes = 32 << 10
	// smallCopyBufferBytes is the size of the buffer for a response while the memory for callers is used up.
	smallCopyBufferBytes = 4 << 10
	// refusalWriteTimeout limits how long a caller that does not read a refusal can hold its connection. Requests with a
	// route have a write deadline of their own.
	refusalWriteTimeout = 10 * time.Second
	// leaveMargin allows for callers that requested the endpoint list just before the host began to
	// leave.
	leaveMargin = 2 * time.Second
	// claimWaitTimeout limits how long a refusal of work with a key is delayed to wait for its
	// claim. A claim takes a few milliseconds.
	claimWaitTimeout = 250 * time.Millisecond
	// abandonTimeout limits the write of an abandoned claim, which delays a refusal.
	abandonTimeout = 500 * time.Millisecond
	// drainTimeout limits the wait for the rest of a body that was refused.
	drainTimeout = 300 * time.Millisecond
	// maxIdleNonIdempotent is the longest idle time of a connection that non-idempotent work may
	// reuse. If the server closes an idle connection just as it is reused, the outcome is unknown.
	maxIdleNonIdempotent = 2 * time.Second
)

// Endpoint is one address of a host that callers may use.
type Endpoint struct {
	// Address is the ip:port to connect to.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Endpoints selects addresses for a caller of a service; caller may be empty.
type Endpoints func(service, caller string) []Endpoint

// Config has the settings and dependencies of the entry server.
type Config struct {
	Settings settings.Entry
	// Dialect describes the HTTP conventions of callers and backend servers; nil means Native().
	Dialect  *Dialect
	Routes   route.Source
	Grants   grant.Source
	Claims   attempt.Claimer
	Backends backend.Registry
	// Endpoints selects the addresses that GET /v1/endpoints returns.
	Endpoints Endpoints
	// Ready reports whether requests may be served; nil means always.
	Ready func() bool
	// ConfigurationAge returns for how long changes of the configuration may have been confirmed that are not in force;
	// known is false while this is not known. nil means that the configuration is always current.
	ConfigurationAge func() (age time.Duration, known bool)
	// LeaveFor is how long a leaving host continues to accept connections; 0 means the time to live
	// of the endpoint list plus a margin of 2 s.
	LeaveFor time.Duration
	// StopAfter is the time from Server.Leave within which every request must have its response, since the process
	// is then killed; 0 means no bound.
	StopAfter time.Duration
	// Observer is notified of each finished request; nil means none.
	Observer Observer
	// Log receives the log messages; nil discards them.
	Log *log.Logger
	// Pool configures the connections to backend servers, and the memory for their responses.
	Pool roundtrip.Config
	// BodyMemory bounds what the request bodies of keyless non-idempotent work take together while they are kept; bodies for
	// which there is none left are streamed. nil means one of roundtrip.DefaultMemory.
	BodyMemory *roundtrip.Memory
	// Inbound bounds what callers may hold; nil means the defaults of a process without a memory limit.
	Inbound *inbound.Budget

	stopping *stopSchedule
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
	if c.Pool.Memory == nil {
		c.Pool.Memory = roundtrip.NewMemory(roundtrip.DefaultMemory)
	}
	if c.BodyMemory == nil {
		c.BodyMemory = roundtrip.NewMemory(roundtrip.DefaultMemory)
	}
	if c.Inbound == nil {
		c.Inbound = inbound.New(inbound.Limits{}.WithDefaults(0, 0))
	}
	c.stopping = newStopSchedule(c.LeaveFor, c.StopAfter)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
