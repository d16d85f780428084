package agreement

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// result tells how an attempt ended.
type result uint8

const (
	// again means that another attempt may succeed.
	again result = iota + 1
	// decidedResult means that the register has a value.
	decidedResult
	// compactedResult means that the register was replaced by a snapshot.
	compactedResult
	// freeResult means that nothing was decided and the operation has no value of its own.
	freeResult
	// stuckResult means that all members answered and several values may still have been decided,
	// because a lost disk held the vote that would tell. Only the end of the retention clears that.
	stuckResult
)

// operation decides one register. It is used by one goroutine.
type operation struct {
	p   *proposer
	key string
	// value is the proposal; without hasValue the operation only completes what others began.
	value    []byte
	hasValue bool
	fast     bool
	// round is the next round to try, from 1.
	round uint64
	// exposed is set once a replica may have accepted the own value.
	exposed bool
	decided []byte
}

func (p *proposer) newOperation(key string, value []byte) *operation {
	return &operation{p: p, key: key, value: value, hasValue: true, round: 1}
}

// run tries until the register is decided or the context ends.
func (o *operation) run(ctx context.Context) ([]byte, error) {
	pause := backoff{}
	for {
		switch o.attempt(ctx) {
		case decidedResult:
			return o.decided, nil
		case compactedResult:
			return nil, errors.WithStack(ErrCompacted)
		case freeResult:
			return nil, errors.WithStack(errFree)
		case stuckResult:
			return nil, errors.WithStack(ErrUndecided)
		case again:
		}
		if ctx.Err() != nil || !pause.wait(ctx) {
			return nil, o.giveUp()
		}
	}
}

// errFree tells a completing operation that no value can have been decided.
var errFree = errors.New("no value can have been decided; propose one")

func (o *operation) giveUp() error {
	if o.exposed {
		return errors.WithStack(ErrUndecided)
	}
	return errors.WithStack(ErrNoQuorum)
}

// attempt runs one round. All its messages carry one epoch, and a change of the group begins a new
// attempt with a new ballot.
func (o *operation) attempt(ctx context.Context) result {
	q := o.p.quorum()
	if q.epoch == 0 {
		o.findGroup(ctx, q)
		if q = o.p.quorum(); q.epoch == 0 {
			return again
		}
	}
	if o.fast {
		r := o.fastRound(ctx, q)
		if o.p.quorum().epoch != q.epoch && r == again {
			return o.attemptAgain(ctx)
		}
		o.fast = false
		if r != again || ctx.Err() != nil {
			return r
		}
	}
	r := o.ordinaryRound(ctx, q)
	if r == again && o.p.quorum().epoch != q.epoch {
		return o.attemptAgain(ctx)
	}
	return r
}

// attemptAgain follows a change of the group without a pause.
func (o *operation) attemptAgain(ctx context.Context) result {
	if ctx.Err() != nil {
		return again
	}
	return o.attempt(ctx)
}

// findGroup asks the known replicas for the group.
func (o *operation) findGroup(ctx context.Context, q quorum) {
	answers := broadcast(ctx, o.p, q, func(ctx context.Context, c agreementpb.DRPCReplicaServer) (*agreementpb.PeerReply, error) {
		reply, err := c.Peer(ctx, &agreementpb.PeerRequest{Header: o.p.header(q)})
		if g := reply.GetGroup(); err == nil && g != nil {
			o.p.learnGroup(g.GetEpoch(), g.GetMembers())
		}
		return reply, err
	})
	for range q.members {
		select {
		case <-ctx.Done():
			return
		case <-answers:
			if o.p.quorum().epoch != 0 {
				return
			}
		}
	}
}

// tally collects the register replies of one phase.
type tally struct {
	o       *operation
	q       quorum
	waiting int
	// sent is the value of an accept, which replies to granted votes leave out.
	sent []byte
	// granted are the states of the replicas that did what was asked.
	granted []register
	// others are the states of the replicas that did not.
	others []register
	// voters are the members that granted.
	voters []Member
	// safe counts the members that certainly did not accept.
	safe  int
	ended result
}

func (o *operation) newTally(q quorum) *tally {
	return &tally{o: o, q: q, waiting: len(q.members)}
}

// add takes one answer. It sets ended if the answer ends the operation.
func (t *tally) add(a answer[*agreementpb.RegisterReply]) {
	t.waiting--
	if a.err != nil {
		if errors.Is(a.err, ErrNotSent) {
			t.safe++
		}
		return
	}
	h := a.reply.GetHeader()
	switch {
	case h.GetRefusal() == refusalCompacted && h.GetEpoch() == t.q.epoch:
		t.safe++
		t.ended = compactedResult
		return
	case h.GetRefusal() == refusalStopped:
		// A failed sync may have left the vote on the disk, so the member does not count as safe.
		return
	case h.GetRefusal() != "":
		t.safe++
		return
	case h.GetEpoch() != t.q.epoch:
		return
	}
	t.addState(a)
}

