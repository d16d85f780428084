package durable

import (
	"context"
	"fmt"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	changeClients = 3
	changeBytes   = 500
	// changeTimeout is the time after which a client of the baseline resends a change, to another node.
	changeTimeout = 400 * time.Millisecond
	// faultFreeShare is the fraction of a scenario before the fault starts.
	faultFreeShare = 0.3
	// faultFreeChanges is how many changes must be accepted before the fault starts. Otherwise a disk with
	// slow syncs would leave nothing to compare with. maxFaultFreeWait bounds the wait for them.
	faultFreeChanges = 10
	maxFaultFreeWait = 10 * time.Second
	retryPause       = 5 * time.Millisecond
)

// submitFunc sends one change until it is accepted or the context ends, and reports whether it was accepted.
type submitFunc func(ctx context.Context) bool

// measureAllChanges measures both designs with every fault.
func measureAllChanges(ctx context.Context, folder string, length time.Duration) ([]Changes, error) {
	scenarios := []Fault{NoFault, Unresponsive, DropIncoming, DropOutgoing, SlowSync}
	designs := []string{Leaderless, LeaderBased}
	each := length / time.Duration(len(scenarios)*len(designs))
	var rows []Changes
	for i, fault := range scenarios {
		for _, design := range designs {
			row, err := measureChanges(ctx, filepath.Join(folder, design, fmt.Sprint(i)), design, fault, each)
			if err != nil {
				return rows, errors.Wrapf(err, "%s with fault %s", design, fault)
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func measureChanges(ctx context.Context, folder, design string, fault Fault, length time.Duration) (Changes, error) {
	start := startLeaderless
	if design == LeaderBased {
		start = startBaseline
	}
	c, err := start(ctx, folder)
	if err != nil {
		return Changes{}, err
	}
	var mu sync.Mutex
	var accepted []time.Time
	begin := time.Now()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	enoughAccepted := make(chan struct{})
	for i := range changeClients {
		send := c.submitter(fmt.Sprint("client-", i))
		running.Go(func() {
			for runCtx.Err() == nil {
				if send(runCtx) {
					mu.Lock()
					accepted = append(accepted, time.Now())
					if len(accepted) == faultFreeChanges {
						close(enoughAccepted)
					}
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Until(begin.Add(scaleDuration(length, faultFreeShare))))
	select {
	case <-enoughAccepted:
	case <-time.After(maxFaultFreeWait):
	case <-ctx.Done():
	}
	faultStart := time.Now()
	end := faultStart.Add(scaleDuration(length, 1-faultFreeShare))
	c.faults.set(fault, c.faultTarget())
	time.Sleep(time.Until(end))
	cancel()
	running.Wait()
	c.faults.set(NoFault, "")
	return summarise(design, fault, accepted, begin, faultStart, end), c.close()
}

// faultTarget returns the replica that gets the fault: the leader of the baseline; in the leaderless design
// the first replica, since all do the same work.
func (c *cluster) faultTarget() string {
	if len(c.nodes) > 0 {
		return c.leader()
	}
	return c.members[0].ID
}

func (c *cluster) submitter(name string) submitFunc {
	client, _ := c.client(name)
	if len(c.nodes) > 0 {
		return (&leaderClient{members: c.members, client: client}).submit
	}
	p := agreement.NewProposer(agreement.ProposerConfig{ID: name, FirstGroup: c.members, Client: client})
	return (&leaderlessClient{name: name, proposer: p, next: 1}).submit
}

// leaderlessClient proposes its change for successive revisions until one of them is decided with it.
type leaderlessClient struct {
	name     string
	proposer agreement.Proposer
	next     uint64
	changes  int
}

func (c *leaderlessClient) submit(ctx context.Context) bool {
	c.changes++
	value := make([]byte, changeBytes)
	mark := fmt.Sprintf("%s %d", c.name, c.changes)
	copy(value, mark)
	for ctx.Err() == nil {
		decided, err := c.proposer.Propose(ctx, "config", c.next, value)
		if err != nil {
			continue
		}
		c.next++
		if string(decided) == string(value) {
			return true
		}
	}
	return false
}

// leaderClient sends its change to the node that it assumes to be the leader.
type leaderClient struct {
	members []agreement.Member
	client  agreement.Client
	target  int
}

func (l *leaderClient) submit(ctx context.Context) bool {
	request := &agreementpb.DecideRequest{Registers: []*agreementpb.Register{{Key: entryKey, Value: make([]byte, changeBytes)}}}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		out, err := l.client.Replica(l.members[l.target]).Decide(callCtx, request)
		cancel()
		if err == nil && out.GetHeader().GetRefusal() == "" {
			return true
		}
		l.redirect(out.GetHeader())
		time.Sleep(retryPause)
	}
	return false
}

// redirect selects the leader that the node named, or else the next node.
func (l *leaderClient) redirect(h *agreementpb.ReplyHeader) {
	for i, m := range l.members {
		if m.ID == h.GetSequence().GetId() && h.GetRefusal() != "" {
			l.target = i
			return
		}
	}
	l.target = (l.target + 1) % len(l.members)
}

// summarise computes the rates of accepted changes before and after the start of the fault, and the longest
// gap.
func summarise(design string, fault Fault, accepted []time.Time, begin, faultStart, end time.Time) Changes {
	sort.Slice(accepted, func(i, j int) bool { return accepted[i].Before(accepted[j]) })
	before, gap := 0, time.Duration(0)
	last := faultStart
	for _, at := range accepted {
		if at.Before(faultStart) {
			before++
			continue
		}
		gap = max(gap, at.Sub(last))
		last = at
	}
	gap = max(gap, end.Sub(last))
	return Changes{
		Design:     design,
		Fault:      fault,
		Before:     float64(before) / faultStart.Sub(begin).Seconds(),
		During:     float64(len(accepted)-before) / end.Sub(faultStart).Seconds(),
		LongestGap: float64(gap.Microseconds()) / 1000,
	}
}
