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
	// maxCallsPerMember bounds the calls in flight to one replica, so that an unresponsive one does not
	// accumulate goroutines and connections. Further calls count as not sent.
	maxCallsPerMember = 512
	// fastRoundGrace is how long a split fast round waits for the replicas that have not responded.
	fastRoundGrace = 20 * time.Millisecond
	// Bounds of the random backoff between two attempts.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// ProposerConfig configures a proposer.
type ProposerConfig struct {
	// ID identifies the process in ballots. The proposer appends random characters and a counter to it, so
	// that its ballots are unique even if several proposers have the same ID.
	ID string
	// FirstGroup lists the replicas that the proposer asks for the current group.
	FirstGroup []Member
	Client     Client
	// KnownGroup returns the newest group that the replica of this process knows. It is nil in a process
	// without a replica.
	KnownGroup func() *agreementpb.Group
	// Stored returns what the replica of this process holds, so that a Read needs no decided values from the others.
	// It is nil in a process without a replica.
	Stored Stored
	// Logger may be nil.
	Logger *log.Logger
}

// Stored is the state of a replica that a proposer may use, since it is final. It is safe for concurrent use.
type Stored interface {
	// DecidedValue returns the value of a decided register; ok is false if it is not held.
	DecidedValue(prefix string, index uint64) (value []byte, ok bool)
	// ChainSnapshot returns the snapshot that replaces the registers of a chain below the floor. The floor is 0 if there
	// is none.
	ChainSnapshot(prefix string) (floor uint64, snapshot []byte)
}

// proposer implements Proposer over a Client.
type proposer struct {
	cfg        ProposerConfig
	name       string
	logger     *log.Logger
	operations atomic.Uint64
	announcer  announcer
	// mayComplete reports whether a value of another proposer may be proposed; nil means always.
	mayComplete func(ctx context.Context, value []byte) bool

	mu            sync.Mutex
	epoch         uint64
	members       []Member
	inFlight      map[string]int
	seenSequences map[string]*agreementpb.Sequence
}

// NewProposer returns a proposer. It asks for the group on its first call and then follows every change
// of the group.
func NewProposer(cfg ProposerConfig) Proposer {
	return newProposer(cfg)
}

func newProposer(cfg ProposerConfig) *proposer {
	if cfg.Logger == nil {
		cfg.Logger = logging.Discard()
	}
	p := &proposer{
		cfg:           cfg,
		name:          cfg.ID + "#" + uuid.NewString()[:8],
		logger:        cfg.Logger.WithPrefix(logPrefix),
		members:       cfg.FirstGroup,
		inFlight:      map[string]int{},
		seenSequences: map[string]*agreementpb.Sequence{},
	}
	p.announcer.proposer = p
	return p
}

// voterSet is the group of one epoch, among whose members an attempt counts a majority.
type voterSet struct {
	epoch   uint64
	members []Member
}

func (voters voterSet) majority() int {
	return majority(len(voters.members))
}

func (p *proposer) voterSet() voterSet {
	if p.cfg.KnownGroup != nil {
		g := p.cfg.KnownGroup()
		p.updateGroup(g.GetEpoch(), g.GetMembers())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return voterSet{epoch: p.epoch, members: p.members}
}

// updateGroup switches to the given group if its epoch is newer.
func (p *proposer) updateGroup(epoch uint64, members []*agreementpb.Member) {
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
	p.logger.Debug("the proposer switched to a new control group", "epoch", epoch, "members", len(members))
}

// recordReplyHeader records the group and the journal sequence that a reply header carries.
func (p *proposer) recordReplyHeader(h *agreementpb.ReplyHeader) {
	if g := h.GetGroup(); g != nil {
		p.updateGroup(g.GetEpoch(), g.GetMembers())
	}
	s := h.GetSequence()
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.seenSequences[s.GetId()]; known.GetDiskId() != s.GetDiskId() || known.GetSequence() < s.GetSequence() {
		p.seenSequences[s.GetId()] = s
	}
}

func (p *proposer) header(voters voterSet) *agreementpb.Header {
	return &agreementpb.Header{Epoch: voters.epoch, From: p.cfg.ID}
}

func (p *proposer) nextBallot(round uint64) ballot {
	operation := strconv.FormatUint(p.operations.Add(1), 36)
	return ballot{round: round, proposer: p.name + "." + operation}
}

// reserveCall counts a call to the member as in flight. It returns false if maxCallsPerMember calls already
// are.
func (p *proposer) reserveCall(m Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[m.Address] >= maxCallsPerMember {
		return false
	}
	p.inFlight[m.Address]++
	return true
}

func (p *proposer) releaseCall(m Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[m.Address]--
}

// response is the result of one call.
type response[T any] struct {
	member Member
	reply  T
	err    error
}

type replyWithHeader interface {
	GetHeader() *agreementpb.ReplyHeader
}

// broadcast calls all members concurrently. The channel has room for every response, so the caller may
// stop receiving at any time; the calls continue for at most callTimeout.
func broadcast[T replyWithHeader](ctx context.Context, p *proposer, voters voterSet, call func(context.Context, agreementpb.DRPCReplicaServer) (T, error)) <-chan response[T] {
	responses := make(chan response[T], len(voters.members))
	// An operation ends once a majority has responded. The other calls continue, since cancelling one would
	// prevent its connection from being reused.
	base := context.WithoutCancel(ctx)
	for _, m := range voters.members {
		if !p.reserveCall(m) {
			responses <- response[T]{member: m, err: errors.Wrap(ErrNotSent, "too many calls to the replica are in flight")}
			continue
		}
		go func() {
			defer p.releaseCall(m)
			callCtx, cancel := context.WithTimeout(base, callTimeout)
			defer cancel()
			reply, err := call(callCtx, p.cfg.Client.Replica(m))
			if err == nil {
				p.recordReplyHeader(reply.GetHeader())
			}
			responses <- response[T]{member: m, reply: reply, err: err}
		}()
	}
	return responses
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
	// The caller may reuse its slice while calls are still in flight.
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

// backoff is a random wait whose bound doubles up to maxBackoff.
type backoff struct {
	limit time.Duration
}

// wait sleeps for the next backoff. It reports false if the context ended first.
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
