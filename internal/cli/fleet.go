package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/operator"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

type hostsCommand struct {
	target
}

// hostRow is one host in the JSON output of hosts.
type hostRow struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	Ready      bool   `json:"ready"`
	Revision   uint64 `json:"revision"`
	Entry      string `json:"entry_address"`
	Fleet      string `json:"fleet_address"`
}

// Run lists the hosts as one node sees them: the first in the configuration that replied.
func (c *hostsCommand) Run(ctx context.Context, out *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := firstReply(ctx, client, func(ctx context.Context, f fleetpb.DRPCFleetClient) (*fleetpb.HostsReply, error) {
		return f.Hosts(ctx, &fleetpb.HostsRequest{})
	})
	if err != nil {
		return err
	}
	rows := make([]hostRow, 0, len(reply.GetNodes()))
	for _, n := range reply.GetNodes() {
		rows = append(rows, hostRow{
			ID: n.GetId(), DataCentre: n.GetDataCentre(), State: nodeState(n.GetState()), Ready: n.GetReady(),
			Revision: n.GetRevision(), Entry: n.GetEntryAddress(), Fleet: n.GetFleetAddress(),
		})
	}
	slices.SortFunc(rows, func(a, b hostRow) int { return cmp.Compare(a.ID, b.ID) })
	if c.JSON {
		return out.json(rows)
	}
	table := make([][]string, 0, len(rows))
	for _, r := range rows {
		table = append(table, []string{r.ID, r.DataCentre, r.State, strconv.FormatBool(r.Ready), strconv.FormatUint(r.Revision, 10), r.Entry, r.Fleet})
	}
	return out.table([]string{"HOST", "DATA CENTRE", "STATE", "READY", "REVISION", "ENTRY", "FLEET"}, table)
}

// firstReply calls all configured nodes and returns the reply of the first one, in the order of the
// configuration, that replied.
func firstReply[T any](ctx context.Context, client *operator.Client, fn func(context.Context, fleetpb.DRPCFleetClient) (T, error)) (T, error) {
	var none T
	nodes, err := client.Nodes(ctx)
	if err != nil {
		return none, err
	}
	if len(nodes) == 0 {
		return none, errors.New("the configuration lists no hosts with a node; add them with config apply")
	}
	for _, result := range operator.CallHosts(ctx, client, nodes, fn) {
		if result.Err == nil {
			return result.Reply, nil
		}
		err = result.Err
	}
	return none, errors.Wrap(err, "no node answers; check that the nodes run and that their fleet addresses in the configuration are right")
}

type backendsCommand struct {
	target
	Service string `arg:"" optional:"" help:"Service to list; all if left out."`
}

// backendRow is one backend server in the JSON output of backends.
type backendRow struct {
	Service    string `json:"service"`
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
	Judgement  string `json:"judgement"`
	Reason     string `json:"reason,omitempty"`
	InFlight   uint32 `json:"in_flight"`
	Limit      uint32 `json:"limit"`
	Slots      uint32 `json:"slots"`
	AgeMS      int64  `json:"age_ms"`
}

// Run lists the backend servers with their state according to their dispatcher.
func (c *backendsCommand) Run(ctx context.Context, out *output) error {
	results, err := callNodes(ctx, &c.target, func(ctx context.Context, f fleetpb.DRPCFleetClient) (*fleetpb.BackendsReply, error) {
		return f.Backends(ctx, &fleetpb.BackendsRequest{Service: c.Service})
	})
	if err != nil {
		return err
	}
	rows := mergeBackends(results)
	if len(rows) == 0 && allFailed(results) {
		return errors.New("no node answers; check that the nodes run and that their fleet addresses in the configuration are right")
	}
	if c.JSON {
		return out.json(rows)
	}
	table := make([][]string, 0, len(rows))
	for _, r := range rows {
		table = append(table, []string{
			r.Service, r.Instance, r.DataCentre, r.Address, r.State, strings.TrimSpace(r.Judgement + " " + r.Reason),
			fmt.Sprintf("%d/%d of %d", r.InFlight, r.Limit, r.Slots), fmt.Sprintf("%d ms", r.AgeMS),
		})
	}
	return out.table([]string{"SERVICE", "INSTANCE", "DATA CENTRE", "ADDRESS", "ANNOUNCED", "JUDGEMENT", "IN FLIGHT", "RENEWED"}, table)
}

