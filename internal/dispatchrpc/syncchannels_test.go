package dispatchrpc

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// lateSettings has no services until known is set.
type lateSettings struct{ known atomic.Bool }

func (l *lateSettings) Services() []string {
	if l.known.Load() {
		return []string{"cuefeed"}
	}
	return nil
}

func (l *lateSettings) Service(string) (ServiceSettings, bool) {
	return ServiceSettings{}, l.known.Load()
}

type noServers struct{}

func (noServers) Servers(string) []backend.Server                { return nil }
func (noServers) Announce(context.Context, backend.Server) error { return nil }
func (noServers) MarkDraining(string, string)                    {}

type noElections struct{}

func (noElections) Held(string) (leadership.Lease, bool)        { return leadership.Lease{}, false }
func (noElections) Dispatcher(string) (leadership.Holder, bool) { return leadership.Holder{}, false }

// Guards against refusing a request as starting for a service that was configured a moment ago: the host
// already has the configuration revision because of which the request was sent to it.
func TestNewServiceGetsAChannelAtOnce(t *testing.T) {
	g := NewWithT(t)
	settings := &lateSettings{}
	c := NewClient(ClientConfig{Node: "n", DataCentre: "a", Settings: settings, Registry: noServers{}, Elections: noElections{}, Logger: logging.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	acquire := func() problem.Kind {
		_, err := c.Acquire(ctx, grant.Request{Service: "cuefeed", Deadline: time.Now().Add(50 * time.Millisecond)})
		return err.(*problem.Problem).Kind
	}
	g.Eventually(func() bool {
		c.mu.RLock()
		defer c.mu.RUnlock()
		return c.ctx != nil
	}).Should(BeTrue())
	g.Expect(acquire()).To(Equal(problem.Starting))
	settings.known.Store(true)
	g.Expect(acquire()).To(Equal(problem.DeadlinePassed), "it waits for a dispatcher")
	cancel()
	<-done
}
