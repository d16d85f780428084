package election

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// renewInterval is the interval between renewals while a majority responds.
	renewInterval = 150 * time.Millisecond
	// renewRetryAfter is the time after which a renewal that gained no majority is repeated. A lease of
	// 360 ms then leaves time for three attempts.
	renewRetryAfter = 75 * time.Millisecond
	// rankDelay is the difference in start time between the candidates of two consecutive ranks.
	rankDelay = 50 * time.Millisecond
	// activeElsewhereDelay is the additional delay of a candidate for each other service whose lease its node
	// holds or campaigns for. It exceeds the start time difference between the first three ranks, so that an
	// idle node among them starts before a busy one.
	activeElsewhereDelay = 3 * rankDelay
	// voterDelay is the additional delay of voters while there are preferred nodes, so that a preferred node that
	// holds one other lease still comes first.
	voterDelay = 3 * rankDelay
	// maxActiveElsewhere bounds the number of other services that add a delay.
	maxActiveElsewhere = 2
	// roundTimeout is the maximum wait for the replies to holder queries, and then to vote requests.
	roundTimeout = 150 * time.Millisecond
	// campaignRetryDelay is the pause after an unsuccessful campaign; it is multiplied by rank + 1.
	campaignRetryDelay = 50 * time.Millisecond
	// maxUnansweredRenewals is the number of renewals that are sent to a voter that does not respond.
	maxUnansweredRenewals = 2
	// renewalsPerQuery is the number of renewal rounds from one holder query to the next for a voter that
	// does not respond.
	renewalsPerQuery = 3
)

// Request is a message to a voter: a vote request, or a holder query, which has term 0.
type Request struct {
	Voter   string
	Message *fleetpb.VoteRequest
	// Sent is the candidate's time at which the request was made; a lease is counted from it.
	Sent time.Time
}

type phase uint8

const (
	idle phase = iota
	querying
	campaigning
	holding
)

// voterState is what a candidate knows about one voter.
type voterState struct {
	// reportedRevision is the hosts revision in the last reply of the voter; 0 before the first reply.
	reportedRevision uint64
	// grantedRevision is the hosts revision of the last vote. The candidate may use the vote until
	// grantedUntil.
	grantedRevision uint64
	grantedUntil    time.Time
	// reportedFree is set when the voter reported no holder in reply to the current query.
	reportedFree bool
	// unansweredRounds is the number of renewal rounds since the voter last replied.
	unansweredRounds int
}

// Candidate is the state machine of one candidate for the lease of one service. It does no I/O and reads
// no clock. It is not safe for concurrent use.
type Candidate struct {
	service     string
	id          string
	incarnation uint64

	// groups holds up to two revisions, the newest one last. The older one is used until the voters have
	// adopted the newest.
	groups      []VotingGroups
	voterStates map[string]*voterState
	// preferred lists nodes that campaign before the voters, in rank order.
	preferred []string

	phase phase
	// nextAction is the time of the next step of the phase: the start of a campaign, the timeout of a
	// round, or the next renewal. In the idle phase, zero means that no start is scheduled.
	nextAction time.Time
	term       uint64
	// highestTerm is the highest term that was used, reported by a voter, or set as the floor.
	highestTerm uint64
	leaseUntil  time.Time
	// lastRenewal is the time at which the last renewal was sent.
	lastRenewal time.Time
	resigned    bool
	// activeElsewhere is the number of other services whose lease this node holds or campaigns for.
	// Dispatching causes most of the traffic of a node, so nodes with fewer leases campaign first.
	activeElsewhere int
	// delayedFor is the value of activeElsewhere that the scheduled start allows for.
	delayedFor int
}

// NewCandidate returns a candidate. It does not campaign before SetGroups is called.
func NewCandidate(service, id string, incarnation uint64) *Candidate {
	return &Candidate{service: service, id: id, incarnation: incarnation, voterStates: map[string]*voterState{}}
}

