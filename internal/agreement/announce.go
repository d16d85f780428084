package agreement

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	// announceDelay is how long decisions are batched, so that a busy proposer sends few messages.
	announceDelay = 2 * time.Millisecond
	// maxAnnouncementBytes bounds one announcement.
	maxAnnouncementBytes = 4 << 20
)

// announcer sends decisions to the members of the group in the background.
type announcer struct {
	proposer *proposer

	mu      sync.Mutex
	queued  map[announceTarget][]*agreementpb.Register
	running bool
}

type announceTarget struct {
	member Member
	epoch  uint64
}

// announce queues the decision for every member. The members in acceptedBy get it without the value, which
// they stored when they voted for it in the ballot.
func (a *announcer) announce(voters voterSet, key string, value []byte, acceptedBy []Member, b ballot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queued == nil {
		a.queued = map[announceTarget][]*agreementpb.Register{}
	}
	for _, m := range voters.members {
		r := &agreementpb.Register{Key: key, Decided: true, HasAccepted: true, Value: value}
		for _, acceptor := range acceptedBy {
			if acceptor == m {
				r = &agreementpb.Register{Key: key, Decided: true, Accepted: b.message()}
			}
		}
		target := announceTarget{m, voters.epoch}
		a.queued[target] = append(a.queued[target], r)
	}
	if !a.running {
		a.running = true
		go a.sendQueued()
	}
}

// sendQueued sends the queued decisions and returns when the queue is empty.
func (a *announcer) sendQueued() {
	for {
		time.Sleep(announceDelay)
		a.mu.Lock()
		batch := a.queued
		a.queued = nil
		if len(batch) == 0 {
			a.running = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		for target, registers := range batch {
			if a.proposer.reserveCall(target.member) {
				go a.send(target, registers)
			}
		}
	}
}

func (a *announcer) send(target announceTarget, registers []*agreementpb.Register) {
	defer a.proposer.releaseCall(target.member)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := a.proposer.cfg.Client.Replica(target.member)
	for len(registers) > 0 {
		n, size := 0, 0
		for n < len(registers) && (n == 0 || size+len(registers[n].GetValue()) < maxAnnouncementBytes) {
			size += len(registers[n].GetValue())
			n++
		}
		reply, err := client.Decide(ctx, &agreementpb.DecideRequest{Header: a.header(target), Registers: registers[:n]})
		if err != nil {
			// A replica that misses the decision receives it with the next Read of a proposer.
			return
		}
		a.proposer.recordReplyHeader(reply.GetHeader())
		registers = registers[n:]
	}
}

// header forwards the journal sequences that the proposer has received, so that replicas that cannot reach
// each other still detect an old copy of a folder.
func (a *announcer) header(target announceTarget) *agreementpb.Header {
	p := a.proposer
	p.mu.Lock()
	defer p.mu.Unlock()
	h := &agreementpb.Header{Epoch: target.epoch, From: p.cfg.ID}
	for id, s := range p.seenSequences {
		if id != target.member.ID && s.GetSequence() > 0 {
			h.Seen = append(h.Seen, s)
		}
	}
	return h
}
