package durable

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	heartbeatInterval = 50 * time.Millisecond
	// electionTimeout is the minimum time without a message from the leader after which a follower starts an
	// election; it is also the duration of the leader's lease. A random part of electionSpread is added.
	electionTimeout = 300 * time.Millisecond
	electionSpread  = 150 * time.Millisecond
	baselineTick    = 10 * time.Millisecond
	// replicationTimeout bounds each call to another member.
	replicationTimeout = 500 * time.Millisecond
	voteKey            = "vote/1"
	heartbeatKey       = "heartbeat/1"
	entryKey           = "log/1"
	refusalNotLeader   = "not-leader"
)

// baselineNode is one process of the leader-based baseline. It reuses the messages of the registers: Prepare
// carries votes and heartbeats, Accept an entry from the leader, Decide an entry from a client.
type baselineNode struct {
	agreementpb.DRPCReplicaUnimplementedServer
	id      string
	members []agreement.Member
	client  agreement.Client
	journal *storage.Log

	mu           sync.Mutex
	term         uint64
	leader       string
	lastHeard    time.Time
	electionWait time.Duration
	lastIndex    uint64
	// confirmed is when the leader sent the last heartbeat that a majority acknowledged.
	confirmed     time.Time
	lastHeartbeat time.Time
	campaigning   bool
}

func newBaselineNode(id string, members []agreement.Member, client agreement.Client, fs storage.FS, folder string) (*baselineNode, error) {
	journal, err := storage.Open(storage.Config{FS: fs, Folder: folder}, func([]byte, bool) error { return nil })
	if err != nil {
		return nil, err
	}
	return &baselineNode{id: id, members: members, client: client, journal: journal, lastHeard: time.Now(), electionWait: randomElectionTimeout()}, nil
}

func randomElectionTimeout() time.Duration {
	return electionTimeout + rand.N(electionSpread)
}

func (n *baselineNode) isLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader == n.id
}

func (n *baselineNode) run(ctx context.Context) error {
	ticker := time.NewTicker(baselineTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return n.journal.Close()
		case now := <-ticker.C:
			n.tick(ctx, now)
		}
	}
}

func (n *baselineNode) tick(ctx context.Context, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.leader == n.id && now.Sub(n.confirmed) > electionTimeout:
		n.leader, n.lastHeard, n.electionWait = "", now, randomElectionTimeout()
	case n.leader == n.id && now.Sub(n.lastHeartbeat) >= heartbeatInterval:
		n.lastHeartbeat = now
		go n.sendHeartbeat(ctx, n.term, now)
	case n.leader != n.id && now.Sub(n.lastHeard) > n.electionWait && !n.campaigning:
		n.campaigning = true
		n.term++
		n.leader = ""
		n.lastHeard, n.electionWait = now, randomElectionTimeout()
		go n.campaign(ctx, n.term, n.lastIndex, now)
	}
}

// callMembers sends the call to all other members and runs the local work concurrently. It returns once the
// needed number has succeeded or all have ended, and reports whether enough succeeded.
func (n *baselineNode) callMembers(ctx context.Context, needed int, call func(context.Context, agreementpb.DRPCReplicaServer) (*agreementpb.RegisterReply, error), local ...func() bool) bool {
	results := make(chan bool, len(n.members)+len(local))
	pending := 0
	begin := func(work func() bool) {
		pending++
		go func() { results <- work() }()
	}
	for _, work := range local {
		begin(work)
	}
	for _, m := range n.members {
		if m.ID == n.id {
			continue
		}
		begin(func() bool {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicationTimeout)
			defer cancel()
			out, err := call(ctx, n.client.Replica(m))
			return err == nil && out.GetOk()
		})
	}
	for ; pending > 0 && needed > 0; pending-- {
		if <-results {
			needed--
		}
	}
	return needed == 0
}

func (n *baselineNode) neededFromOthers() int {
	return len(n.members) / 2
}

func (n *baselineNode) sendPrepare(ctx context.Context, key string, term, last uint64) bool {
	return n.callMembers(ctx, n.neededFromOthers(), func(ctx context.Context, c agreementpb.DRPCReplicaServer) (*agreementpb.RegisterReply, error) {
		return c.Prepare(ctx, &agreementpb.PrepareRequest{
			Header: &agreementpb.Header{Epoch: last, From: n.id}, Key: key,
			Ballot: &agreementpb.Ballot{Round: term, Proposer: n.id},
		})
	})
}

