package groupkeeper

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var startTime = time.Unix(1_000, 0)

func at(s float64) time.Time { return startTime.Add(time.Duration(s * float64(time.Second))) }

// hosts returns six known hosts, of which the given ones are alive.
func hosts(alive ...string) []Host {
	centres := map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
	var list []Host
	for _, id := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		list = append(list, Host{ID: id, Address: id + ":1", DataCentre: centres[id], Alive: slices.Contains(alive, id)})
	}
	return list
}

// A member that stays unavailable must be replaced; otherwise the group cannot tolerate a second loss. A
// member that is unavailable only for the time of a restart must stay in the group.
func TestLostMemberIsReplaced(t *testing.T) {
	g := NewWithT(t)
	k := New("a1", startTime)
	members := []string{"a1", "a2", "b1", "b2", "c1"}
	_, ok := k.NextChange(at(2), members, hosts("a1", "a2", "b1", "b2", "c1"))
	g.Expect(ok).To(BeFalse())
	without := hosts("a1", "a2", "b1", "b2", "c2")
	_, ok = k.NextChange(at(3), members, without)
	g.Expect(ok).To(BeFalse())
	_, ok = k.NextChange(at(5), members, without)
	g.Expect(ok).To(BeFalse(), "a member that is unavailable no longer than for a restart must stay")
	change, ok := k.NextChange(at(5.6), members, without)
	g.Expect(ok).To(BeTrue())
	g.Expect(change.Remove).To(Equal("c1"))
	g.Expect(change.Add.ID).To(Equal("c2"))
}

// A member that returns in time must not be replaced later because its short absences were added up.
func TestReturnedMemberStays(t *testing.T) {
	g := NewWithT(t)
	k := New("a1", startTime)
	members := []string{"a1", "a2", "b1", "b2", "c1"}
	for i := range 20 {
		view := hosts("a1", "a2", "b1", "b2", "c1")
		if i%2 == 0 {
			view = hosts("a1", "a2", "b1", "b2", "c2")
		}
		_, ok := k.NextChange(at(2+float64(i)), members, view)
		g.Expect(ok).To(BeFalse())
	}
}

// Only the alive member with the lowest id may propose a change; two hosts that propose at the same time
// compete for the same epoch.
func TestOnlyLowestLivingMemberActs(t *testing.T) {
	g := NewWithT(t)
	members := []string{"a1", "b1", "c1"}
	without := hosts("a2", "b1", "b2", "c1")
	for _, id := range []string{"c1", "b2"} {
		k := New(id, startTime)
		k.NextChange(at(2), members, without)
		_, ok := k.NextChange(at(9), members, without)
		g.Expect(ok).To(BeFalse(), id)
	}
	k := New("b1", startTime)
	k.NextChange(at(2), members, without)
	change, ok := k.NextChange(at(9), members, without)
	g.Expect(ok).To(BeTrue())
	g.Expect(change.Remove).To(Equal("a1"))
}

// The seeds form a group of three. A majority of a group that leaves out control hosts may be on the side of few
// control hosts in a network partition. The group grows one change at a time, since each new member first copies
// the state.
func TestGroupGrowsToAllControlHosts(t *testing.T) {
	g := NewWithT(t)
	k := New("a1", startTime)
	all := hosts("a1", "a2", "b1", "b2", "c1")
	change, ok := k.NextChange(at(2), []string{"a1", "b1", "c1"}, all)
	g.Expect(ok).To(BeTrue())
	g.Expect(change.Remove).To(BeEmpty())
	g.Expect(change.Add.ID).To(Equal("a2"))
	_, ok = k.NextChange(at(2.3), []string{"a1", "a2", "b1", "c1"}, all)
	g.Expect(ok).To(BeFalse(), "the new member needs time to copy the state")
	change, ok = k.NextChange(at(3.1), []string{"a1", "a2", "b1", "c1"}, all)
	g.Expect(ok).To(BeTrue())
	g.Expect(change.Add.ID).To(Equal("b2"))
	_, ok = k.NextChange(at(9), []string{"a1", "a2", "b1", "b2", "c1"}, all)
	g.Expect(ok).To(BeFalse())
}

// A host that starts in place of a lost one must take its place; added beside it, the lost member would count
// towards the majority for good.
func TestSuccessorIsNotAddedBesideTheLostMember(t *testing.T) {
	g := NewWithT(t)
	k := New("a1", startTime)
	members := []string{"a1", "b1", "c1"}
	view := hosts("a1", "b1", "c2")
	for _, s := range []float64{1, 2, 3} {
		_, ok := k.NextChange(at(s), members, view)
		g.Expect(ok).To(BeFalse())
	}
	change, ok := k.NextChange(at(3.6), members, view)
	g.Expect(ok).To(BeTrue())
	g.Expect(change.Remove).To(Equal("c1"))
	g.Expect(change.Add.ID).To(Equal("c2"))
}

// When the successor of a host joins before that host stops, the group keeps a member too many. Members that are
// cut off must stay in a group of odd size: the others would become a smaller majority with each removal.
func TestLostMemberLeavesAGroupOfEvenSizeOnly(t *testing.T) {
	g := NewWithT(t)
	even := New("a1", startTime)
	members := []string{"a1", "b1", "c1", "c2"}
	even.NextChange(at(1), members, hosts("a1", "b1", "c2"))
	change, ok := even.NextChange(at(4), members, hosts("a1", "b1", "c2"))
	g.Expect(ok).To(BeTrue())
	g.Expect(change).To(Equal(Change{Remove: "c1"}))
	odd := New("a1", startTime)
	members = []string{"a1", "a2", "b1", "b2", "c1"}
	odd.NextChange(at(1), members, hosts("a1", "a2", "b1"))
	_, ok = odd.NextChange(at(60), members, hosts("a1", "a2", "b1"))
	g.Expect(ok).To(BeFalse())
}
