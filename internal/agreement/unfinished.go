package agreement

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// completeChangeAfter is how long a change of the group may stay undecided before a member that has voted for it
// completes it.
const completeChangeAfter = time.Second

// errChangeWithheld means that an earlier change of the group may have been decided, and that the group could not work
// with it now.
var errChangeWithheld = errors.New("an earlier change of the group is not decided, and a majority of its members does not answer; bring them back")

// completeUnfinishedChange completes a change of the group that this replica has voted for and that nobody has decided.
// Otherwise the next change has to complete it, at a time when the members that it adds may have lost their disks.
func (r *Replica) completeUnfinishedChange(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.store.group
	state := r.store.get(groupPrefix, current.GetEpoch()+1)
	if r.state != Voting || !state.hasAccepted || state.decided {
		r.unfinishedSince = time.Time{}
		return
	}
	if r.unfinishedSince.IsZero() {
		r.unfinishedSince = r.now()
	}
	if r.now().Sub(r.unfinishedSince) < completeChangeAfter {
		return
	}
	r.unfinishedSince = r.now()
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, defaultDeadline)
		defer cancel()
		o := &operation{p: r.groupProposer(current), key: registerKey(groupPrefix, state.index), nextRound: 1}
		decided, err := o.run(ctx)
		if err != nil {
			r.logger.Debug("an unfinished change of the group was not completed", "epoch", state.index, "err", logging.Err(err))
			return
		}
		r.storeGroupDecision(state.index, decided)
	})
}

// groupProposer returns a proposer for the group that follows the given one.
func (r *Replica) groupProposer(current *agreementpb.Group) *proposer {
	p := newProposer(ProposerConfig{ID: r.cfg.ID, FirstGroup: r.cfg.FirstGroup, Client: r.client, Logger: r.cfg.Logger})
	p.updateGroup(current.GetEpoch(), current.GetMembers())
	p.mayComplete = r.mayCompleteChange
	return p
}

func (r *Replica) storeGroupDecision(epoch uint64, decided []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeDecision(groupPrefix, r.store.get(groupPrefix, epoch), decided)
}

// mayCompleteChange reports whether the group could work after the change: a majority of its members answers with the
// disk that it lists, and a majority of the present group votes, from which those that are new can copy the state.
func (r *Replica) mayCompleteChange(ctx context.Context, value []byte) bool {
	next := &agreementpb.Group{}
	if err := proto.Unmarshal(value, next); err != nil {
		return false
	}
	r.mu.Lock()
	votes := r.countVoting("") >= majority(len(r.store.group.GetMembers()))
	request := r.peerRequest()
	r.mu.Unlock()
	return votes && r.majorityAnswers(ctx, next.GetMembers(), request)
}

func (r *Replica) majorityAnswers(ctx context.Context, members []*agreementpb.Member, request *agreementpb.PeerRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answers := make(chan bool, len(members))
	for _, m := range members {
		go func() {
			out, err := r.client.Replica(Member{ID: m.GetId(), Address: m.GetAddress()}).Peer(ctx, request)
			answers <- err == nil && out.GetSelf().GetDiskId() == m.GetDiskId() && out.GetState() != string(Stopped)
		}()
	}
	present := 0
	for range members {
		if <-answers {
			present++
		}
		if present >= majority(len(members)) {
			return true
		}
	}
	return false
}

// withholds reports whether the operation must not propose another proposer's value.
func (o *operation) withholds(ctx context.Context, value []byte) bool {
	if o.p.mayComplete == nil || o.hasValue && bytes.Equal(value, o.value) {
		return false
	}
	return !o.p.mayComplete(ctx, value)
}
