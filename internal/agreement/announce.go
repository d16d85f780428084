package agreement

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	// announceDelay is how long decisions are batched, so that a busy proposer sends few messages.
	announceDelay = 2 * time.Millisecond
	// largeValueBytes is the size from which a value is compressed, and not sent again to members whose vote is
	// outstanding.
	largeValueBytes = 64 << 10
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

// announce queues a decided register for the members.
func (a *announcer) announce(epoch uint64, members []Member, r *agreementpb.Register) {
	if len(members) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queued == nil {
		a.queued = map[announceTarget][]*agreementpb.Register{}
	}
	for _, m := range members {
		target := announceTarget{m, epoch}
		a.queued[target] = append(a.queued[target], r)
	}
	if !a.running {
		a.running = true
		go a.sendQueued()
	}
}

// decisionNotice announces a decided value to the members.
type decisionNotice struct {
	tally  *tally
	key    string
	value  []byte
	ballot ballot
	// acceptedBy are the members known to have voted for the value in the ballot. They have it.
	acceptedBy []Member
}

// announce announces the decision to those whose vote is known; the others follow with their responses.
func (d decisionNotice) announce(responses <-chan response[*agreementpb.RegisterReply]) {
	d.announceWithoutValue(d.acceptedBy)
	var others, outstanding []Member
	for _, m := range d.tally.voters.members {
		switch {
		case slices.Contains(d.acceptedBy, m):
		case slices.Contains(d.tally.respondedBy, m) || len(d.value) < largeValueBytes:
			others = append(others, m)
		default:
			outstanding = append(outstanding, m)
		}
	}
	d.announceWithValue(others)
	if len(outstanding) > 0 {
		go d.announceToLate(len(outstanding), responses)
	}
}

// announceToLate announces the decision to the members whose vote was outstanding once they have responded or
// their call has ended. Most of them have accepted the value; to send it again would double the cost of a large one.
func (d decisionNotice) announceToLate(outstanding int, responses <-chan response[*agreementpb.RegisterReply]) {
	for range outstanding {
		resp := <-responses
		h := resp.reply.GetHeader()
		accepted := resp.err == nil && resp.reply.GetOk() && h.GetRefusal() == "" && h.GetEpoch() == d.tally.voters.epoch
		if accepted && bytes.Equal(d.value, d.tally.proposedValue) {
			d.announceWithoutValue([]Member{resp.member})
		} else {
			d.announceWithValue([]Member{resp.member})
		}
	}
}

func (d decisionNotice) announceWithoutValue(members []Member) {
	d.tally.o.p.announcer.announce(d.tally.voters.epoch, members, &agreementpb.Register{Key: d.key, Decided: true, Accepted: d.ballot.message()})
}

func (d decisionNotice) announceWithValue(members []Member) {
	d.tally.o.p.announcer.announce(d.tally.voters.epoch, members, &agreementpb.Register{Key: d.key, Decided: true, HasAccepted: true, Value: d.value})
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
