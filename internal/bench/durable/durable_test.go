package durable

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a benchmark that does not run to its end, takes longer than configured, or reports figures
// without measurements.
func TestRun(t *testing.T) {
	if testing.Short() {
		t.Skip("runs measurements that take several seconds")
	}
	g := NewWithT(t)
	start := time.Now()
	report, err := Run(context.Background(), Options{Duration: MinDuration, Folder: t.TempDir(), RecoverySizes: []int{500}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Since(start)).To(BeNumerically("<", 5*MinDuration))
	g.Expect(report.Claims).To(HaveLen(2))
	for _, c := range report.Claims {
		g.Expect(c.PerSecond).To(BeNumerically(">", 1))
		g.Expect(c.Failed).To(BeZero())
		g.Expect(c.CallsPerClaim).To(BeNumerically(">=", 3))
		g.Expect(c.BytesPerClaim).To(BeNumerically(">", 3*claimBytes))
	}
	g.Expect(report.Recovery).To(HaveLen(1))
	g.Expect(report.Recovery[0].Registers).To(Equal(500))
	g.Expect(report.Changes).To(HaveLen(10))
	for _, c := range report.Changes {
		g.Expect(c.Before).To(BeNumerically(">", 1), "%+v", c)
	}
	t.Logf("%+v", report)
}

// Guards against a fault that starts before any change was accepted, as on a disk with slow syncs.
func TestFaultWaitsForFirstChanges(t *testing.T) {
	for _, design := range []string{Leaderless, LeaderBased} {
		g := NewWithT(t)
		row, err := measureChanges(context.Background(), t.TempDir(), design, NoFault, time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(row.Before).To(BeNumerically(">", 1), design)
	}
}

// Guards against a gap that is measured across the start of the fault or that leaves out the time up to the
// end.
func TestSummarise(t *testing.T) {
	g := NewWithT(t)
	begin := time.Unix(0, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	row := summarise(Leaderless, Unresponsive, []time.Time{at(100), at(1600), at(1200)}, begin, at(1000), at(3000))
	g.Expect(row.Before).To(BeNumerically("~", 1))
	g.Expect(row.During).To(BeNumerically("~", 1))
	g.Expect(row.LongestGap).To(BeNumerically("~", 1400))
	row = summarise(Leaderless, Unresponsive, []time.Time{at(100), at(1900)}, begin, at(1000), at(2000))
	g.Expect(row.LongestGap).To(BeNumerically("~", 900))
}
