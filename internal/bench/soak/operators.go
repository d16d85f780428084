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
	// lostReplyAfter bounds how long an operator waits that loses its reply.
	lostReplyAfter  = 20 * time.Millisecond
	applyTimeout    = 5 * time.Second
	applyAttempts   = 5
	lostReplyShare  = 0.4
	learnEveryRound = 20
	// operatorTeams is how many teams the operators change in turn.
	operatorTeams  = 100
	historyEntries = 256
)

// operators race in pairs until the context ends.
func (e *environment) operators(ctx context.Context) {
	random := rand.New(rand.NewPCG(e.options.Seed, 200))
	quota := uint32(0)
	for round := 0; pause(ctx, roundPause); round++ {
		var racing sync.WaitGroup
		first := random.IntN(controlCount)
		document, err := e.fleet.OperatorAt(first).Get(ctx)
		for i := range 2 {
			quota++
			request := e.change(random, quota, document.GetRevision())
			lost := random.Float64() < lostReplyShare
			wait := time.Duration(random.Float64() * float64(lostReplyAfter))
			if err == nil {
				racing.Go(func() { e.apply(ctx, first+i, request, lost, wait) })
			}
		}
		racing.Wait()
		if round%learnEveryRound == 0 {
			e.learn(ctx)
		}
	}
}

// change sets the quota of one of the operators' teams. Each change has a quota of its own.
func (e *environment) change(random *rand.Rand, quota uint32, expected uint64) *configpb.ApplyRequest {
	team := &configpb.Team{Id: fmt.Sprintf("operator-%d", quota%operatorTeams), Weight: 1, InFlightQuota: quota}
	id := uuid.UUID{}
	for i := range id {
		id[i] = byte(random.Uint32())
	}
	return &configpb.ApplyRequest{
		ExpectedRevision: expected, RequestId: id.String(), Author: "soak",
		Change: &configpb.Change{Kind: &configpb.Change_PutTeam{PutTeam: team}},
	}
}

// apply sends the request until its verdict is final, each time first to another control replica.
func (e *environment) apply(ctx context.Context, replica int, r *configpb.ApplyRequest, lost bool, wait time.Duration) {
	e.changes.begin(r)
	for attempt := range applyAttempts {
		timeout := applyTimeout
		if lost && attempt == 0 {
			timeout = wait
		}
		bounded, cancel := context.WithTimeout(ctx, timeout)
		reply, err := e.fleet.OperatorAt(replica+attempt).Apply(bounded, r)
		cancel()
		if err == nil && final(reply.GetVerdict()) {
			e.judge.report(e.changes.settled(r, reply))
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func final(v configpb.Verdict) bool {
	switch v {
	case configpb.Verdict_VERDICT_ACCEPTED, configpb.Verdict_VERDICT_CONFLICT, configpb.Verdict_VERDICT_REJECTED:
		return true
	default:
		return false
	}
}

// learn collects the history.
func (e *environment) learn(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	entries, err := e.fleet.Operator.History(bounded, historyEntries)
	if err != nil {
		return
	}
	e.judge.report(e.changes.learn(entries))
}
