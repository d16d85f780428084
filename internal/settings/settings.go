package settings

import "time"

// Settings are the static settings of one process.
type Settings struct {
	// ID is unique in the fleet and stays the same across restarts. Letters, digits, dots and hyphens. Required.
	ID string `json:"id"`
	// DataCentre is the data centre of this host; it must be in DataCentres. Required.
	DataCentre string `json:"data_centre"`
	// DataCentres lists the names of all data centres of the fleet. Required.
	DataCentres []string `json:"data_centres"`
	// Entry is the listener for callers and for backend servers that announce themselves. Required for a node.
	Entry *Entry `json:"entry,omitempty"`
	// Fleet is the listener for the project's own processes and for operators. Required.
	Fleet Listener `json:"fleet"`
	// Admin is the listener for metrics, health and readiness. Required.
	Admin Listener `json:"admin"`
	// DataFolder holds the files of this process. Required for a control replica; a node without it keeps no counts across restarts.
	DataFolder string `json:"data_folder,omitempty"`
	// ControlReplicas lists the control replicas that form the first group. Required.
	ControlReplicas []Replica `json:"control_replicas"`
	// Peers lists fleet addresses of nodes to join through. A node needs at least one unless it is the only one.
	Peers []string `json:"peers,omitempty"`
	// Memory bounds the memory that the collector lets the process grow to, in bytes; 0 means no bound.
	Memory int64 `json:"memory,omitempty"`
	// Control is set on a host that runs a control replica.
	Control *Control `json:"control,omitempty"`
	// Discovery is set in a fleet whose hosts are not listed in the configuration but found through
	// seeds. Nodes of such a fleet attach to its control hosts, which dispatch.
	Discovery *Discovery `json:"discovery,omitempty"`
	// Adapter sets the listeners of an adapter to the conventions of another platform.
	Adapter *Adapter `json:"adapter,omitempty"`
	// UsageCaps sets how far the usage caps of teams may be exceeded.
	UsageCaps *UsageCaps `json:"usage_caps,omitempty"`
	// Inbound bounds what the clients of all HTTP listeners of the process may hold together.
	Inbound Inbound `json:"inbound,omitzero"`
	// Log sets what is logged and how.
	Log Log `json:"log"`
}

// UsageCaps sets how far the usage caps of teams may be exceeded over all hosts.
type UsageCaps struct {
	// Window is the period over which the requests of a team are counted. Default: 5s. Range: 1s to 10m.
	Window Duration `json:"window,omitempty"`
	// Overage is the share by which a cap may be exceeded. Default: 0.1 if usage_caps is not set. Range: 0 to 1.
	Overage float64 `json:"overage,omitempty"`
	// Slack is the number of requests in a window by which a cap may be exceeded in addition. Default: 20 if usage_caps is not set. Range: 0 to 1000000.
	Slack float64 `json:"slack,omitempty"`
}

// Discovery sets how the hosts of a fleet find each other.
type Discovery struct {
	// Join is set if the fleet was started before, so that this host never forms the first control group. Default: false.
	Join bool `json:"join,omitempty"`
	// ServerCutoff is the age of the last announcement at which a backend server gets no new work. Default: 20s. Range: 1s to 1m.
	ServerCutoff Duration `json:"server_cutoff,omitempty"`
	// RetryShare is the share of a service's requests that retries and hedges may add. Default: 0.1. Range: 0 to 1.
	RetryShare float64 `json:"retry_share,omitempty"`
	// RetryFloor is how many retries and hedges a service may have in 10 s beyond the share. Default: 3. Range: 0 to 10000.
	RetryFloor float64 `json:"retry_floor,omitempty"`
	// LeaveFor is how long a leaving node keeps accepting requests of callers that use an older list of endpoints. Default: 3s. Range: 0s to 1m.
	LeaveFor Duration `json:"leave_for,omitempty"`
	// StopAfter is the time within which a process must have ended after a request to stop. Default: 1m. Range: 1s to 1h.
	StopAfter Duration `json:"stop_after,omitempty"`
}

// Adapter sets the listeners that an adapter serves.
type Adapter struct {
	// Control is the address for backend servers and operators, as ip:port. Control hosts only.
	Control string `json:"control,omitempty"`
	// Directory is the address for callers that ask where to connect, as ip:port. Control hosts only.
	Directory string `json:"directory,omitempty"`
	// Ready is the address of the readiness check, which reports whether a node serves callers, as ip:port. Nodes only.
	Ready string `json:"ready,omitempty"`
}

// Listener is one listening address.
type Listener struct {
	// Address to listen on, as ip:port. Required.
	Address string `json:"address"`
	// Advertise is the address that others connect to, as ip:port. Default: Address.
	Advertise string `json:"advertise,omitempty"`
}

