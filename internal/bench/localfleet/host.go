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
	// rebindEvery and rebindFor cover the moment in which a killed host's port is still closing.
	rebindEvery = 10 * time.Millisecond
	rebindFor   = 5 * time.Second
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
		return errors.Errorf("host %s runs already", h.ID)
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
		place := netem.Location{Host: h.ID, DataCentre: h.DataCentre}
		options.Dialer = network.Dialer(place)
		options.BackendDialer = network.Dialer(place)
	}
	if wrap := h.fleet.config.WrapDialer; wrap != nil {
		if options.Dialer == nil {
			options.Dialer = transport.NewDialer()
		}
		options.Dialer = wrap(h.ID, options.Dialer)
	}
	return options
}

// listen binds the address, and waits for a port that is still closing.
func listen(address string) (net.Listener, error) {
	deadline := time.Now().Add(rebindFor)
	for {
		l, err := net.Listen("tcp", address)
		if err == nil || time.Now().After(deadline) {
			return l, errors.WithStack(err)
		}
		time.Sleep(rebindEvery)
	}
}

// take returns the running process and forgets it.
func (h *Host) take() *app.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	process := h.process
	h.process = nil
	return process
}

// Kill ends the host's process at once.
func (h *Host) Kill() {
	if process := h.take(); process != nil {
		process.Kill()
	}
}

// Stop stops the host's process gracefully.
func (h *Host) Stop(ctx context.Context) error {
	process := h.take()
	if process == nil {
		return nil
	}
	return process.Stop(ctx)
}

// LoseDisk removes the host's data. The process must not run.
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
		Fleet:           listener(f.address(n, fleetPort)),
		Admin:           listener(f.address(n, adminPort)),
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
	f.register(id, dataCentre, s)
	return &Host{ID: id, DataCentre: dataCentre, Settings: s, fleet: f}
}

func (f *Fleet) entrySettings(address string) *settings.Entry {
	ttl := f.config.EndpointTTL
	if ttl == 0 {
		ttl = defaultEndpointTTL
	}
	return &settings.Entry{
		Listener:       listener(address),
		HeaderTimeout:  settings.Duration(settings.DefaultHeaderTimeout),
		BodyTimeout:    settings.Duration(settings.DefaultBodyTimeout),
		IdleTimeout:    settings.Duration(settings.DefaultIdleTimeout),
		MaxHeaderBytes: settings.DefaultMaxHeaderBytes,
		MaxRequests:    settings.DefaultMaxRequests,
		EndpointTTL:    settings.Duration(ttl),
	}
}

func listener(address string) settings.Listener {
	return settings.Listener{Address: address, Advertise: address}
}

// register tells the emulated network where the host's addresses live.
func (f *Fleet) register(id, dataCentre string, s *settings.Settings) {
	if f.config.Network == nil {
		return
	}
	place := netem.Location{Host: id, DataCentre: dataCentre}
	f.config.Network.SetLocation(s.Fleet.Address, place)
	if s.Entry != nil {
		f.config.Network.SetLocation(s.Entry.Address, place)
	}
}
