package records_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/registerfake"
)

// sending is one request of a caller; several may carry one key.
type sending struct {
	key, id string
}

// told is what the caller heard: an answer, or one of the outcomes of a refusal.
type told struct {
	answer  string
	outcome problem.Outcome
}

// operationModel is one operation: it has no answer at first, and the answer of its only run
// from then on.
var operationModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(sending).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		heard := out.(told).answer
		if state == "" {
			return heard == in.(sending).id, heard
		}
		return heard == state, state
	},
}

// world is a cluster under load. The answer of a run is the id of the sending that ran it.
type world struct {
	*cluster
	began time.Time

	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string][]string
	heard   map[sending]told
	history []porcupine.Operation
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) pause(most time.Duration) {
	time.Sleep(time.Duration(w.draw(int(most))))
}

// run does the work unless the node's process has ended.
func (w *world) run(i int, n *node, s sending) bool {
	if w.node(i) != n {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[s.key] = append(w.runs[s.key], s.id)
	return true
}

// handle serves one sending at a node as the request path does.
func (w *world) handle(i int, n *node, s sending) told {
	result, refusal := claim(n, operation(s.key, "t"), 3*time.Second)
	if refusal != nil {
		return told{outcome: refusal.Outcome}
	}
	if result.Replay != nil {
		return told{answer: string(result.Replay.Body)}
	}
	if w.draw(6) == 0 {
		// The process freezes after the claim.
		n.setSilent(true)
		w.pause(8 * time.Second)
		n.setSilent(false)
	}
	w.pause(200 * time.Millisecond)
	return w.work(i, n, s, result.Claim)
}

func (w *world) work(i int, n *node, s sending, c attempt.Claim) told {
	for w.draw(5) > 0 && c.Start() {
		if w.draw(5) == 0 {
			c.Rejected()
			continue
		}
		if !w.run(i, n, s) {
			return told{outcome: problem.Unknown}
		}
		w.pause(500 * time.Millisecond)
		if w.draw(8) == 0 {
			c.Unknown()
			return told{outcome: problem.Unknown}
		}
		c.Done(answer(s.id))
		return told{answer: s.id}
	}
	c.Abandon(background)
	// A part of the request path that was stuck meanwhile tries to go on.
	go func() {
		w.pause(5 * time.Second)
		if c.Start() {
			w.run(i, n, s)
		}
	}()
	return told{outcome: problem.NotRun}
}

// send makes one sending and records what the caller hears, if the node lives to tell it.
func (w *world) send(client int, s sending) told {
	i := w.draw(len(w.nodes))
	n := w.node(i)
	call := time.Since(w.began)
	t := w.handle(i, n, s)
	if w.node(i) != n || w.draw(8) == 0 {
		t = told{outcome: problem.Unknown}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard[s] = t
	w.history = append(w.history, porcupine.Operation{ClientId: client, Input: s, Output: t, Call: int64(call), Return: int64(time.Since(w.began))})
	return t
}

// settled gives every run without a heard answer its answer at an open end, and leaves out
// the sendings that neither ran nor were answered.
func (w *world) settled() (history []porcupine.Operation) {
	for _, op := range w.history {
		s := op.Input.(sending)
		if op.Output.(told).answer == "" {
			if runs := w.runs[s.key]; len(runs) == 0 || runs[0] != s.id {
				continue
			}
			op.Output, op.Return = told{answer: s.id}, int64(time.Hour)
		}
		history = append(history, op)
	}
	return history
}

func (w *world) load(kills bool) {
	done := make(chan struct{})
	go func() {
		for kills {
			select {
			case <-time.After(time.Duration(w.draw(int(3 * time.Second)))):
				w.restart(w.draw(len(w.nodes)))
			case <-done:
				return
			}
		}
	}()
	var callers sync.WaitGroup
	for client := range 6 {
		callers.Go(func() {
			for n := range 12 {
				// Two callers share each key, as a caller does that resends before it heard.
				w.send(client, sending{key: fmt.Sprintf("%d-%d", client/2, n/3), id: fmt.Sprintf("%d/%d", client, n)})
			}
		})
	}
	callers.Wait()
	time.Sleep(10 * time.Second)
	close(done)
}

// check compares what ran with what callers were told.
func (w *world) check(g *WithT, seed uint64, kills bool) {
	for key, runs := range w.runs {
		g.Expect(len(runs)).To(BeNumerically("<=", 1), "seed %d: key %s ran as %v", seed, key, runs)
	}
	for s, t := range w.heard {
		if t.outcome == problem.NotRun {
			g.Expect(w.runs[s.key]).NotTo(ContainElement(s.id), "seed %d: %v was told that it was not run", seed, s)
		}
	}
	if kills {
		return
	}
	// Without kills nothing is lost: what never ran can be claimed, and what ran stays settled.
	for s := range w.heard {
		result, refusal := claim(w.node(0), operation(s.key, "t"), 3*time.Second)
		switch {
		case len(w.runs[s.key]) == 0:
			g.Expect(refusal).To(BeNil(), "seed %d: %v", seed, s)
			g.Expect(result.Claim).NotTo(BeNil(), "seed %d: %v", seed, s)
			result.Claim.Abandon(background)
		case refusal != nil:
			g.Expect(refusal).To(refuses(problem.OutcomeUnknown, problem.Unknown), "seed %d: %v", seed, s)
		default:
			g.Expect(string(result.Replay.Body)).To(Equal(w.runs[s.key][0]), "seed %d: %v", seed, s)
		}
	}
}

// Whatever fails and when, an operation runs at most once, a sending that was told it was
// not run has not run and never does, and every replay equals the answer of the only run.
func TestClaimHistories(t *testing.T) {
	violations := invariant.Total()
	seeds := uint64(60)
	if testing.Short() {
		seeds = 12
	}
	answered := 0
	for seed := range seeds {
		w := &world{random: rand.New(rand.NewPCG(seed, 2)), runs: map[string][]string{}, heard: map[sending]told{}}
		kills := seed%2 == 0
		synctest.Test(t, func(t *testing.T) {
			w.began = time.Now()
			w.cluster = newCluster(4, seed, registerfake.Faults{NoQuorum: 0.05, ReplyLost: 0.05, Open: 0.1, ProposalLost: 0.05, ReadUndecided: 0.1, MaxDelay: 100 * time.Millisecond})
			defer w.close()
			w.load(kills)
			w.registers.SetFaults(registerfake.Faults{})
			time.Sleep(time.Minute)
			w.check(NewWithT(t), seed, kills)
		})
		result := porcupine.CheckOperationsTimeout(operationModel, w.settled(), 10*time.Second)
		NewWithT(t).Expect(result).To(Equal(porcupine.Ok), "seed %d", seed)
		answered += len(w.settled())
	}
	NewWithT(t).Expect(answered).To(BeNumerically(">", 10*int(seeds)), "the runs must have had answers to check")
	NewWithT(t).Expect(invariant.Total()).To(Equal(violations))
}
