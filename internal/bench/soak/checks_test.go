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

func of(f *finding) Check {
	if f == nil {
		return ""
	}
	return f.check
}

func replyTo(id, body string) load.Outcome {
	return load.Outcome{ID: id, Key: "k", Status: 200, Body: "instance=a request=" + id + " key=k path=/" + bodyMark(body)}
}

func logOf(change func(*standin.Ledger)) map[string]standin.Ledger {
	l := standin.Ledger{Requests: map[string]standin.Run{}, Keys: map[string]standin.Run{}}
	change(&l)
	return map[string]standin.Ledger{"a": l, "b": {Keys: map[string]standin.Run{"k": {Started: 1}}}}
}

// Each check of answers must fail on the answer that it is there for, and pass the honest one.
func TestAnswerChecks(t *testing.T) {
	g := NewWithT(t)
	p := newPromises()
	p.begin("k")
	g.Expect(p.idempotent(load.Outcome{ID: "1", Status: 200, Violation: load.MismatchedResponse}).check).To(Equal(CheckAnswer))
	g.Expect(p.idempotent(load.Outcome{ID: "1", Status: 200, Violation: load.TruncatedResponse}).check).To(Equal(CheckAnswer))
	g.Expect(of(p.answered(replyTo("1", "other"), "body"))).To(Equal(CheckAnswer))
	g.Expect(p.answered(replyTo("1", "body"), "body")).To(BeNil())
	g.Expect(p.answered(replyTo("1", "body"), "body")).To(BeNil(), "a replay")
	g.Expect(p.replays).To(Equal(1))
	g.Expect(of(p.answered(replyTo("2", "body"), "body"))).To(Equal(CheckReplay))
	g.Expect(p.answered(load.Outcome{ID: "3", Key: "k", Err: errors.New("lost")}, "body")).To(BeNil())
	g.Expect(of(p.answered(load.Outcome{ID: "4", Key: "k", Status: 422, Kind: problem.KeyReuse, Refusal: problem.NotRun}, "body"))).To(Equal(CheckKeyReuse))
}

// A key that was answered must not run or replay for another body.
func TestKeyReuseCheck(t *testing.T) {
	g := NewWithT(t)
	p := newPromises()
	g.Expect(of(p.reused(replyTo("1", "body")))).To(Equal(CheckKeyReuse))
	g.Expect(of(p.reused(load.Outcome{ID: "2", Kind: problem.InProgress, Refusal: problem.NotRun}))).To(Equal(CheckKeyReuse))
	g.Expect(of(p.reused(load.Outcome{ID: "2", Kind: problem.DeadlinePassed, Refusal: problem.Unknown}))).To(Equal(CheckKeyReuse))
	g.Expect(p.reused(load.Outcome{ID: "3", Kind: problem.Starting, Refusal: problem.NotRun})).To(BeNil())
	g.Expect(p.reused(load.Outcome{ID: "4", Kind: problem.KeyReuse, Refusal: problem.NotRun})).To(BeNil())
	g.Expect(p.altered).To(Equal(1))
}

// Work that ran twice, or that ran although its caller heard not-run, must be found in the logs.
func TestAudit(t *testing.T) {
	g := NewWithT(t)
	p := newPromises()
	p.begin("k")
	g.Expect(p.audit(logOf(func(*standin.Ledger) {}))).To(BeNil())
	g.Expect(of(p.audit(logOf(func(l *standin.Ledger) { l.Keys["k"] = standin.Run{Started: 1} })))).To(Equal(CheckOnce), "at two servers")
	g.Expect(of(p.audit(logOf(func(l *standin.Ledger) { l.Keys["k"] = standin.Run{Started: 2} })))).To(Equal(CheckOnce), "at one server")
	g.Expect(of(p.audit(logOf(func(l *standin.Ledger) { l.Overflowed = true })))).To(Equal(CheckProof))
	ran := logOf(func(l *standin.Ledger) { l.Requests["1"] = standin.Run{Started: 1} })
	g.Expect(p.idempotent(load.Outcome{ID: "1", Kind: problem.QueueFull, Refusal: problem.Unknown})).To(BeNil())
	g.Expect(p.audit(ran)).To(BeNil())
	g.Expect(p.idempotent(load.Outcome{ID: "1", Kind: problem.QueueFull, Refusal: problem.NotRun})).To(BeNil())
	g.Expect(of(p.audit(ran))).To(Equal(CheckNotRun))
}

// A revision that falls within a life, or over a restart once the node is ready, is a reverted configuration.
func TestRevisionCheck(t *testing.T) {
	g := NewWithT(t)
	r := newRevisions()
	g.Expect(r.see("n", 1, true, 5)).To(BeNil())
	g.Expect(of(r.see("n", 1, true, 4))).To(Equal(CheckRevision))
	g.Expect(r.see("n", 2, false, 0)).To(BeNil(), "a restarted node that is not ready")
	g.Expect(of(r.see("n", 2, true, 4))).To(Equal(CheckRevision))
	g.Expect(r.see("n", 2, true, 6)).To(BeNil())
}

