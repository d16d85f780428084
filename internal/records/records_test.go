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

// node is one process with a claimer. An unresponsive node does not reply to queries.
type node struct {
	*records.Claimer
	proposer *registerfake.Proposer

	mu           sync.Mutex
	unresponsive bool
}

func (n *node) setUnresponsive(unresponsive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unresponsive = unresponsive
}

func (n *node) isUnresponsive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unresponsive
}

// cluster is a group of nodes that query each other by direct calls.
type cluster struct {
	registers *registerfake.Registers

	mu          sync.Mutex
	nodes       []*node
	incarnation uint64
	// queryDelay delays every query.
	queryDelay time.Duration
}

func newCluster(nodes int, seed uint64, faults registerfake.Faults) *cluster {
	c := &cluster{registers: registerfake.New(seed, faults), nodes: make([]*node, nodes)}
	for i := range nodes {
		c.restart(i)
	}
	return c
}

// restart replaces a node by one with a higher incarnation.
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
		Proposer: proposer, PeerClient: c, Logger: logging.Discard(),
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

// Attempt queries the node whose index is the address.
func (c *cluster) Attempt(ctx context.Context, address string, r *fleetpb.AttemptRequest) (*fleetpb.AttemptReply, error) {
	var i int
	if _, err := fmt.Sscan(address, &i); err != nil {
		return nil, err
	}
	time.Sleep(c.queryDelay)
	n := c.node(i)
	if n.isUnresponsive() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.Attempts().Attempt(ctx, r)
}

func operation(key, team string) attempt.Operation {
	return attempt.Operation{Service: "booking", Route: "deposit", Key: key, Team: team, Fingerprint: sha256.Sum256([]byte(key))}
}

// claim claims the operation with a time limit.
func claim(n *node, op attempt.Operation, limit time.Duration) (attempt.Result, *problem.Problem) {
	ctx, cancel := context.WithTimeout(background, limit)
	defer cancel()
	result, err := n.Claim(ctx, op)
	var refusal *problem.Problem
	errors.As(err, &refusal)
	return result, refusal
}

func response(body string) attempt.Answer {
	return attempt.Answer{Status: 201, Header: http.Header{"Location": {"/" + body}}, Body: []byte(body)}
}

func refuses(kind problem.Kind, outcome problem.Outcome) OmegaMatcher {
	return And(HaveField("Kind", kind), HaveField("Outcome", outcome))
}

// inBubble runs a scenario with two nodes in virtual time and checks that no invariant is violated.
func inBubble(t *testing.T, faults registerfake.Faults, scenario func(g *WithT, c *cluster)) {
	violations := invariant.Total()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 1, faults)
		defer c.close()
		scenario(NewWithT(t), c)
	})
	NewWithT(t).Expect(invariant.Total()).To(Equal(violations))
}

// Guards against an operation that runs again when its request is resent while it still runs. The
// resent request must wait and get the same response.
func TestResendWaitsForRunningOperation(t *testing.T) {
	inBubble(t, registerfake.Faults{MaxDelay: time.Millisecond}, func(g *WithT, c *cluster) {
		first, refusal := claim(c.node(0), operation("k", "t"), time.Second)
		g.Expect(refusal).To(BeNil())
		g.Expect(first.Claim.Start()).To(BeTrue())
		go func() {
			time.Sleep(4 * time.Second)
			first.Claim.Done(response("a"))
		}()
		_, refusal = claim(c.node(1), operation("k", "t"), time.Second)
		g.Expect(refusal).To(refuses(problem.InProgress, problem.Unknown))
		_, refusal = claim(c.node(1), operation("k", "other"), time.Second)
		g.Expect(refusal).To(refuses(problem.KeyReuse, problem.NotRun))
		for i := range 2 {
			again, refusal := claim(c.node(i), operation("k", "t"), 10*time.Second)
			g.Expect(refusal).To(BeNil())
			g.Expect(*again.Replay).To(Equal(response("a")))
		}
		g.Expect(c.node(0).Drain(background)).To(Succeed())
		g.Expect(c.node(0).Attempts().Len()).To(BeZero(), "recorded attempts are forgotten")
		c.restart(0)
		again, _ := claim(c.node(1), operation("k", "t"), time.Second)
		g.Expect(*again.Replay).To(Equal(response("a")), "the record outlives the node")
	})
}