func (t *tally) addState(a answer[*agreementpb.RegisterReply]) {
	state := registerOf(0, a.reply.GetRegister())
	if state.decided {
		t.o.decided = state.value
		t.ended = decidedResult
		return
	}
	if a.reply.GetOk() {
		if t.sent != nil {
			state.value = t.sent
		}
		t.granted = append(t.granted, state)
		t.voters = append(t.voters, a.member)
		return
	}
	t.safe++
	t.others = append(t.others, state)
	t.o.round = max(t.o.round, state.promised.round+1)
}

// hopeless tells that the replies that may still come cannot make a majority.
func (t *tally) hopeless() bool {
	return len(t.granted)+t.waiting < t.q.majority()
}

// next reads one answer; it reports false when none is left or the time is over.
func (t *tally) next(ctx context.Context, answers <-chan answer[*agreementpb.RegisterReply], timeout <-chan time.Time) bool {
	if t.waiting == 0 || t.ended != 0 {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-timeout:
		return false
	case a := <-answers:
		t.add(a)
		return t.ended == 0
	}
}

// fastRound asks all replicas to vote in round 0 without a prepare.
func (o *operation) fastRound(ctx context.Context, q quorum) result {
	t := o.newTally(q)
	t.sent = o.value
	answers := o.sendAccept(ctx, q, ballot{}, o.value)
	defer func() { o.exposed = o.exposed || t.safe < len(q.members) }()
	var grace <-chan time.Time
	for t.next(ctx, answers, grace) {
		states := append(append([]register(nil), t.granted...), t.others...)
		if value, ok := decidedBy(len(q.members), states); ok {
			return o.finish(q, value, o.votersFor(t, value), ballot{})
		}
		if grace == nil && len(states) >= q.majority() && len(t.others) > 0 {
			timer := time.NewTimer(fastGrace)
			defer timer.Stop()
			grace = timer.C
		}
	}
	if t.ended != 0 {
		return t.ended
	}
	return again
}

// votersFor returns the members whose granted vote is for the value.
func (o *operation) votersFor(t *tally, value []byte) []Member {
	if bytes.Equal(value, o.value) {
		return t.voters
	}
	return nil
}

// ordinaryRound runs prepare and accept with a new ballot.
func (o *operation) ordinaryRound(ctx context.Context, q quorum) result {
	b := o.p.nextBallot(o.round)
	o.round++
	value, f, ended := o.prepare(ctx, q, b)
	switch {
	case ended != 0:
		return ended
	case f == bound:
		return o.accept(ctx, q, b, value)
	case f == free && o.hasValue:
		return o.accept(ctx, q, b, o.value)
	case f == free:
		return freeResult
	default:
		return again
	}
}

// prepare collects promises until a majority allows a choice. An ambiguous choice waits for the
// remaining replicas.
func (o *operation) prepare(ctx context.Context, q quorum, b ballot) ([]byte, freedom, result) {
	t := o.newTally(q)
	answers := broadcast(ctx, o.p, q, func(ctx context.Context, c agreementpb.DRPCReplicaServer) (*agreementpb.RegisterReply, error) {
		return c.Prepare(ctx, &agreementpb.PrepareRequest{Header: o.p.header(q), Key: o.key, Ballot: b.message()})
	})
	for t.next(ctx, answers, nil) && !t.hopeless() {
		if len(t.granted) < q.majority() {
			continue
		}
		if value, f := choose(len(q.members), t.granted); f != ambiguous {
			return value, f, 0
		}
	}
	switch {
	case t.ended != 0:
		return nil, 0, t.ended
	case len(t.granted) == len(q.members):
		return nil, 0, stuckResult
	default:
		return nil, 0, again
	}
}

// accept asks all replicas to vote for the value in the ballot.
func (o *operation) accept(ctx context.Context, q quorum, b ballot, value []byte) result {
	t := o.newTally(q)
	t.sent = value
	answers := o.sendAccept(ctx, q, b, value)
	if o.hasValue && bytes.Equal(value, o.value) {
		defer func() { o.exposed = o.exposed || t.safe < len(q.members) }()
	}
	for t.next(ctx, answers, nil) && !t.hopeless() {
		if len(t.granted) >= q.majority() {
			return o.finish(q, value, t.voters, b)
		}
	}
	if t.ended != 0 {
		return t.ended
	}
	return again
}

func (o *operation) sendAccept(ctx context.Context, q quorum, b ballot, value []byte) <-chan answer[*agreementpb.RegisterReply] {
	return broadcast(ctx, o.p, q, func(ctx context.Context, c agreementpb.DRPCReplicaServer) (*agreementpb.RegisterReply, error) {
		return c.Accept(ctx, &agreementpb.AcceptRequest{Header: o.p.header(q), Key: o.key, Ballot: b.message(), Value: value})
	})
}

// finish announces the decision. The voters have accepted it in the ballot and need no value.
func (o *operation) finish(q quorum, value []byte, voters []Member, b ballot) result {
	o.decided = value
	o.p.announcer.announce(q, o.key, value, voters, b)
	return decidedResult
}
