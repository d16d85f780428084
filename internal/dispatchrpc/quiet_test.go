package dispatchrpc

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// An idle stream that keeps its heartbeats costs a dispatcher of 48 nodes several times its budget;
// one that stays quiet with work in flight is late to notice a lost node.
func TestStreamIsQuietOnlyWithoutWork(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := newChannel(&Client{}, "s", func() {})
	_, stream := c.link(now)
	check := func(at time.Duration, quiet bool, interval time.Duration) {
		b, pause := c.flush(now.Add(at), stream)
		g.Expect(isQuiet(b)).To(Equal(quiet), "after %v", at)
		g.Expect(pause).To(Equal(interval), "after %v", at)
	}
	check(0, false, HeartbeatEvery)
	check(IdleAfter-time.Millisecond, false, HeartbeatEvery)
	check(IdleAfter, true, IdleHeartbeatEvery)
	k := &call{request: grant.Request{}, done: make(chan answer, 1)}
	c.ask(now, k)
	check(IdleAfter+time.Second, false, HeartbeatEvery)
	check(10*IdleAfter, false, HeartbeatEvery)
	c.finish(k, answer{})
	check(11*IdleAfter, true, IdleHeartbeatEvery)
}

// A quiet node that gets no answer gives up a stream that works, and one that gets none when it wakes
// up waits for a heartbeat of the quiet pace.
func TestQuietNodeIsAnswered(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	x := &session{wake: make(chan struct{}, 1)}
	busy := &dispatchpb.NodeBatch{Progress: &dispatchpb.Progress{}}
	x.hear(now, busy)
	g.Expect(x.wake).NotTo(Receive())
	x.hear(now, &dispatchpb.NodeBatch{})
	g.Expect(x.wake).To(Receive())
	x.hear(now, busy)
	g.Expect(x.wake).To(Receive())
	g.Expect(x.interval()).To(Equal(HeartbeatEvery))
}

// A stream that wakes up must not be given up for the silence before, and not be kept for longer
// than any other when the dispatcher does not answer.
func TestWokenStreamGivesTheDispatcherTimeToAnswer(t *testing.T) {
	g := NewWithT(t)
	heard := time.Now()
	p := pace{used: heard.Add(-IdleAfter)}
	p.next(heard, false)
	g.Expect(p.silent(heard.Add(IdleStreamTimeout), heard)).To(BeFalse())
	g.Expect(p.silent(heard.Add(IdleStreamTimeout+1), heard)).To(BeTrue())
	woke := heard.Add(900 * time.Millisecond)
	p.next(woke, true)
	g.Expect(p.silent(woke.Add(StreamTimeout), heard)).To(BeFalse())
	g.Expect(p.silent(woke.Add(StreamTimeout+1), heard)).To(BeTrue())
}

// A node that uses its own share before the dispatcher reserved it puts more work on a server than
// it has slots. The messages of the node are lost from the given time on.
func TestShareIsReservedBeforeANodeUsesIt(t *testing.T) {
	g := NewWithT(t)
	begin := time.Now()
	for lost := time.Duration(0); lost < 2*IdleAfter; lost += 70 * time.Millisecond {
		p := pace{used: begin}
		x := &session{wake: make(chan struct{}, 1), heard: begin}
		heard := begin
		due := begin
		for at := time.Duration(0); at < 4*IdleAfter; at += 10 * time.Millisecond {
			now := begin.Add(at)
			if !now.Before(due) {
				p.next(now, at > lost+100*time.Millisecond)
				due = now.Add(p.interval())
				if at < lost {
					batch := &dispatchpb.NodeBatch{}
					if !p.quiet {
						batch.Progress = &dispatchpb.Progress{}
					}
					x.hear(now, batch)
					heard, p.heardQuiet = now, p.quiet
				}
			}
			if p.alone(now, heard) {
				g.Expect(x.silent(now)).To(BeTrue(), "lost after %v, alone after %v", lost, at)
			}
		}
		g.Expect(p.alone(begin.Add(4*IdleAfter), heard)).To(BeTrue())
	}
}
