package control_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/configuration/control"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/registerfake"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

var background = context.Background()

func team(id string, quota uint32) *configpb.Change {
	return &configpb.Change{Kind: &configpb.Change_PutTeam{PutTeam: &configpb.Team{Id: id, InFlightQuota: quota}}}
}

func request(expected uint64, c *configpb.Change) *configpb.ApplyRequest {
	return &configpb.ApplyRequest{ExpectedRevision: expected, RequestId: uuid.NewString(), Author: "test", Change: c}
}

type verdict struct {
	Verdict  configpb.Verdict
	Revision uint64
	Field    string
}

func apply(l *control.Log, r *configpb.ApplyRequest) verdict {
	reply, err := l.Apply(background, r)
	if err != nil {
		return verdict{Field: err.Error()}
	}
	return verdict{reply.GetVerdict(), reply.GetRevision(), reply.GetField()}
}

func accepted(revision uint64) verdict {
	return verdict{Verdict: configpb.Verdict_VERDICT_ACCEPTED, Revision: revision}
}

func conflict(revision uint64) verdict {
	return verdict{configpb.Verdict_VERDICT_CONFLICT, revision, "expected_revision"}
}

func rejected(field string) verdict {
	return verdict{Verdict: configpb.Verdict_VERDICT_REJECTED, Field: field}
}

func newLog(r *registerfake.Registers) *control.Log {
	return control.New(control.Options{Proposer: r.Proposer(), Compactor: r, CompactEvery: 16, Logger: logging.Discard()})
}

// A resend after a lost reply must get the original verdict from any replica, also after restart and
// compaction. With a different verdict the operator would apply the change twice.
func TestResendsGetTheFirstVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		registers := registerfake.New(1, registerfake.Faults{})
		ctx, stop := context.WithCancel(background)
		l := newLog(registers)
		go func() { _ = l.Run(ctx) }()
		var sent []*configpb.ApplyRequest
		for revision := range uint64(200) {
			sent = append(sent, request(revision, team("t", uint32(revision))))
			g.Expect(apply(l, sent[revision])).To(Equal(accepted(revision + 1)))
		}
		conflicting := request(3, team("late", 1))
		g.Expect(apply(l, conflicting)).To(Equal(conflict(200)))
		invalid := request(190, team("not/valid", 1))
		g.Expect(apply(l, invalid)).To(Equal(rejected("put_team.id")))
		time.Sleep(time.Second)
		stop()
		g.Expect(len(registers.Values(control.Prefix))).To(BeNumerically("<", 100), "the log was compacted")

		other := newLog(registers)
		for revision, r := range sent {
			g.Expect(apply(other, r)).To(Equal(accepted(uint64(revision) + 1)))
		}
		g.Expect(apply(other, conflicting)).To(Equal(conflict(200)))
		g.Expect(apply(other, invalid)).To(Equal(rejected("put_team.id")))
		sent[5].Change = team("other", 1)
		g.Expect(apply(other, sent[5])).To(Equal(rejected("request_id")))
		history, err := other.History(background, &configpb.HistoryRequest{Limit: 150})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(history.GetEntries()).To(HaveLen(150))
		g.Expect(history.GetEntries()[0].GetRevision()).To(BeEquivalentTo(200))
	})
}

// Large changes, such as those that replace the whole document, would fill memory and disks long before
// their number makes a compaction due.
func TestLargeChangesAreCompactedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		registers := registerfake.New(1, registerfake.Faults{})
		l := control.New(control.Options{Proposer: registers.Proposer(), Compactor: registers, Logger: logging.Discard()})
		ctx, stop := context.WithCancel(background)
		defer stop()
		go func() { _ = l.Run(ctx) }()
		for revision := range uint64(24) {
			r := request(revision, team("t", 1))
			r.Author = strings.Repeat("x", 2<<20)
			g.Expect(apply(l, r)).To(Equal(accepted(revision + 1)))
		}
		time.Sleep(time.Second)
		g.Expect(len(registers.Values(control.Prefix))).To(BeNumerically("<", 12))
		g.Expect(apply(newLog(registers), request(24, team("t", 1)))).To(Equal(accepted(25)))
	})
}

// Without a majority, a replica must send its unconfirmed reply before a starting node's query times out.
func TestFetchRepliesInTimeWithoutMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newLog(registerfake.New(1, registerfake.Faults{MaxDelay: time.Hour}))
		began := time.Now()
		reply, err := l.Fetch(background, &configpb.FetchRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetConfirmed()).To(BeFalse())
		g.Expect(time.Since(began)).To(BeNumerically("<", 800*time.Millisecond))
	})
}

