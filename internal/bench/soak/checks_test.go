package soak

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/standin"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

func checkOf(f *finding) Check {
	if f == nil {
		return ""
	}
	return f.check
}

func responseTo(id, body string) load.Outcome {
	return load.Outcome{ID: id, Key: "k", Status: 200, Body: "instance=a request=" + id + " key=k path=/" + bodyDigest(body)}
}

func logOf(change func(*standin.Ledger)) map[string]standin.Ledger {
	l := standin.Ledger{Requests: map[string]standin.Run{}, Keys: map[string]standin.Run{}}
	change(&l)
	return map[string]standin.Ledger{"a": l, "b": {Keys: map[string]standin.Run{"k": {Started: 1}}}}
}

// Each check of responses must report the violation that it exists for, and accept a correct response.
func TestAnswerChecks(t *testing.T) {
	g := NewWithT(t)
	c := newOutcomeChecker()
	c.registerKey("k")
	g.Expect(c.checkIdempotent(load.Outcome{ID: "1", Status: 200, Violation: load.MismatchedResponse}).check).To(Equal(CheckResponse))
	g.Expect(c.checkIdempotent(load.Outcome{ID: "1", Status: 200, Violation: load.TruncatedResponse}).check).To(Equal(CheckResponse))
	g.Expect(checkOf(c.checkKeyed(responseTo("1", "other"), "body"))).To(Equal(CheckResponse))
	g.Expect(c.checkKeyed(responseTo("1", "body"), "body")).To(BeNil())
	g.Expect(c.checkKeyed(responseTo("1", "body"), "body")).To(BeNil(), "a replay")
	g.Expect(c.replays).To(Equal(1))
	g.Expect(checkOf(c.checkKeyed(responseTo("2", "body"), "body"))).To(Equal(CheckReplay))
	g.Expect(c.checkKeyed(load.Outcome{ID: "3", Key: "k", Err: errors.New("lost")}, "body")).To(BeNil())
	g.Expect(checkOf(c.checkKeyed(load.Outcome{ID: "4", Key: "k", Status: 422, Kind: problem.KeyReuse, Refusal: problem.NotRun}, "body"))).To(Equal(CheckKeyReuse))
}

// Guards against an unnoticed run or replay for a different body under a key that has a response.
func TestKeyReuseCheck(t *testing.T) {
	g := NewWithT(t)
	c := newOutcomeChecker()
	g.Expect(checkOf(c.checkKeyReuse(responseTo("1", "body")))).To(Equal(CheckKeyReuse))
	g.Expect(checkOf(c.checkKeyReuse(load.Outcome{ID: "2", Kind: problem.InProgress, Refusal: problem.NotRun}))).To(Equal(CheckKeyReuse))
	g.Expect(checkOf(c.checkKeyReuse(load.Outcome{ID: "2", Kind: problem.DeadlinePassed, Refusal: problem.Unknown}))).To(Equal(CheckKeyReuse))
	g.Expect(c.checkKeyReuse(load.Outcome{ID: "3", Kind: problem.Starting, Refusal: problem.NotRun})).To(BeNil())
	g.Expect(c.checkKeyReuse(load.Outcome{ID: "4", Kind: problem.KeyReuse, Refusal: problem.NotRun})).To(BeNil())
	g.Expect(c.reuseRefusals).To(Equal(1))
}

