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

// listed is a registry with a fixed list.
type listed []backend.Server

func (l listed) Servers(string) []backend.Server                { return l }
func (l listed) Announce(context.Context, backend.Server) error { return nil }
func (l listed) MarkDraining(string, string)                    {}

// lonely returns the channel of a host that lost its dispatcher at the given time and knows four servers.
func lonely(lost time.Time) *channel {
	var servers listed
	shares := map[string]int{}
	for i := range 4 {
		name := fmt.Sprint("s", i)
		servers = append(servers, backend.Server{Instance: name, State: backend.Ready, Renewed: lost, Cutoff: time.Hour})
		shares[name] = 1
	}
	c := newChannel(&Client{config: ClientConfig{Registry: servers}}, "cuefeed", func() {})
	c.heard = lost
	c.alone.shares = shares
	return c
}

func (c *channel) chosen(now time.Time) map[string]int {
	chosen := map[string]int{}
	for range 200 {
		if s, ok := c.placeAlone(now, &grant.Request{}); ok {
			chosen[s.Instance]++
		}
	}
	return chosen
}

// Hosts that are cut off from their dispatcher for long all went on without the servers that were out at the
// moment of the cut, and told the next dispatcher to keep them out.
func TestVerdictsOfALostDispatcherEnd(t *testing.T) {
	g := NewWithT(t)
	lost := time.Unix(1000, 0)
	c := lonely(lost)
	c.ejected, c.crashed = map[string]bool{"s1": true}, map[string]bool{"s2": true}
	g.Expect(c.chosen(lost.Add(4 * time.Second))).To(And(HaveLen(2), HaveKey("s0"), HaveKey("s3")))
	hello, _ := c.link(lost.Add(4 * time.Second))
	g.Expect(hello.GetHello().GetEjected()).To(Equal([]string{"s1"}))
	g.Expect(c.chosen(lost.Add(6 * time.Second))).To(HaveLen(4))
	hello, _ = c.link(lost.Add(6 * time.Second))
	g.Expect(hello.GetHello().GetEjected()).To(BeEmpty())
}

// A host without a dispatcher that forgets which server failed it sends one request after the other there.
func TestHostsAloneAvoidWhatFailedThem(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := lonely(now)
	for _, name := range []string{"s0", "s1", "s2"} {
		c.noteAlone(now, name, grant.Broken)
	}
	c.noteAlone(now, "s2", grant.OK)
	g.Expect(c.chosen(now.Add(time.Second))).To(And(HaveLen(2), HaveKey("s2"), HaveKey("s3")))
	for _, name := range []string{"s2", "s3"} {
		c.noteAlone(now.Add(time.Second), name, grant.ConnectFailed)
	}
	g.Expect(c.chosen(now.Add(2*time.Second))).To(HaveLen(4), "rather one that failed than none")
	g.Expect(c.chosen(now.Add(3500 * time.Millisecond))).To(And(HaveLen(2), HaveKey("s0"), HaveKey("s1")))
}

// Servers come and go for as long as a host runs; a memory of every one that ever failed it only grows.
func TestHostsAloneForgetOldFailures(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := lonely(now)
	for i := range 1000 {
		c.noteAlone(now.Add(time.Duration(i)*time.Second), fmt.Sprint("gone-", i), grant.Broken)
	}
	g.Expect(len(c.alone.failed)).To(BeNumerically("<=", 3))
}

// Hosts that lose their dispatcher at once all place alone. If each had the retries of the whole service, they
// would send several times as many together, at the moment when the servers can bear the least.
func TestHostsAloneShareTheRetriesOfTheService(t *testing.T) {
	for _, hosts := range []int{1, 29, 97} {
		g := NewWithT(t)
		const share, floor, requests = 0.2, 56.0, 400
		now := time.Unix(1000, 0)
		extra := 0
		for range hosts {
			c := lonely(now)
			c.client.config.Settings = bounded{share, floor}
			c.client.config.Hosts = func() int { return hosts }
			c.alone.shares = nil
			c.refreshShares(now)
			for range requests / hosts {
				c.alone.budget.Spend(now, false)
				for c.alone.budget.Allows(now) {
					c.alone.budget.Spend(now, true)
					extra++
				}
			}
		}
		g.Expect(extra).To(BeNumerically("<=", share*requests+floor), "%d hosts", hosts)
		g.Expect(extra).To(BeNumerically(">", share*requests/2), "%d hosts: the share is used", hosts)
	}
}

// bounded sets the bounds of retries.
type bounded struct{ share, floor float64 }

func (bounded) Services() []string { return []string{"cuefeed"} }

func (b bounded) Service(string) (ServiceSettings, bool) {
	return ServiceSettings{RetryShare: b.share, RetryFloor: b.floor, DefaultSlots: 6}, true
}
