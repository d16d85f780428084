package agreement

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// attemptResult is how an attempt ended.
type attemptResult uint8

const (
	// retryResult means that another attempt may succeed.
	retryResult attemptResult = iota + 1
	// decidedResult means that the register has a value.
	decidedResult
	// compactedResult means that compaction replaced the register by a snapshot.
	compactedResult
	// nothingDecidedResult means that nothing was decided and the operation has no value of its own.
	nothingDecidedResult
	// ambiguousResult means that all members responded and several values may still have been decided,
	// because a lost disk held the vote that would settle it. Only the end of the retention resolves that.
	ambiguousResult
	// withheldResult means that another proposer's value may have been decided, and must not be completed now.
	withheldResult
)

// operation decides one register. It is not safe for concurrent use.
type operation struct {
	p   *proposer
	key string
	// value is the proposed value. Without hasValue, the operation only completes another proposer's value.
	value    []byte
	hasValue bool
	fast     bool
	// nextRound is the next ordinary round to try, from 1.
	nextRound uint64
	// mayBeAccepted is set once a replica may have accepted the operation's own value.
	mayBeAccepted bool
	decided       []byte
}

func (p *proposer) newOperation(key string, value []byte) *operation {
	return &operation{p: p, key: key, value: value, hasValue: true, nextRound: 1}
}

// run repeats attempts until one ends the operation or the context ends.
func (o *operation) run(ctx context.Context) ([]byte, error) {
	pause := backoff{}
	for {
		switch o.attempt(ctx) {
		case decidedResult:
			return o.decided, nil
		case compactedResult:
			return nil, errors.WithStack(ErrCompacted)
		case nothingDecidedResult:
			return nil, errors.WithStack(errNothingDecided)
		case ambiguousResult:
			return nil, errors.WithStack(ErrUndecided)
		case withheldResult:
			return nil, errors.WithStack(errChangeWithheld)
		case retryResult:
		}
		if ctx.Err() != nil || !pause.wait(ctx) {
			return nil, o.unfinishedError()
		}
	}
}

// errNothingDecided ends an operation without a value of its own: no value can have been decided.
var errNothingDecided = errors.New("no value can have been decided; propose one")

func (o *operation) unfinishedError() error {
	if o.mayBeAccepted {
		return errors.WithStack(ErrUndecided)
	}
	return errors.WithStack(ErrNoQuorum)
}

// attempt runs a fast round if requested, then an ordinary one. All messages of an attempt carry one
// epoch; a change of the group starts a new attempt with a new ballot.
func (o *operation) attempt(ctx context.Context) attemptResult {
	voters := o.p.voterSet()
	if voters.epoch == 0 {
		o.findGroup(ctx, voters)
		if voters = o.p.voterSet(); voters.epoch == 0 {
			return retryResult
		}
	}
	if o.fast {
		r := o.fastRound(ctx, voters)
		if o.p.voterSet().epoch != voters.epoch && r == retryResult {
			return o.retryAttempt(ctx)
		}
		o.fast = false
		if r != retryResult || ctx.Err() != nil {
			return r
		}
	}
	r := o.ordinaryRound(ctx, voters)
	if r == retryResult && o.p.voterSet().epoch != voters.epoch {
		return o.retryAttempt(ctx)
	}
	return r
}

// retryAttempt starts a new attempt after a change of the group, without a backoff.
func (o *operation) retryAttempt(ctx context.Context) attemptResult {
	if ctx.Err() != nil {
		return retryResult
	}
	return o.attempt(ctx)
}

// findGroup asks the known replicas for the current group.
func (o *operation) findGroup(ctx context.Context, voters voterSet) {
	responses := broadcast(ctx, o.p, voters, func(ctx context.Context, c agreementpb.DRPCReplicaServer) (*agreementpb.PeerReply, error) {
		reply, err := c.Peer(ctx, &agreementpb.PeerRequest{Header: o.p.header(voters)})
		if g := reply.GetGroup(); err == nil && g != nil {
			o.p.updateGroup(g.GetEpoch(), g.GetMembers())
		}
		return reply, err
	})
	for range voters.members {
		select {
		case <-ctx.Done():
			return
		case <-responses:
			if o.p.voterSet().epoch != 0 {
				return
			}
		}
	}
}

