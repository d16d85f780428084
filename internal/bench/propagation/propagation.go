// Package propagation measures how long an accepted configuration change takes until
// it is in force on every node, also with a silent control replica and with nodes
// that are cut off from all control replicas.
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
	// target is how soon a change must be in force on all of 48 nodes.
	target       = 2 * time.Second
	limit        = 10 * time.Second
	poll         = time.Millisecond
	startTimeout = time.Minute
	pause        = 50 * time.Millisecond
	// cutShare is the share of nodes that are cut off from the control replicas in the last case.
	cutShare = 3
)

// Options of a run.
type Options struct {
	// Nodes is the number of entry hosts; 0 means 48.
	Nodes int
	// Changes is the number of changes in each case; 0 means 20.
	Changes int
}

// Run measures three cases: all well, one control replica silent, and besides a third of the nodes
// cut off from all control replicas.
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
	r := &run{options: o, fleet: fleet, network: network}
	return r.cases(ctx)
}

type run struct {
	options Options
	fleet   *localfleet.Fleet
	network *netem.Network
	changes int
}

func (r *run) cases(ctx context.Context) ([]table.Row, error) {
	cases := []struct {
		name  string
		fault func()
	}{
		{"all control replicas", func() {}},
		{"one control replica silent", func() { r.network.Freeze(r.fleet.Controls[2].ID, true) }},
		{"besides, a third of the nodes cut off from control", r.cutNodes},
	}
	var rows []table.Row
	for _, c := range cases {
		c.fault()
		times, err := r.measure(ctx)
		if err != nil {
			return rows, err
		}
		slices.Sort(times)
		worst := times[len(times)-1]
		rows = append(rows, table.Row{
			Measure: fmt.Sprintf("change in force on all of %d nodes, %s", r.options.Nodes, c.name), User: "hanbit",
			Target: "under 2 s", Value: worst.Seconds(), Unit: "s", Met: worst < target,
			Note: fmt.Sprintf("worst of %d, median %s", len(times), times[len(times)/2].Round(time.Millisecond)),
		})
	}
	return rows, nil
}

func (r *run) cutNodes() {
	for i, node := range r.fleet.Nodes {
		if i%cutShare != 0 {
			continue
		}
		for _, replica := range r.fleet.Controls {
			r.network.Cut(node.ID, replica.ID)
			r.network.Cut(replica.ID, node.ID)
		}
	}
}

func (r *run) measure(ctx context.Context) ([]time.Duration, error) {
	var times []time.Duration
	for range r.options.Changes {
		took, err := r.change(ctx)
		if err != nil {
			return nil, err
		}
		times = append(times, took)
		time.Sleep(pause)
	}
	return times, nil
}

// change applies one change and returns the time from its acceptance until every node has it in force.
func (r *run) change(ctx context.Context) (time.Duration, error) {
	r.changes++
	team := &configpb.Team{Id: "propagation", Weight: uint32(r.changes), InFlightQuota: 8}
	change := &configpb.Change{Kind: &configpb.Change_PutTeam{PutTeam: team}}
	document, err := r.fleet.Operator.Get(ctx)
	if err != nil {
		return 0, err
	}
	reply, err := r.fleet.Operator.Apply(ctx, operator.NewApplyRequest(document.GetRevision(), "propagation", change))
	if err != nil {
		return 0, err
	}
	if reply.GetVerdict() != configpb.Verdict_VERDICT_ACCEPTED {
		return 0, errors.Errorf("change %d: verdict %s %s", r.changes, reply.GetVerdict(), reply.GetReason())
	}
	begin := time.Now()
	for !r.inForce(reply.GetRevision()) {
		if time.Since(begin) > limit {
			return limit, nil
		}
		time.Sleep(poll)
	}
	return time.Since(begin), nil
}

func (r *run) inForce(revision uint64) bool {
	for _, node := range r.fleet.Nodes {
		if node.Process().Node().Store.Revision() < revision {
			return false
		}
	}
	return true
}
