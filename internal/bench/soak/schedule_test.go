package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var testFleetSize = FleetSize{Nodes: nodeCount, Controls: controlCount, DataCentres: 3, Backends: instanceCounts}

// Guards against a schedule that depends on anything but its arguments: violations could not be reproduced
// from the seed.
func TestScheduleDependsOnlyOnItsArguments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		seed := rapid.Uint64().Draw(t, "seed")
		span := time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second
		g.Expect(DrawSchedule(seed, span, testFleetSize)).To(Equal(DrawSchedule(seed, span, testFleetSize)))
	})
}

// Guards against schedules that exceed the failures that the design tolerates: the soak would then report
// violations of guarantees that do not apply.
func TestScheduleStaysWithinTheGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		span := time.Duration(rapid.IntRange(10, 60).Draw(t, "seconds")) * time.Second
		faults := DrawSchedule(rapid.Uint64().Draw(t, "seed"), span, testFleetSize)
		for i, f := range faults {
			g.Expect(f.end()).To(BeNumerically("<=", span))
			concurrent := 0
			for _, b := range faults[:i] {
				if b.Kind == LoseDisk && f.Kind == LoseDisk {
					g.Expect(f.Start).To(BeNumerically(">=", b.end()+minDiskLossGap))
				}
				if b.end() <= f.Start {
					continue
				}
				concurrent++
				bothControl := f.Kind.group() == controlGroup && b.Kind.group() == controlGroup
				g.Expect(bothControl && f.Target == b.Target).To(BeFalse(), "%v and %v", b, f)
			}
			g.Expect(concurrent).To(BeNumerically("<", maxConcurrent))
		}
	})
}

// Guards against a kind that is never drawn: no soak would inject that fault.
func TestScheduleDrawsEveryKind(t *testing.T) {
	g := NewWithT(t)
	seen := map[Kind]bool{}
	for _, f := range DrawSchedule(1, 5*time.Minute, testFleetSize) {
		seen[f.Kind] = true
	}
	for _, kind := range Kinds() {
		g.Expect(seen).To(HaveKey(kind))
	}
}
