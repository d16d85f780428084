package dispatchrpc

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/transport"
)

// ClientConfig holds the configuration of a Client. All fields are required unless stated otherwise.
type ClientConfig struct {
	// Node, DataCentre and Incarnation identify this node.
	Node        string
	DataCentre  string
	Incarnation uint64
	Settings    Settings
	Registry    backend.Registry
	Elections   leadership.Elections
	Pool        *transport.Pool
	// Local is the dispatcher of this process; streams from this node to itself bypass the network. May be
	// nil.
	Local *Server
	// Sink receives the lists of backend servers from dispatchers; nil if the node has its own registry.
	Sink ServerSink
	// ListAsOf returns the time up to which drains and departures of backend servers are known without a
	// dispatcher; nil if the node learns of them only from dispatchers.
	ListAsOf func() time.Time
	// Departed reports whether a server that the registry does not list is known to drain or to have left; nil if the
	// registry lists such servers.
	Departed func(service, instance string) bool
	// Hosts returns how many hosts share the retries of a service in autonomous mode if the settings do not
	// list them. May be nil or return 0 if that is unknown.
	Hosts  func() int
	Logger *log.Logger
}

// Client is the node's source of grants. It keeps one stream per service to the dispatcher of the service.
type Client struct {
	config     ClientConfig
	log        *log.Logger
	logLimiter *logging.Limiter
	mu         sync.RWMutex
	// channels holds the channel of each service, by service name.
	channels map[string]*channel
	// mix counts the requests of this host by service.
	mix serviceMix
	// ctx is the context of Run; nil before Run is called.
	ctx context.Context
	wg  sync.WaitGroup
}

var _ grant.Source = (*Client)(nil)

// channelSyncInterval is how often the client checks for added and removed services.
const channelSyncInterval = 100 * time.Millisecond

// NewClient returns a client that refuses requests with the problem starting until Run is called.
func NewClient(c ClientConfig) *Client {
	return &Client{
		config: c, log: c.Logger.WithPrefix("grants"), logLimiter: logging.NewLimiter(logging.DefaultLinesPerSecond),
		channels: map[string]*channel{},
	}
}

// Run keeps the streams open until the context ends.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	ticker := time.NewTicker(channelSyncInterval)
	defer ticker.Stop()
	for {
		c.syncChannels()
		select {
		case <-ctx.Done():
			c.wg.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// syncChannels opens channels for added services and closes those of removed ones.
func (c *Client) syncChannels() {
	wanted := map[string]bool{}
	for _, service := range c.config.Settings.Services() {
		wanted[service] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil || c.ctx.Err() != nil {
		return
	}
	for service := range wanted {
		if c.channels[service] == nil {
			c.startChannel(service)
		}
	}
	for service, ch := range c.channels {
		if !wanted[service] {
			ch.cancel()
			delete(c.channels, service)
		}
	}
}

func (c *Client) startChannel(service string) {
	ctx, cancel := context.WithCancel(c.ctx)
	ch := newChannel(c, service, cancel)
	c.channels[service] = ch
	c.wg.Add(2)
	go func() {
		defer c.wg.Done()
		ch.connect(ctx)
	}()
	go func() {
		defer c.wg.Done()
		ch.maintainQueue(ctx)
	}()
}

func (c *Client) channel(service string) *channel {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.channels[service]
}

// Acquire waits for a grant. Errors are *problem.Problem with the outcome not-run.
func (c *Client) Acquire(ctx context.Context, r grant.Request) (grant.Grant, error) {
	ch := c.channel(r.Service)
	if ch == nil {
		// The service may have been configured a moment ago, since the last call of syncChannels.
		c.syncChannels()
		ch = c.channel(r.Service)
	}
	if ch == nil {
		return nil, problem.New(problem.Starting, problem.NotRun, "This host does not serve "+r.Service+" yet").After(time.Second)
	}
	return ch.acquire(ctx, r)
}

// HedgeDelay returns how long to wait for a first byte before hedging, or 0 if requests must not be hedged.
func (c *Client) HedgeDelay(service string) time.Duration {
	ch := c.channel(service)
	if ch == nil {
		return 0
	}
	return time.Duration(ch.hedge.Load())
}

// Autonomous reports whether the node routes the service without a dispatcher.
func (c *Client) Autonomous(service string) bool {
	ch := c.channel(service)
	if ch == nil {
		return false
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.autonomous(time.Now())
}

// CanAcquire reports whether the node can get grants for the service: either it has a dispatcher, or it has
// a share of at least one usable server. Lists of endpoints leave out nodes that cannot.
func (c *Client) CanAcquire(service string) bool {
	ch := c.channel(service)
	if ch == nil {
		return false
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := time.Now()
	return !ch.autonomous(now) || ch.hasShare(now)
}
