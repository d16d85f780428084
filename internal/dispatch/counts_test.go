package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
)

// The counts for the log must show how long servers have been out of rotation and how many servers get no
// work at all.
func TestCountsShowServersWithoutWork(t *testing.T) {
	g := NewWithT(t)
	b := newScriptedService(14, 6)
	b.work[firstKind] = 40 * time.Millisecond
	b.resets = func(instance string, _ time.Time) bool { return instance == "s03" }
	b.run(3*time.Second, func() { b.sendRequest(firstKind, priority.Normal, true, time.Second, 2*time.Second, grant.First) })
	c := b.machine.CountServers(b.now)
	g.Expect(c.Usable).To(Equal(14))
	g.Expect(c.Out).To(Equal(1))
	g.Expect(c.Probation + c.Held + c.Canary).To(Equal(1))
	g.Expect(c.OutLongest).To(BeNumerically(">", 2*time.Second))
	g.Expect(c.OutMedian).To(Equal(c.OutLongest))
	g.Expect(c.LongestUntested).To(BeNumerically("<", c.OutLongest), "its canaries count")
	g.Expect(c.UnusedInRotation).To(BeZero())

	b.now = b.now.Add(dispatch.UnusedAfter)
	b.run(time.Second, func() {})
	c = b.machine.CountServers(b.now)
	g.Expect(c.UnusedInRotation).To(Equal(13))
	g.Expect(c.UnusedOutOfRotation).To(Equal(1))
}
