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

// keyModel is the expected state of one key.
type keyModel struct {
	// claim is the newest claim, made by the node with the index node; restarted is set once that node
	// has restarted since.
	claim     attempt.Claim
	node      int
	started   bool
	restarted bool
	// outcome is "done", "abandoned" or "unknown", or empty if the claim has not ended.
	outcome string
	team    string
	// stale holds the ended claims, which must never start again.
	stale []attempt.Claim
}

// machine performs one action at a time on two nodes and compares every result with the model.
type machine struct {
	*WithT
	cluster *cluster
	keys    map[string]*keyModel
}

func (m *machine) drawKey(t *rapid.T) (string, *keyModel) {
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	if m.keys[key] == nil {
		m.keys[key] = &keyModel{outcome: "abandoned"}
	}
	return key, m.keys[key]
}

// claim claims an operation at a random node.
func (m *machine) claim(t *rapid.T) {
	key, model := m.drawKey(t)
	node := rapid.IntRange(0, 1).Draw(t, "node")
	team := rapid.SampledFrom([]string{"t", "t", "u"}).Draw(t, "team")
	result, refusal := claim(m.cluster.node(node), operation(key, team), 45*time.Millisecond)
	switch {
	case model.team != "" && model.team != team:
		m.Expect(refusal).To(refuses(problem.KeyReuse, problem.NotRun))
	case model.outcome == "done":
		m.Expect(string(result.Replay.Body)).To(Equal(key))
	case model.outcome == "unknown", model.outcome == "" && model.restarted:
		m.Expect(refusal).To(refuses(problem.OutcomeUnknown, problem.Unknown))
	case model.outcome == "":
		m.Expect(refusal).To(refuses(problem.InProgress, problem.Unknown))
	default:
		m.Expect(refusal).To(BeNil())
		*model = keyModel{claim: result.Claim, node: node, team: team, stale: model.stale}
	}
}

// useClaim calls one method of the newest claim of a key, among those that the request path may call.
func (m *machine) useClaim(t *rapid.T) {
	key, model := m.drawKey(t)
	if model.claim == nil || model.restarted {
		return
	}
	switch how := rapid.SampledFrom([]string{"start", "rejected", "done", "abandoned", "unknown"}).Draw(t, "how"); how {
	case "start":
		m.Expect(model.claim.Start()).To(Equal(model.outcome == ""))
		model.started = model.started || model.outcome == ""
		return
	case "rejected":
		model.claim.Rejected()
		model.started = false
		return
	case "done":
		if !model.started {
			return
		}
		model.claim.Done(response(key))
		m.recordOutcome(model, how)
	case "abandoned":
		if model.started {
			return
		}
		model.claim.Abandon(background)
		m.recordOutcome(model, how)
	default:
		model.claim.Unknown()
		m.recordOutcome(model, how)
	}
}

// recordOutcome stores how a claim ended the first time; ending it again must change nothing.
func (m *machine) recordOutcome(model *keyModel, how string) {
	if model.outcome == "" {
		model.outcome = how
		model.stale = append(model.stale, model.claim)
	}
	m.Expect(m.cluster.node(model.node).Drain(background)).To(Succeed())
}

func (m *machine) restart(t *rapid.T) {
	node := rapid.IntRange(0, 1).Draw(t, "node")
	m.cluster.restart(node)
	for _, model := range m.keys {
		model.restarted = model.restarted || model.node == node && model.claim != nil
	}
}

func (m *machine) check(*rapid.T) {
	for key, model := range m.keys {
		for _, c := range model.stale {
			m.Expect(c.Start()).To(BeFalse(), "an ended claim of %s started", key)
		}
	}
}

// Guards against orders of claims, uses of claims and restarts in which two claims of one key are open at the
// same time, an ended claim starts, the first outcome of a claim is replaced or a replay differs from the
// response.
func TestRecordMachine(t *testing.T) {
	violations := invariant.Total()
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides the Deadline method of the test, which must not be called in a synctest bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			m := &machine{WithT: NewWithT(t), cluster: newCluster(2, 1, registerfake.Faults{}), keys: map[string]*keyModel{}}
			defer m.cluster.close()
			t.Repeat(map[string]func(*rapid.T){
				"claim":   m.claim,
				"finish":  m.useClaim,
				"again":   m.useClaim,
				"restart": m.restart,
				"":        m.check,
			})
		})
	})
	NewWithT(t).Expect(invariant.Total()).To(Equal(violations), fmt.Sprint(invariant.Counts()))
}
