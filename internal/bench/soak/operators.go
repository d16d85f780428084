package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	roundPause = 200 * time.Millisecond
	// maxLostReplyWait bounds how long an operator waits before it abandons a reply to simulate its loss.
	maxLostReplyWait     = 20 * time.Millisecond
	applyTimeout         = 5 * time.Second
	applyAttempts        = 5
	lostReplyShare       = 0.4
	roundsPerHistoryRead = 20
	// operatorTeamCount is the number of teams among which the operators rotate their changes.
	operatorTeamCount = 100
	maxHistoryEntries = 256
)

// operators sends pairs of competing changes until the context ends.
func (e *environment) operators(ctx context.Context) {
	random := rand.New(rand.NewPCG(e.options.Seed, 200))
	quota := uint32(0)
	for round := 0; pause(ctx, roundPause); round++ {
		var racing sync.WaitGroup
		first := random.IntN(controlCount)
		document, err := e.fleet.OperatorAt(first).Get(ctx)
		for i := range 2 {
			quota++
			request := e.newChange(random, quota, document.GetRevision())
			loseReply := random.Float64() < lostReplyShare
			wait := time.Duration(random.Float64() * float64(maxLostReplyWait))
			if err == nil {
				racing.Go(func() { e.apply(ctx, first+i, request, loseReply, wait) })
			}
		}
		racing.Wait()
		if round%roundsPerHistoryRead == 0 {
			e.collectHistory(ctx)
		}
	}
}

// newChange returns a change of the quota of one of the operators' teams. Each change sets a different quota.
func (e *environment) newChange(random *rand.Rand, quota uint32, expected uint64) *configpb.ApplyRequest {
	team := &configpb.Team{Id: fmt.Sprintf("operator-%d", quota%operatorTeamCount), Weight: 1, InFlightQuota: quota}
	id := uuid.UUID{}
	for i := range id {
		id[i] = byte(random.Uint32())
	}
	return &configpb.ApplyRequest{
		ExpectedRevision: expected, RequestId: id.String(), Author: "soak",
		Change: &configpb.Change{Kind: &configpb.Change_PutTeam{PutTeam: team}},
	}
}

// apply sends the request until its verdict is final, for at most applyAttempts attempts. Each attempt tries
// the next control replica first.
func (e *environment) apply(ctx context.Context, replica int, r *configpb.ApplyRequest, loseReply bool, wait time.Duration) {
	e.changes.addRequest(r)
	for attempt := range applyAttempts {
		timeout := applyTimeout
		if loseReply && attempt == 0 {
			timeout = wait
		}
		bounded, cancel := context.WithTimeout(ctx, timeout)
		reply, err := e.fleet.OperatorAt(replica+attempt).Apply(bounded, r)
		cancel()
		if err == nil && isFinal(reply.GetVerdict()) {
			e.recorder.reportFinding(e.changes.recordVerdict(r, reply))
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func isFinal(v configpb.Verdict) bool {
	switch v {
	case configpb.Verdict_VERDICT_ACCEPTED, configpb.Verdict_VERDICT_CONFLICT, configpb.Verdict_VERDICT_REJECTED:
		return true
	default:
		return false
	}
}

// collectHistory reads the history and adds it to the recorded changes.
func (e *environment) collectHistory(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	entries, err := e.fleet.Operator.History(bounded, maxHistoryEntries)
	if err != nil {
		return
	}
	e.recorder.reportFinding(e.changes.addHistory(entries))
}
