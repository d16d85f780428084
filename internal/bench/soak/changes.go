package soak

import (
	"maps"
	"slices"
	"sync"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// changeChecker records the operators' requests and their verdicts. It is safe for concurrent use.
type changeChecker struct {
	mu sync.Mutex
	// requests holds the operators' requests by request id.
	requests map[string]*change
	// accepted holds the request id of the winner of each revision.
	accepted map[uint64]string
	// history holds the entries that the control replicas reported, by revision.
	history map[uint64]*configpb.Entry
}

type change struct {
	request *configpb.ApplyRequest
	verdict configpb.Verdict
}

func newChangeChecker() *changeChecker {
	return &changeChecker{requests: map[string]*change{}, accepted: map[uint64]string{}, history: map[uint64]*configpb.Entry{}}
}

func (c *changeChecker) addRequest(r *configpb.ApplyRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r.GetRequestId()] = &change{request: r}
}

// recordVerdict records and checks a final verdict.
func (c *changeChecker) recordVerdict(r *configpb.ApplyRequest, reply *configpb.ApplyReply) *finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := r.GetRequestId()
	c.requests[id].verdict = reply.GetVerdict()
	switch reply.GetVerdict() {
	case configpb.Verdict_VERDICT_ACCEPTED:
		revision := reply.GetRevision()
		if revision != r.GetExpectedRevision()+1 {
			return newFinding(CheckOneWinner, "request %s expected revision %d and was accepted as %d", id, r.GetExpectedRevision(), revision)
		}
		if other, taken := c.accepted[revision]; taken && other != id {
			return newFinding(CheckOneWinner, "requests %s and %s were both accepted as revision %d", other, id, revision)
		}
		c.accepted[revision] = id
	case configpb.Verdict_VERDICT_REJECTED:
		return newFinding(CheckAcceptedChange, "the valid request %s is rejected: %s: %s", id, reply.GetField(), reply.GetReason())
	}
	return nil
}

// addHistory adds entries of the history, which must agree with the verdicts and with earlier entries.
func (c *changeChecker) addHistory(entries []*configpb.Entry) *finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		old, known := c.history[e.GetRevision()]
		if known && old.GetRequestId() != e.GetRequestId() {
			return newFinding(CheckAcceptedChange, "revision %d was request %s and is now %s", e.GetRevision(), old.GetRequestId(), e.GetRequestId())
		}
		c.history[e.GetRevision()] = e
		if f := c.checkEntry(e); f != nil {
			return f
		}
	}
	return nil
}

func (c *changeChecker) checkEntry(e *configpb.Entry) *finding {
	if winner, ok := c.accepted[e.GetRevision()]; ok && winner != e.GetRequestId() {
		return newFinding(CheckAcceptedChange, "request %s was accepted as revision %d, where the history has %s", winner, e.GetRevision(), e.GetRequestId())
	}
	own, ok := c.requests[e.GetRequestId()]
	if ok && own.verdict == configpb.Verdict_VERDICT_CONFLICT {
		return newFinding(CheckOneWinner, "request %s was refused with a conflict and is revision %d of the history", e.GetRequestId(), e.GetRevision())
	}
	return nil
}

// checkFinal checks the history and the final document against all verdicts. first is the
// revision before the operators began.
func (c *changeChecker) checkFinal(first uint64, d *configpb.Document) *finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, revision := range slices.Sorted(maps.Keys(c.accepted)) {
		if revision > d.GetRevision() {
			return newFinding(CheckAcceptedChange, "revision %d was accepted and the final document is revision %d", revision, d.GetRevision())
		}
	}
	if f := c.checkWinners(); f != nil {
		return f
	}
	teams := map[string]*configpb.Team{}
	for revision := first + 1; revision <= d.GetRevision(); revision++ {
		e, known := c.history[revision]
		if !known {
			return newFinding(CheckEvidence, "revision %d is missing in the collected history", revision)
		}
		if _, own := c.requests[e.GetRequestId()]; !own {
			return newFinding(CheckAcceptedChange, "revision %d is of an unknown request %s", revision, e.GetRequestId())
		}
		team := e.GetChange().GetPutTeam()
		teams[team.GetId()] = team
	}
	return compareTeams(teams, d)
}

// checkWinners checks that the history has an entry for every revision for which a request received a
// conflict.
func (c *changeChecker) checkWinners() *finding {
	for id, r := range c.requests {
		if r.verdict != configpb.Verdict_VERDICT_CONFLICT {
			continue
		}
		revision := r.request.GetExpectedRevision() + 1
		if _, decided := c.history[revision]; !decided {
			return newFinding(CheckOneWinner, "request %s lost revision %d, which nobody won", id, revision)
		}
	}
	return nil
}

func compareTeams(teams map[string]*configpb.Team, d *configpb.Document) *finding {
	seen := map[string]*configpb.Team{}
	for _, t := range d.GetTeams() {
		seen[t.GetId()] = t
	}
	for id, want := range teams {
		if got := seen[id]; got.GetInFlightQuota() != want.GetInFlightQuota() {
			return newFinding(CheckAcceptedChange, "team %s has the quota %d in the final document; the last accepted change set %d", id, got.GetInFlightQuota(), want.GetInFlightQuota())
		}
	}
	return nil
}

// countVerdicts returns the numbers of accepted changes, conflicts and requests without a final verdict.
func (c *changeChecker) countVerdicts() (accepted, conflicts, unsettled int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		switch r.verdict {
		case configpb.Verdict_VERDICT_ACCEPTED:
			accepted++
		case configpb.Verdict_VERDICT_CONFLICT:
			conflicts++
		default:
			unsettled++
		}
	}
	return accepted, conflicts, unsettled
}
