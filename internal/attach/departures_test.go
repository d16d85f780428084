package attach

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// Guards against a receiver that misses a departure when it switches to another or a restarted control
// host, and against a departure that also removes a later process of the same server.
func TestDeparturesReachEveryReceiver(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	d := newDepartures(7)
	g.Expect(d.record(now, "i-1", 5)).To(BeTrue())
	g.Expect(d.record(now, "i-1", 5)).To(BeFalse())
	g.Expect(d.record(now, "i-2", 3)).To(BeTrue())
	g.Expect(d.covers("i-1", 5)).To(BeTrue())
	g.Expect(d.covers("i-1", 6)).To(BeFalse(), "a later process")
	g.Expect(d.changesSince(7, 1).GetList()).To(HaveLen(1))
	g.Expect(d.changesSince(7, 2).GetList()).To(BeEmpty())
	g.Expect(d.changesSince(8, 2).GetList()).To(HaveLen(2), "numbers of another host's log are not comparable")
	g.Expect(d.record(now.Add(time.Second), "i-1", 6)).To(BeTrue())
	g.Expect(d.changesSince(7, 2).GetList()).To(HaveLen(1))
	d.expire(now.Add(departureRetention))
	g.Expect(d.covers("i-2", 3)).To(BeFalse())
	g.Expect(d.covers("i-1", 6)).To(BeTrue())
}

// A departure that a server states again, as late as half a minute after the first time, holds from then on: it must be
// written again, and until then counts as durable only as of the first time.
func TestRepeatedDeparturesAreRenewed(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 123456789)
	d := newDepartures(7)
	g.Expect(d.record(now, "i-1", 5)).To(BeTrue())
	g.Expect(d.isDurable("i-1", 5)).To(BeFalse())
	g.Expect(d.durableChangesSince(now, 7, 0).GetList()).To(BeEmpty(), "others may not count on it")
	g.Expect(d.changesSince(7, 0).GetList()).To(HaveLen(1), "entry hosts stop using it")
	d.markDurable("i-1", 5, time.UnixMilli(now.UnixMilli()))
	g.Expect(d.isDurable("i-1", 5)).To(BeTrue())
	seen := d.durableChangesSince(now, 7, 0).GetSeen()

	again := now.Add(departureRenewal)
	g.Expect(d.record(again.Add(-time.Millisecond), "i-1", 5)).To(BeFalse())
	g.Expect(d.record(again, "i-1", 4)).To(BeTrue(), "a call of an earlier process")
	g.Expect(d.covers("i-1", 5)).To(BeTrue())
	g.Expect(d.isDurable("i-1", 5)).To(BeFalse())
	list := d.durableChangesSince(again, 7, 0).GetList()
	g.Expect(list).To(ConsistOf(HaveField("Incarnation", BeEquivalentTo(5))))
	g.Expect(list[0].GetAgeMs()).To(BeEquivalentTo(departureRenewal.Milliseconds()))
	d.markDurable("i-1", 5, time.UnixMilli(again.UnixMilli()))
	g.Expect(d.isDurable("i-1", 5)).To(BeTrue())
	g.Expect(d.durableChangesSince(again, 7, seen).GetList()).To(HaveLen(1), "other control hosts learn the new time")
	d.expire(now.Add(departureRetention))
	g.Expect(d.covers("i-1", 5)).To(BeTrue())

	g.Expect(d.record(again, "i-1", 6)).To(BeTrue())
	g.Expect(d.isDurable("i-1", 6)).To(BeFalse())
	g.Expect(d.durableChangesSince(again, 7, 0).GetList()).To(ConsistOf(HaveField("Incarnation", BeEquivalentTo(5))))
}

