package soak

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

// outcomeChecker records the outcomes that callers received and compares them with the logs of the stand-ins.
// It is safe for concurrent use.
type outcomeChecker struct {
	mu sync.Mutex
	// notRun holds the refusal kinds of requests whose callers received the outcome not-run, by request id.
	notRun map[string]problem.Kind
	// keyed holds the first response under each key of non-idempotent work; nil until there is one.
	keyed map[string]*keyedResponse
	// reuseRefusals counts the refusals of other bodies, replays the responses after the first one of a key.
	reuseRefusals int
	replays       int
}

type keyedResponse struct {
	status int
	body   string
	id     string
}

func newOutcomeChecker() *outcomeChecker {
	return &outcomeChecker{notRun: map[string]problem.Kind{}, keyed: map[string]*keyedResponse{}}
}

// checkIdempotent records and checks the outcome of an idempotent request.
func (c *outcomeChecker) checkIdempotent(o load.Outcome) *finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recordLocked(o)
}

func (c *outcomeChecker) recordLocked(o load.Outcome) *finding {
	if o.Violation != "" {
		return newFinding(CheckResponse, "%s: request %s (status %d, instance %s): %q", o.Violation, o.ID, o.Status, o.Instance, o.Body)
	}
	if o.Err == nil && o.Kind != "" && o.Refusal == problem.NotRun {
		c.notRun[o.ID] = o.Kind
	}
	return nil
}

// registerKey registers a key before its first request is sent.
func (c *outcomeChecker) registerKey(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyed[key] = nil
}

// checkKeyed records and checks the outcome of a keyed request that has the original body of its key.
func (c *outcomeChecker) checkKeyed(o load.Outcome, body string) *finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.recordLocked(o); f != nil {
		return f
	}
	if o.Err != nil {
		return nil
	}
	if o.Kind == problem.KeyReuse {
		return newFinding(CheckKeyReuse, "request %s with the key %s and its own body is refused as key-reuse", o.ID, o.Key)
	}
	if o.Kind != "" {
		return nil
	}
	if want := bodyDigest(body); o.Status < 500 && !strings.Contains(o.Body, want) {
		return newFinding(CheckResponse, "the answer to request %s with key %s is %q, not of the sent body (%s)", o.ID, o.Key, o.Body, want)
	}
	first := c.keyed[o.Key]
	if first == nil {
		c.keyed[o.Key] = &keyedResponse{status: o.Status, body: o.Body, id: o.ID}
		return nil
	}
	c.replays++
	if first.status != o.Status || first.body != o.Body {
		return newFinding(CheckReplay, "key %s: request %s was answered %d %q, request %s %d %q", o.Key, first.id, first.status, first.body, o.ID, o.Status, o.Body)
	}
	return nil
}

// bodyDigest returns the text by which a stand-in's response describes the body of the request.
func bodyDigest(body string) string {
	return fmt.Sprintf(" body=%d:%x\n", len(body), sha256.Sum256([]byte(body)))
}

// hasResponse reports whether any request with the key received a response.
func (c *outcomeChecker) hasResponse(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keyed[key] != nil
}

// kindsBeforeRecordRead lists refusals that can be sent before the record of the key has been read.
var kindsBeforeRecordRead = []problem.Kind{
	problem.RecordsUnavailable, problem.Starting, problem.ShuttingDown, problem.QueueFull, problem.Quota,
	problem.NoCapacity, problem.DeadlineUnmeetable, problem.DeadlinePassed,
}

// checkKeyReuse records and checks the outcome of a request that reuses a key, which has a response, with a
// different body.
func (c *outcomeChecker) checkKeyReuse(o load.Outcome) *finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.recordLocked(o); f != nil {
		return f
	}
	switch {
	case o.Err != nil:
		return nil
	case o.Kind == problem.KeyReuse && o.Refusal == problem.NotRun:
		c.reuseRefusals++
		return nil
	case slices.Contains(kindsBeforeRecordRead, o.Kind) && o.Refusal == problem.NotRun:
		return nil
	}
	return newFinding(CheckKeyReuse, "request %s uses the answered key %s with another body and got status %d, kind %q, outcome %q: %q", o.ID, o.Key, o.Status, o.Kind, o.Refusal, o.Body)
}

// auditLogs compares the outcomes that callers received with the logs of all stand-ins.
func (c *outcomeChecker) auditLogs(logs map[string]standin.Ledger) *finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := map[string][]string{}
	for instance, l := range logs {
		if l.Overflowed {
			return newFinding(CheckEvidence, "the log of stand-in %s is full; run a shorter soak", instance)
		}
		for key, run := range l.Keys {
			if _, known := c.keyed[key]; known && run.Started > 0 {
				runs[key] = append(runs[key], fmt.Sprintf("%s×%d", instance, run.Started))
			}
			if _, known := c.keyed[key]; known && run.Started > 1 {
				return newFinding(CheckAtMostOnce, "the work of key %s started %d times at %s", key, run.Started, instance)
			}
		}
		for id, run := range l.Requests {
			if kind, refused := c.notRun[id]; refused && run.Started > 0 {
				return newFinding(CheckNotRun, "request %s was refused as %s with the outcome not-run, and ran at %s", id, kind, instance)
			}
		}
	}
	for key, where := range runs {
		if len(where) > 1 {
			slices.Sort(where)
			return newFinding(CheckAtMostOnce, "the work of key %s started at %s", key, strings.Join(where, " and "))
		}
	}
	return nil
}

// sampleKeys returns at most n keys that have a response, in sorted order.
func (c *outcomeChecker) sampleKeys(n int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var keys []string
	for key, first := range c.keyed {
		if first != nil {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if len(keys) <= n {
		return keys
	}
	step := len(keys) / n
	var sample []string
	for i := 0; i < n; i++ {
		sample = append(sample, keys[i*step])
	}
	return sample
}
