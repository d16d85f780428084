package dispatchrpc

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

const (
	// watchEvery is how often a stream is checked for silence and a change of the dispatcher.
	watchEvery = 20 * time.Millisecond
	// vouchEvery is how often the elections are told that the dispatcher answers.
	vouchEvery = 500 * time.Millisecond
)

// connect keeps a stream to the dispatcher, whoever it is, until the context ends.
func (c *channel) connect(ctx context.Context) {
	for ctx.Err() == nil {
		if holder, ok := c.client.config.Elections.Dispatcher(c.service); ok {
			if err := c.converse(ctx, holder); err != nil && ctx.Err() == nil {
				c.client.log.Debug("stream ended", "service", c.service, "dispatcher", holder.Node, "err", logging.Err(err))
			}
		}
		pause(ctx, reconnectAfter/2+rand.N(reconnectAfter))
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// converse runs one stream until it breaks, falls silent or the dispatcher changes.
func (c *channel) converse(ctx context.Context, holder leadership.Holder) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.watch(ctx, cancel, holder)
	link, err := c.open(ctx, holder)
	if err != nil {
		return err
	}
	hello, number := c.link(time.Now())
	stop := context.AfterFunc(ctx, func() {
		c.unlink(number)
		// The stream is given up; nothing depends on how it closes.
		_ = link.Close()
	})
	defer stop()
	defer c.unlink(number)
	if err := link.Send(hello); err != nil {
		return errors.Wrap(err, "send the hello")
	}
	go func() {
		defer cancel()
		c.write(ctx, link, number)
	}()
	return c.read(ctx, link, number, holder.Node)
}

func (c *channel) open(ctx context.Context, holder leadership.Holder) (nodeLink, error) {
	cfg := &c.client.config
	if holder.Node == cfg.Node && cfg.Local != nil {
		return cfg.Local.open(ctx), nil
	}
	stream, err := dispatchpb.NewDRPCDispatcherClient(cfg.Pool.Conn(ctx, holder.Address)).Stream(ctx)
	return stream, errors.Wrap(err, "open a stream to the dispatcher")
}

func (c *channel) read(ctx context.Context, link nodeLink, number uint64, node string) error {
	observer, observed := c.client.config.Elections.(leadership.Observer)
	if observed {
		defer observer.DispatcherStreamEnded(c.service)
	}
	var vouched time.Time
	for {
		batch, err := link.Recv()
		if err != nil {
			if ctx.Err() == nil {
				c.broken(time.Now(), number)
			}
			return errors.Wrap(err, "read from the dispatcher")
		}
		if !c.receive(time.Now(), batch) {
			return errors.New("the stream is silent or the peer is not the dispatcher; it is opened anew")
		}
		if now := time.Now(); observed && now.Sub(vouched) >= vouchEvery {
			vouched = now
			observer.DispatcherResponded(c.service, node, c.dispatcherTerm())
		}
	}
}

// dispatcherTerm is the term of the dispatcher as its last view showed it.
func (c *channel) dispatcherTerm() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// write sends what is pending at once, and a heartbeat when there is nothing.
func (c *channel) write(ctx context.Context, link nodeLink, number uint64) {
	heartbeat := time.NewTimer(HeartbeatEvery)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-heartbeat.C:
		}
		batch, interval := c.flush(time.Now(), number)
		if batch == nil || link.Send(batch) != nil {
			return
		}
		heartbeat.Reset(interval)
	}
}

// watch cancels a stream that is silent or whose dispatcher is no longer the holder.
func (c *channel) watch(ctx context.Context, cancel context.CancelFunc, holder leadership.Holder) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			current, ok := c.client.config.Elections.Dispatcher(c.service)
			if ok && (current.Node != holder.Node || current.Address != holder.Address) {
				cancel()
				return
			}
			if c.silent(now, started) {
				if holder.Node != c.client.config.Node {
					c.client.config.Pool.Suspect(holder.Address)
				}
				cancel()
				return
			}
		}
	}
}

// silent tells whether the dispatcher has not been heard for too long. A stream that is being
// opened may take as long as an open one may be silent.
func (c *channel) silent(now, started time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := started
	if c.linked && c.opened.After(last) {
		last = c.opened
	}
	if c.linked && c.answered && c.heard.After(last) {
		last = c.heard
	}
	return c.pace.silent(now, last)
}

// maintain refuses calls whose deadline passed and serves calls while there is no dispatcher.
func (c *channel) maintain(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.close()
			return
		case now := <-ticker.C:
			c.mu.Lock()
			c.expire(now)
			c.noteAutonomy(now)
			if c.autonomous(now) {
				c.serveAlone(now)
			}
			c.mu.Unlock()
		}
	}
}
