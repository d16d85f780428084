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

// model is the log as operators see it. Its state is the accepted ids, separated by spaces.
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
			// No change of these histories is invalid, so there is no reason for a rejection.
			return false, state
		}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// fleetOfLogs is three replicas that restart while operators use them.
type fleetOfLogs struct {
	registers *registerfake.Registers
	began     time.Time

	mu       sync.Mutex
	random   *rand.Rand
	logs     [3]*control.Log
	contexts [3]context.Context
	stops    [3]context.CancelFunc
	history  []porcupine.Operation
}

func (f *fleetOfLogs) restart(i int) {
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

func (f *fleetOfLogs) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// call sends one request to a replica and records it. A call that a restart cut off, or
// whose answer is lost, counts as unknown.
func (f *fleetOfLogs) call(client int, in input, send func(context.Context, *control.Log) (verdict, error)) verdict {
	i := f.draw(3)
	f.mu.Lock()
	ctx, l := f.contexts[i], f.logs[i]
	f.mu.Unlock()
	begin := time.Since(f.began)
	v, err := send(ctx, l)
	if err != nil || ctx.Err() != nil || f.draw(6) == 0 {
		v = verdict{Verdict: configpb.Verdict_VERDICT_UNKNOWN}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, porcupine.Operation{ClientId: client, Input: in, Output: v, Call: int64(begin), Return: int64(time.Since(f.began))})
	return v
}

// operate changes teams on top of the newest revision that the operator knows, and sends
// a request again while its verdict is open and sometimes afterwards.
func (f *fleetOfLogs) operate(client, changes int) {
	known := uint64(0)
	for n := range changes {
		r := request(known, team(fmt.Sprintf("t%d", client), uint32(n)))
		in := input{r.GetRequestId(), known}
		for range 6 {
			v := f.call(client, in, func(ctx context.Context, l *control.Log) (verdict, error) {
				reply, err := l.Apply(ctx, proto.CloneOf(r))
				return verdict{reply.GetVerdict(), reply.GetRevision(), ""}, err
			})
			known = max(known, v.Revision)
			if v.Verdict != configpb.Verdict_VERDICT_UNKNOWN && v.Verdict != configpb.Verdict_VERDICT_UNAVAILABLE && f.draw(3) > 0 {
				break
			}
		}
		v := f.call(client, input{}, func(ctx context.Context, l *control.Log) (verdict, error) {
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

// settle replaces unknown outcomes by what the final log says: a request that is in the log
// took effect after one of its calls, and any other had no effect. Of the calls of one
// request without an answer, the first stands for all, until its first known answer; more
// open calls would add nothing but time to the check.
func settle(history []porcupine.Operation, ids []string) (settled []porcupine.Operation) {
	answered := map[string]int64{}
	open := map[string]porcupine.Operation{}
	for _, op := range history {
		in, out := op.Input.(input), op.Output.(verdict)
		switch {
		case out.Verdict == configpb.Verdict_VERDICT_UNKNOWN && slices.Contains(ids, in.id):
			if first, ok := open[in.id]; !ok || op.Call < first.Call {
				open[in.id] = op
			}
		case out.Verdict == configpb.Verdict_VERDICT_UNKNOWN, out.Verdict == configpb.Verdict_VERDICT_UNAVAILABLE:
		default:
			settled = append(settled, op)
			if end, ok := answered[in.id]; out.Verdict == configpb.Verdict_VERDICT_ACCEPTED && (!ok || op.Return < end) {
				answered[in.id] = op.Return
			}
		}
	}
	for id, op := range open {
		op.Output, op.Return = accepted(uint64(slices.Index(ids, id))+1), int64(time.Hour)
		if end, ok := answered[id]; ok {
			op.Return = end
		}
		if op.Call < op.Return {
			settled = append(settled, op)
		}
	}
	return settled
}

// Racing operators with equal expected revisions must have one winner, and resends through
// restarted replicas after lost answers must agree with it. Guards against a change that is
// accepted twice, a lost acceptance and a verdict that differs between replicas.
func TestOperatorHistories(t *testing.T) {
	violations := invariant.Total()
	compacted := 0
	seeds := uint64(20)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		f := &fleetOfLogs{random: rand.New(rand.NewPCG(seed, 1))}
		var ids []string
		synctest.Test(t, func(t *testing.T) {
			f.began = time.Now()
			f.registers = registerfake.New(seed, registerfake.Faults{NoQuorum: 0.02, Lost: 0.05, Open: 0.05, Vanished: 0.05, Unsure: 0.1, MaxDelay: 40 * time.Millisecond})
			for i := range f.logs {
				f.restart(i)
			}
			done := make(chan struct{})
			go func() {
				for {
					select {
					case <-time.After(time.Duration(f.draw(400)) * time.Millisecond):
						f.restart(f.draw(3))
					case <-done:
						return
					}
				}
			}()
			var operators sync.WaitGroup
			for client := range 4 {
				operators.Go(func() { f.operate(client, 60) })
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
		result := porcupine.CheckOperationsTimeout(model, settle(f.history, ids), 10*time.Second)
		g.Expect(result).To(Equal(porcupine.Ok), "seed %d: the history of %d calls is not linearizable", seed, len(f.history))
	}
	NewWithT(t).Expect(compacted).To(BeNumerically(">", 0), "some logs must have been compacted")
	NewWithT(t).Expect(invariant.Total()).To(Equal(violations))
}
