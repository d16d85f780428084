package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/configuration/control"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/registerfake"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

type input struct {
	id       string // empty for Get
	expected uint64
}

// model is the log as seen by operators. Its state is the list of accepted ids, separated by spaces.
var model = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		ids := strings.Fields(state.(string))
		i, v := in.(input), out.(verdict)
		at := slices.Index(ids, i.id)
		switch {
		case i.id == "":
			return v.Revision == uint64(len(ids)), state
		case v.Verdict == configpb.Verdict_VERDICT_ACCEPTED && at >= 0:
			return v.Revision == uint64(at)+1, state
		case v.Verdict == configpb.Verdict_VERDICT_ACCEPTED:
			ok := i.expected == uint64(len(ids)) && v.Revision == i.expected+1
			return ok, state.(string) + " " + i.id
		case v.Verdict == configpb.Verdict_VERDICT_CONFLICT:
			return at < 0 && i.expected != uint64(len(ids)) && v.Revision == uint64(len(ids)), state
		default:
			// These histories contain no invalid changes, so none may be rejected.
			return false, state
		}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// logCluster is a set of three replicas that restart while operators use them.
type logCluster struct {
	registers *registerfake.Registers
	began     time.Time

	mu       sync.Mutex
	random   *rand.Rand
	logs     [3]*control.Log
	contexts [3]context.Context
	stops    [3]context.CancelFunc
	history  []porcupine.Operation
}

func (f *logCluster) restart(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stops[i] != nil {
		f.stops[i]()
	}
	l := control.New(control.Options{Proposer: f.registers.Proposer(), Compactor: f.registers, CompactEvery: 4, Logger: logging.Discard()})
	f.contexts[i], f.stops[i] = context.WithCancel(background)
	f.logs[i] = l
	go func(ctx context.Context) { _ = l.Run(ctx) }(f.contexts[i])
}

