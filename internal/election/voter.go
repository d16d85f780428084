package election

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// VoteLease is the time for which a vote binds the voter, on the voter's clock.
	VoteLease = 400 * time.Millisecond
	// HolderLease is the time for which a candidate uses a vote, counted from before it sent the request.
	// It is 10% shorter than VoteLease, so that clocks may differ by 5% in speed.
	HolderLease = VoteLease * 9 / 10
	// maxTerm is an exclusive upper bound, so that a malformed request cannot exhaust the terms.
	maxTerm = 1 << 62
)

// VotingGroups are the voting groups of a service: node ids in rank order.
type VotingGroups struct {
	// Revision is the revision of the hosts list.
	Revision uint64
	Current  []string
	// Previous is the group before the last change of hosts; empty if there was none.
	Previous []string
}

// Voters returns the members of both groups, each once.
func (g VotingGroups) Voters() []string {
	voters := slices.Concat(g.Current, g.Previous)
	slices.Sort(voters)
	return slices.Compact(voters)
}

// hasMajority reports whether has returns true for a majority of each group. It is false if there is no
// current group.
func (g VotingGroups) hasMajority(has func(id string) bool) bool {
	return len(g.Current) > 0 && majorityOf(g.Current, has) && (len(g.Previous) == 0 || majorityOf(g.Previous, has))
}

func majorityOf(group []string, has func(id string) bool) bool {
	count := 0
	for _, id := range group {
		if has(id) {
			count++
		}
	}
	return count > len(group)/2
}

// Voter is the state machine of one voter for the lease of one service. It does no I/O and reads no
// clock. It is not safe for concurrent use.
type Voter struct {
	groups VotingGroups
	// anyCandidate is set if nodes outside the groups may hold the lease.
	anyCandidate bool
	// noVoteUntil is the time before which a restarted voter grants nothing, since it may have forgotten a
	// vote.
	noVoteUntil time.Time
	// highestTerm is the highest term granted. lowestRenewableTerm is the lowest term that a holder that
	// this voter has not voted for may still renew.
	highestTerm         uint64
	lowestRenewableTerm uint64
	// term, holder and incarnation are those of the last vote, which ends at voteUntil.
	term        uint64
	holder      string
	incarnation uint64
	voteUntil   time.Time
	// holderConfirmed is set once the candidate of the last vote has shown, by a renewal or an
	// announcement, that it holds the lease.
	holderConfirmed bool
}

// NewVoter returns a voter of a process that started at the given time. It grants no votes for one
// VoteLease from then on.
func NewVoter(started time.Time) *Voter {
	return &Voter{noVoteUntil: started.Add(VoteLease)}
}

// SetGroups sets the voting groups of a newer hosts list. A vote that was granted stays valid.
func (v *Voter) SetGroups(g VotingGroups) {
	v.groups = g
}

// AllowAnyCandidate lets nodes outside the voting groups hold the lease.
func (v *Voter) AllowAnyCandidate() {
	v.anyCandidate = true
}

// Holder returns the node that this voter's vote is granted to, the term, and the time left. If there is
// no valid vote, ok is false and the term is the highest one granted.
func (v *Voter) Holder(now time.Time) (holder string, term uint64, left time.Duration, ok bool) {
	if !now.Before(v.voteUntil) {
		return "", v.highestTerm, 0, false
	}
	return v.holder, v.term, v.voteUntil.Sub(now), true
}

// BusyFor reports whether this voter cannot vote for a new term of the candidate: it still waits after its
// start, or is bound to another candidate.
func (v *Voter) BusyFor(now time.Time, candidate string) bool {
	holder, _, _, bound := v.Holder(now)
	return now.Before(v.noVoteUntil) || bound && holder != candidate
}

// Dispatcher returns the node that this voter's vote is granted to; ok is false until the node has shown
// that it holds the lease, and after the vote has expired.
func (v *Voter) Dispatcher(now time.Time) (holder string, term uint64, ok bool) {
	return v.holder, v.term, v.holderConfirmed && now.Before(v.voteUntil)
}