func (n *baselineNode) sendHeartbeat(ctx context.Context, term uint64, sent time.Time) {
	if !n.sendPrepare(ctx, heartbeatKey, term, 0) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term == term && n.leader == n.id && sent.After(n.confirmed) {
		n.confirmed = sent
	}
}

func (n *baselineNode) campaign(ctx context.Context, term, last uint64, sent time.Time) {
	won := n.store([]byte("term")) == nil && n.sendPrepare(ctx, voteKey, term, last)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.campaigning = false
	if won && n.term == term {
		n.leader, n.confirmed, n.lastHeartbeat = n.id, sent, time.Time{}
	}
}

func (n *baselineNode) store(entry []byte) error {
	sequence, err := n.journal.Append(entry)
	if err != nil {
		return err
	}
	return n.journal.Sync(sequence)
}

// Prepare handles votes and heartbeats.
func (n *baselineNode) Prepare(_ context.Context, in *agreementpb.PrepareRequest) (*agreementpb.RegisterReply, error) {
	if in.GetKey() == heartbeatKey {
		return &agreementpb.RegisterReply{Ok: n.acceptLeader(in.GetBallot())}, nil
	}
	if !n.grantVote(in.GetBallot(), in.GetHeader().GetEpoch()) {
		return &agreementpb.RegisterReply{}, nil
	}
	return &agreementpb.RegisterReply{Ok: n.store([]byte("vote")) == nil}, nil
}

// grantVote reports whether the candidate gets the vote: its term must be higher, the lease of the current
// leader must have expired, and its last entry must not be older than this node's.
func (n *baselineNode) grantVote(b *agreementpb.Ballot, last uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	leased := n.leader == n.id || (n.leader != "" && time.Since(n.lastHeard) < electionTimeout)
	if leased || b.GetRound() <= n.term {
		return false
	}
	// A refused candidate still raises the term, so that this node's own candidacy is not refused for a lower
	// term.
	n.term, n.leader = b.GetRound(), ""
	if last < n.lastIndex {
		return false
	}
	n.lastHeard = time.Now()
	return true
}

func (n *baselineNode) acceptLeader(b *agreementpb.Ballot) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if b.GetRound() < n.term {
		return false
	}
	n.term, n.leader, n.lastHeard = b.GetRound(), b.GetProposer(), time.Now()
	return true
}

// Accept stores an entry of the leader.
func (n *baselineNode) Accept(_ context.Context, in *agreementpb.AcceptRequest) (*agreementpb.RegisterReply, error) {
	if !n.acceptLeader(in.GetBallot()) {
		return &agreementpb.RegisterReply{}, nil
	}
	if n.store(in.GetValue()) != nil {
		return &agreementpb.RegisterReply{}, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastIndex = max(n.lastIndex, in.GetHeader().GetEpoch())
	return &agreementpb.RegisterReply{Ok: true}, nil
}

// Decide accepts an entry from a client and replies when a majority has stored it.
func (n *baselineNode) Decide(ctx context.Context, in *agreementpb.DecideRequest) (*agreementpb.DecideReply, error) {
	n.mu.Lock()
	if n.leader != n.id {
		hint := n.leader
		n.mu.Unlock()
		return &agreementpb.DecideReply{Header: &agreementpb.ReplyHeader{
			Refusal: refusalNotLeader, Sequence: &agreementpb.Sequence{Id: hint},
		}}, nil
	}
	n.lastIndex++
	index, term := n.lastIndex, n.term
	n.mu.Unlock()
	value := in.GetRegisters()[0].GetValue()
	if !n.replicate(ctx, index, term, value) {
		return nil, errors.New("entry not stored by a majority; retry")
	}
	return &agreementpb.DecideReply{Header: &agreementpb.ReplyHeader{}}, nil
}

// replicate reports whether a majority has stored the entry. The majority may exclude the leader.
func (n *baselineNode) replicate(ctx context.Context, index, term uint64, value []byte) bool {
	send := func(ctx context.Context, c agreementpb.DRPCReplicaServer) (*agreementpb.RegisterReply, error) {
		return c.Accept(ctx, &agreementpb.AcceptRequest{
			Header: &agreementpb.Header{Epoch: index, From: n.id}, Key: entryKey, Value: value,
			Ballot: &agreementpb.Ballot{Round: term, Proposer: n.id},
		})
	}
	return n.callMembers(ctx, n.neededFromOthers()+1, send, func() bool { return n.store(value) == nil })
}
