package records_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/records"
	"github.com/tarragonmux/tarragonmux/internal/registerfake"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
	"github.com/tarragonmux/tarragonmux/proto/recordspb"
)

var background = context.Background()

// node is one process with a claimer. A silent node answers no queries.
type node struct {
	*records.Claimer
	proposer *registerfake.Proposer

	mu     sync.Mutex
	silent bool
}

func (n *node) setSilent(silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = silent
}

func (n *node) isSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent
}

// cluster is a few nodes that ask each other directly.
type cluster struct {
	registers *registerfake.Registers

	mu          sync.Mutex
	nodes       []*node
	incarnation uint64
	// lag delays every query.
	lag time.Duration
}

func newCluster(nodes int, seed uint64, faults registerfake.Faults) *cluster {
	c := &cluster{registers: registerfake.New(seed, faults), nodes: make([]*node, nodes)}
	for i := range nodes {
		c.restart(i)
	}
	return c
}

// restart replaces a node by one of a higher incarnation.
func (c *cluster) restart(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[i] != nil {
		c.nodes[i].Close()
	}
	c.incarnation++
	proposer := c.registers.Proposer()
	c.nodes[i] = &node{proposer: proposer, Claimer: records.New(records.Options{
		Node: fmt.Sprint("n", i), Incarnation: c.incarnation, Address: fmt.Sprint(i),
		Proposer: proposer, Peers: c, Logger: logging.Discard(),
	})}
}

func (c *cluster) node(i int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[i]
}

func (c *cluster) close() {
	for i := range c.nodes {
		c.node(i).Close()
	}
}

// Attempt asks the node with the index in the address.
func (c *cluster) Attempt(ctx context.Context, address string, r *fleetpb.AttemptRequest) (*fleetpb.AttemptReply, error) {
	var i int
	if _, err := fmt.Sscan(address, &i); err != nil {
		return nil, err
	}
	time.Sleep(c.lag)
	n := c.node(i)
	if n.isSilent() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.Attempts().Attempt(ctx, r)
}

func operation(key, team string) attempt.Operation {
	return attempt.Operation{Service: "booking", Route: "deposit", Key: key, Team: team, Fingerprint: sha256.Sum256([]byte(key))}
}

// claim claims with a time limit.
func claim(n *node, op attempt.Operation, limit time.Duration) (attempt.Result, *problem.Problem) {
	ctx, cancel := context.WithTimeout(background, limit)
	defer cancel()
	result, err := n.Claim(ctx, op)
	var refusal *problem.Problem
	errors.As(err, &refusal)
	return result, refusal
}

func answer(body string) attempt.Answer {
	return attempt.Answer{Status: 201, Header: http.Header{"Location": {"/" + body}}, Body: []byte(body)}
}

func refuses(kind problem.Kind, outcome problem.Outcome) OmegaMatcher {
	return And(HaveField("Kind", kind), HaveField("Outcome", outcome))
}

// inBubble runs a scenario on virtual time with two nodes and without violated invariants.
func inBubble(t *testing.T, faults registerfake.Faults, scenario func(g *WithT, c *cluster)) {
	violations := invariant.Total()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 1, faults)
		defer c.close()
		scenario(NewWithT(t), c)
	})
	NewWithT(t).Expect(invariant.Total()).To(Equal(violations))
}

