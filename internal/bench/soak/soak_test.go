package soak

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// testSpan is the time in which faults happen in each of the two runs.
const testSpan = 8 * time.Second

// Guards against guarantees that are violated when several components fail concurrently. The counts must show
// that the checks had something to check.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a real fleet for about 20 s")
	}
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := NewWithT(t)
			show := func(e Event) { t.Log(e) }
			r, err := Run(context.Background(), Options{Seed: seed, FaultDuration: testSpan, OnEvent: show})
			g.Expect(err).NotTo(HaveOccurred())
			if r.Violation != nil {
				t.Fatalf("%s at %v: %s", r.Violation.Check, r.Violation.At, r.Violation.Detail)
			}
			schedule := DrawSchedule(seed, testSpan, testFleetSize)
			leaving := 0
			for _, f := range schedule {
				if stopsNewWork(f.Kind) {
					leaving++
				}
			}
			g.Expect(r.Counts.Faults).To(Equal(len(schedule)))
			g.Expect(r.Counts.NoNewWorkChecks).To(Equal(leaving))
			g.Expect(r.Counts.Answered).NotTo(BeZero())
			g.Expect(r.Counts.Replays).NotTo(BeZero())
			g.Expect(r.Counts.KeyReuses).NotTo(BeZero())
			g.Expect(r.Counts.Accepted).NotTo(BeZero())
			g.Expect(r.Counts.Conflicts).NotTo(BeZero())
			g.Expect(r.Counts.Views).NotTo(BeZero())
			g.Expect(r.Counts.Revisions).NotTo(BeZero())
			g.Expect(r.Counts.Runs).NotTo(BeZero())
		})
	}
}