func (f *logCluster) randomInt(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// recordCall sends one request to a random replica and records it in the history. If a restart interrupts
// the call or the reply is lost, the verdict is recorded as unknown.
func (f *logCluster) recordCall(client int, in input, send func(context.Context, *control.Log) (verdict, error)) verdict {
	i := f.randomInt(3)
	f.mu.Lock()
	ctx, l := f.contexts[i], f.logs[i]
	f.mu.Unlock()
	begin := time.Since(f.began)
	v, err := send(ctx, l)
	if err != nil || ctx.Err() != nil || f.randomInt(6) == 0 {
		v = verdict{Verdict: configpb.Verdict_VERDICT_UNKNOWN}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, porcupine.Operation{ClientId: client, Input: in, Output: v, Call: int64(begin), Return: int64(time.Since(f.began))})
	return v
}

// runOperator changes a team on top of the newest revision known to the operator. It resends a request
// while its verdict is unknown or unavailable, and sometimes afterwards.
func (f *logCluster) runOperator(client, changes int) {
	known := uint64(0)
	for n := range changes {
		r := request(known, team(fmt.Sprintf("t%d", client), uint32(n)))
		in := input{r.GetRequestId(), known}
		for range 6 {
			v := f.recordCall(client, in, func(ctx context.Context, l *control.Log) (verdict, error) {
				reply, err := l.Apply(ctx, proto.CloneOf(r))
				return verdict{reply.GetVerdict(), reply.GetRevision(), ""}, err
			})
			known = max(known, v.Revision)
			if v.Verdict != configpb.Verdict_VERDICT_UNKNOWN && v.Verdict != configpb.Verdict_VERDICT_UNAVAILABLE && f.randomInt(3) > 0 {
				break
			}
		}
		v := f.recordCall(client, input{}, func(ctx context.Context, l *control.Log) (verdict, error) {
			reply, err := l.Get(ctx, &configpb.GetRequest{})
			return verdict{Revision: reply.GetDocument().GetRevision()}, err
		})
		known = max(known, v.Revision)
	}
}

// acceptedIDs returns the ids in the log, in the order of revisions.
func acceptedIDs(g *WithT, r *registerfake.Registers) (ids []string) {
	l := newLog(r)
	_, err := l.Get(background, &configpb.GetRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	history, err := l.History(background, &configpb.HistoryRequest{Limit: 256})
	g.Expect(err).NotTo(HaveOccurred())
	for _, e := range history.GetEntries() {
		ids = append([]string{e.GetRequestId()}, ids...)
	}
	return ids
}

// resolveUnknown replaces unknown outcomes according to the final log: a request in the log took effect in
// one of its calls, and any other request had no effect. The first call of a request whose outcome
// is unknown represents all of them and ends at the first known acceptance; more calls without an end would
// only slow down the check.
func resolveUnknown(history []porcupine.Operation, ids []string) (settled []porcupine.Operation) {
	firstAccepted := map[string]int64{}
	unresolved := map[string]porcupine.Operation{}
	for _, op := range history {
		in, out := op.Input.(input), op.Output.(verdict)
		switch {
		case out.Verdict == configpb.Verdict_VERDICT_UNKNOWN && slices.Contains(ids, in.id):
			if first, ok := unresolved[in.id]; !ok || op.Call < first.Call {
				unresolved[in.id] = op
			}
		case out.Verdict == configpb.Verdict_VERDICT_UNKNOWN, out.Verdict == configpb.Verdict_VERDICT_UNAVAILABLE:
		default:
			settled = append(settled, op)
			if end, ok := firstAccepted[in.id]; out.Verdict == configpb.Verdict_VERDICT_ACCEPTED && (!ok || op.Return < end) {
				firstAccepted[in.id] = op.Return
			}
		}
	}
	for id, op := range unresolved {
		op.Output, op.Return = accepted(uint64(slices.Index(ids, id))+1), int64(time.Hour)
		if end, ok := firstAccepted[id]; ok {
			op.Return = end
		}
		if op.Call < op.Return {
			settled = append(settled, op)
		}
	}
	return settled
}

// Of concurrent changes with the same expected revision exactly one may win, and resends through restarted
// replicas after lost replies must agree. Guards against a change that is accepted twice, an accepted change
// that disappears and a verdict that differs between replicas.
func TestOperatorHistories(t *testing.T) {
	violations := invariant.Total()
	compacted := 0
	seeds := uint64(20)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		f := &logCluster{random: rand.New(rand.NewPCG(seed, 1))}
		var ids []string
		synctest.Test(t, func(t *testing.T) {
			f.began = time.Now()
			f.registers = registerfake.New(seed, registerfake.Faults{NoQuorum: 0.02, ReplyLost: 0.05, Open: 0.05, ProposalLost: 0.05, ReadUndecided: 0.1, MaxDelay: 40 * time.Millisecond})
			for i := range f.logs {
				f.restart(i)
			}
			done := make(chan struct{})
			go func() {
				for {
					select {
					case <-time.After(time.Duration(f.randomInt(400)) * time.Millisecond):
						f.restart(f.randomInt(3))
					case <-done:
						return
					}
				}
			}()
			var operators sync.WaitGroup
			for client := range 4 {
				operators.Go(func() { f.runOperator(client, 60) })
			}
			operators.Wait()
			close(done)
			f.registers.SetFaults(registerfake.Faults{})
			ids = acceptedIDs(NewWithT(t), f.registers)
			for _, stop := range f.stops {
				stop()
			}
			if len(f.registers.Values(control.Prefix)) < len(ids) {
				compacted++
			}
		})
		g := NewWithT(t)
		g.Expect(len(ids)).To(BeNumerically(">", 20), "seed %d", seed)
		result := porcupine.CheckOperationsTimeout(model, resolveUnknown(f.history, ids), 10*time.Second)
		g.Expect(result).To(Equal(porcupine.Ok), "seed %d: the history of %d calls is not linearizable", seed, len(f.history))
	}
	NewWithT(t).Expect(compacted).To(BeNumerically(">", 0), "some logs must have been compacted")
	NewWithT(t).Expect(invariant.Total()).To(Equal(violations))
}