// The audit of the logs must find work that ran twice and work that ran although its caller received not-run.
func TestAudit(t *testing.T) {
	g := NewWithT(t)
	c := newOutcomeChecker()
	c.registerKey("k")
	g.Expect(c.auditLogs(logOf(func(*standin.Ledger) {}))).To(BeNil())
	g.Expect(checkOf(c.auditLogs(logOf(func(l *standin.Ledger) { l.Keys["k"] = standin.Run{Started: 1} })))).To(Equal(CheckAtMostOnce), "at two servers")
	g.Expect(checkOf(c.auditLogs(logOf(func(l *standin.Ledger) { l.Keys["k"] = standin.Run{Started: 2} })))).To(Equal(CheckAtMostOnce), "at one server")
	g.Expect(checkOf(c.auditLogs(logOf(func(l *standin.Ledger) { l.Overflowed = true })))).To(Equal(CheckEvidence))
	ran := logOf(func(l *standin.Ledger) { l.Requests["1"] = standin.Run{Started: 1} })
	g.Expect(c.checkIdempotent(load.Outcome{ID: "1", Kind: problem.QueueFull, Refusal: problem.Unknown})).To(BeNil())
	g.Expect(c.auditLogs(ran)).To(BeNil())
	g.Expect(c.checkIdempotent(load.Outcome{ID: "1", Kind: problem.QueueFull, Refusal: problem.NotRun})).To(BeNil())
	g.Expect(checkOf(c.auditLogs(ran))).To(Equal(CheckNotRun))
}

// The check must report a revision that decreases within the life of a process, or across a restart once the
// node is ready: the configuration was reverted.
func TestRevisionCheck(t *testing.T) {
	g := NewWithT(t)
	r := newRevisionChecker()
	g.Expect(r.observe("n", 1, true, 5)).To(BeNil())
	g.Expect(checkOf(r.observe("n", 1, true, 4))).To(Equal(CheckRevision))
	g.Expect(r.observe("n", 2, false, 0)).To(BeNil(), "a restarted node that is not ready")
	g.Expect(checkOf(r.observe("n", 2, true, 4))).To(Equal(CheckRevision))
	g.Expect(r.observe("n", 2, true, 6)).To(BeNil())
}

// The check must report servers kept out of rotation below the minimum capacity, but not while others have
// vanished.
func TestCapacityCheck(t *testing.T) {
	g := NewWithT(t)
	view := func(states ...string) dispatch.View {
		v := dispatch.View{}
		for _, s := range states {
			v.Servers = append(v.Servers, dispatch.ServerView{Instance: s, State: s, Slots: 4, LeaseLeft: time.Second})
		}
		return v
	}
	c := newCapacityChecker("s", 70)
	now := time.Now()
	low := view(dispatch.ViewReady, dispatch.ViewEjected)
	g.Expect(c.observe(now, "n", low)).To(BeNil())
	g.Expect(c.observe(now.Add(maxTimeBelowMinimum/2), "n", low)).To(BeNil())
	g.Expect(checkOf(c.observe(now.Add(maxTimeBelowMinimum), "n", low))).To(Equal(CheckMinimumCapacity))
	g.Expect(c.observe(now, "m", view(dispatch.ViewReady, dispatch.ViewReady, dispatch.ViewReady, dispatch.ViewEjected))).To(BeNil())
	gone := low
	gone.Servers[1].LeaseLeft = 0
	g.Expect(c.observe(now.Add(maxTimeBelowMinimum), "n", gone)).To(BeNil())
	g.Expect(c.belowSince).To(BeEmpty())
}

func applyRequest(id string, expected uint64, quota uint32) *configpb.ApplyRequest {
	team := &configpb.Team{Id: "t", InFlightQuota: quota}
	return &configpb.ApplyRequest{RequestId: id, ExpectedRevision: expected, Change: &configpb.Change{Kind: &configpb.Change_PutTeam{PutTeam: team}}}
}

func entryOf(r *configpb.ApplyRequest) *configpb.Entry {
	return &configpb.Entry{Revision: r.GetExpectedRevision() + 1, RequestId: r.GetRequestId(), Change: r.GetChange()}
}

func applyReply(v configpb.Verdict, revision uint64) *configpb.ApplyReply {
	return &configpb.ApplyReply{Verdict: v, Revision: revision}
}