// A resend during the work must wait for it and get the same answer, not run it again.
func TestResendWaitsForRunningWork(t *testing.T) {
	inBubble(t, registerfake.Faults{MaxDelay: time.Millisecond}, func(g *WithT, c *cluster) {
		first, refusal := claim(c.node(0), operation("k", "t"), time.Second)
		g.Expect(refusal).To(BeNil())
		g.Expect(first.Claim.Start()).To(BeTrue())
		go func() {
			time.Sleep(4 * time.Second)
			first.Claim.Done(answer("a"))
		}()
		_, refusal = claim(c.node(1), operation("k", "t"), time.Second)
		g.Expect(refusal).To(refuses(problem.InProgress, problem.Unknown))
		_, refusal = claim(c.node(1), operation("k", "other"), time.Second)
		g.Expect(refusal).To(refuses(problem.KeyReuse, problem.NotRun))
		for i := range 2 {
			again, refusal := claim(c.node(i), operation("k", "t"), 10*time.Second)
			g.Expect(refusal).To(BeNil())
			g.Expect(*again.Replay).To(Equal(answer("a")))
		}
		g.Expect(c.node(0).Drain(background)).To(Succeed())
		g.Expect(c.node(0).Attempts().Remembered()).To(BeZero(), "recorded attempts are forgotten")
		c.restart(0)
		again, _ := claim(c.node(1), operation("k", "t"), time.Second)
		g.Expect(*again.Replay).To(Equal(answer("a")), "the record outlives the node")
	})
}

// A node that freezes after its claim must neither lose the claim to a resend, since it may
// wake and run it, nor run it after the node itself confirmed that it was abandoned.
func TestFrozenNode(t *testing.T) {
	inBubble(t, registerfake.Faults{}, func(g *WithT, c *cluster) {
		frozen, _ := claim(c.node(0), operation("k", "t"), time.Second)
		c.node(0).setSilent(true)
		began := time.Now()
		_, refusal := claim(c.node(1), operation("k", "t"), 10*time.Second)
		g.Expect(refusal).To(refuses(problem.OutcomeUnknown, problem.Unknown))
		g.Expect(time.Since(began)).To(BeNumerically("<", 4*time.Second))
		c.node(0).setSilent(false)
		g.Expect(frozen.Claim.Start()).To(BeTrue())
		frozen.Claim.Rejected()

		c.node(0).proposer.SetDisconnected(true)
		frozen.Claim.Abandon(background)
		taken, refusal := claim(c.node(1), operation("k", "t"), time.Second)
		g.Expect(refusal).To(BeNil())
		g.Expect(taken.Claim.Start()).To(BeTrue())
		g.Expect(frozen.Claim.Start()).To(BeFalse(), "another node was told that it never starts")
		frozen.Claim.Done(answer("late"))
		taken.Claim.Done(answer("b"))
		c.node(0).proposer.SetDisconnected(false)
		time.Sleep(time.Minute)
		again, _ := claim(c.node(0), operation("k", "t"), time.Second)
		g.Expect(*again.Replay).To(Equal(answer("b")))
	})
}

// A node forgets an attempt once it is recorded, perhaps between the reading of the record
// and the query of a resend, which must not be told that the outcome is unknown.
func TestResendDuringRecording(t *testing.T) {
	inBubble(t, registerfake.Faults{}, func(g *WithT, c *cluster) {
		c.lag = 300 * time.Millisecond
		first, _ := claim(c.node(0), operation("k", "t"), time.Second)
		g.Expect(first.Claim.Start()).To(BeTrue())
		go func() {
			time.Sleep(100 * time.Millisecond)
			first.Claim.Done(answer("a"))
		}()
		again, refusal := claim(c.node(1), operation("k", "t"), 10*time.Second)
		g.Expect(refusal).To(BeNil())
		g.Expect(*again.Replay).To(Equal(answer("a")))
	})
}

// A restarted node cannot tell whether its former incarnation ran the work.
func TestRestartedNode(t *testing.T) {
	inBubble(t, registerfake.Faults{}, func(g *WithT, c *cluster) {
		_, _ = claim(c.node(0), operation("k", "t"), time.Second)
		c.restart(0)
		for i := range 2 {
			_, refusal := claim(c.node(i), operation("k", "t"), time.Second)
			g.Expect(refusal).To(refuses(problem.OutcomeUnknown, problem.Unknown))
		}
	})
}

