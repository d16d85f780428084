package app

import (
	"context"
	"io"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/tarragonmux/tarragonmux/internal/adapter"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/transport"
)

const (
	// startTimeout bounds the start of a process. Reading a large journal takes the most of it.
	startTimeout = 2 * time.Minute
	// stopTimeout bounds a graceful stop. It exceeds the largest deadline that a caller may state.
	stopTimeout = 15 * time.Minute
	// heapPercent is the part of the memory of a process from which on the collector works harder; the
	// rest is for buffers of the kernel that count towards the process.
	heapPercent = 70
	// backendUnacknowledged is how long a backend server may leave a request unacknowledged before the
	// connection counts as broken; its host acknowledges also while it is busy.
	backendUnacknowledged = 700 * time.Millisecond
)

// Options change how a process meets its surroundings. The zero value is the operating system.
type Options struct {
	// Logger receives the log lines; nil makes one that writes to the standard error as the settings say.
	Logger *log.Logger
	// Dialer opens connections to other processes; nil means the operating system's.
	Dialer transport.Dialer
	// BackendDialer opens connections to backend servers; nil means the operating system's.
	BackendDialer transport.Dialer
	// Listen opens listeners; nil means net.Listen over TCP.
	Listen func(address string) (net.Listener, error)
	// Grants replaces the source of grants, for comparisons with the baselines; nil means the dispatchers.
	Grants GrantsFactory
	// Reload reads the settings again; nil means that they never change.
	Reload func() (*settings.Settings, error)
	// Signals asks for the settings to be read again; may be nil.
	Signals <-chan os.Signal
	// Adapter speaks the conventions of another platform; nil means the product's own.
	Adapter adapter.Adapter
}

func (o Options) withDefaults(s *settings.Settings) Options {
	if o.Logger == nil {
		o.Logger = logging.New(os.Stderr, s.Log.Level, s.Log.JSON)
	}
	if o.Dialer == nil {
		o.Dialer = transport.NewDialer()
	}
	if o.BackendDialer == nil {
		o.BackendDialer = transport.NewDialerWithTimeouts(transport.DialTimeout, backendUnacknowledged)
	}
	if o.Listen == nil {
		o.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	return o
}

// Process is one node, control replica, or both.
type Process struct {
	app         *fx.App
	connections *connections
	background  *background
	parts       Parts
}

// Parts gives benchmarks and tests a look inside a process.
type Parts struct {
	fx.In

	Node    *nodeParts    `optional:"true"`
	Control *controlParts `optional:"true"`
}

// New assembles a process. Nothing runs before Start. Errors are faults of the settings.
func New(s *settings.Settings, o Options) (*Process, error) {
	o = o.withDefaults(s)
	p := &Process{connections: newConnections()}
	o.Dialer = p.connections.dialer(o.Dialer)
	o.BackendDialer = p.connections.dialer(o.BackendDialer)
	o.Listen = p.connections.listen(o.Listen)
	p.app = fx.New(
		fx.Supply(s, o),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		common(),
		roles(s),
		fx.Populate(&p.background),
		fx.Invoke(func(parts Parts) { p.parts = parts }),
	)
	if err := p.app.Err(); err != nil {
		return nil, errors.Wrap(err, "assemble the process")
	}
	return p, nil
}

func roles(s *settings.Settings) fx.Option {
	if s.Discovery != nil {
		return discoveryRoles(s)
	}
	var options []fx.Option
	if s.Control != nil {
		options = append(options, controlModule())
	}
	if s.Entry != nil {
		options = append(options, nodeModule())
	}
	if s.Entry == nil {
		options = append(options, controlOnlyModule())
	}
	return fx.Options(options...)
}

// Start starts the process and returns when all its parts run.
func (p *Process) Start(ctx context.Context) error {
	return errors.Wrap(p.app.Start(ctx), "start")
}

// Stop stops the process gracefully. If the context ends first, what still runs is cut off.
func (p *Process) Stop(ctx context.Context) error {
	err := p.app.Stop(ctx)
	p.connections.closeAll()
	return errors.Wrap(err, "stop")
}

// Kill ends the process at once, as a crash would: connections break and nothing is handed over.
func (p *Process) Kill() {
	p.background.cancel()
	p.connections.closeAll()
	p.background.wait()
}

// Failed is closed when a part ended by itself; Stop should follow.
func (p *Process) Failed() <-chan struct{} {
	return p.background.failed
}

// Node returns the parts of the node, or nil.
func (p *Process) Node() *nodeParts {
	return p.parts.Node
}

// Control returns the parts of the control replica, or nil.
func (p *Process) Control() *controlParts {
	return p.parts.Control
}

// Run starts a process, waits until the context ends or a part fails, and stops it gracefully.
func Run(ctx context.Context, s *settings.Settings, out io.Writer, o Options) error {
	logger := logging.New(out, s.Log.Level, s.Log.JSON)
	o.Logger = logger
	if s.Memory > 0 {
		debug.SetMemoryLimit(s.Memory * heapPercent / 100)
	}
	p, err := New(s, o)
	if err != nil {
		return err
	}
	main := logger.WithPrefix("main")
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := p.Start(startCtx); err != nil {
		if ctx.Err() == nil {
			return err
		}
		// A start that fails stops what it had started.
		main.Info("stopped before the start was complete", "err", logging.Err(err))
		return nil
	}
	main.Info("started", "id", s.ID, "data_centre", s.DataCentre)
	failed := p.await(ctx)
	main.Info("stopping")
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTime(s))
	defer cancelStop()
	if err := p.Stop(stopCtx); err != nil {
		return err
	}
	main.Info("stopped")
	return failed
}

// stopTime is how long a graceful stop may take.
func stopTime(s *settings.Settings) time.Duration {
	if s.Discovery != nil {
		return s.Discovery.StopAfter.D()
	}
	return stopTimeout
}

// await returns nil when a stop is asked for, or else what failed.
func (p *Process) await(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-p.drained():
		return nil
	case <-p.Failed():
		return p.background.err()
	}
}

func (p *Process) drained() <-chan struct{} {
	return p.background.drain
}
