package localfleet

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/tarragonmux/tarragonmux/internal/app"
	"github.com/tarragonmux/tarragonmux/internal/bench/netem"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Backends describes the stand-in backend servers of one service.
type Backends struct {
	Service     string
	Instances   int
	Slots       int
	Connections int
	// WorkTime is the mean time of one request.
	WorkTime time.Duration
	// WarmUp and ColdStart are announced by each stand-in.
	WarmUp    time.Duration
	ColdStart time.Duration
	// HealthLag is the age of the data in the responses of the health and load endpoints.
	HealthLag time.Duration
	// RestartAfter is the time from a crash to the restart; 0 means the stand-in's default.
	RestartAfter time.Duration
}

// Config describes a fleet.
type Config struct {
	// Nodes and Controls are the numbers of hosts of each role.
	Nodes    int
	Controls int
	// DataCentres receive hosts and stand-ins round-robin.
	DataCentres []string
	Region      string
	Backends    []Backends
	// Services, Routes and Teams form the initial configuration, to which the fleet adds its hosts.
	Services []*configpb.Service
	Routes   []*configpb.Route
	Teams    []*configpb.Team
	// Network emulates latency and faults; nil means plain loopback.
	Network *netem.Network
	// WrapDialer wraps the dialer with which a host reaches other hosts, for example to count its traffic. It
	// may be nil.
	WrapDialer func(host string, next transport.Dialer) transport.Dialer
	// Grants replaces the dispatchers with a baseline; nil means the dispatchers.
	Grants app.GrantsFactory
	// EndpointTTL is how long callers may use a list of endpoints; 0 means 1 s.
	EndpointTTL time.Duration
	// Folder holds the data of the control replicas. Empty means a temporary folder, which Stop and Kill remove.
	Folder string
	// NodeFolders also gives each node a data folder.
	NodeFolders bool
	Logger      *log.Logger
	Seed        uint64
}

const (
	defaultEndpointTTL = time.Second
	entryPort          = 8080
	fleetPort          = 7000
	adminPort          = 9090
	workPort           = 8000
	controlPort        = 9000
)
