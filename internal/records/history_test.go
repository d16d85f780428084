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

// request is one request of a caller; several requests may have the same key.
type request struct {
	key, id string
}

// callerResult is what the caller received: a response, or the outcome given in a refusal.
type callerResult struct {
	response string
	outcome  problem.Outcome
}

// operationModel models one operation: at first it has no response, and after its only run it keeps the
// response of that run.
var operationModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(request).key
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
		got := out.(callerResult).response
		if state == "" {
			return got == in.(request).id, got
		}
		return got == state, state
	},
}

// simulation is a cluster under load. The response of a run is the ID of the request that ran it.
type simulation struct {
	*cluster
	start time.Time

	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string][]string
	results map[request]callerResult
	history []porcupine.Operation
}

func (sim *simulation) randomInt(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(n)
}

func (sim *simulation) pause(limit time.Duration) {
	time.Sleep(time.Duration(sim.randomInt(int(limit))))
}

// runOperation runs the operation unless the node's process has ended.
func (sim *simulation) runOperation(i int, n *node, req request) bool {
	if sim.node(i) != n {
		return false
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.runs[req.key] = append(sim.runs[req.key], req.id)
	return true
}

// handle serves one request at a node as the request path does.
func (sim *simulation) handle(i int, n *node, req request) callerResult {
	result, refusal := claim(n, operation(req.key, "t"), 3*time.Second)
	if refusal != nil {
		return callerResult{outcome: refusal.Outcome}
	}
	if result.Replay != nil {
		return callerResult{response: string(result.Replay.Body)}
	}
	if sim.randomInt(6) == 0 {
		// The process freezes after the claim.
		n.setUnresponsive(true)
		sim.pause(8 * time.Second)
		n.setUnresponsive(false)
	}
	sim.pause(200 * time.Millisecond)
	return sim.useClaim(i, n, req, result.Claim)
}

func (sim *simulation) useClaim(i int, n *node, req request, c attempt.Claim) callerResult {
	for sim.randomInt(5) > 0 && c.Start() {
		if sim.randomInt(5) == 0 {
			c.Rejected()
			continue
		}
		if !sim.runOperation(i, n, req) {
			return callerResult{outcome: problem.Unknown}
		}
		sim.pause(500 * time.Millisecond)
		if sim.randomInt(8) == 0 {
			c.Unknown()
			return callerResult{outcome: problem.Unknown}
		}
		c.Done(response(req.id))
		return callerResult{response: req.id}
	}
	c.Abandon(background)
	// Part of the request path was delayed and now tries to start the operation.
	go func() {
		sim.pause(5 * time.Second)
		if c.Start() {
			sim.runOperation(i, n, req)
		}
	}()
	return callerResult{outcome: problem.NotRun}
}

// send sends one request and records what the caller receives. That is an unknown outcome if the node
// restarted in the meantime, or at random.
func (sim *simulation) send(client int, req request) callerResult {
	i := sim.randomInt(len(sim.nodes))
	n := sim.node(i)
	call := time.Since(sim.start)
	result := sim.handle(i, n, req)
	if sim.node(i) != n || sim.randomInt(8) == 0 {
		result = callerResult{outcome: problem.Unknown}
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.results[req] = result
	sim.history = append(sim.history, porcupine.Operation{ClientId: client, Input: req, Output: result, Call: int64(call), Return: int64(time.Since(sim.start))})
	return result
}

// completedHistory returns the history for the check. A request that ran but whose caller received no
// response gets its response with a return time of one hour, after everything else. Requests that
// neither ran nor got a response are left out.
func (sim *simulation) completedHistory() (history []porcupine.Operation) {
	for _, op := range sim.history {
		req := op.Input.(request)
		if op.Output.(callerResult).response == "" {
			if runs := sim.runs[req.key]; len(runs) == 0 || runs[0] != req.id {
				continue
			}
			op.Output, op.Return = callerResult{response: req.id}, int64(time.Hour)
		}
		history = append(history, op)
	}
	return history
}

func (sim *simulation) runLoad(withRestarts bool) {
	done := make(chan struct{})
	go func() {
		for withRestarts {
			select {
			case <-time.After(time.Duration(sim.randomInt(int(3 * time.Second)))):
				sim.restart(sim.randomInt(len(sim.nodes)))
			case <-done:
				return
			}
		}
	}()
	var callers sync.WaitGroup
	for client := range 6 {
		callers.Go(func() {
			for n := range 12 {
				// Two clients share each key, like a caller that resends a request before it has a response.
				sim.send(client, request{key: fmt.Sprintf("%d-%d", client/2, n/3), id: fmt.Sprintf("%d/%d", client, n)})
			}
		})
	}
	callers.Wait()
	time.Sleep(10 * time.Second)
	close(done)
}

// check compares the operations that ran with what the callers received.
func (sim *simulation) check(g *WithT, seed uint64, withRestarts bool) {
	for key, runs := range sim.runs {
		g.Expect(len(runs)).To(BeNumerically("<=", 1), "seed %d: key %s ran as %v", seed, key, runs)
	}
	for req, result := range sim.results {
		if result.outcome == problem.NotRun {
			g.Expect(sim.runs[req.key]).NotTo(ContainElement(req.id), "seed %d: %v ran although its caller received \"not run\"", seed, req)
		}
	}
	if withRestarts {
		return
	}
	// Without restarts nothing is lost: an operation that never ran can be claimed, and one that ran keeps
	// its outcome.
	for req := range sim.results {
		result, refusal := claim(sim.node(0), operation(req.key, "t"), 3*time.Second)
		switch {
		case len(sim.runs[req.key]) == 0:
			g.Expect(refusal).To(BeNil(), "seed %d: %v", seed, req)
			g.Expect(result.Claim).NotTo(BeNil(), "seed %d: %v", seed, req)
			result.Claim.Abandon(background)
		case refusal != nil:
			g.Expect(refusal).To(refuses(problem.OutcomeUnknown, problem.Unknown), "seed %d: %v", seed, req)
		default:
			g.Expect(string(result.Replay.Body)).To(Equal(sim.runs[req.key][0]), "seed %d: %v", seed, req)
		}
	}
}

// Guards against faults and restarts after which an operation runs twice, runs although its caller
// received the outcome "not run", or is replayed with another response than that of its only run.
func TestClaimHistories(t *testing.T) {
	violations := invariant.Total()
	seeds := uint64(60)
	if testing.Short() {
		seeds = 12
	}
	responses := 0
	for seed := range seeds {
		sim := &simulation{random: rand.New(rand.NewPCG(seed, 2)), runs: map[string][]string{}, results: map[request]callerResult{}}
		withRestarts := seed%2 == 0
		synctest.Test(t, func(t *testing.T) {
			sim.start = time.Now()
			sim.cluster = newCluster(4, seed, registerfake.Faults{NoQuorum: 0.05, ReplyLost: 0.05, Open: 0.1, ProposalLost: 0.05, ReadUndecided: 0.1, MaxDelay: 100 * time.Millisecond})
			defer sim.close()
			sim.runLoad(withRestarts)
			sim.registers.SetFaults(registerfake.Faults{})
			time.Sleep(time.Minute)
			sim.check(NewWithT(t), seed, withRestarts)
		})
		result := porcupine.CheckOperationsTimeout(operationModel, sim.completedHistory(), 10*time.Second)
		NewWithT(t).Expect(result).To(Equal(porcupine.Ok), "seed %d", seed)
		responses += len(sim.completedHistory())
	}
	NewWithT(t).Expect(responses).To(BeNumerically(">", 10*int(seeds)), "the runs must have produced responses to check")
	NewWithT(t).Expect(invariant.Total()).To(Equal(violations))
}