// ConfirmHolder records that the node announced its lease. It has no effect unless the last vote was for
// this node and term.
func (v *Voter) ConfirmHolder(holder string, term uint64) {
	if v.holder == holder && v.term == term {
		v.holderConfirmed = true
	}
}

// Vote handles a request and returns the reply. Requests with term 0 only query the holder.
func (v *Voter) Vote(now time.Time, r *fleetpb.VoteRequest) *fleetpb.VoteReply {
	switch {
	case r.GetRelease():
		v.releaseVote(now, r)
	case r.GetTerm() > 0 && v.mayGrant(now, r):
		v.grantVote(now, r)
		return v.newReply(now, true)
	}
	return v.newReply(now, false)
}

func (v *Voter) mayGrant(now time.Time, r *fleetpb.VoteRequest) bool {
	if now.Before(v.noVoteUntil) || r.GetHostsRevision() != v.groups.Revision || r.GetTerm() >= maxTerm {
		return false
	}
	if !v.anyCandidate && !slices.Contains(v.groups.Current, r.GetCandidate()) {
		return false
	}
	if now.Before(v.voteUntil) {
		return v.matchesLastVote(r)
	}
	return r.GetTerm() > v.highestTerm || v.matchesLastVote(r) || v.renewsLeaseOfOthers(r)
}

// renewsLeaseOfOthers reports whether the request renews a lease that other voters granted. Its term may
// be lower than that of a candidate that this voter voted for but that won no majority. Without this rule
// the holder would depend on the few voters that elected it.
func (v *Voter) renewsLeaseOfOthers(r *fleetpb.VoteRequest) bool {
	return r.GetHolding() && r.GetTerm() >= v.lowestRenewableTerm
}

func (v *Voter) matchesLastVote(r *fleetpb.VoteRequest) bool {
	return v.holder == r.GetCandidate() && v.incarnation == r.GetIncarnation() && v.term == r.GetTerm()
}

func (v *Voter) grantVote(now time.Time, r *fleetpb.VoteRequest) {
	valid := now.Before(v.voteUntil)
	invariant.Check(!valid || v.matchesLastVote(r), "election.one-lease-per-voter",
		"voter of %s grants term %d to %s while %s holds term %d", r.GetService(), r.GetTerm(), r.GetCandidate(), v.holder, v.term)
	v.holderConfirmed = r.GetHolding() || v.holderConfirmed && v.matchesLastVote(r)
	v.holder = r.GetCandidate()
	v.incarnation = r.GetIncarnation()
	v.term = r.GetTerm()
	v.highestTerm = max(v.highestTerm, v.term)
	if r.GetHolding() {
		v.lowestRenewableTerm = max(v.lowestRenewableTerm, v.term)
	}
	v.voteUntil = now.Add(VoteLease)
}

// releaseVote ends the vote. It keeps the term, so that a late renewal is refused as well.
func (v *Voter) releaseVote(now time.Time, r *fleetpb.VoteRequest) {
	if r.GetHolding() && r.GetTerm() < maxTerm {
		v.lowestRenewableTerm = max(v.lowestRenewableTerm, r.GetTerm()+1)
	}
	if v.matchesLastVote(r) && now.Before(v.voteUntil) {
		v.voteUntil = now
		v.holder = ""
	}
}

func (v *Voter) newReply(now time.Time, granted bool) *fleetpb.VoteReply {
	holder, term, left, _ := v.Holder(now)
	if holder == "" {
		// Nobody can win votes before the wait after the start ends.
		left = max(v.noVoteUntil.Sub(now), 0)
	}
	return &fleetpb.VoteReply{
		Granted:       granted,
		Term:          term,
		Holder:        holder,
		LeftMs:        left.Milliseconds(),
		HostsRevision: v.groups.Revision,
		Holding:       holder != "" && v.holderConfirmed,
	}
}