// allFailed reports whether no call succeeded.
func allFailed[T any](results []operator.HostResult[T]) bool {
	return !slices.ContainsFunc(results, func(r operator.HostResult[T]) bool { return r.Err == nil })
}

// mergeBackends combines the views of the nodes into one row per backend server. It prefers the row of the
// node that dispatches the service, which is the only one with a judgement, and otherwise the row renewed
// last.
func mergeBackends(results []operator.HostResult[*fleetpb.BackendsReply]) []backendRow {
	merged := map[[2]string]backendRow{}
	for _, result := range results {
		if result.Err != nil {
			continue
		}
		for _, b := range result.Reply.GetBackends() {
			row := backendFromProto(b)
			key := [2]string{row.Service, row.Instance}
			if old, ok := merged[key]; !ok || (old.Judgement == "" && (row.Judgement != "" || row.AgeMS < old.AgeMS)) {
				merged[key] = row
			}
		}
	}
	rows := make([]backendRow, 0, len(merged))
	for _, row := range merged {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b backendRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return rows
}

func backendFromProto(b *fleetpb.Backend) backendRow {
	s := b.GetServer()
	return backendRow{
		Service: s.GetService(), Instance: s.GetInstance(), DataCentre: s.GetDataCentre(), Address: s.GetAddress(),
		State: serverState(s.GetState()), Judgement: b.GetJudgement(), Reason: b.GetReason(),
		InFlight: b.GetInFlight(), Limit: b.GetLimit(), Slots: s.GetSlots(), AgeMS: s.GetAgeMs(),
	}
}

type drainCommand struct {
	target
	Host    string `help:"Host to shut down gracefully." xor:"what" required:""`
	Backend string `help:"Backend server to drain, as SERVICE/INSTANCE." xor:"what" required:""`
}

// Run drains a host or a backend server.
func (c *drainCommand) Run(ctx context.Context, out *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.Host != "" {
		return c.drainHost(ctx, client, out)
	}
	service, instance, ok := strings.Cut(c.Backend, "/")
	if !ok {
		return errors.Errorf("%q does not name a backend server; write SERVICE/INSTANCE", c.Backend)
	}
	reply, err := firstReply(ctx, client, func(ctx context.Context, f fleetpb.DRPCFleetClient) (*fleetpb.DrainReply, error) {
		return f.Drain(ctx, &fleetpb.DrainRequest{Service: service, Instance: instance})
	})
	return c.printResult(out, reply, err)
}

// drainHost asks the host itself to shut down gracefully.
func (c *drainCommand) drainHost(ctx context.Context, client *operator.Client, out *output) error {
	nodes, err := client.Nodes(ctx)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(nodes, func(h *configpb.Host) bool { return h.GetId() == c.Host })
	if i < 0 {
		return errors.Errorf("host %q is not in the configuration; list the hosts with: tarragonmux hosts", c.Host)
	}
	reply, err := client.Fleet(ctx, nodes[i].GetFleetAddress()).Drain(ctx, &fleetpb.DrainRequest{})
	return c.printResult(out, reply, err)
}

func (c *drainCommand) printResult(out *output, reply *fleetpb.DrainReply, err error) error {
	if err != nil {
		return err
	}
	if reply.GetError() != "" {
		return errors.New(reply.GetError())
	}
	if c.JSON {
		return out.json(map[string]bool{"draining": true})
	}
	return out.printf("draining\n")
}

func nodeState(s fleetpb.NodeState) string {
	return stateName(s.String(), "NODE_STATE_")
}

func serverState(s fleetpb.ServerState) string {
	return stateName(s.String(), "SERVER_STATE_")
}

// stateName returns the lower-case name of an enum value without its prefix.
func stateName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
