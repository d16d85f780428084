package election_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// campaign makes the candidate ask for votes and returns its requests by voter.
func campaign(c *election.Candidate, now time.Time, revisions map[string]uint64) map[string]election.Request {
	votes := map[string]election.Request{}
	for _, ask := range c.Tick(now, 1, false) {
		reply := &fleetpb.VoteReply{HostsRevision: revisions[ask.Voter]}
		for _, r := range c.OnReply(now, ask, reply) {
			votes[r.Voter] = r
		}
	}
	return votes
}

func grant(r election.Request) *fleetpb.VoteReply {
	return &fleetpb.VoteReply{Granted: true, Term: r.Message.Term, Holder: r.Message.Candidate, HostsRevision: r.Message.HostsRevision}
}

// Guards against a lease counted from the arrival of a late reply, when the vote is half over.
func TestLeaseCountsFromRequest(t *testing.T) {
	g := NewWithT(t)
	c := election.NewCandidate("booking", "a", 1)
	c.SetGroups(election.VotingGroups{Revision: 1, Current: []string{"a", "b", "c"}})
	votes := campaign(c, time.Now(), map[string]uint64{"a": 1, "b": 1, "c": 1})
	g.Expect(votes).To(HaveLen(3))
	sent := votes["b"].Sent
	late := sent.Add(140 * time.Millisecond)
	c.OnReply(late, votes["a"], grant(votes["a"]))
	_, held := c.Held(late)
	g.Expect(held).To(BeFalse(), "one vote of three")
	c.OnReply(late, votes["b"], grant(votes["b"]))
	lease, held := c.Held(late)
	g.Expect(held).To(BeTrue())
	g.Expect(lease.Until).To(Equal(sent.Add(election.HolderLease)))
	_, held = c.Held(lease.Until)
	g.Expect(held).To(BeFalse(), "the lease is over at its end")
	for _, r := range c.Tick(sent.Add(150*time.Millisecond), 1, false) {
		c.OnReply(lease.Until, r, grant(r))
	}
	_, held = c.Held(lease.Until)
	g.Expect(held).To(BeFalse(), "late votes revived the lease")
}

// Guards against a majority made of votes that were given under different hosts lists: a voter that
// knows the newer list may soon help to elect another candidate under one that is newer still.
func TestVotesOfDifferentRevisionsDoNotAdd(t *testing.T) {
	g := NewWithT(t)
	c := election.NewCandidate("booking", "a", 1)
	c.SetGroups(election.VotingGroups{Revision: 1, Current: []string{"a", "b", "c"}})
	c.SetGroups(election.VotingGroups{Revision: 2, Current: []string{"a", "d", "e"}, Previous: []string{"a", "b", "c"}})
	revisions := map[string]uint64{"a": 1, "b": 1, "c": 2, "d": 2, "e": 2}
	votes := campaign(c, time.Now(), revisions)
	g.Expect(votes).To(HaveLen(5))
	now := votes["a"].Sent
	for _, voter := range []string{"a", "c", "d", "e"} {
		g.Expect(votes[voter].Message.HostsRevision).To(Equal(revisions[voter]))
		c.OnReply(now, votes[voter], grant(votes[voter]))
	}
	_, held := c.Held(now)
	g.Expect(held).To(BeFalse(), "neither list has its majorities")
	c.OnReply(now, votes["b"], grant(votes["b"]))
	_, held = c.Held(now)
	g.Expect(held).To(BeTrue(), "a and b are a majority of the first list")
}

// A renewal whose answers are lost must be repeated soon, or a lease ends after two lost rounds; one
// that majorities answered must not, or it costs the holder half as much again.
func TestLostRenewalIsRepeatedSoon(t *testing.T) {
	g := NewWithT(t)
	c := election.NewCandidate("booking", "a", 1)
	c.SetGroups(election.VotingGroups{Revision: 1, Current: []string{"a", "b", "c"}})
	start := time.Now()
	votes := campaign(c, start, map[string]uint64{"a": 1, "b": 1, "c": 1})
	for _, voter := range []string{"a", "b", "c"} {
		c.OnReply(start, votes[voter], grant(votes[voter]))
	}
	var sent []time.Duration
	for at := time.Duration(0); at < 500*time.Millisecond; at += 5 * time.Millisecond {
		requests := c.Tick(start.Add(at), 1, false)
		if len(requests) > 0 {
			sent = append(sent, at.Round(time.Millisecond))
		}
		if at < 200*time.Millisecond || len(sent) > 3 {
			continue
		}
		for _, r := range requests {
			c.OnReply(start.Add(at), r, grant(r))
		}
	}
	g.Expect(sent).To(HaveExactElements(
		150*time.Millisecond, 225*time.Millisecond, 375*time.Millisecond))
}
