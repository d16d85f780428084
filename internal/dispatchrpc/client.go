package dispatchrpc

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/transport"
)

// ClientConfig holds what a Client needs. All fields but Local are required.
type ClientConfig struct {
	// Node, DataCentre and Incarnation identify this node.
	Node        string
	DataCentre  string
	Incarnation uint64
	Settings    Settings
	Registry    backend.Registry
	Elections   leadership.Elections
	Pool        *transport.Pool
	// Local is the dispatcher of this process; streams to this node itself skip the network. May be nil.
	Local *Server
	// Sink takes the dispatchers' lists of backend servers; nil if the node has a registry of its own.
	Sink ServerSink
	// ListAsOf is the time by which drains and departures of backend servers are known without a dispatcher;
	// nil if the node learns of them from dispatchers only.
	ListAsOf func() time.Time
	// Hosts is how many hosts share the retries of a service while they have no dispatcher, where the
	// settings do not list them; nil or 0 if it is not known.
	Hosts  func() int
	Logger *log.Logger
}

// Client is the node's source of grants. It keeps one stream per service to its dispatcher.
type Client struct {
	config ClientConfig
	log    *log.Logger
	mu     sync.RWMutex
	// channels by service.
	channels map[string]*channel
	// ctx is the context of Run; nil before.
	ctx context.Context
	wg  sync.WaitGroup
}

var _ grant.Source = (*Client)(nil)

// servicesEvery is how often the client looks for added and removed services.
const servicesEvery = 100 * time.Millisecond

// NewClient returns a client that refuses requests as starting until Run is called.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, log: c.Logger.WithPrefix("grants"), channels: map[string]*channel{}}
}

// Run keeps the streams until the context ends.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	ticker := time.NewTicker(servicesEvery)
	defer ticker.Stop()
	for {
		c.follow()
		select {
		case <-ctx.Done():
			c.wg.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// follow opens and closes channels as services come and go.
func (c *Client) follow() {
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
			c.start(service)
		}
	}
	for service, ch := range c.channels {
		if !wanted[service] {
			ch.cancel()
			delete(c.channels, service)
		}
	}
}

func (c *Client) start(service string) {
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
		ch.maintain(ctx)
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
		// The service may have come into force a moment ago.
		c.follow()
		ch = c.channel(r.Service)
	}
	if ch == nil {
		return nil, problem.New(problem.Starting, problem.NotRun, "This host does not serve "+r.Service+" yet").After(time.Second)
	}
	return ch.acquire(ctx, r)
}

// HedgeDelay returns how long to wait for a first byte before hedging, or 0 to not hedge.
func (c *Client) HedgeDelay(service string) time.Duration {
	ch := c.channel(service)
	if ch == nil {
		return 0
	}
	return time.Duration(ch.hedge.Load())
}

// Autonomous tells whether the node routes the service without a dispatcher.
func (c *Client) Autonomous(service string) bool {
	ch := c.channel(service)
	if ch == nil {
		return false
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.autonomous(time.Now())
}

// CanAcquire tells whether the node can get grants for the service: it has a dispatcher, or a share
// of its own of at least one usable server. Endpoint answers leave out nodes that cannot.
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
