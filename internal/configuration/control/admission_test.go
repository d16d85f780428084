package control_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/configuration/control"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/registerfake"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// A change can be in force on most hosts but not on most voters of a service, which could then still elect
// a dispatcher for the previous list of hosts. So the voters are counted, not the hosts.
func TestHostsWaitForTheVoters(t *testing.T) {
	g := NewWithT(t)
	first := document(12)
	service := &configpb.Service{Name: "s", DataCentres: []string{"a"}, MinimumHealthySlots: 3, SlotLimit: 1, ConnectionLimit: 1}
	for p := range int32(3) {
		service.Priorities = append(service.Priorities, &configpb.PriorityTarget{Priority: configpb.Priority(p + 1), TargetLatencyMs: 1, TargetShare: 0.9})
	}
	first.Services = []*configpb.Service{service}
	voters, _ := hostset.FromDocument(configuration.Canonical(first)).VotingGroups(hostset.Service{Name: "s", DataCentres: []string{"a"}})
	inForce := hostRevisions{}
	for _, h := range first.GetHosts() {
		inForce[h.GetId()] = 2
	}
	for _, voter := range voters[:3] {
		inForce[voter.ID] = 1
	}
	l := control.New(control.Options{Proposer: registerfake.New(1, registerfake.Faults{}).Proposer(), Fleet: inForce, Logger: logging.Discard()})
	put := func(i int) *configpb.Change {
		return &configpb.Change{Kind: &configpb.Change_PutHost{PutHost: testHost(i)}}
	}
	g.Expect(apply(l, request(0, &configpb.Change{Kind: &configpb.Change_ReplaceAll{ReplaceAll: &configpb.ReplaceAll{Document: first}}}))).To(Equal(accepted(1)))
	g.Expect(apply(l, request(1, put(12)))).To(Equal(accepted(2)))
	g.Expect(apply(l, request(2, put(13)))).To(Equal(rejected("hosts")))
	time.Sleep(600 * time.Millisecond)
	g.Expect(apply(l, request(2, put(13)))).To(Equal(rejected("hosts")))
	inForce[voters[0].ID] = 2
	g.Expect(apply(l, request(2, put(13)))).To(Equal(rejected("hosts")))
	time.Sleep(600 * time.Millisecond)
	g.Expect(apply(l, request(2, put(13)))).To(Equal(accepted(3)))
}
