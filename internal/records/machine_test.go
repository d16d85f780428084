package records_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/registerfake"
)

// held is what the model knows of one key.
type held struct {
	// claim is the newest claim, by the node with the index; lost once that node restarted.
	claim   attempt.Claim
	node    int
	started bool
	lost    bool
	// ended tells how the claim ended: empty, "done", "abandoned" or "unknown".
	ended string
	team  string
	// stale are ended claims, which must never start again.
	stale []attempt.Claim
}

// machine drives two nodes one action at a time and predicts every answer.
type machine struct {
	*WithT
	cluster *cluster
	keys    map[string]*held
}

func (m *machine) pick(t *rapid.T) (string, *held) {
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	if m.keys[key] == nil {
		m.keys[key] = &held{ended: "abandoned"}
	}
	return key, m.keys[key]
}

// claim sends the operation to a node.
func (m *machine) claim(t *rapid.T) {
	key, h := m.pick(t)
	node := rapid.IntRange(0, 1).Draw(t, "node")
	team := rapid.SampledFrom([]string{"t", "t", "u"}).Draw(t, "team")
	result, refusal := claim(m.cluster.node(node), operation(key, team), 45*time.Millisecond)
	switch {
	case h.team != "" && h.team != team:
		m.Expect(refusal).To(refuses(problem.KeyReuse, problem.NotRun))
	case h.ended == "done":
		m.Expect(string(result.Replay.Body)).To(Equal(key))
	case h.ended == "unknown", h.ended == "" && h.lost:
		m.Expect(refusal).To(refuses(problem.OutcomeUnknown, problem.Unknown))
	case h.ended == "":
		m.Expect(refusal).To(refuses(problem.InProgress, problem.Unknown))
	default:
		m.Expect(refusal).To(BeNil())
		*h = held{claim: result.Claim, node: node, team: team, stale: h.stale}
	}
}

// finish uses the newest claim of a key as the request path may.
func (m *machine) finish(t *rapid.T) {
	key, h := m.pick(t)
	if h.claim == nil || h.lost {
		return
	}
	switch how := rapid.SampledFrom([]string{"start", "rejected", "done", "abandoned", "unknown"}).Draw(t, "how"); how {
	case "start":
		m.Expect(h.claim.Start()).To(Equal(h.ended == ""))
		h.started = h.started || h.ended == ""
		return
	case "rejected":
		h.claim.Rejected()
		h.started = false
		return
	case "done":
		if !h.started {
			return
		}
		h.claim.Done(answer(key))
		m.end(h, how)
	case "abandoned":
		if h.started {
			return
		}
		h.claim.Abandon(background)
		m.end(h, how)
	default:
		h.claim.Unknown()
		m.end(h, how)
	}
}

// end notes the first end of a claim; later ones must change nothing.
func (m *machine) end(h *held, how string) {
	if h.ended == "" {
		h.ended = how
		h.stale = append(h.stale, h.claim)
	}
	m.Expect(m.cluster.node(h.node).Drain(background)).To(Succeed())
}

func (m *machine) restart(t *rapid.T) {
	node := rapid.IntRange(0, 1).Draw(t, "node")
	m.cluster.restart(node)
	for _, h := range m.keys {
		h.lost = h.lost || h.node == node && h.claim != nil
	}
}

func (m *machine) check(*rapid.T) {
	for key, h := range m.keys {
		for _, c := range h.stale {
			m.Expect(c.Start()).To(BeFalse(), "an ended claim of %s started", key)
		}
	}
}

// Any order of claims, uses of claims and restarts must give the answers of the model: one
// claim at a time, no start after the end, the first end stands, and replays are equal.
func TestRecordMachine(t *testing.T) {
	violations := invariant.Total()
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides the deadline of the test, which must not be asked for in a bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			m := &machine{WithT: NewWithT(t), cluster: newCluster(2, 1, registerfake.Faults{}), keys: map[string]*held{}}
			defer m.cluster.close()
			t.Repeat(map[string]func(*rapid.T){
				"claim":   m.claim,
				"finish":  m.finish,
				"again":   m.finish,
				"restart": m.restart,
				"":        m.check,
			})
		})
	})
	NewWithT(t).Expect(invariant.Total()).To(Equal(violations), fmt.Sprint(invariant.Counts()))
}