// Guards against an operation that runs twice because its node freezes after the claim. A resent request
// must not take the claim over, since the node may resume and run the operation; and the node must not
// run it after it has itself confirmed that the attempt is abandoned.
func TestFrozenNode(t *testing.T) {
	inBubble(t, registerfake.Faults{}, func(g *WithT, c *cluster) {
		frozen, _ := claim(c.node(0), operation("k", "t"), time.Second)
		c.node(0).setUnresponsive(true)
		start := time.Now()
		_, refusal := claim(c.node(1), operation("k", "t"), 10*time.Second)
		g.Expect(refusal).To(refuses(problem.OutcomeUnknown, problem.Unknown))
		g.Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second))
		c.node(0).setUnresponsive(false)
		g.Expect(frozen.Claim.Start()).To(BeTrue())
		frozen.Claim.Rejected()

		c.node(0).proposer.SetDisconnected(true)
		frozen.Claim.Abandon(background)
		taken, refusal := claim(c.node(1), operation("k", "t"), time.Second)
		g.Expect(refusal).To(BeNil())
		g.Expect(taken.Claim.Start()).To(BeTrue())
		g.Expect(frozen.Claim.Start()).To(BeFalse(), "the node has reported this attempt as abandoned")
		frozen.Claim.Done(response("late"))
		taken.Claim.Done(response("b"))
		c.node(0).proposer.SetDisconnected(false)
		time.Sleep(time.Minute)
		again, _ := claim(c.node(0), operation("k", "t"), time.Second)
		g.Expect(*again.Replay).To(Equal(response("b")))
	})
}

// Guards against an unknown outcome although it is recorded: a node forgets an attempt once it is
// recorded, which can happen after a resent request has read the record and before it queries the node.
func TestResendDuringRecording(t *testing.T) {
	inBubble(t, registerfake.Faults{}, func(g *WithT, c *cluster) {
		c.queryDelay = 300 * time.Millisecond
		first, _ := claim(c.node(0), operation("k", "t"), time.Second)
		g.Expect(first.Claim.Start()).To(BeTrue())
		go func() {
			time.Sleep(100 * time.Millisecond)
			first.Claim.Done(response("a"))
		}()
		again, refusal := claim(c.node(1), operation("k", "t"), 10*time.Second)
		g.Expect(refusal).To(BeNil())
		g.Expect(*again.Replay).To(Equal(response("a")))
	})
}

// Guards against a second run after a restart: the node does not know whether its previous incarnation
// ran the operation, so the outcome must be unknown.
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

// Guards against a claim with an undecided vote that starts, or that blocks its key for the retention
// period of a day.
func TestUndecidedClaimIsCleared(t *testing.T) {
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

// Guards against outcomes that are lost, or use unbounded memory, while the control replicas cannot be
// reached. The node must report them itself until they are recorded.
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
		bodyBytes := 0
		for i := range many {
			r, refusal := claim(c.node(1), operation(fmt.Sprint(i), "t"), time.Second)
			g.Expect(refusal).To(BeNil())
			if !r.Replay.TooLarge {
				bodyBytes += len(r.Replay.Body)
			}
		}
		g.Expect(bodyBytes).To(And(BeNumerically(">", 8<<20), BeNumerically("<=", 16<<20)))
		time.Sleep(time.Minute)
		c.node(0).proposer.SetDisconnected(false)
		g.Expect(c.node(0).Drain(background)).To(Succeed())
		g.Expect(c.node(0).Attempts().Len()).To(BeZero())
		c.restart(0)
		r, _ := claim(c.node(1), operation("0", "t"), time.Second)
		g.Expect(r.Replay.Body).To(HaveLen(len(body)))
	})
}

// Guards against a replay that lacks the body of a large response and does not say so.
func TestTooLargeResponses(t *testing.T) {
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

// Guards against records that are dropped too early, so that operations run twice, or never, so that the
// disks fill up.
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
