package agreement

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	// announceDelay is how long decisions are collected, so that a busy proposer sends few messages.
	announceDelay = 2 * time.Millisecond
	// announceBytes bounds one announcement.
	announceBytes = 4 << 20
)

// announcer sends decisions to the members of the group without waiting for replies.
type announcer struct {
	proposer *proposer

	mu      sync.Mutex
	waiting map[announceTo][]*agreementpb.Register
	running bool
}

type announceTo struct {
	member Member
	epoch  uint64
}

// announce queues the decision for every member. Voters get it without the value, as they hold it
// since their vote in the ballot.
func (a *announcer) announce(q quorum, key string, value []byte, voters []Member, b ballot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting == nil {
		a.waiting = map[announceTo][]*agreementpb.Register{}
	}
	for _, m := range q.members {
		r := &agreementpb.Register{Key: key, Decided: true, HasAccepted: true, Value: value}
		for _, voter := range voters {
			if voter == m {
				r = &agreementpb.Register{Key: key, Decided: true, Accepted: b.message()}
			}
		}
		to := announceTo{m, q.epoch}
		a.waiting[to] = append(a.waiting[to], r)
	}
	if !a.running {
		a.running = true
		go a.run()
	}
}

// run sends what waits and ends when nothing does.
func (a *announcer) run() {
	for {
		time.Sleep(announceDelay)
		a.mu.Lock()
		batch := a.waiting
		a.waiting = nil
		if len(batch) == 0 {
			a.running = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		for to, registers := range batch {
			if a.proposer.enter(to.member) {
				go a.send(to, registers)
			}
		}
	}
}

func (a *announcer) send(to announceTo, registers []*agreementpb.Register) {
	defer a.proposer.leave(to.member)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := a.proposer.cfg.Client.Replica(to.member)
	for len(registers) > 0 {
		n, size := 0, 0
		for n < len(registers) && (n == 0 || size+len(registers[n].GetValue()) < announceBytes) {
			size += len(registers[n].GetValue())
			n++
		}
		reply, err := client.Decide(ctx, &agreementpb.DecideRequest{Header: a.header(to), Registers: registers[:n]})
		if err != nil {
			// A replica that misses the decision learns it from the next read.
			return
		}
		a.proposer.hear(reply.GetHeader())
		registers = registers[n:]
	}
}

// header passes on the sequences that the proposer has heard, so that replicas which do not reach
// each other still notice an old copy of a folder.
func (a *announcer) header(to announceTo) *agreementpb.Header {
	p := a.proposer
	p.mu.Lock()
	defer p.mu.Unlock()
	h := &agreementpb.Header{Epoch: to.epoch, From: p.cfg.ID}
	for id, s := range p.seen {
		if id != to.member.ID && s.GetSequence() > 0 {
			h.Seen = append(h.Seen, s)
		}
	}
	return h
}
