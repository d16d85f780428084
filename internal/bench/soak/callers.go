package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
)

const (
	keyedCallerCount = 6
	keyedDeadline    = 2 * time.Second
	// meanKeyedPause is the mean pause of a caller between two operations.
	meanKeyedPause = 100 * time.Millisecond
	// maxLostResponseWait bounds how long a caller waits before it abandons a response to simulate its loss.
	maxLostResponseWait = 60 * time.Millisecond
	maxResends          = 3
	// Shares of requests whose response is abandoned, of requests sent concurrently with the next one, and of
	// operations that end with a different body under the same key.
	lostResponseShare = 0.3
	concurrentShare   = 0.2
	alteredShare      = 0.3
)

// operation is one piece of non-idempotent work with its idempotency key.
type operation struct {
	key  string
	body string
	path string
	// sent counts the requests of the operation; it makes their ids unique.
	sent int
}

func (o *operation) request(body string) load.Request {
	o.sent++
	return load.Request{
		ID: fmt.Sprintf("%s-%d", o.key, o.sent), Key: o.key, Team: "team-1", Method: http.MethodPost, Path: o.path,
		Body: body, Deadline: keyedDeadline,
	}
}

// sendKeyedRequests runs callers that send keyed requests until the context ends. It returns when all
// requests have ended.
func (e *environment) sendKeyedRequests(ctx context.Context) {
	var running sync.WaitGroup
	for i := range keyedCallerCount {
		running.Go(func() {
			random := rand.New(rand.NewPCG(e.options.Seed, 100+uint64(i)))
			for n := 0; pause(ctx, time.Duration(2*random.Float64()*float64(meanKeyedPause))); n++ {
				e.runOperation(ctx, random, newOperation(fmt.Sprintf("%d-key-%d-%d", e.options.Seed, i, n)))
			}
		})
	}
	running.Wait()
}

// newOperation returns the operation with the key; equal keys have equal bodies and paths.
func newOperation(key string) *operation {
	return &operation{key: key, body: "body of " + key, path: keyedPath}
}

// keyedPath is the non-idempotent route of the scenario.
const keyedPath = "/cuefeed/sign-offs"

// runOperation sends the requests of one operation through random entry hosts. A random share of operations
// ends with a different body under the same key.
func (e *environment) runOperation(ctx context.Context, random *rand.Rand, o *operation) {
	e.outcomes.registerKey(o.key)
	var running sync.WaitGroup
	defer running.Wait()
	resends := random.IntN(maxResends + 1)
	for i := range resends + 1 {
		entry := e.entryAddress(random.IntN(nodeCount))
		r := o.request(o.body)
		wait := maxDeadline
		if random.Float64() < lostResponseShare {
			wait = time.Duration(random.Float64() * float64(maxLostResponseWait))
		}
		concurrent := random.Float64() < concurrentShare && i < resends
		send := func() { e.sendKeyed(ctx, entry, r, wait) }
		if concurrent {
			running.Go(send)
			continue
		}
		send()
	}
	if random.Float64() < alteredShare && e.outcomes.hasResponse(o.key) {
		e.sendAltered(ctx, e.entryAddress(random.IntN(nodeCount)), o)
	}
}

func (e *environment) sendKeyed(ctx context.Context, entry string, r load.Request, wait time.Duration) load.Outcome {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	outcome := load.Send(ctx, e.client, entry, r)
	e.recorder.reportFinding(e.outcomes.checkKeyed(outcome, r.Body))
	e.countOutcome(outcome)
	return outcome
}

func (e *environment) sendAltered(ctx context.Context, entry string, o *operation) load.Outcome {
	outcome := load.Send(ctx, e.client, entry, o.request("altered "+o.body))
	e.recorder.reportFinding(e.outcomes.checkKeyReuse(outcome))
	e.countOutcome(outcome)
	return outcome
}
