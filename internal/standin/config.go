package standin

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/logging"
)

// Defaults of a stand-in.
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

// Config sets up a stand-in. Zero values mean the defaults, but for those that say otherwise.
type Config struct {
	Service    string
	Instance   string
	DataCentre string
	// Address to listen on for work; port 0 chooses one.
	Address string
	// ControlAddress to listen on for faults and the log; it is never affected by faults.
	ControlAddress string
	// Slots is how many requests run at once.
	Slots int
	// Queue is how many requests wait for a slot; 0 means Slots, negative means none.
	Queue int
	// Connections is how many connections are accepted at once.
	Connections int
	// WorkTime is the mean time of one request; it varies by a fifth around it. Negative means none.
	WorkTime time.Duration
	// ColdStart is the time in the state starting; 0 means none.
	ColdStart time.Duration
	// WarmUp is announced, and the time in which the work time falls from ColdFactor to 1; 0 means none.
	WarmUp     time.Duration
	ColdFactor float64
	// HealthLag is how old the answers of the health and load endpoints are; 0 means none.
	HealthLag time.Duration
	// ProbeTime is how long an answer of the health and load endpoints takes. Negative means none.
	ProbeTime time.Duration
	// RestartAfter is the time from a crash to the next start; negative means never.
	RestartAfter time.Duration
	// Entries are the entry hosts (ip:port) to announce to; empty means no announcements.
	Entries []string
	// RenewEvery is the time between announcements.
	RenewEvery time.Duration
	// LedgerLimit bounds the ids in the log.
	LedgerLimit int
	// Seed of the variation of the work time.
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