// SetGroups adds the voting groups of a newer hosts list. The previous ones are kept as well, so that a
// holder keeps its lease while the new list reaches the voters. Votes of each revision count only towards
// the groups of that revision.
func (c *Candidate) SetGroups(g VotingGroups) {
	if len(c.groups) > 0 && c.newestGroups().Revision == g.Revision {
		c.groups[len(c.groups)-1] = g
		return
	}
	c.groups = append(c.groups, g)
	if c.phase == holding {
		// Voters that already use the new list have refused renewals, so the lease is renewed immediately.
		c.nextAction = time.Time{}
	}
	if len(c.groups) > 2 {
		c.groups = slices.Delete(c.groups, 0, 1)
	}
}

// SetPreferred sets the nodes that campaign before the voters, in rank order. They need not be voters.
func (c *Candidate) SetPreferred(nodes []string) {
	c.preferred = nodes
}

func (c *Candidate) newestGroups() VotingGroups {
	return c.groups[len(c.groups)-1]
}

// rank returns this node's position among the candidates: the preferred nodes, then the current group of the
// newest revision. It is -1 if the node is not a candidate.
func (c *Candidate) rank() int {
	if len(c.groups) == 0 {
		return -1
	}
	if i := slices.Index(c.preferred, c.id); i >= 0 {
		return i
	}
	if i := slices.Index(c.newestGroups().Current, c.id); i >= 0 {
		return len(c.preferred) + i
	}
	return -1
}

// voters returns the members of all groups, each once.
func (c *Candidate) voters() []string {
	var voters []string
	for _, g := range c.groups {
		voters = append(voters, g.Voters()...)
	}
	slices.Sort(voters)
	return slices.Compact(voters)
}

// Held returns the lease; ok is false if there is none or if it has expired.
func (c *Candidate) Held(now time.Time) (l leadership.Lease, ok bool) {
	if c.phase != holding || !now.Before(c.leaseUntil) {
		return leadership.Lease{}, false
	}
	return leadership.Lease{Term: c.term, Until: c.leaseUntil}, true
}

// activeCount returns 1 while the candidate queries voters, campaigns or holds the lease, and 0 otherwise.
func (c *Candidate) activeCount() int {
	if c.phase == idle {
		return 0
	}
	return 1
}

// Resign releases the lease. The candidate never campaigns again.
func (c *Candidate) Resign(now time.Time) []Request {
	c.resigned = true
	return c.returnToIdle(now, 0)
}

// Tick returns the messages that are due. Terms lie above termFloor, a number that rises across restarts,
// such as the wall time in milliseconds. ownVoterBusy reports whether this node's own voter is bound
// to another candidate or still waits after its start; for a node that is no voter, whether another holder is known.
func (c *Candidate) Tick(now time.Time, termFloor uint64, ownVoterBusy bool) []Request {
	switch c.phase {
	case holding:
		return c.tickHolding(now)
	case querying, campaigning:
		if now.Before(c.nextAction) {
			return nil
		}
		requests := c.returnToIdle(now, campaignRetryDelay*time.Duration(c.rank()+1)+c.delayForOthers())
		c.delayedFor = c.activeElsewhere
		return requests
	default:
		return c.tickIdle(now, termFloor, ownVoterBusy)
	}
}

func (c *Candidate) tickHolding(now time.Time) []Request {
	if !now.Before(c.leaseUntil) {
		return c.returnToIdle(now, VoteLease)
	}
	if now.Before(c.nextAction) && !c.renewalOverdue(now) {
		return nil
	}
	c.lastRenewal = now
	c.nextAction = now.Add(renewInterval)
	c.dropOlderGroups(now)
	return c.requestVotes(now)
}

// renewalOverdue reports whether renewRetryAfter has passed since the last renewal and this renewal has
// not extended the lease.
func (c *Candidate) renewalOverdue(now time.Time) bool {
	return now.Sub(c.lastRenewal) >= renewRetryAfter && c.leaseUntil.Before(c.lastRenewal.Add(HolderLease))
}