// tally collects the replies to one phase (prepare or accept).
type tally struct {
	o           *operation
	voters      voterSet
	outstanding int
	// proposedValue is the value of an accept request, which replies to granted votes omit.
	proposedValue []byte
	// granted are the register states of the replicas that promised or voted.
	granted []register
	// rejected are the register states of the replicas that did not.
	rejected []register
	// grantedBy are the members that promised or voted.
	grantedBy []Member
	// respondedBy are the members whose response has been counted.
	respondedBy []Member
	// notAccepted counts the members that certainly did not accept the value.
	notAccepted int
	ended       attemptResult
}

func (o *operation) newTally(voters voterSet) *tally {
	return &tally{o: o, voters: voters, outstanding: len(voters.members)}
}

// addResponse counts one response. It sets ended if the response ends the operation.
func (t *tally) addResponse(resp response[*agreementpb.RegisterReply]) {
	t.outstanding--
	t.respondedBy = append(t.respondedBy, resp.member)
	if resp.err != nil {
		if errors.Is(resp.err, ErrNotSent) {
			t.notAccepted++
		}
		return
	}
	h := resp.reply.GetHeader()
	switch {
	case h.GetRefusal() == refusalCompacted && h.GetEpoch() == t.voters.epoch:
		t.notAccepted++
		t.ended = compactedResult
		return
	case h.GetRefusal() == refusalStopped:
		// A failed sync may have left the vote on the disk, so the member may have accepted the value.
		return
	case h.GetRefusal() != "":
		t.notAccepted++
		return
	case h.GetEpoch() != t.voters.epoch:
		return
	}
	t.addState(resp)
}

func (t *tally) addState(resp response[*agreementpb.RegisterReply]) {
	state := registerOf(0, resp.reply.GetRegister())
	if state.decided {
		t.o.decided = state.value
		t.ended = decidedResult
		return
	}
	if resp.reply.GetOk() {
		if t.proposedValue != nil {
			state.value = t.proposedValue
		}
		t.granted = append(t.granted, state)
		t.grantedBy = append(t.grantedBy, resp.member)
		return
	}
	t.notAccepted++
	t.rejected = append(t.rejected, state)
	t.o.nextRound = max(t.o.nextRound, state.promised.round+1)
}

// majorityImpossible reports whether the outstanding responses can no longer complete a majority.
func (t *tally) majorityImpossible() bool {
	return len(t.granted)+t.outstanding < t.voters.majority()
}

// awaitResponse waits for one response and counts it. It reports false if none is outstanding, the operation
// has ended, or the context or the timeout ended first.
func (t *tally) awaitResponse(ctx context.Context, responses <-chan response[*agreementpb.RegisterReply], timeout <-chan time.Time) bool {
	if t.outstanding == 0 || t.ended != 0 {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-timeout:
		return false
	case resp := <-responses:
		t.addResponse(resp)
		return t.ended == 0
	}
}

// fastRound asks all replicas to vote in round 0 without a prepare.
func (o *operation) fastRound(ctx context.Context, voters voterSet) attemptResult {
	t := o.newTally(voters)
	t.proposedValue = o.value
	responses := o.sendAccept(ctx, voters, ballot{}, o.value)
	defer func() { o.mayBeAccepted = o.mayBeAccepted || t.notAccepted < len(voters.members) }()
	var grace <-chan time.Time
	for t.awaitResponse(ctx, responses, grace) {
		states := append(append([]register(nil), t.granted...), t.rejected...)
		if value, ok := decidedBy(len(voters.members), states); ok {
			return o.recordDecision(t, ballot{}, value, responses)
		}
		if grace == nil && len(states) >= voters.majority() && len(t.rejected) > 0 {
			timer := time.NewTimer(fastRoundGrace)
			defer timer.Stop()
			grace = timer.C
		}
	}
	if t.ended != 0 {
		return t.ended
	}
	return retryResult
}

