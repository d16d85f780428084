// Package propagation measures the time from the acceptance of a configuration change
// until it is in force on every node: without faults, with an unresponsive control
// replica, and with nodes that cannot reach any control replica.
package propagation

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/bench/localfleet"
	"github.com/tarragonmux/tarragonmux/internal/bench/netem"
	"github.com/tarragonmux/tarragonmux/internal/bench/scenario"
	"github.com/tarragonmux/tarragonmux/internal/bench/table"
	"github.com/tarragonmux/tarragonmux/internal/operator"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// propagationTarget is the time within which a change must be in force on all of 48 nodes.
	propagationTarget = 2 * time.Second
	propagationLimit  = 10 * time.Second
	pollInterval      = time.Millisecond
	startTimeout      = time.Minute
	changePause       = 50 * time.Millisecond
	// isolationInterval selects every third node to be partitioned from the control replicas in the last case.
	isolationInterval = 3
)

// Options of a run.
type Options struct {
	// Nodes is the number of entry hosts; 0 means 48.
	Nodes int
	// Changes is the number of configuration changes in each case; 0 means 20.
	Changes int
}

// Run measures three cases: no fault, one control replica unresponsive, and in addition a third of the nodes
// partitioned from all control replicas.
func Run(ctx context.Context, o Options) ([]table.Row, error) {
	if o.Nodes == 0 {
		o.Nodes = 48
	}
	if o.Changes == 0 {
		o.Changes = 20
	}
	user := scenario.Hanbit()
	network := netem.New(netem.InterDataCentreDelay(user.OneWay))
	config := user.Fleet(o.Nodes, 3)
	config.Network = network
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := localfleet.Start(startCtx, config)
	if err != nil {
		return nil, errors.Wrap(err, "start the fleet")
	}
	defer fleet.Kill()
	b := &benchmark{options: o, fleet: fleet, network: network}
	return b.runCases(ctx)
}

type benchmark struct {
	options     Options
	fleet       *localfleet.Fleet
	network     *netem.Network
	changeCount int
}

func (b *benchmark) runCases(ctx context.Context) ([]table.Row, error) {
	cases := []struct {
		name  string
		fault func()
	}{
		{"all control replicas", func() {}},
		{"one control replica silent", func() { b.network.Freeze(b.fleet.Controls[2].ID, true) }},
		{"besides, a third of the nodes cut off from control", b.isolateNodes},
	}
	var rows []table.Row
	for _, c := range cases {
		c.fault()
		times, err := b.measure(ctx)
		if err != nil {
			return rows, err
		}
		slices.Sort(times)
		worst := times[len(times)-1]
		rows = append(rows, table.Row{
			Measure: fmt.Sprintf("change in force on all of %d nodes, %s", b.options.Nodes, c.name), User: "hanbit",
			Target: "under 2 s", Value: worst.Seconds(), Unit: "s", Met: worst < propagationTarget,
			Note: fmt.Sprintf("worst of %d, median %s", len(times), times[len(times)/2].Round(time.Millisecond)),
		})
	}
	return rows, nil
}

func (b *benchmark) isolateNodes() {
	for i, node := range b.fleet.Nodes {
		if i%isolationInterval != 0 {
			continue
		}
		for _, replica := range b.fleet.Controls {
			b.network.Cut(node.ID, replica.ID)
			b.network.Cut(replica.ID, node.ID)
		}
	}
}

func (b *benchmark) measure(ctx context.Context) ([]time.Duration, error) {
	var times []time.Duration
	for range b.options.Changes {
		took, err := b.measureChange(ctx)
		if err != nil {
			return nil, err
		}
		times = append(times, took)
		time.Sleep(changePause)
	}
	return times, nil
}

// measureChange applies one change and returns the time from its acceptance until every node has it in force,
// at most propagationLimit.
func (b *benchmark) measureChange(ctx context.Context) (time.Duration, error) {
	b.changeCount++
	team := &configpb.Team{Id: "propagation", Weight: uint32(b.changeCount), InFlightQuota: 8}
	change := &configpb.Change{Kind: &configpb.Change_PutTeam{PutTeam: team}}
	document, err := b.fleet.Operator.Get(ctx)
	if err != nil {
		return 0, err
	}
	reply, err := b.fleet.Operator.Apply(ctx, operator.NewApplyRequest(document.GetRevision(), "propagation", change))
	if err != nil {
		return 0, err
	}
	if reply.GetVerdict() != configpb.Verdict_VERDICT_ACCEPTED {
		return 0, errors.Errorf("configuration change %d not accepted: verdict %s, reason: %s", b.changeCount, reply.GetVerdict(), reply.GetReason())
	}
	begin := time.Now()
	for !b.inForceOnAll(reply.GetRevision()) {
		if time.Since(begin) > propagationLimit {
			return propagationLimit, nil
		}
		time.Sleep(pollInterval)
	}
	return time.Since(begin), nil
}

func (b *benchmark) inForceOnAll(revision uint64) bool {
	for _, node := range b.fleet.Nodes {
		if node.Process().Node().Store.Revision() < revision {
			return false
		}
	}
	return true
}