// A claim whose vote is left open must not start, and must not block the key for a day.
func TestOpenClaimIsCleared(t *testing.T) {
	inBubble(t, registerfake.Faults{}, func(g *WithT, c *cluster) {
		c.registers.SetFaults(registerfake.Faults{Open: 1})
		_, refusal := claim(c.node(0), operation("k", "t"), time.Second)
		g.Expect(refusal).To(Or(BeNil(), refuses(problem.OutcomeUnknown, problem.Unknown)))
		c.registers.SetFaults(registerfake.Faults{NoQuorum: 1})
		_, refusal = claim(c.node(0), operation("k2", "t"), time.Second)
		g.Expect(refusal).To(refuses(problem.RecordsUnavailable, problem.NotRun))
		g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		c.registers.SetFaults(registerfake.Faults{})
		taken, refusal := claim(c.node(1), operation("k2", "t"), time.Second)
		g.Expect(refusal).To(BeNil())
		g.Expect(taken.Claim.Start()).To(BeTrue())
	})
}

// While a node cannot record outcomes it must answer for them, with bounded memory.
func TestOutcomesWaitForTheRecords(t *testing.T) {
	inBubble(t, registerfake.Faults{}, func(g *WithT, c *cluster) {
		const many = 300
		body := make([]byte, records.MaxBodyBytes)
		var claims []attempt.Claim
		for i := range many {
			r, _ := claim(c.node(0), operation(fmt.Sprint(i), "t"), time.Second)
			r.Claim.Start()
			claims = append(claims, r.Claim)
		}
		c.node(0).proposer.SetDisconnected(true)
		for _, cl := range claims {
			cl.Done(attempt.Answer{Status: 200, Body: body})
		}
		whole := 0
		for i := range many {
			r, refusal := claim(c.node(1), operation(fmt.Sprint(i), "t"), time.Second)
			g.Expect(refusal).To(BeNil())
			if !r.Replay.TooLarge {
				whole += len(r.Replay.Body)
			}
		}
		g.Expect(whole).To(And(BeNumerically(">", 8<<20), BeNumerically("<=", 16<<20)))
		time.Sleep(time.Minute)
		c.node(0).proposer.SetDisconnected(false)
		g.Expect(c.node(0).Drain(background)).To(Succeed())
		g.Expect(c.node(0).Attempts().Remembered()).To(BeZero())
		c.restart(0)
		r, _ := claim(c.node(1), operation("0", "t"), time.Second)
		g.Expect(r.Replay.Body).To(HaveLen(len(body)))
	})
}

// An answer that is not replayed whole must say so.
func TestTooLargeAnswers(t *testing.T) {
	inBubble(t, registerfake.Faults{}, func(g *WithT, c *cluster) {
		r, _ := claim(c.node(0), operation("k", "t"), time.Second)
		r.Claim.Start()
		r.Claim.Done(attempt.Answer{Status: 200, Body: make([]byte, records.MaxBodyBytes+1)})
		again, _ := claim(c.node(1), operation("k", "t"), time.Second)
		g.Expect(again.Replay.TooLarge).To(BeTrue())
		g.Expect(again.Replay.Status).To(Equal(200))
		g.Expect(again.Replay.Body).To(BeEmpty())
	})
}

// A record dropped early could run twice; one never dropped would fill the disks.
func TestRetention(t *testing.T) {
	g := NewWithT(t)
	made := time.Now()
	value, err := proto.Marshal(&recordspb.Transition{TimeMs: made.UnixMilli(), Kind: &recordspb.Transition_Unknown{Unknown: &recordspb.Unknown{}}})
	g.Expect(err).NotTo(HaveOccurred())
	r := records.Retention{Period: 24 * time.Hour}
	key := records.Prefix + "00/2"
	g.Expect(r.Retain(key, value, true, made.Add(25*time.Hour-time.Second))).To(BeTrue())
	g.Expect(r.Retain(key, value, true, made.Add(25*time.Hour+time.Second))).To(BeFalse())
	g.Expect(r.Retain("config/1", value, true, made.Add(100*time.Hour))).To(BeTrue())
	g.Expect(r.Retain(key, []byte{0xff}, true, made.Add(100*time.Hour))).To(BeTrue())
}