// ordinaryRound runs the prepare and accept phases with a new ballot.
func (o *operation) ordinaryRound(ctx context.Context, voters voterSet) attemptResult {
	b := o.p.nextBallot(o.nextRound)
	o.nextRound++
	value, rule, ended := o.prepare(ctx, voters, b)
	switch {
	case ended != 0:
		return ended
	case rule == oneValue && o.withholds(ctx, value):
		return withheldResult
	case rule == oneValue:
		return o.accept(ctx, voters, b, value)
	case rule == anyValue && o.hasValue:
		return o.accept(ctx, voters, b, o.value)
	case rule == anyValue:
		return nothingDecidedResult
	default:
		return retryResult
	}
}

// prepare collects promises until a majority of them determines what may be proposed. While that is
// ambiguous, it waits for the remaining replicas.
func (o *operation) prepare(ctx context.Context, voters voterSet, b ballot) ([]byte, valueRule, attemptResult) {
	t := o.newTally(voters)
	responses := broadcast(ctx, o.p, voters, func(ctx context.Context, c agreementpb.DRPCReplicaServer) (*agreementpb.RegisterReply, error) {
		return c.Prepare(ctx, &agreementpb.PrepareRequest{Header: o.p.header(voters), Key: o.key, Ballot: b.message()})
	})
	for t.awaitResponse(ctx, responses, nil) && !t.majorityImpossible() {
		if len(t.granted) < voters.majority() {
			continue
		}
		if value, rule := selectValue(len(voters.members), t.granted); rule != ambiguous {
			return value, rule, 0
		}
	}
	switch {
	case t.ended != 0:
		return nil, 0, t.ended
	case len(t.granted) == len(voters.members):
		return nil, 0, ambiguousResult
	default:
		return nil, 0, retryResult
	}
}

// accept asks all replicas to vote for the value in the ballot.
func (o *operation) accept(ctx context.Context, voters voterSet, b ballot, value []byte) attemptResult {
	t := o.newTally(voters)
	t.proposedValue = value
	responses := o.sendAccept(ctx, voters, b, value)
	if o.hasValue && bytes.Equal(value, o.value) {
		defer func() { o.mayBeAccepted = o.mayBeAccepted || t.notAccepted < len(voters.members) }()
	}
	for t.awaitResponse(ctx, responses, nil) && !t.majorityImpossible() {
		if len(t.granted) >= voters.majority() {
			return o.recordDecision(t, b, value, responses)
		}
	}
	if t.ended != 0 {
		return t.ended
	}
	return retryResult
}

func (o *operation) sendAccept(ctx context.Context, voters voterSet, b ballot, value []byte) <-chan response[*agreementpb.RegisterReply] {
	compressed := compress(value)
	return broadcast(ctx, o.p, voters, func(ctx context.Context, c agreementpb.DRPCReplicaServer) (*agreementpb.RegisterReply, error) {
		return c.Accept(ctx, &agreementpb.AcceptRequest{
			Header: o.p.header(voters), Key: o.key, Ballot: b.message(), Value: value, CompressedValue: compressed,
		})
	})
}

// recordDecision stores and announces the decision of the tally for a value that the members voted for in the ballot.
func (o *operation) recordDecision(t *tally, b ballot, value []byte, responses <-chan response[*agreementpb.RegisterReply]) attemptResult {
	o.decided = value
	d := decisionNotice{tally: t, key: o.key, value: value, ballot: b}
	if bytes.Equal(value, t.proposedValue) {
		d.acceptedBy = t.grantedBy
	}
	d.announce(responses)
	return decidedResult
}