// The checks must report two winners, no winner, a winner that received a conflict, and a missing accepted
// change.
func TestChangeChecks(t *testing.T) {
	g := NewWithT(t)
	a, b := applyRequest("a", 1, 7), applyRequest("b", 1, 8)
	accepted, conflict := applyReply(configpb.Verdict_VERDICT_ACCEPTED, 2), applyReply(configpb.Verdict_VERDICT_CONFLICT, 2)
	begin := func() *changeChecker {
		c := newChangeChecker()
		c.addRequest(a)
		c.addRequest(b)
		return c
	}
	document := func(revision uint64, quota uint32) *configpb.Document {
		return &configpb.Document{Revision: revision, Teams: []*configpb.Team{{Id: "t", InFlightQuota: quota}}}
	}
	c := begin()
	g.Expect(c.recordVerdict(a, accepted)).To(BeNil())
	g.Expect(checkOf(c.recordVerdict(b, accepted))).To(Equal(CheckOneWinner), "two winners")
	g.Expect(checkOf(begin().recordVerdict(a, applyReply(configpb.Verdict_VERDICT_ACCEPTED, 5)))).To(Equal(CheckOneWinner), "another revision")
	g.Expect(checkOf(begin().recordVerdict(a, applyReply(configpb.Verdict_VERDICT_REJECTED, 0)))).To(Equal(CheckAcceptedChange), "a valid change is rejected")

	c = begin()
	g.Expect(c.recordVerdict(a, accepted)).To(BeNil())
	g.Expect(c.recordVerdict(b, conflict)).To(BeNil())
	g.Expect(checkOf(c.checkFinal(1, document(1, 7)))).To(Equal(CheckAcceptedChange), "the document is older than the change")
	g.Expect(checkOf(c.addHistory([]*configpb.Entry{entryOf(b)}))).To(Equal(CheckAcceptedChange), "the history has another winner")

	c = begin()
	g.Expect(c.recordVerdict(a, conflict)).To(BeNil())
	g.Expect(c.recordVerdict(b, conflict)).To(BeNil())
	g.Expect(checkOf(c.checkFinal(1, document(1, 0)))).To(Equal(CheckOneWinner), "nobody won")
	g.Expect(checkOf(c.addHistory([]*configpb.Entry{entryOf(a)}))).To(Equal(CheckOneWinner), "the winner received a conflict")

	c = begin()
	g.Expect(c.recordVerdict(a, accepted)).To(BeNil())
	g.Expect(checkOf(c.checkFinal(1, document(2, 7)))).To(Equal(CheckEvidence), "the history was not collected")
	g.Expect(c.addHistory([]*configpb.Entry{entryOf(a)})).To(BeNil())
	g.Expect(c.checkFinal(1, document(2, 7))).To(BeNil())
	g.Expect(checkOf(c.checkFinal(1, document(2, 9)))).To(Equal(CheckAcceptedChange), "the accepted change is not in the document")
	g.Expect(checkOf(c.addHistory([]*configpb.Entry{entryOf(applyRequest("x", 1, 3))}))).To(Equal(CheckAcceptedChange), "the history changed")
}

// A broken connection to a host that shuts down gracefully is an aborted request; a refusal is not.
func TestShutdownCheck(t *testing.T) {
	g := NewWithT(t)
	g.Expect(checkOf(findAborted("n", load.Outcome{Err: errors.New("EOF")}))).To(Equal(CheckShutdown))
	g.Expect(findAborted("n", load.Outcome{Kind: problem.ShuttingDown, Refusal: problem.NotRun})).To(BeNil())
}

// The first violation must be kept with its time and the events that preceded it.
func TestRecorderKeepsTheFirstViolation(t *testing.T) {
	g := NewWithT(t)
	r := newRecorder(nil)
	for range maxPrecedingEvents + 3 {
		r.recordEvent("something")
	}
	r.reportFinding(nil)
	g.Expect(r.violated).NotTo(BeClosed())
	r.reportFinding(newFinding(CheckAtMostOnce, "first"))
	r.reportFinding(newFinding(CheckNoNewWork, "second"))
	g.Expect(r.violated).To(BeClosed())
	timeline, v := r.result()
	g.Expect(timeline).To(HaveLen(maxPrecedingEvents + 3))
	g.Expect(v.Check).To(Equal(CheckAtMostOnce))
	g.Expect(v.PrecedingEvents).To(HaveLen(maxPrecedingEvents))
}