// dropOlderGroups removes the groups of the older revision once votes of the newest revision suffice for
// the lease.
func (c *Candidate) dropOlderGroups(now time.Time) {
	if newest := c.groups[len(c.groups)-1:]; len(c.groups) > 1 && majorityEnd(newest, c.voterStates).After(now) {
		c.groups = newest
	}
}

func (c *Candidate) tickIdle(now time.Time, termFloor uint64, ownVoterBusy bool) []Request {
	rank := c.rank()
	if c.resigned || rank < 0 {
		c.nextAction = time.Time{}
		return nil
	}
	if ownVoterBusy {
		c.nextAction = time.Time{}
		return nil
	}
	if c.nextAction.IsZero() {
		c.nextAction = now.Add(c.campaignDelay(rank))
		c.delayedFor = c.activeElsewhere
	}
	if now.Before(c.nextAction) {
		return nil
	}
	if c.activeElsewhere > c.delayedFor {
		// The node became active in the election of another service after the start was scheduled.
		c.delayedFor = c.activeElsewhere
		c.nextAction = now.Add(activeElsewhereDelay)
		return nil
	}
	c.highestTerm = max(c.highestTerm, termFloor)
	c.phase = querying
	c.nextAction = now.Add(roundTimeout)
	var requests []Request
	for _, voter := range c.voters() {
		c.voterState(voter).reportedFree = false
		requests = append(requests, c.newRequest(now, voter, 0))
	}
	return requests
}

// campaignDelay returns how long a candidate of the given rank waits once its own voter knows no other
// holder.
func (c *Candidate) campaignDelay(rank int) time.Duration {
	delay := time.Duration(rank)*rankDelay + c.delayForOthers()
	if preferred := len(c.preferred); preferred > 0 && rank >= preferred {
		delay += voterDelay
	}
	return delay
}

// delayForOthers returns the part of the delay that other services add.
func (c *Candidate) delayForOthers() time.Duration {
	return time.Duration(min(c.activeElsewhere, maxActiveElsewhere)) * activeElsewhereDelay
}

// returnToIdle ends the current phase and schedules the next start after the pause. It releases the votes
// of the term, including those that voters may have granted although no reply arrived.
func (c *Candidate) returnToIdle(now time.Time, pause time.Duration) []Request {
	before := c.phase
	c.phase = idle
	c.nextAction = now.Add(pause)
	c.leaseUntil = time.Time{}
	for _, state := range c.voterStates {
		state.grantedUntil = time.Time{}
	}
	if before != campaigning && before != holding {
		return nil
	}
	var requests []Request
	for _, voter := range c.voters() {
		r := c.newRequest(now, voter, c.term)
		r.Message.Release = true
		r.Message.Holding = before == holding
		requests = append(requests, r)
	}
	return requests
}

// requestVotes requests or renews the votes for the current term. A voter that does not respond only gets
// holder queries: if its replies are lost but requests arrive, its vote then expires.
func (c *Candidate) requestVotes(now time.Time) []Request {
	var requests []Request
	for _, voter := range c.voters() {
		state := c.voterState(voter)
		term := c.term
		missed := state.unansweredRounds - maxUnansweredRenewals
		state.unansweredRounds++
		if missed >= 0 {
			term = 0
		}
		if missed > 0 && missed%renewalsPerQuery != 0 {
			continue
		}
		requests = append(requests, c.newRequest(now, voter, term))
	}
	return requests
}

func (c *Candidate) newRequest(now time.Time, voter string, term uint64) Request {
	return Request{
		Voter: voter,
		Sent:  now,
		Message: &fleetpb.VoteRequest{
			Service:       c.service,
			Candidate:     c.id,
			Incarnation:   c.incarnation,
			Term:          term,
			HostsRevision: c.revisionFor(voter),
			Holding:       c.phase == holding && term > 0,
		},
	}
}

// revisionFor returns the revision that the voter reported if this candidate knows the groups of that
// revision, and the newest revision otherwise.
func (c *Candidate) revisionFor(voter string) uint64 {
	reported := c.voterState(voter).reportedRevision
	for _, g := range c.groups {
		if g.Revision == reported {
			return reported
		}
	}
	return c.newestGroups().Revision
}

