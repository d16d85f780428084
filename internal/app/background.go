package app

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/tarragonmux/tarragonmux/internal/logging"
)

// background runs the parts that work until the process ends.
type background struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	logger *log.Logger
	// failed is closed when a part ended by itself.
	failed chan struct{}
	// drain is closed when an operator asked the process to shut down.
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

// run starts a part. A part that returns before the process ends is a failure.
func (b *background) run(name string, fn func(context.Context) error) {
	b.group.Go(func() {
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
		err = errors.New("it ended without an error")
	}
	b.cause = errors.Wrapf(err, "part %s failed", name)
	b.logger.Error("a part failed", "part", name, "err", logging.Err(err))
	close(b.failed)
}

func (b *background) err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cause
}

func (b *background) wait() {
	b.group.Wait()
}

// requestDrain asks for a graceful shutdown of the process.
func (b *background) requestDrain() {
	b.drainOnce.Do(func() { close(b.drain) })
}

// start adds a part that runs from the process's start to its end.
func start(lc fx.Lifecycle, b *background, name string, fn func(context.Context) error) {
	lc.Append(fx.StartHook(func() { b.run(name, fn) }))
}
