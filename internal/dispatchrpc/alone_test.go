package dispatchrpc

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// fixedRegistry is a registry with a fixed list of servers.
type fixedRegistry []backend.Server

func (l fixedRegistry) Servers(string) []backend.Server                { return l }
func (l fixedRegistry) Announce(context.Context, backend.Server) error { return nil }
func (l fixedRegistry) MarkDraining(string, string)                    {}

// disconnectedChannel returns the channel of a host that lost its dispatcher at the given time and knows
// four servers.
func disconnectedChannel(lost time.Time) *channel {
	var servers fixedRegistry
	shares := map[string]int{}
	for i := range 4 {
		name := fmt.Sprint("s", i)
		servers = append(servers, backend.Server{Instance: name, State: backend.Ready, Renewed: lost, Cutoff: time.Hour})
		shares[name] = 1
	}
	c := newChannel(&Client{config: ClientConfig{Registry: servers}}, "cuefeed", func() {})
	c.lastHeard = lost
	c.autonomy.shares = shares
	return c
}

func (c *channel) countSelected(now time.Time) map[string]int {
	selected := map[string]int{}
	for range 200 {
		if s, ok := c.selectServer(now, &grant.Request{}); ok {
			selected[s.Instance]++
		}
	}
	return selected
}

// Hosts that stay cut off from their dispatcher must not leave out forever the servers that were out of
// rotation when the connection was lost, nor have the next dispatcher keep them out.
func TestVerdictsOfALostDispatcherEnd(t *testing.T) {
	g := NewWithT(t)
	lost := time.Unix(1000, 0)
	c := disconnectedChannel(lost)
	c.ejected, c.crashed = map[string]bool{"s1": true}, map[string]bool{"s2": true}
	g.Expect(c.countSelected(lost.Add(4 * time.Second))).To(And(HaveLen(2), HaveKey("s0"), HaveKey("s3")))
	hello, _ := c.beginStream(lost.Add(4*time.Second), "s")
	g.Expect(hello.GetHello().GetEjected()).To(Equal([]string{"s1"}))
	g.Expect(c.countSelected(lost.Add(6 * time.Second))).To(HaveLen(4))
	hello, _ = c.beginStream(lost.Add(6*time.Second), "s")
	g.Expect(hello.GetHello().GetEjected()).To(BeEmpty())
}

// An autonomous host that does not remember which server failed a request sends that server one request
// after the other.
func TestHostsAloneAvoidWhatFailedThem(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := disconnectedChannel(now)
	for _, name := range []string{"s0", "s1", "s2"} {
		c.recordAutonomousResult(now, name, grant.Broken)
	}
	c.recordAutonomousResult(now, "s2", grant.OK)
	g.Expect(c.countSelected(now.Add(time.Second))).To(And(HaveLen(2), HaveKey("s2"), HaveKey("s3")))
	for _, name := range []string{"s2", "s3"} {
		c.recordAutonomousResult(now.Add(time.Second), name, grant.ConnectFailed)
	}
	g.Expect(c.countSelected(now.Add(2*time.Second))).To(HaveLen(4), "a server that failed is better than none")
	g.Expect(c.countSelected(now.Add(3500 * time.Millisecond))).To(And(HaveLen(2), HaveKey("s0"), HaveKey("s1")))
}

// Servers come and go for as long as a host runs, so a record of every server that ever failed a request
// would grow without bound.
func TestAutonomousHostsForgetOldFailures(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := disconnectedChannel(now)
	for i := range 1000 {
		c.recordAutonomousResult(now.Add(time.Duration(i)*time.Second), fmt.Sprint("gone-", i), grant.Broken)
	}
	g.Expect(len(c.autonomy.failedAt)).To(BeNumerically("<=", 3))
}

// Hosts that lose their dispatcher at the same time all become autonomous. If each used the retry budget of
// the whole service, together they would send several times the allowed retries, at the moment when the
// servers can bear the least.
func TestHostsAloneShareTheRetriesOfTheService(t *testing.T) {
	for _, hosts := range []int{1, 29, 97} {
		g := NewWithT(t)
		const share, floor, requests = 0.2, 56.0, 400
		now := time.Unix(1000, 0)
		extra := 0
		for range hosts {
			c := disconnectedChannel(now)
			c.client.config.Settings = retryBounds{share, floor}
			c.client.config.Hosts = func() int { return hosts }
			c.autonomy.shares = nil
			c.refreshShares(now)
			for range requests / hosts {
				c.autonomy.budget.Spend(now, false)
				for c.autonomy.budget.Allows(now) {
					c.autonomy.budget.Spend(now, true)
					extra++
				}
			}
		}
		g.Expect(extra).To(BeNumerically("<=", share*requests+floor), "%d hosts", hosts)
		g.Expect(extra).To(BeNumerically(">", share*requests/2), "%d hosts: the retry share is used", hosts)
	}
}

// retryBounds is a Settings with the given bounds of retries.
type retryBounds struct{ share, floor float64 }

func (retryBounds) Services() []string { return []string{"cuefeed"} }

func (b retryBounds) Service(string) (ServiceSettings, bool) {
	return ServiceSettings{RetryShare: b.share, RetryFloor: b.floor, DefaultSlots: 6}, true
}
