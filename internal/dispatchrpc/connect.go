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
	// streamCheckInterval is how often a stream is checked for an unresponsive dispatcher and for a change
	// of dispatcher.
	streamCheckInterval = 20 * time.Millisecond
	// responseReportInterval is how often the client reports to the elections that the dispatcher responds.
	responseReportInterval = 500 * time.Millisecond
)

// connect keeps a stream open to the current dispatcher until the context ends.
func (c *channel) connect(ctx context.Context) {
	for ctx.Err() == nil {
		shardName := c.shardName()
		if holder, ok := c.client.config.Elections.Dispatcher(shardName); ok {
			if err := c.runStream(ctx, holder, shardName); err != nil && ctx.Err() == nil {
				c.client.log.Debug("stream ended", "service", shardName, "dispatcher", holder.Node, "err", logging.Err(err))
			}
		}
		sleep(ctx, reconnectDelay/2+rand.N(reconnectDelay))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runStream runs one stream until it breaks, the dispatcher becomes unresponsive or another node becomes
// dispatcher.
func (c *channel) runStream(ctx context.Context, holder leadership.Holder, shardName string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.watchStream(ctx, cancel, holder, shardName)
	stream, err := c.openStream(ctx, holder)
	if err != nil {
		return err
	}
	hello, streamID := c.beginStream(time.Now(), shardName)
	stop := context.AfterFunc(ctx, func() {
		c.endStream(streamID)
		// The stream is no longer used, so an error on closing it does not matter.
		_ = stream.Close()
	})
	defer stop()
	defer c.endStream(streamID)
	if err := stream.Send(hello); err != nil {
		return errors.Wrap(err, "send the hello")
	}
	go func() {
		defer cancel()
		c.writeLoop(ctx, stream, streamID)
	}()
	return c.readLoop(ctx, stream, streamID, holder.Node, shardName)
}

func (c *channel) openStream(ctx context.Context, holder leadership.Holder) (nodeStream, error) {
	cfg := &c.client.config
	if holder.Node == cfg.Node && cfg.Local != nil {
		return cfg.Local.openLocal(ctx), nil
	}
	stream, err := dispatchpb.NewDRPCDispatcherClient(cfg.Pool.Conn(ctx, holder.Address)).Stream(ctx)
	return stream, errors.Wrap(err, "open a stream to the dispatcher")
}

func (c *channel) readLoop(ctx context.Context, stream nodeStream, streamID uint64, node, shardName string) error {
	observer, observed := c.client.config.Elections.(leadership.Observer)
	if observed {
		defer observer.DispatcherStreamEnded(shardName)
	}
	var reportedAt time.Time
	for {
		batch, err := stream.Recv()
		if err != nil {
			if ctx.Err() == nil {
				c.recordStreamEnd(time.Now(), streamID)
			}
			return errors.Wrap(err, "read from the dispatcher")
		}
		if !c.handleBatch(time.Now(), batch) {
			return errors.New("the dispatcher is unresponsive, the peer is not the dispatcher, or the hello is outdated; reconnecting")
		}
		if now := time.Now(); observed && now.Sub(reportedAt) >= responseReportInterval {
			reportedAt = now
			observer.DispatcherResponded(shardName, node, c.dispatcherTerm())
		}
	}
}

// dispatcherTerm returns the term of the dispatcher as its last view showed it.
func (c *channel) dispatcherTerm() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// writeLoop sends pending contents immediately, and a heartbeat when there are none.
func (c *channel) writeLoop(ctx context.Context, stream nodeStream, streamID uint64) {
	heartbeat := time.NewTimer(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-heartbeat.C:
		}
		batch, interval := c.takeBatch(time.Now(), streamID)
		if batch == nil || stream.Send(batch) != nil {
			return
		}
		heartbeat.Reset(interval)
	}
}

// watchStream cancels a stream whose dispatcher is unresponsive or no longer holds the lease, or to whose
// shard the node no longer belongs.
func (c *channel) watchStream(ctx context.Context, cancel context.CancelFunc, holder leadership.Holder, shardName string) {
	ticker := time.NewTicker(streamCheckInterval)
	defer ticker.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			current, ok := c.client.config.Elections.Dispatcher(shardName)
			if ok && (current.Node != holder.Node || current.Address != holder.Address) || c.shardName() != shardName {
				cancel()
				return
			}
			if c.unresponsive(now, started) {
				if holder.Node != c.client.config.Node {
					c.client.config.Pool.Suspect(holder.Address)
				}
				cancel()
				return
			}
		}
	}
}

// unresponsive reports whether the dispatcher has sent nothing for too long. Opening a stream may take as
// long as the pause allowed on an open one.
func (c *channel) unresponsive(now, started time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := started
	if c.connected && c.openedAt.After(last) {
		last = c.openedAt
	}
	if c.connected && c.responded && c.lastHeard.After(last) {
		last = c.lastHeard
	}
	return c.activity.unresponsive(now, last)
}

// maintainQueue refuses requests whose deadline has passed and serves requests while there is no
// dispatcher.
func (c *channel) maintainQueue(ctx context.Context) {
	ticker := time.NewTicker(streamCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.close()
			return
		case now := <-ticker.C:
			c.mu.Lock()
			c.refuseExpired(now)
			c.logAutonomyChange(now)
			if c.autonomous(now) {
				c.serveAutonomously(now)
			}
			c.mu.Unlock()
		}
	}
}