func (c *Candidate) voterState(voter string) *voterState {
	state, ok := c.voterStates[voter]
	if !ok {
		state = &voterState{}
		c.voterStates[voter] = state
	}
	return state
}

// OnReply handles the reply to a request and returns the messages to send next.
func (c *Candidate) OnReply(now time.Time, r Request, reply *fleetpb.VoteReply) []Request {
	state := c.voterState(r.Voter)
	state.reportedRevision = reply.GetHostsRevision()
	state.unansweredRounds = 0
	if reply.GetTerm() < maxTerm-1 {
		c.highestTerm = max(c.highestTerm, reply.GetTerm())
	}
	switch {
	case c.phase == querying && r.Message.GetTerm() == 0:
		state.reportedFree = isFree(reply)
		return c.startCampaign(now)
	case (c.phase == campaigning || c.phase == holding) && r.Message.GetTerm() == c.term && reply.GetGranted():
		c.countVote(now, r, state)
	case c.phase == holding && r.Message.GetTerm() == c.term && c.revisionFor(r.Voter) != r.Message.GetHostsRevision():
		// The voter refused because it has moved to another hosts list, which this candidate knows too.
		return []Request{c.newRequest(now, r.Voter, c.term)}
	}
	return nil
}

// isFree reports whether the voter may vote for a new holder.
func isFree(reply *fleetpb.VoteReply) bool {
	return reply.GetHolder() == "" && reply.GetLeftMs() == 0
}

// startCampaign requests votes if a majority has reported that nobody holds the lease.
func (c *Candidate) startCampaign(now time.Time) []Request {
	free := slices.ContainsFunc(c.groups, func(g VotingGroups) bool {
		return g.hasMajority(func(id string) bool {
			state := c.voterState(id)
			return state.reportedFree && state.reportedRevision == g.Revision
		})
	})
	if !free {
		return nil
	}
	c.phase = campaigning
	c.nextAction = now.Add(roundTimeout)
	c.term = c.highestTerm + 1
	c.highestTerm = c.term
	for _, state := range c.voterStates {
		state.grantedUntil = time.Time{}
		state.unansweredRounds = 0
	}
	return c.requestVotes(now)
}

// countVote records a vote and extends the lease to the time until which majorities have granted it.
func (c *Candidate) countVote(now time.Time, r Request, state *voterState) {
	if c.phase == holding && !now.Before(c.leaseUntil) {
		// The lease has expired and the next Tick releases it; a late vote must not revive it.
		return
	}
	voteUntil := r.Sent.Add(HolderLease)
	if state.grantedRevision != r.Message.GetHostsRevision() || voteUntil.After(state.grantedUntil) {
		state.grantedRevision = r.Message.GetHostsRevision()
		state.grantedUntil = voteUntil
	}
	end := majorityEnd(c.groups, c.voterStates)
	if !end.After(now) || !end.After(c.leaseUntil) {
		return
	}
	invariant.Check(!end.After(now.Add(HolderLease)), "election.lease-within-votes",
		"the lease on %s would end %v after now", c.service, end.Sub(now))
	c.leaseUntil = end
	if c.phase == campaigning {
		c.phase = holding
		c.nextAction = r.Sent.Add(renewInterval)
	}
}

// majorityEnd returns the latest time until which votes of one revision form a majority in each of its
// groups. It is zero if there is no such revision.
func majorityEnd(groups []VotingGroups, voterStates map[string]*voterState) time.Time {
	var end time.Time
	for _, g := range groups {
		for _, voter := range g.Voters() {
			last, ok := voterStates[voter]
			if !ok || !last.grantedUntil.After(end) {
				continue
			}
			holds := g.hasMajority(func(id string) bool {
				state, ok := voterStates[id]
				return ok && state.grantedRevision == g.Revision && !state.grantedUntil.Before(last.grantedUntil)
			})
			if holds {
				end = last.grantedUntil
			}
		}
	}
	return end
}
