package localfleet

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/tarragonmux/tarragonmux/internal/app"
	"github.com/tarragonmux/tarragonmux/internal/bench/netem"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Backends describes the stand-ins of one service.
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
	// HealthLag is how old the answers of the health and load endpoints are.
	HealthLag time.Duration
	// RestartAfter is the time from a crash to the next start; 0 means the stand-in's default.
	RestartAfter time.Duration
}

// Config describes a fleet.
type Config struct {
	// Nodes and Controls are the numbers of hosts of each role.
	Nodes    int
	Controls int
	// DataCentres are filled with hosts and stand-ins in turn.
	DataCentres []string
	Region      string
	Backends    []Backends
	// Services, Routes and Teams are the first configuration; hosts are added.
	Services []*configpb.Service
	Routes   []*configpb.Route
	Teams    []*configpb.Team
	// Network emulates latency and faults; nil means plain loopback.
	Network *netem.Network
	// WrapDialer may wrap the dialer with which a host reaches other hosts, to count what it sends. It may be nil.
	WrapDialer func(host string, next transport.Dialer) transport.Dialer
	// Grants replaces the dispatchers by a baseline; nil means the dispatchers.
	Grants app.GrantsFactory
	// EndpointTTL is what callers are told; 0 means 1 s.
	EndpointTTL time.Duration
	// Folder holds the control replicas' data; empty means a temporary folder that Stop removes.
	Folder string
	// NodeFolders gives nodes a data folder, too.
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
