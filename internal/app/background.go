package app

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/tarragonmux/tarragonmux/internal/logging"
)

// background runs the components of a process until it ends.
type background struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	logger  *log.Logger
	// failed is closed when a component ended although the process was not stopped.
	failed chan struct{}
	// drain is closed when an operator requested a shutdown of the process.
	drain     chan struct{}
	drainOnce sync.Once

	mu    sync.Mutex
	cause error
}

func newBackground(lc fx.Lifecycle, o Options) *background {
	ctx, cancel := context.WithCancel(context.Background())
	b := &background{
		ctx:    ctx,
		cancel: cancel,
		logger: o.Logger.WithPrefix("main"),
		failed: make(chan struct{}),
		drain:  make(chan struct{}),
	}
	lc.Append(fx.StopHook(func() {
		b.cancel()
		b.wait()
	}))
	return b
}

// run starts a component. If the component returns before the process ends, that counts as its failure.
func (b *background) run(name string, fn func(context.Context) error) {
	b.running.Go(func() {
		err := fn(b.ctx)
		if b.ctx.Err() != nil {
			return
		}
		b.fail(name, err)
	})
}

func (b *background) fail(name string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cause != nil {
		return
	}
	if err == nil {
		err = errors.New("the component ended without an error")
	}
	b.cause = errors.Wrapf(err, "component %s failed", name)
	b.logger.Error("component failed", "part", name, "err", logging.Err(err))
	close(b.failed)
}

func (b *background) err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cause
}

func (b *background) wait() {
	b.running.Wait()
}

// requestDrain requests a graceful shutdown of the process.
func (b *background) requestDrain() {
	b.drainOnce.Do(func() { close(b.drain) })
}

// startComponent adds a component that runs from the start of the process to its end.
func startComponent(lc fx.Lifecycle, b *background, name string, fn func(context.Context) error) {
	lc.Append(fx.StartHook(func() { b.run(name, fn) }))
}