// Guards against a control host that reports its departures as current although it has not polled a
// majority since a confirmation: entry hosts would continue to use servers that drain.
func TestCurrentDeparturesContainEveryConfirmedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-g]`), 1, 7, rapid.ID[string]).Draw(t, "members")
		fleet := &hostset.Fleet{}
		for _, m := range members {
			fleet.Hosts = append(fleet.Hosts, hostset.Host{ID: m, FleetAddress: m})
		}
		at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
		// The informed members know the departure from the time confirmed on. The host polled each member
		// at some time, or got no response.
		informed := map[string]bool{}
		for _, m := range rapid.Permutation(members).Draw(t, "told")[:len(members)/2+1] {
			informed[m] = true
		}
		confirmed := rapid.IntRange(0, 1000).Draw(t, "confirmed")
		var c freshness
		knows := false
		for _, m := range members {
			if !rapid.Bool().Draw(t, "answers") {
				continue
			}
			polled := rapid.IntRange(1, 1000).Draw(t, "asked")
			c.recordResponse(m, at(polled))
			knows = knows || informed[m] && polled >= confirmed
		}
		if asOf := c.asOf(fleet); !asOf.IsZero() && !asOf.Before(at(confirmed)) && !knows {
			t.Fatalf("departures are reported as current as of %v without the one confirmed at %v", asOf, at(confirmed))
		}
	})
}

// While the control group changes, the members of the former one may still confirm departures. Guards
// against counting a majority of the new group alone, which may not know of them.
func TestFormerGroupCountsWhileItMayConfirm(t *testing.T) {
	g := NewWithT(t)
	hosts := func(names ...string) (list []hostset.Host) {
		for _, n := range names {
			list = append(list, hostset.Host{ID: n, FleetAddress: n})
		}
		return list
	}
	var c freshness
	now := time.Unix(1000, 0)
	for _, m := range []string{"c", "d", "e"} {
		c.recordResponse(m, now)
	}
	fleet := &hostset.Fleet{Hosts: hosts("a", "b", "c", "d", "e")}
	g.Expect(c.asOf(fleet)).To(Equal(now))
	fleet.PreviousHosts = hosts("a", "b", "c")
	g.Expect(c.asOf(fleet).IsZero()).To(BeTrue())
	g.Expect(c.asOf(nil).IsZero()).To(BeTrue())
}

// Guards against a dispatcher that does not know a departure and brings the server back on an entry
// host that does, and against a host that was cut off for longer than departures are kept and reports
// its list as current.
func TestDeparturesOutliveTheListsOfDispatchers(t *testing.T) {
	g := NewWithT(t)
	s := NewServers()
	entry := func(name string, incarnation uint64) *dispatchpb.ServerEntry {
		return &dispatchpb.ServerEntry{Instance: name, Address: name + ":1", Slots: 6, Incarnation: incarnation}
	}
	names := func() (list []string) {
		for _, b := range s.Servers("cuefeed") {
			list = append(list, b.Instance)
		}
		return list
	}
	now := time.Now()
	s.ApplyUpdate("cuefeed", &dispatchpb.ServerNews{Reset_: true, Changed: []*dispatchpb.ServerEntry{entry("a", 5), entry("b", 5)}})
	s.ApplyDepartures(now, now, []*fleetpb.Departure{{Instance: "a", Incarnation: 5}})
	g.Expect(names()).To(Equal([]string{"b"}))
	s.ApplyUpdate("cuefeed", &dispatchpb.ServerNews{Reset_: true, Changed: []*dispatchpb.ServerEntry{entry("a", 5), entry("b", 5)}})
	g.Expect(names()).To(Equal([]string{"b"}), "the list of a dispatcher that does not know the departure")
	s.ApplyUpdate("cuefeed", &dispatchpb.ServerNews{Changed: []*dispatchpb.ServerEntry{entry("a", 6)}})
	g.Expect(names()).To(Equal([]string{"a", "b"}), "a later process")
	g.Expect(s.CurrentAsOf()).To(Equal(now))
	s.ApplyDepartures(now.Add(time.Hour), now.Add(time.Hour), nil)
	g.Expect(s.CurrentAsOf()).To(Equal(now), "departures from the time in between have expired")
}

// In a fleet with 19 control hosts, the polls of all members took more of the hosts than their other work. Polls must
// still reach a majority when some members fail, and all members when too many do.
func TestPollsOfALargeGroupReachAMajority(t *testing.T) {
	g := NewWithT(t)
	var group []hostset.Host
	for i := range 19 {
		group = append(group, hostset.Host{FleetAddress: fmt.Sprint(i)})
	}
	now := time.Unix(1000, 0)
	var f freshness
	poll := func(failed int) int {
		targets := f.pollTargets(group, now.Add(-responsiveFor))
		for _, h := range targets {
			if slices.Index(group, h) >= failed {
				f.recordResponse(h.FleetAddress, now)
			}
		}
		now = now.Add(pollInterval)
		return len(targets)
	}
	g.Expect(poll(0)).To(Equal(19))
	for range 10 {
		g.Expect(poll(0)).To(Equal(12))
	}
	for failed := range 10 {
		last := now
		for range 2 {
			poll(failed)
		}
		g.Expect(f.majorityPolledAt(group)).To(BeTemporally(">=", last), "%d members failed", failed)
		for range 3 {
			poll(0)
		}
	}
	small := group[:5]
	g.Expect(f.pollTargets(small, now.Add(-responsiveFor))).To(HaveLen(5))
}
