package election

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// VoteLease is how long a vote binds the voter, on the voter's clock.
	VoteLease = 400 * time.Millisecond
	// HeldLease is how long a candidate uses a majority of votes, counted from before it asked.
	HeldLease = VoteLease * 9 / 10
	// maxTerm bounds terms, so that a malformed request cannot use up the numbers.
	maxTerm = 1 << 62
)

// Groups are the voting groups of a service in rank order, by node id.
type Groups struct {
	// Revision is the revision of the hosts list.
	Revision uint64
	Current  []string
	// Previous is the group before the last change of hosts; empty if there was no change.
	Previous []string
}

// Voters returns the members of both groups, each once.
func (g Groups) Voters() []string {
	voters := slices.Concat(g.Current, g.Previous)
	slices.Sort(voters)
	return slices.Compact(voters)
}

// majority tells whether the members hold a majority of each group.
func (g Groups) majority(has func(id string) bool) bool {
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

// Voter is the pure state of one voter of one service. It is not safe for concurrent use.
type Voter struct {
	groups Groups
	// silent is the end of the lease that a restarted voter waits for.
	silent time.Time
	// seen is the highest term granted. held is the lowest term that may still be renewed by a
	// holder that this voter has not voted for before.
	seen uint64
	held uint64
	// term, holder and incarnation are those of the last vote.
	term        uint64
	holder      string
	incarnation uint64
	until       time.Time
	// holding is set once the candidate of the last vote has shown that it has the lease.
	holding bool
}

// NewVoter returns a voter of a process that started at the given time.
func NewVoter(started time.Time) *Voter {
	return &Voter{silent: started.Add(VoteLease)}
}

// SetGroups takes the groups of a newer hosts list. A vote that was granted stays valid.
func (v *Voter) SetGroups(g Groups) {
	v.groups = g
}

// Holder returns who holds this voter's vote; ok is false if nobody does.
func (v *Voter) Holder(now time.Time) (holder string, term uint64, left time.Duration, ok bool) {
	if !now.Before(v.until) {
		return "", v.seen, 0, false
	}
	return v.holder, v.term, v.until.Sub(now), true
}

// Dispatcher returns the holder of this voter's vote once it has shown that it has the lease.
func (v *Voter) Dispatcher(now time.Time) (holder string, term uint64, ok bool) {
	return v.holder, v.term, v.holding && now.Before(v.until)
}

// Confirm records the announcement of a holder.
func (v *Voter) Confirm(holder string, term uint64) {
	if v.holder == holder && v.term == term {
		v.holding = true
	}
}

// Vote answers a request. Requests with term 0 only ask.
func (v *Voter) Vote(now time.Time, r *fleetpb.VoteRequest) *fleetpb.VoteReply {
	switch {
	case r.GetRelease():
		v.release(now, r)
	case r.GetTerm() > 0 && v.mayGrant(now, r):
		v.grant(now, r)
		return v.reply(now, true)
	}
	return v.reply(now, false)
}

func (v *Voter) mayGrant(now time.Time, r *fleetpb.VoteRequest) bool {
	if now.Before(v.silent) || r.GetHostsRevision() != v.groups.Revision || r.GetTerm() >= maxTerm {
		return false
	}
	if !slices.Contains(v.groups.Current, r.GetCandidate()) {
		return false
	}
	if now.Before(v.until) {
		return v.sameHolder(r)
	}
	return r.GetTerm() > v.seen || v.sameHolder(r) || v.joins(r)
}

// joins tells whether the request renews a lease that other voters gave. Its term may be lower
// than that of a candidate that failed here; without this rule the holder would depend on the
// few voters that elected it.
func (v *Voter) joins(r *fleetpb.VoteRequest) bool {
	return r.GetHolding() && r.GetTerm() >= v.held
}

func (v *Voter) sameHolder(r *fleetpb.VoteRequest) bool {
	return v.holder == r.GetCandidate() && v.incarnation == r.GetIncarnation() && v.term == r.GetTerm()
}

func (v *Voter) grant(now time.Time, r *fleetpb.VoteRequest) {
	valid := now.Before(v.until)
	invariant.Check(!valid || v.sameHolder(r), "election.one-lease-per-voter",
		"voter of %s grants term %d to %s while %s holds term %d", r.GetService(), r.GetTerm(), r.GetCandidate(), v.holder, v.term)
	v.holding = r.GetHolding() || v.holding && v.sameHolder(r)
	v.holder = r.GetCandidate()
	v.incarnation = r.GetIncarnation()
	v.term = r.GetTerm()
	v.seen = max(v.seen, v.term)
	if r.GetHolding() {
		v.held = max(v.held, v.term)
	}
	v.until = now.Add(VoteLease)
}

// release ends the vote and keeps the term, so that a late renewal of it is refused too.
func (v *Voter) release(now time.Time, r *fleetpb.VoteRequest) {
	if r.GetHolding() && r.GetTerm() < maxTerm {
		v.held = max(v.held, r.GetTerm()+1)
	}
	if v.sameHolder(r) && now.Before(v.until) {
		v.until = now
		v.holder = ""
	}
}

func (v *Voter) reply(now time.Time, granted bool) *fleetpb.VoteReply {
	holder, term, left, _ := v.Holder(now)
	return &fleetpb.VoteReply{
		Granted:       granted,
		Term:          term,
		Holder:        holder,
		LeftMs:        left.Milliseconds(),
		HostsRevision: v.groups.Revision,
		Holding:       holder != "" && v.holding,
	}
}
