package soak

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/standin"
)

const (
	// freezeBeforeVanish exceeds the pause between two announcements minus the maximum duration of one.
	freezeBeforeVanish = 450 * time.Millisecond
	// freezeAfterVanish ends the freeze before noNewWorkAfter, so that delayed work arrives before that
	// bound.
	freezeAfterVanish = 2500 * time.Millisecond
	watchDuration     = 4 * time.Second
	requestRate       = 300
	settleTime        = time.Second
)

// Guards against a late announcement that renews a lease. A frozen host receives the announcement when it
// resumes. If it counts as a renewal from then on, a server that vanished meanwhile gets new work after the
// bound.
func TestLateAnnouncement(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a real fleet for about 10 s")
	}
	g := NewWithT(t)
	e, err := newEnvironment(context.Background(), Options{Seed: 1})
	g.Expect(err).NotTo(HaveOccurred())
	defer e.fleet.Kill()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.load.Run(ctx)
	e.load.SetRate("cue-lists", requestRate)
	time.Sleep(settleTime)

	// With seed 1 the first stand-in announces itself to this host, as localfleet assigns the hosts.
	server, host := e.fleet.Backends["cuefeed"][0], e.fleet.Nodes[3].ID
	e.network.Freeze(host, true)
	time.Sleep(freezeBeforeVanish)
	server.SetFaults(standin.Faults{RefuseOutbound: true})
	vanished := time.Now()
	time.Sleep(freezeAfterVanish)
	e.network.Freeze(host, false)
	time.Sleep(time.Until(vanished.Add(noNewWorkAfter)))
	before := server.Arrivals()
	time.Sleep(watchDuration)
	g.Expect(server.Arrivals()-before).To(BeZero(), "requests more than %v after the server vanished", noNewWorkAfter)
}
