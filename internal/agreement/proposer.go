package agreement

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	// defaultDeadline bounds operations whose context has no deadline.
	defaultDeadline = 5 * time.Second
	// callTimeout bounds one call to one replica.
	callTimeout = time.Second
	// callsPerMember bounds the calls in flight to one replica, so that a silent one does not
	// collect goroutines and connections. Further calls count as not sent.
	callsPerMember = 512
	// fastGrace is how long a split fast round waits for the replicas that have not answered.
	fastGrace = 20 * time.Millisecond
	// Bounds of the random wait between two attempts.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// ProposerConfig configures a proposer.
type ProposerConfig struct {
	// ID names the process in ballots; the proposer makes its ballots unique by itself.
	ID string
	// FirstGroup lists replicas from which the proposer learns the present group.
	FirstGroup []Member
	Client     Client
	// KnownGroup returns the newest group that the replica of this process knows; nil means that it has none.
	KnownGroup func() *agreementpb.Group
	// Logger may be nil.
	Logger *log.Logger
}

// proposer implements Proposer over a Client.
type proposer struct {
	cfg        ProposerConfig
	name       string
	logger     *log.Logger
	operations atomic.Uint64
	announcer  announcer

	mu       sync.Mutex
	epoch    uint64
	members  []Member
	inFlight map[string]int
	seen     map[string]*agreementpb.Sequence
}

// NewProposer returns a proposer. It learns the group with its first call and follows changes of
// the group by itself.
func NewProposer(cfg ProposerConfig) Proposer {
	return newProposer(cfg)
}

func newProposer(cfg ProposerConfig) *proposer {
	if cfg.Logger == nil {
		cfg.Logger = logging.Discard()
	}
	p := &proposer{
		cfg:      cfg,
		name:     cfg.ID + "#" + uuid.NewString()[:8],
		logger:   cfg.Logger.WithPrefix(logPrefix),
		members:  cfg.FirstGroup,
		inFlight: map[string]int{},
		seen:     map[string]*agreementpb.Sequence{},
	}
	p.announcer.proposer = p
	return p
}

// quorum is the group in which one attempt counts its replies.
type quorum struct {
	epoch   uint64
	members []Member
}

func (q quorum) majority() int {
	return majority(len(q.members))
}

func (p *proposer) quorum() quorum {
	if p.cfg.KnownGroup != nil {
		g := p.cfg.KnownGroup()
		p.learnGroup(g.GetEpoch(), g.GetMembers())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return quorum{epoch: p.epoch, members: p.members}
}

// learnGroup moves to a newer group.
func (p *proposer) learnGroup(epoch uint64, members []*agreementpb.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if epoch <= p.epoch || len(members) == 0 {
		return
	}
	p.epoch = epoch
	p.members = make([]Member, 0, len(members))
	for _, m := range members {
		p.members = append(p.members, Member{ID: m.GetId(), Address: m.GetAddress()})
	}
	p.logger.Debug("the proposer follows a new control group", "epoch", epoch, "members", len(members))
}

// hear takes what every reply tells of the group and of the replica's journal.
func (p *proposer) hear(h *agreementpb.ReplyHeader) {
	if g := h.GetGroup(); g != nil {
		p.learnGroup(g.GetEpoch(), g.GetMembers())
	}
	s := h.GetSequence()
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.seen[s.GetId()]; known.GetDiskId() != s.GetDiskId() || known.GetSequence() < s.GetSequence() {
		p.seen[s.GetId()] = s
	}
}

func (p *proposer) header(q quorum) *agreementpb.Header {
	return &agreementpb.Header{Epoch: q.epoch, From: p.cfg.ID}
}

func (p *proposer) nextBallot(round uint64) ballot {
	operation := strconv.FormatUint(p.operations.Add(1), 36)
	return ballot{round: round, proposer: p.name + "." + operation}
}

// enter reserves a call to the member.
func (p *proposer) enter(m Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[m.Address] >= callsPerMember {
		return false
	}
	p.inFlight[m.Address]++
	return true
}

func (p *proposer) leave(m Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[m.Address]--
}

// answer is the result of one call.
type answer[T any] struct {
	member Member
	reply  T
	err    error
}

type headed interface {
	GetHeader() *agreementpb.ReplyHeader
}

// broadcast calls all members at once. The channel has room for every answer, so a caller may stop
// to read at any time; the calls go on for at most callTimeout.
func broadcast[T headed](ctx context.Context, p *proposer, q quorum, call func(context.Context, agreementpb.DRPCReplicaServer) (T, error)) <-chan answer[T] {
	answers := make(chan answer[T], len(q.members))
	// A call outlives the operation that has its majority, so that its connection can be reused.
	base := context.WithoutCancel(ctx)
	for _, m := range q.members {
		if !p.enter(m) {
			answers <- answer[T]{member: m, err: errors.Wrap(ErrNotSent, "too many calls wait for the replica")}
			continue
		}
		go func() {
			defer p.leave(m)
			callCtx, cancel := context.WithTimeout(base, callTimeout)
			defer cancel()
			reply, err := call(callCtx, p.cfg.Client.Replica(m))
			if err == nil {
				p.hear(reply.GetHeader())
			}
			answers <- answer[T]{member: m, reply: reply, err: err}
		}()
	}
	return answers
}

// Propose implements Proposer.
func (p *proposer) Propose(ctx context.Context, prefix string, index uint64, value []byte) ([]byte, error) {
	return p.propose(ctx, prefix, index, value, false)
}

// ProposeFast implements Proposer.
func (p *proposer) ProposeFast(ctx context.Context, prefix string, index uint64, value []byte) ([]byte, error) {
	return p.propose(ctx, prefix, index, value, true)
}

func (p *proposer) propose(ctx context.Context, prefix string, index uint64, value []byte, fast bool) ([]byte, error) {
	if _, _, err := parseKey(registerKey(prefix, index)); err != nil {
		return nil, err
	}
	if len(value) > MaxValueBytes {
		return nil, errors.Errorf("value of %d bytes exceeds %d; store a smaller value", len(value), MaxValueBytes)
	}
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	// The caller may reuse its slice while calls are still under way.
	o := p.newOperation(registerKey(prefix, index), bytes.Clone(value))
	o.fast = fast
	return o.run(ctx)
}

func withDefaultDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultDeadline)
}

// backoff is a random wait that doubles up to maxBackoff.
type backoff struct {
	limit time.Duration
}

// wait reports false if the context ended.
func (b *backoff) wait(ctx context.Context) bool {
	b.limit = min(max(2*b.limit, minBackoff), maxBackoff)
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(b.limit))) + minBackoff/2)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
