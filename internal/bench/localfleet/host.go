package localfleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/app"
	"github.com/tarragonmux/tarragonmux/internal/bench/netem"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/transport"
)

const (
	// rebindInterval and rebindTimeout are for binding a port that is still closing after its host was killed.
	rebindInterval = 10 * time.Millisecond
	rebindTimeout  = 5 * time.Second
)

// Host is one node or control replica.
type Host struct {
	ID         string
	DataCentre string
	Settings   *settings.Settings

	fleet *Fleet

	mu      sync.Mutex
	process *app.Process
}

// Process returns the running process, or nil.
func (h *Host) Process() *app.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// Start starts the host's process.
func (h *Host) Start(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return errors.Errorf("host %s is already running", h.ID)
	}
	process, err := app.New(h.Settings, h.options())
	if err != nil {
		return err
	}
	if err := process.Start(ctx); err != nil {
		process.Kill()
		return errors.Wrapf(err, "start host %s", h.ID)
	}
	h.process = process
	return nil
}

func (h *Host) options() app.Options {
	options := app.Options{Logger: h.fleet.config.Logger, Listen: listen, Grants: h.fleet.config.Grants}
	if network := h.fleet.config.Network; network != nil {
		location := netem.Location{Host: h.ID, DataCentre: h.DataCentre}
		options.Dialer = network.Dialer(location)
		options.BackendDialer = network.Dialer(location)
	}
	if wrap := h.fleet.config.WrapDialer; wrap != nil {
		if options.Dialer == nil {
			options.Dialer = transport.NewDialer()
		}
		options.Dialer = wrap(h.ID, options.Dialer)
	}
	return options
}

// listen binds the address. It retries for up to rebindTimeout, since the port may still be closing.
func listen(address string) (net.Listener, error) {
	deadline := time.Now().Add(rebindTimeout)
	for {
		l, err := net.Listen("tcp", address)
		if err == nil || time.Now().After(deadline) {
			return l, errors.WithStack(err)
		}
		time.Sleep(rebindInterval)
	}
}

// detachProcess returns the running process, or nil, and clears it, so that it is stopped only once.
func (h *Host) detachProcess() *app.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	process := h.process
	h.process = nil
	return process
}

// Kill stops the host's process immediately, without draining.
func (h *Host) Kill() {
	if process := h.detachProcess(); process != nil {
		process.Kill()
	}
}

// Stop stops the host's process gracefully.
func (h *Host) Stop(ctx context.Context) error {
	process := h.detachProcess()
	if process == nil {
		return nil
	}
	return process.Stop(ctx)
}

// LoseDisk removes the host's data folder. The process must not be running.
func (h *Host) LoseDisk() error {
	if h.Settings.DataFolder == "" {
		return nil
	}
	return errors.Wrap(os.RemoveAll(h.Settings.DataFolder), "remove the data folder")
}

// address returns the n-th loopback address of this fleet with a port.
func (f *Fleet) address(n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.octet, n/250, 1+n%250, port)
}

func (f *Fleet) newHost(n int, id string, node bool) *Host {
	dataCentre := f.config.DataCentres[n%len(f.config.DataCentres)]
	s := &settings.Settings{
		ID:              id,
		DataCentre:      dataCentre,
		DataCentres:     f.config.DataCentres,
		Fleet:           newListener(f.address(n, fleetPort)),
		Admin:           newListener(f.address(n, adminPort)),
		ControlReplicas: f.replicas,
		Peers:           f.peers,
	}
	if node {
		s.Entry = f.entrySettings(f.address(n, entryPort))
	} else {
		s.Control = &settings.Control{
			RecordRetention: settings.Duration(settings.DefaultRecordRetention),
			SegmentBytes:    settings.DefaultSegmentBytes,
		}
	}
	if !node || f.config.NodeFolders {
		s.DataFolder = filepath.Join(f.folder, id)
	}
	f.registerAddresses(id, dataCentre, s)
	return &Host{ID: id, DataCentre: dataCentre, Settings: s, fleet: f}
}

func (f *Fleet) entrySettings(address string) *settings.Entry {
	ttl := f.config.EndpointTTL
	if ttl == 0 {
		ttl = defaultEndpointTTL
	}
	return &settings.Entry{
		Listener:       newListener(address),
		HeaderTimeout:  settings.Duration(settings.DefaultHeaderTimeout),
		BodyTimeout:    settings.Duration(settings.DefaultBodyTimeout),
		IdleTimeout:    settings.Duration(settings.DefaultIdleTimeout),
		MaxHeaderBytes: settings.DefaultMaxHeaderBytes,
		MaxRequests:    settings.DefaultMaxRequests,
		EndpointTTL:    settings.Duration(ttl),
	}
}

func newListener(address string) settings.Listener {
	return settings.Listener{Address: address, Advertise: address}
}

// registerAddresses records in the emulated network to which host and data centre the addresses belong.
func (f *Fleet) registerAddresses(id, dataCentre string, s *settings.Settings) {
	if f.config.Network == nil {
		return
	}
	location := netem.Location{Host: id, DataCentre: dataCentre}
	f.config.Network.SetLocation(s.Fleet.Address, location)
	if s.Entry != nil {
		f.config.Network.SetLocation(s.Entry.Address, location)
	}
}