// Entry is the listener for callers.
type Entry struct {
	Listener
	// HeaderTimeout bounds how long a caller may take to send its headers. Default: 5s. Range: 100ms to 1m.
	HeaderTimeout Duration `json:"header_timeout,omitempty"`
	// BodyTimeout bounds the gap between two reads of a request body. Default: 10s. Range: 100ms to 10m.
	BodyTimeout Duration `json:"body_timeout,omitempty"`
	// IdleTimeout closes caller connections without a request. Default: 60s. Range: 1s to 1h.
	IdleTimeout Duration `json:"idle_timeout,omitempty"`
	// MaxHeaderBytes bounds the request headers. Default: 32768. Range: 1024 to 1048576.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// MaxRequests bounds the requests in flight on this host. Default: 4096. Range: 1 to 1000000.
	MaxRequests int `json:"max_requests,omitempty"`
	// KeyWithdrawal is the time after the confirmation of a configuration from which no request runs whose key it withdrew. A host that has not heard for most of it which configuration is the newest refuses keyed requests. Default: no bound. Range: 1s to 1h.
	KeyWithdrawal Duration `json:"key_withdrawal,omitempty"`
	// EndpointTTL is how long callers may use a list of endpoints. Default: 5s. Range: 100ms to 5m.
	EndpointTTL Duration `json:"endpoint_ttl,omitempty"`
}

// Inbound bounds what clients may hold. What exceeds a limit is refused or closed; see the package internal/inbound.
type Inbound struct {
	// MaxConnections bounds the open connections. Default: one for each 128 KiB of Memory, but at most half of the descriptors that the process may open; without Memory 8192. Range: 16 to 1000000.
	MaxConnections int `json:"max_connections,omitempty"`
	// MaxConnectionsPerAddress bounds those from one IP address. Default: three quarters of MaxConnections. Range: 1 to 1000000.
	MaxConnectionsPerAddress int `json:"max_connections_per_address,omitempty"`
	// MaxMemory bounds the memory for large headers, buffered bodies and streams of requests, in bytes. Default: a quarter of Memory; without Memory 67108864. Range: 65536 to 1099511627776.
	MaxMemory int64 `json:"max_memory,omitempty"`
	// MaxMemoryPerAddress bounds the part of it that one IP address may hold, in bytes. Default: three quarters of MaxMemory. Range: 65536 to 1099511627776.
	MaxMemoryPerAddress int64 `json:"max_memory_per_address,omitempty"`
}

// Control sets the control replica.
type Control struct {
	// RecordRetention is how long the outcome of an operation is kept. Default: 24h. Range: 1m to 720h.
	RecordRetention Duration `json:"record_retention,omitempty"`
	// SegmentBytes is the size at which a new journal segment is started. Default: 67108864. Range: 4096 to 1073741824.
	SegmentBytes int64 `json:"segment_bytes,omitempty"`
}

// Replica names one control replica.
type Replica struct {
	// ID of the replica's host. Required.
	ID string `json:"id"`
	// Address of the replica's fleet listener, as ip:port. Required.
	Address string `json:"address"`
}

// Log sets what is logged and how.
type Log struct {
	// Level is debug, info, warn or error. Default: info.
	Level string `json:"level,omitempty"`
	// JSON writes each line as a JSON object. Default: false.
	JSON bool `json:"json,omitempty"`
}

// Defaults of the settings.
const (
	DefaultHeaderTimeout   = 5 * time.Second
	DefaultBodyTimeout     = 10 * time.Second
	DefaultIdleTimeout     = time.Minute
	DefaultMaxHeaderBytes  = 32 << 10
	DefaultMaxRequests     = 4096
	DefaultEndpointTTL     = 5 * time.Second
	DefaultRecordRetention = 24 * time.Hour
	DefaultSegmentBytes    = 64 << 20
	DefaultLogLevel        = "info"
	// DefaultServerCutoff keeps backend servers in use during a network partition between them and the
	// control hosts. Failing requests reveal a dead server long before.
	DefaultServerCutoff = 20 * time.Second
	DefaultLeaveFor     = 3 * time.Second
	DefaultStopAfter    = time.Minute
	// The defaults of usage caps are those of the first users.
	DefaultCapWindow  = 5 * time.Second
	DefaultCapOverage = 0.1
	DefaultCapSlack   = 20
)

// setDefaults fills in the settings that the file omits.
func (s *Settings) setDefaults() {
	setAdvertise(&s.Fleet)
	setAdvertise(&s.Admin)
	setDefault(&s.Log.Level, DefaultLogLevel)
	if s.Entry != nil {
		s.Entry.setDefaults()
	}
	if d := s.Discovery; d != nil {
		setDefault(&d.ServerCutoff, Duration(DefaultServerCutoff))
		setDefault(&d.LeaveFor, Duration(DefaultLeaveFor))
		setDefault(&d.StopAfter, Duration(DefaultStopAfter))
	}
	if s.UsageCaps == nil {
		s.UsageCaps = &UsageCaps{Overage: DefaultCapOverage, Slack: DefaultCapSlack}
	}
	setDefault(&s.UsageCaps.Window, Duration(DefaultCapWindow))
	if s.Control != nil {
		setDefault(&s.Control.RecordRetention, Duration(DefaultRecordRetention))
		setDefault(&s.Control.SegmentBytes, DefaultSegmentBytes)
	}
}

func (e *Entry) setDefaults() {
	setAdvertise(&e.Listener)
	setDefault(&e.HeaderTimeout, Duration(DefaultHeaderTimeout))
	setDefault(&e.BodyTimeout, Duration(DefaultBodyTimeout))
	setDefault(&e.IdleTimeout, Duration(DefaultIdleTimeout))
	setDefault(&e.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&e.MaxRequests, DefaultMaxRequests)
	setDefault(&e.EndpointTTL, Duration(DefaultEndpointTTL))
}

func setAdvertise(l *Listener) {
	setDefault(&l.Advertise, l.Address)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