// Request ids that never expire would fill the memory; ids that expire early would let a
// resend be applied twice.
func TestRequestIDsAreKeptForADay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newLog(registerfake.New(1, registerfake.Faults{}))
		first := request(0, team("t", 1))
		g.Expect(apply(l, first)).To(Equal(accepted(1)))
		time.Sleep(24*time.Hour - time.Second)
		g.Expect(apply(l, request(1, team("t", 2)))).To(Equal(accepted(2)))
		g.Expect(apply(l, first)).To(Equal(accepted(1)))
		time.Sleep(2 * time.Second)
		g.Expect(apply(l, request(2, team("t", 3)))).To(Equal(accepted(3)))
		g.Expect(apply(l, first)).To(Equal(conflict(3)))
	})
}

// Without a majority, no change may be reported as accepted or in conflict, and a change whose outcome is
// unknown must not be reported as failed.
func TestLostMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		registers := registerfake.New(1, registerfake.Faults{})
		proposer := registers.Proposer()
		l := control.New(control.Options{Proposer: proposer, Logger: logging.Discard()})
		known := request(0, team("t", 1))
		g.Expect(apply(l, known)).To(Equal(accepted(1)))
		proposer.SetDisconnected(true)
		g.Expect(apply(l, request(1, team("t", 2))).Verdict).To(Equal(configpb.Verdict_VERDICT_UNAVAILABLE))
		g.Expect(apply(l, known)).To(Equal(accepted(1)), "a recorded verdict needs no majority")
		_, err := l.Get(background, &configpb.GetRequest{})
		g.Expect(err).To(HaveOccurred())
		reply, err := l.Fetch(background, &configpb.FetchRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetConfirmed()).To(BeFalse(), "an unconfirmed reply must not make a node ready")
		proposer.SetDisconnected(false)
		registers.SetFaults(registerfake.Faults{ReplyLost: 1})
		unresolved := request(1, team("t", 2))
		g.Expect(apply(l, unresolved).Verdict).To(Equal(configpb.Verdict_VERDICT_UNKNOWN))
		registers.SetFaults(registerfake.Faults{})
		g.Expect(apply(l, unresolved)).To(Equal(accepted(2)))
		registers.SetFaults(registerfake.Faults{ReadUndecided: 1})
		g.Expect(apply(l, request(2, team("t", 3)))).To(Equal(accepted(3)))
		g.Expect(apply(newLog(registers), request(3, team("t", 4))).Verdict).To(Equal(configpb.Verdict_VERDICT_UNAVAILABLE))
		reply, err = newLog(registers).Fetch(background, &configpb.FetchRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetConfirmed()).To(BeFalse(), "revision 3 is accepted but not known to be decided")
		g.Expect(apply(l, request(3, team(strings.Repeat("x", 8<<20), 1)))).To(Equal(rejected("change")))
		g.Expect(apply(l, &configpb.ApplyRequest{Change: team("t", 1)})).To(Equal(rejected("request_id")))
	})
}

// A node that waits on the feed of a replica must get a change that was proposed at another replica.
func TestFeedFollowsOtherReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		registers := registerfake.New(1, registerfake.Faults{})
		a, b := newLog(registers), newLog(registers)
		ctx, stop := context.WithCancel(background)
		defer stop()
		go func() { _ = b.Run(ctx) }()
		go func() {
			time.Sleep(time.Second)
			apply(a, request(0, team("t", 1)))
		}()
		began := time.Now()
		reply, err := b.Fetch(background, &configpb.FetchRequest{WaitMs: 5000})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetEntries()).To(HaveLen(1))
		g.Expect(time.Since(began)).To(BeNumerically("<=", 1300*time.Millisecond))
		reply, err = a.Fetch(background, &configpb.FetchRequest{Revision: 1})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetConfirmed()).To(BeTrue())
		g.Expect(reply.GetEntries()).To(BeEmpty())
	})
}

type hostRevisions map[string]uint64

func (f hostRevisions) Statuses() []*configpb.HostStatus {
	var statuses []*configpb.HostStatus
	for id, revision := range f {
		statuses = append(statuses, &configpb.HostStatus{Id: id, Revision: revision, State: "alive"})
	}
	return statuses
}

type fixedCapacity struct{}

func (fixedCapacity) AnnouncedSlots(string) (uint64, bool) { return 3, true }

type fixedGroup struct{}

func (fixedGroup) Replace(context.Context, string, string, string) (uint64, error) { return 2, nil }
func (fixedGroup) State() string                                                   { return "voting" }

func document(hosts int) *configpb.Document {
	d := &configpb.Document{DataCentres: []*configpb.DataCentre{{Name: "a", Region: "r"}}}
	for i := range hosts {
		d.Hosts = append(d.Hosts, testHost(i))
	}
	return d
}

