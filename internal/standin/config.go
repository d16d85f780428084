package standin

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/logging"
)

// Defaults of Config.
const (
	DefaultAddress      = "127.0.0.1:0"
	DefaultSlots        = 6
	DefaultConnections  = 330
	DefaultWorkTime     = 20 * time.Millisecond
	DefaultRestartAfter = time.Second
	DefaultProbeTime    = 25 * time.Millisecond
	DefaultLedgerLimit  = 1 << 20
	// DefaultColdFactor multiplies the work time of a server that has just started.
	DefaultColdFactor = 2
)

// Config configures a stand-in server. A zero value selects the default unless the field says otherwise.
type Config struct {
	Service    string
	Instance   string
	DataCentre string
	// Address to listen on for work; port 0 selects a free port.
	Address string
	// ControlAddress to listen on for fault control and the log of work; faults do not affect it.
	ControlAddress string
	// Slots is the number of requests that run concurrently.
	Slots int
	// Queue is the maximum number of requests waiting for a slot; 0 means Slots, negative means none.
	Queue int
	// Connections is the maximum number of open connections.
	Connections int
	// WorkTime is the mean duration of a request, which varies by up to 20 % around it. Negative means none.
	WorkTime time.Duration
	// ColdStart is the time after each start during which the server is in the state starting; 0 means none.
	ColdStart time.Duration
	// WarmUp is the announced warm-up period. Over it, the multiple of the work time falls from ColdFactor
	// to 1; 0 means none.
	WarmUp     time.Duration
	ColdFactor float64
	// HealthLag is the age of the state that the health and load endpoints report; 0 means none.
	HealthLag time.Duration
	// ProbeTime is the response time of the health and load endpoints. Negative means none.
	ProbeTime time.Duration
	// RestartAfter is the time from a crash to the next start; negative means never.
	RestartAfter time.Duration
	// Entries lists the entry hosts (ip:port) to announce to; empty disables announcements.
	Entries []string
	// RenewEvery is the time between announcements.
	RenewEvery time.Duration
	// LedgerLimit bounds the request ids, and separately the idempotency keys, in the log of work.
	LedgerLimit int
	// Seed seeds the variation of the work time and the random faults, and selects the first entry host.
	Seed uint64
	// Client sends the announcements.
	Client *http.Client
	Log    *log.Logger
}

func (c Config) withDefaults() (Config, error) {
	if c.Service == "" || c.Instance == "" || c.DataCentre == "" {
		return c, errors.New("standin: service, instance or data centre is missing; set all three")
	}
	c.Address = orDefault(c.Address, DefaultAddress)
	c.ControlAddress = orDefault(c.ControlAddress, DefaultAddress)
	c.Slots = orDefault(c.Slots, DefaultSlots)
	c.Queue = max(orDefault(c.Queue, c.Slots), 0)
	c.Connections = orDefault(c.Connections, DefaultConnections)
	c.WorkTime = max(orDefault(c.WorkTime, DefaultWorkTime), 0)
	c.ColdFactor = max(orDefault(c.ColdFactor, DefaultColdFactor), 1)
	c.ProbeTime = max(orDefault(c.ProbeTime, DefaultProbeTime), 0)
	c.RestartAfter = orDefault(c.RestartAfter, DefaultRestartAfter)
	c.RenewEvery = orDefault(c.RenewEvery, backend.RenewEvery)
	c.LedgerLimit = orDefault(c.LedgerLimit, DefaultLedgerLimit)
	if c.Client == nil {
		c.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: announcerIdleTimeout}}
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	c.Log = c.Log.WithPrefix("standin")
	return c, nil
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
