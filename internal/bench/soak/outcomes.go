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

// promises remembers what callers were told and compares it with the logs of the stand-ins.
// It is safe for concurrent use.
type outcomeChecker struct {
	mu sync.Mutex
	// notRun holds the ids of requests whose callers heard not-run.
	notRun map[string]problem.Kind
	// keyed holds the keys of non-idempotent work with the first answer, or nil before it.
	keyed map[string]*keyedResponse
	// altered counts the refusals of other bodies, replays the answers after the first one.
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

// idempotent takes the outcome of an idempotent request.
func (p *outcomeChecker) checkIdempotent(o load.Outcome) *finding {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recordLocked(o)
}

func (p *outcomeChecker) recordLocked(o load.Outcome) *finding {
	if o.Violation != "" {
		return newFinding(CheckResponse, "%s: request %s (status %d, instance %s): %q", o.Violation, o.ID, o.Status, o.Instance, o.Body)
	}
	if o.Err == nil && o.Kind != "" && o.Refusal == problem.NotRun {
		p.notRun[o.ID] = o.Kind
	}
	return nil
}

// begin notes a key before its first request is sent.
func (p *outcomeChecker) registerKey(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keyed[key] = nil
}

// answered takes the outcome of a request with its key's own body.
func (p *outcomeChecker) checkKeyed(o load.Outcome, body string) *finding {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.recordLocked(o); f != nil {
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
	first := p.keyed[o.Key]
	if first == nil {
		p.keyed[o.Key] = &keyedResponse{status: o.Status, body: o.Body, id: o.ID}
		return nil
	}
	p.replays++
	if first.status != o.Status || first.body != o.Body {
		return newFinding(CheckReplay, "key %s: request %s was answered %d %q, request %s %d %q", o.Key, first.id, first.status, first.body, o.ID, o.Status, o.Body)
	}
	return nil
}

// bodyMark is what a stand-in says about the body of a request.
func bodyDigest(body string) string {
	return fmt.Sprintf(" body=%d:%x\n", len(body), sha256.Sum256([]byte(body)))
}

// hasAnswer tells whether some request with the key was answered.
func (p *outcomeChecker) hasResponse(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keyed[key] != nil
}

// beforeRecord are refusals that can come before the record of the key was read.
var kindsBeforeRecordRead = []problem.Kind{
	problem.RecordsUnavailable, problem.Starting, problem.ShuttingDown, problem.QueueFull, problem.Quota,
	problem.NoCapacity, problem.DeadlineUnmeetable, problem.DeadlinePassed,
}

// reused takes the outcome of a request with another body under a key that was answered.
func (p *outcomeChecker) checkKeyReuse(o load.Outcome) *finding {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.recordLocked(o); f != nil {
		return f
	}
	switch {
	case o.Err != nil:
		return nil
	case o.Kind == problem.KeyReuse && o.Refusal == problem.NotRun:
		p.reuseRefusals++
		return nil
	case slices.Contains(kindsBeforeRecordRead, o.Kind) && o.Refusal == problem.NotRun:
		return nil
	}
	return newFinding(CheckKeyReuse, "request %s uses the answered key %s with another body and got status %d, kind %q, outcome %q: %q", o.ID, o.Key, o.Status, o.Kind, o.Refusal, o.Body)
}

// audit compares what callers were told with the logs of all stand-ins.
func (p *outcomeChecker) auditLogs(logs map[string]standin.Ledger) *finding {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := map[string][]string{}
	for instance, l := range logs {
		if l.Overflowed {
			return newFinding(CheckEvidence, "the log of stand-in %s is full; run a shorter soak", instance)
		}
		for key, run := range l.Keys {
			if _, known := p.keyed[key]; known && run.Started > 0 {
				runs[key] = append(runs[key], fmt.Sprintf("%s×%d", instance, run.Started))
			}
			if _, known := p.keyed[key]; known && run.Started > 1 {
				return newFinding(CheckAtMostOnce, "the work of key %s started %d times at %s", key, run.Started, instance)
			}
		}
		for id, run := range l.Requests {
			if kind, told := p.notRun[id]; told && run.Started > 0 {
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

// sample returns at most n keys, ordered, that were answered.
func (p *outcomeChecker) sampleKeys(n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for key, a := range p.keyed {
		if a != nil {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if len(keys) <= n {
		return keys
	}
	step := len(keys) / n
	var chosen []string
	for i := 0; i < n; i++ {
		chosen = append(chosen, keys[i*step])
	}
	return chosen
}
