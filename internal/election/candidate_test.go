package election_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// startCampaign lets all voters report that nobody holds the lease, and returns the vote requests by voter.
func startCampaign(c *election.Candidate, now time.Time, revisions map[string]uint64) map[string]election.Request {
	votes := map[string]election.Request{}
	for _, query := range c.Tick(now, 1, false) {
		reply := &fleetpb.VoteReply{HostsRevision: revisions[query.Voter]}
		for _, r := range c.OnReply(now, query, reply) {
			votes[r.Voter] = r
		}
	}
	return votes
}

// grantingReply returns the reply of a voter that grants the request.
func grantingReply(r election.Request) *fleetpb.VoteReply {
	return &fleetpb.VoteReply{Granted: true, Term: r.Message.Term, Holder: r.Message.Candidate, HostsRevision: r.Message.HostsRevision}
}

// Guards against a lease that is counted from the arrival of a late reply: the vote is partly used up by
// then, so the lease would outlast it.
func TestLeaseCountsFromRequest(t *testing.T) {
	g := NewWithT(t)
	c := election.NewCandidate("booking", "a", 1)
	c.SetGroups(election.VotingGroups{Revision: 1, Current: []string{"a", "b", "c"}})
	votes := startCampaign(c, time.Now(), map[string]uint64{"a": 1, "b": 1, "c": 1})
	g.Expect(votes).To(HaveLen(3))
	sent := votes["b"].Sent
	late := sent.Add(140 * time.Millisecond)
	c.OnReply(late, votes["a"], grantingReply(votes["a"]))
	_, held := c.Held(late)
	g.Expect(held).To(BeFalse(), "one vote of three")
	c.OnReply(late, votes["b"], grantingReply(votes["b"]))
	lease, held := c.Held(late)
	g.Expect(held).To(BeTrue())
	g.Expect(lease.Until).To(Equal(sent.Add(election.HolderLease)))
	_, held = c.Held(lease.Until)
	g.Expect(held).To(BeFalse(), "the lease is over at its end")
	for _, r := range c.Tick(sent.Add(150*time.Millisecond), 1, false) {
		c.OnReply(lease.Until, r, grantingReply(r))
	}
	_, held = c.Held(lease.Until)
	g.Expect(held).To(BeFalse(), "late votes revived the lease")
}

// Guards against a majority made of votes that were granted under different hosts lists: a voter that uses
// the newer list may soon help to elect another candidate under an even newer one.
func TestVotesOfDifferentRevisionsDoNotAdd(t *testing.T) {
	g := NewWithT(t)
	c := election.NewCandidate("booking", "a", 1)
	c.SetGroups(election.VotingGroups{Revision: 1, Current: []string{"a", "b", "c"}})
	c.SetGroups(election.VotingGroups{Revision: 2, Current: []string{"a", "d", "e"}, Previous: []string{"a", "b", "c"}})
	revisions := map[string]uint64{"a": 1, "b": 1, "c": 2, "d": 2, "e": 2}
	votes := startCampaign(c, time.Now(), revisions)
	g.Expect(votes).To(HaveLen(5))
	now := votes["a"].Sent
	for _, voter := range []string{"a", "c", "d", "e"} {
		g.Expect(votes[voter].Message.HostsRevision).To(Equal(revisions[voter]))
		c.OnReply(now, votes[voter], grantingReply(votes[voter]))
	}
	_, held := c.Held(now)
	g.Expect(held).To(BeFalse(), "neither list has its majorities")
	c.OnReply(now, votes["b"], grantingReply(votes["b"]))
	_, held = c.Held(now)
	g.Expect(held).To(BeTrue(), "a and b are a majority of the first list")
}

// Guards against a renewal that is not repeated soon after its replies were lost, so that a lease ends after
// two lost rounds, and against repeating one that a majority granted, which would add half to the holder's
// cost of renewals.
func TestLostRenewalIsRepeatedSoon(t *testing.T) {
	g := NewWithT(t)
	c := election.NewCandidate("booking", "a", 1)
	c.SetGroups(election.VotingGroups{Revision: 1, Current: []string{"a", "b", "c"}})
	start := time.Now()
	votes := startCampaign(c, start, map[string]uint64{"a": 1, "b": 1, "c": 1})
	for _, voter := range []string{"a", "b", "c"} {
		c.OnReply(start, votes[voter], grantingReply(votes[voter]))
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
			c.OnReply(start.Add(at), r, grantingReply(r))
		}
	}
	g.Expect(sent).To(HaveExactElements(
		150*time.Millisecond, 225*time.Millisecond, 375*time.Millisecond))
}