// Servers kept out of rotation below the minimum must be found, but not while others vanish.
func TestCapacityCheck(t *testing.T) {
	g := NewWithT(t)
	view := func(states ...string) dispatch.View {
		v := dispatch.View{}
		for _, s := range states {
			v.Servers = append(v.Servers, dispatch.ServerView{Instance: s, State: s, Slots: 4, LeaseLeft: time.Second})
		}
		return v
	}
	c := newCapacity("s", 70)
	now := time.Now()
	low := view(dispatch.ViewReady, dispatch.ViewEjected)
	g.Expect(c.see(now, "n", low)).To(BeNil())
	g.Expect(c.see(now.Add(returnBound/2), "n", low)).To(BeNil())
	g.Expect(of(c.see(now.Add(returnBound), "n", low))).To(Equal(CheckCapacity))
	g.Expect(c.see(now, "m", view(dispatch.ViewReady, dispatch.ViewReady, dispatch.ViewReady, dispatch.ViewEjected))).To(BeNil())
	gone := low
	gone.Servers[1].LeaseLeft = 0
	g.Expect(c.see(now.Add(returnBound), "n", gone)).To(BeNil())
	g.Expect(c.below).To(BeEmpty())
}

func ask(id string, expected uint64, quota uint32) *configpb.ApplyRequest {
	team := &configpb.Team{Id: "t", InFlightQuota: quota}
	return &configpb.ApplyRequest{RequestId: id, ExpectedRevision: expected, Change: &configpb.Change{Kind: &configpb.Change_PutTeam{PutTeam: team}}}
}

func entryOf(r *configpb.ApplyRequest) *configpb.Entry {
	return &configpb.Entry{Revision: r.GetExpectedRevision() + 1, RequestId: r.GetRequestId(), Change: r.GetChange()}
}

func verdict(v configpb.Verdict, revision uint64) *configpb.ApplyReply {
	return &configpb.ApplyReply{Verdict: v, Revision: revision}
}

// Two winners, no winner, a winner that was told of a conflict, and a lost change must be found.
func TestChangeChecks(t *testing.T) {
	g := NewWithT(t)
	a, b := ask("a", 1, 7), ask("b", 1, 8)
	accepted, conflict := verdict(configpb.Verdict_VERDICT_ACCEPTED, 2), verdict(configpb.Verdict_VERDICT_CONFLICT, 2)
	begin := func() *changes {
		c := newChanges()
		c.begin(a)
		c.begin(b)
		return c
	}
	document := func(revision uint64, quota uint32) *configpb.Document {
		return &configpb.Document{Revision: revision, Teams: []*configpb.Team{{Id: "t", InFlightQuota: quota}}}
	}
	c := begin()
	g.Expect(c.settled(a, accepted)).To(BeNil())
	g.Expect(of(c.settled(b, accepted))).To(Equal(CheckRace), "two winners")
	g.Expect(of(begin().settled(a, verdict(configpb.Verdict_VERDICT_ACCEPTED, 5)))).To(Equal(CheckRace), "another revision")
	g.Expect(of(begin().settled(a, verdict(configpb.Verdict_VERDICT_REJECTED, 0)))).To(Equal(CheckAccepted), "a valid change is rejected")

	c = begin()
	g.Expect(c.settled(a, accepted)).To(BeNil())
	g.Expect(c.settled(b, conflict)).To(BeNil())
	g.Expect(of(c.final(1, document(1, 7)))).To(Equal(CheckAccepted), "the document is older than the change")
	g.Expect(of(c.learn([]*configpb.Entry{entryOf(b)}))).To(Equal(CheckAccepted), "the history has another winner")

	c = begin()
	g.Expect(c.settled(a, conflict)).To(BeNil())
	g.Expect(c.settled(b, conflict)).To(BeNil())
	g.Expect(of(c.final(1, document(1, 0)))).To(Equal(CheckRace), "nobody won")
	g.Expect(of(c.learn([]*configpb.Entry{entryOf(a)}))).To(Equal(CheckRace), "the winner heard of a conflict")

	c = begin()
	g.Expect(c.settled(a, accepted)).To(BeNil())
	g.Expect(of(c.final(1, document(2, 7)))).To(Equal(CheckProof), "the history was not collected")
	g.Expect(c.learn([]*configpb.Entry{entryOf(a)})).To(BeNil())
	g.Expect(c.final(1, document(2, 7))).To(BeNil())
	g.Expect(of(c.final(1, document(2, 9)))).To(Equal(CheckAccepted), "the accepted change is not in the document")
	g.Expect(of(c.learn([]*configpb.Entry{entryOf(ask("x", 1, 3))}))).To(Equal(CheckAccepted), "the history changed")
}

// A broken connection to a host that shuts down gracefully is a cut request; a refusal is not.
func TestShutdownCheck(t *testing.T) {
	g := NewWithT(t)
	g.Expect(of(cut("n", load.Outcome{Err: errors.New("EOF")}))).To(Equal(CheckShutdown))
	g.Expect(cut("n", load.Outcome{Kind: problem.ShuttingDown, Refusal: problem.NotRun})).To(BeNil())
}

// The first violation must be kept with its time and the events that led to it.
func TestJudgeKeepsTheFirstViolation(t *testing.T) {
	g := NewWithT(t)
	j := newJudge(nil)
	for range leadingEvents + 3 {
		j.note("something")
	}
	j.report(nil)
	g.Expect(j.violated).NotTo(BeClosed())
	j.report(found(CheckOnce, "first"))
	j.report(found(CheckQuiet, "second"))
	g.Expect(j.violated).To(BeClosed())
	timeline, v := j.verdict()
	g.Expect(timeline).To(HaveLen(leadingEvents + 3))
	g.Expect(v.Check).To(Equal(CheckOnce))
	g.Expect(v.PrecedingEvents).To(HaveLen(leadingEvents))
}
