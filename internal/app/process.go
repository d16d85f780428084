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
	// startTimeout bounds the start of a process, most of which is spent reading a large journal.
	startTimeout = 2 * time.Minute
	// stopTimeout bounds a graceful stop. It exceeds the largest deadline that a caller may set.
	stopTimeout = 15 * time.Minute
	// memoryLimitPercent is the soft memory limit of the Go runtime as a percentage of the process's memory;
	// the rest is left for kernel buffers that count towards the process.
	memoryLimitPercent = 70
	// programMemory is left at least for the pages of the program, which the runtime's limit does not cover: 20 to 24 MiB
	// were resident. With 70% of 80 MiB, a process under load reached 86 MiB.
	programMemory = 32 << 20
	// backendAckTimeout is how long sent data may stay unacknowledged by TCP before the connection to a
	// backend server counts as broken. The kernel of a busy server still acknowledges.
	backendAckTimeout = 700 * time.Millisecond
)

// Options replace parts of the environment of a process, such as its network. The zero value uses the
// operating system.
type Options struct {
	// Logger receives the log lines; nil means standard error, as configured in the settings.
	Logger *log.Logger
	// Dialer opens connections to other processes; nil means the operating system's.
	Dialer transport.Dialer
	// BackendDialer opens connections to backend servers; nil means the operating system's.
	BackendDialer transport.Dialer
	// Listen opens listeners; nil means net.Listen over TCP.
	Listen func(address string) (net.Listener, error)
	// Grants replaces the source of grants, to benchmark the dispatchers against baselines; nil means the
	// dispatchers.
	Grants GrantsFactory
	// Reload reads the settings again; nil means that they never change.
	Reload func() (*settings.Settings, error)
	// Signals makes the process reload its settings at each signal received; it may be nil.
	Signals <-chan os.Signal
	// Adapter implements the conventions of another platform; nil means those of tarragonmux.
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
		o.BackendDialer = transport.NewDialerWithTimeouts(transport.DialTimeout, backendAckTimeout)
	}
	if o.Listen == nil {
		o.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	return o
}

// Process is a node, a control replica, or both.
type Process struct {
	app         *fx.App
	connections *connections
	background  *background
	components  Components
}

// Components are the components of a process that benchmarks and tests inspect.
type Components struct {
	fx.In

	Node    *nodeComponents    `optional:"true"`
	Control *controlComponents `optional:"true"`
}

// New assembles a process. Nothing runs before Start. An error means that the settings are invalid.
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
		commonModule(),
		roleModule(s),
		fx.Populate(&p.background),
		fx.Invoke(func(components Components) { p.components = components }),
	)
	if err := p.app.Err(); err != nil {
		return nil, errors.Wrap(err, "assemble the process")
	}
	return p, nil
}

// roleModule provides the components that the roles of the process in the settings need.
func roleModule(s *settings.Settings) fx.Option {
	if s.Discovery != nil {
		return discoveryRoleModule(s)
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

// Start starts the process and returns when all its components run.
func (p *Process) Start(ctx context.Context) error {
	return errors.Wrap(p.app.Start(ctx), "start")
}

// Stop stops the process gracefully. If the context ends first, connections that are still open are closed.
func (p *Process) Stop(ctx context.Context) error {
	err := p.app.Stop(ctx)
	p.connections.closeAll()
	return errors.Wrap(err, "stop")
}

// Kill ends the process abruptly, as a crash would: its connections break, and the hooks of a graceful stop
// do not run.
func (p *Process) Kill() {
	p.background.cancel()
	p.connections.closeAll()
	p.background.wait()
}

// Failed is closed when a component ended although the process was not stopped. The process should then be
// stopped.
func (p *Process) Failed() <-chan struct{} {
	return p.background.failed
}

// Node returns the components of the node, or nil.
func (p *Process) Node() *nodeComponents {
	return p.components.Node
}

// Control returns the components of the control replica, or nil.
func (p *Process) Control() *controlComponents {
	return p.components.Control
}

// Run starts a process, waits until the context ends, an operator drains it or a component fails, and
// stops it gracefully.
func Run(ctx context.Context, s *settings.Settings, out io.Writer, o Options) error {
	logger := logging.New(out, s.Log.Level, s.Log.JSON)
	o.Logger = logger
	if s.Memory > 0 {
		debug.SetMemoryLimit(runtimeMemory(s.Memory))
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
		// A failed start has already stopped the components that it had started.
		main.Info("stopped before the start was complete", "err", logging.Err(err))
		return nil
	}
	main.Info("started", "id", s.ID, "data_centre", s.DataCentre)
	failed := p.awaitStop(ctx)
	main.Info("stopping")
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), gracefulStopTimeout(s))
	defer cancelStop()
	if err := p.Stop(stopCtx); err != nil {
		return err
	}
	main.Info("stopped")
	return failed
}

// runtimeMemory returns the soft memory limit of the Go runtime for the memory of a process.
func runtimeMemory(memory int64) int64 {
	return max(min(memory*memoryLimitPercent/100, memory-programMemory), memory/2)
}

// gracefulStopTimeout returns how long a graceful stop may take.
func gracefulStopTimeout(s *settings.Settings) time.Duration {
	if s.Discovery != nil {
		return s.Discovery.StopAfter.D()
	}
	return stopTimeout
}

// awaitStop returns nil once a stop is requested, or the error of a component that failed first.
func (p *Process) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-p.drainRequested():
		return nil
	case <-p.Failed():
		return p.background.err()
	}
}

func (p *Process) drainRequested() <-chan struct{} {
	return p.background.drain
}