func testHost(i int) *configpb.Host {
	return &configpb.Host{
		Id: fmt.Sprintf("h%d", i), DataCentre: "a", Role: configpb.HostRole_HOST_ROLE_NODE,
		EntryAddress: fmt.Sprintf("10.0.0.%d:1", i+1), FleetAddress: fmt.Sprintf("10.0.0.%d:2", i+1),
	}
}

// After two changes of hosts in quick succession, two dispatchers could be elected by disjoint majorities.
func TestSecondChangeOfHostsWaits(t *testing.T) {
	g := NewWithT(t)
	inForce := hostRevisions{}
	registers := registerfake.New(1, registerfake.Faults{})
	l := control.New(control.Options{Proposer: registers.Proposer(), Fleet: inForce, Capacity: fixedCapacity{}, Group: fixedGroup{}, Logger: logging.Discard()})
	put := func(i int) *configpb.Change {
		return &configpb.Change{Kind: &configpb.Change_PutHost{PutHost: testHost(i)}}
	}
	service := &configpb.Service{Name: "s", DataCentres: []string{"a"}, MinimumHealthySlots: 3, SlotLimit: 1, ConnectionLimit: 1}
	for p := range int32(3) {
		service.Priorities = append(service.Priorities, &configpb.PriorityTarget{Priority: configpb.Priority(p + 1), TargetLatencyMs: 1, TargetShare: 0.9})
	}
	first := document(3)
	first.Services = []*configpb.Service{service}
	g.Expect(apply(l, request(0, &configpb.Change{Kind: &configpb.Change_ReplaceAll{ReplaceAll: &configpb.ReplaceAll{Document: first}}}))).To(Equal(accepted(1)))
	g.Expect(apply(l, request(1, put(3)))).To(Equal(accepted(2)))
	inForce["h0"], inForce["h1"], inForce["h3"] = 2, 1, 2
	g.Expect(apply(l, request(2, put(4)))).To(Equal(rejected("hosts")))
	g.Expect(apply(l, request(2, team("t", 1)))).To(Equal(accepted(3)), "other changes do not wait")
	inForce["h1"] = 2
	g.Expect(apply(l, request(3, put(4)))).To(Equal(rejected("hosts")), "an earlier vote may still bind a voter")
	time.Sleep(600 * time.Millisecond)
	g.Expect(apply(l, request(3, put(4)))).To(Equal(accepted(4)))

	service = proto.CloneOf(service)
	service.MinimumHealthySlots = 4
	reply, err := l.Apply(background, request(4, &configpb.Change{Kind: &configpb.Change_PutService{PutService: service}}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.GetVerdict()).To(Equal(configpb.Verdict_VERDICT_ACCEPTED))
	g.Expect(reply.GetWarnings()).To(ConsistOf(ContainSubstring("above the announced 3")))
	status, err := l.Status(background, &configpb.StatusRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status.GetWarnings()).To(HaveLen(1))
	g.Expect(status.GetReplicaState()).To(Equal("voting"))
	g.Expect(status.GetHosts()).To(ContainElement(HaveField("Id", "h4")), "a host without status is shown as unknown")
	_, err = newLog(registers).ReplaceControl(background, &configpb.ReplaceControlRequest{})
	g.Expect(err).To(MatchError(control.ErrNoGroup))
}

// racingProposer runs beforePropose, in which another replica wins the register, and disconnects itself after
// its own proposal.
type racingProposer struct {
	*registerfake.Proposer
	beforePropose func()
}

func (r *racingProposer) Propose(ctx context.Context, prefix string, index uint64, value []byte) ([]byte, error) {
	r.beforePropose()
	decided, err := r.Proposer.Propose(ctx, prefix, index, value)
	r.SetDisconnected(true)
	return decided, err
}

// A conflict that reports an outdated revision would cause another conflict at the operator's next attempt.
func TestConflictNamesTheCurrentRevision(t *testing.T) {
	g := NewWithT(t)
	registers := registerfake.New(1, registerfake.Faults{})
	other := newLog(registers)
	proposer := &racingProposer{Proposer: registers.Proposer(), beforePropose: func() {
		g.Expect(apply(other, request(0, team("t", 1)))).To(Equal(accepted(1)))
		g.Expect(apply(other, request(1, team("t", 2)))).To(Equal(accepted(2)))
	}}
	l := control.New(control.Options{Proposer: proposer, Logger: logging.Discard()})
	r := request(0, team("u", 1))
	g.Expect(apply(l, r).Verdict).To(Equal(configpb.Verdict_VERDICT_UNKNOWN))
	proposer.SetDisconnected(false)
	g.Expect(apply(l, r)).To(Equal(conflict(2)))
}
