package cli

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/operator"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// statusInterval is the wait between two status queries of config status --wait.
const statusInterval = 200 * time.Millisecond

type configCommands struct {
	Get            configGetCommand      `cmd:"" help:"Print the accepted configuration as JSON."`
	Apply          configApplyCommand    `cmd:"" help:"Apply a configuration file or a file with one change."`
	History        configHistoryCommand  `cmd:"" help:"List the newest changes."`
	Status         configStatusCommand   `cmd:"" help:"Show which hosts have which revision in force."`
	ReplaceControl replaceControlCommand `cmd:"" help:"Swap one control replica for another."`
}

type configGetCommand struct {
	target
}

// Run prints the accepted configuration.
func (c *configGetCommand) Run(ctx context.Context, out *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	document, err := client.Get(ctx)
	if err != nil {
		return err
	}
	data, err := configuration.FormatDocument(document)
	if err != nil {
		return err
	}
	return out.printf("%s\n", data)
}

type configApplyCommand struct {
	target
	File      string  `arg:"" help:"Configuration document or change as JSON; - for standard input."`
	Change    bool    `help:"The file holds one change, such as {\"put_team\": {...}}, not a whole document."`
	Expect    *uint64 `help:"Revision that the change is based on. Default: the current one." placeholder:"REVISION"`
	RequestID string  `help:"Request id (UUID) of an earlier try, to learn its verdict." placeholder:"UUID"`
	Author    string  `help:"Name recorded with the change. Default: the user's name."`
}

// applyResult is the JSON output of config apply.
type applyResult struct {
	Verdict   string   `json:"verdict"`
	Revision  uint64   `json:"revision"`
	RequestID string   `json:"request_id"`
	Field     string   `json:"field,omitempty"`
	Reason    string   `json:"reason,omitempty"`
	Remedy    string   `json:"remedy,omitempty"`
	Warnings  []string `json:"warnings,omitempty"`
}

// Run applies the file. Its exit status is 0 only if the change was accepted.
func (c *configApplyCommand) Run(ctx context.Context, out *output) error {
	change, err := c.readChange()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	expected, err := c.expectedRevision(ctx, client)
	if err != nil {
		return err
	}
	request := operator.NewApplyRequest(expected, c.authorName(), change)
	if c.RequestID != "" {
		request.RequestId = c.RequestID
	}
	reply, err := client.Apply(ctx, request)
	if err != nil {
		return errors.Wrapf(err, "no verdict; ask again with --request-id %s", request.GetRequestId())
	}
	return c.print(out, request, reply)
}

// readChange returns the change in the file. A whole document is a change that replaces everything.
func (c *configApplyCommand) readChange() (*configpb.Change, error) {
	path := c.File
	if path == "-" {
		path = "/dev/stdin"
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration file; check its path")
	}
	if c.Change {
		return configuration.ParseChange(data)
	}
	document, err := configuration.ParseDocument(data)
	if err != nil {
		return nil, err
	}
	return &configpb.Change{Kind: &configpb.Change_ReplaceAll{ReplaceAll: &configpb.ReplaceAll{Document: document}}}, nil
}

// expectedRevision returns the revision that the change is based on: the given or the current one.
func (c *configApplyCommand) expectedRevision(ctx context.Context, client *operator.Client) (uint64, error) {
	if c.Expect != nil {
		return *c.Expect, nil
	}
	document, err := client.Get(ctx)
	return document.GetRevision(), err
}

func (c *configApplyCommand) authorName() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (c *configApplyCommand) print(out *output, request *configpb.ApplyRequest, reply *configpb.ApplyReply) error {
	result := applyResult{
		Verdict:   stateName(reply.GetVerdict().String(), "VERDICT_"),
		Revision:  reply.GetRevision(),
		RequestID: request.GetRequestId(),
		Field:     reply.GetField(),
		Reason:    reply.GetReason(),
		Remedy:    reply.GetRemedy(),
		Warnings:  reply.GetWarnings(),
	}
	if err := result.write(out, c.JSON); err != nil {
		return err
	}
	if reply.GetVerdict() != configpb.Verdict_VERDICT_ACCEPTED {
		return ErrNegativeResult
	}
	return nil
}

func (r applyResult) write(out *output, json bool) error {
	if json {
		return out.json(r)
	}
	for _, warning := range r.Warnings {
		out.warnf("warning: %s\n", warning)
	}
	switch r.Verdict {
	case "accepted":
		return out.printf("accepted as revision %d\n", r.Revision)
	case "conflict":
		return out.printf("conflict: the current revision is %d; get it, merge your change and apply again\n", r.Revision)
	case "rejected":
		return out.printf("rejected: %s: %s; %s\n", r.Field, r.Reason, r.Remedy)
	default:
		return out.printf("%s: %s; ask again with --request-id %s\n", r.Verdict, r.Reason, r.RequestID)
	}
}

type configHistoryCommand struct {
	target
	Limit uint32 `help:"Number of changes to list." default:"20"`
}

// historyRow is one change in the JSON output of config history.
type historyRow struct {
	Revision  uint64 `json:"revision"`
	Time      string `json:"time"`
	Author    string `json:"author"`
	RequestID string `json:"request_id"`
	Change    string `json:"change"`
}

// Run lists the newest changes, newest first.
func (c *configHistoryCommand) Run(ctx context.Context, out *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	entries, err := client.History(ctx, c.Limit)
	if err != nil {
		return err
	}
	rows := make([]historyRow, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, historyRow{
			Revision: e.GetRevision(), Time: time.UnixMilli(e.GetTimeMs()).UTC().Format(time.RFC3339),
			Author: e.GetAuthor(), RequestID: e.GetRequestId(), Change: describeChange(e.GetChange()),
		})
	}
	if c.JSON {
		return out.json(rows)
	}
	table := make([][]string, 0, len(rows))
	for _, r := range rows {
		table = append(table, []string{strconv.FormatUint(r.Revision, 10), r.Time, r.Author, r.Change, r.RequestID})
	}
	return out.table([]string{"REVISION", "TIME", "AUTHOR", "CHANGE", "REQUEST ID"}, table)
}

// describeChange returns a short description of a change.
func describeChange(change *configpb.Change) string {
	switch k := change.GetKind().(type) {
	case *configpb.Change_PutDataCentre:
		return "put data centre " + k.PutDataCentre.GetName()
	case *configpb.Change_PutHost:
		return "put host " + k.PutHost.GetId()
	case *configpb.Change_DeleteHost:
		return "delete host " + k.DeleteHost
	case *configpb.Change_PutService:
		return "put service " + k.PutService.GetName()
	case *configpb.Change_DeleteService:
		return "delete service " + k.DeleteService
	case *configpb.Change_PutRoute:
		return "put route " + k.PutRoute.GetId()
	case *configpb.Change_DeleteRoute:
		return "delete route " + k.DeleteRoute
	case *configpb.Change_PutTeam:
		return "put team " + k.PutTeam.GetId()
	case *configpb.Change_DeleteTeam:
		return "delete team " + k.DeleteTeam
	case *configpb.Change_ReplaceAll:
		return "replace all"
	case *configpb.Change_Supersede:
		return fmt.Sprintf("supersede with version %d", k.Supersede.GetDocument().GetVersion())
	case *configpb.Change_SetShards:
		return fmt.Sprintf("set shards of %s to %d", k.SetShards.GetService(), k.SetShards.GetShards())
	default:
		return "unknown change"
	}
}

type configStatusCommand struct {
	target
	Wait    bool          `help:"Wait until every configured host has the newest revision in force."`
	Timeout time.Duration `help:"Longest wait." default:"30s"`
}

// statusResult is the JSON output of config status.
type statusResult struct {
	Revision uint64           `json:"revision"`
	InForce  bool             `json:"in_force_everywhere"`
	Replica  string           `json:"replica_state"`
	Warnings []string         `json:"warnings"`
	Hosts    []statusHostInfo `json:"hosts"`
}

type statusHostInfo struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	AgeMS      int64  `json:"age_ms"`
}

// Run prints the status. With --wait it fails if the newest revision is not in force everywhere in time.
func (c *configStatusCommand) Run(ctx context.Context, out *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	result, err := c.queryStatus(ctx, client)
	if err != nil {
		return err
	}
	if err := result.write(out, c.JSON); err != nil {
		return err
	}
	if c.Wait && !result.InForce {
		out.warnf("revision %d did not come into force everywhere within %s\n", result.Revision, c.Timeout)
		return ErrNegativeResult
	}
	return nil
}

// queryStatus returns the status. With --wait it repeats the query until the newest revision is in force
// everywhere or the timeout has passed.
func (c *configStatusCommand) queryStatus(ctx context.Context, client *operator.Client) (*statusResult, error) {
	deadline := time.Now().Add(c.Timeout)
	for {
		reply, err := client.Status(ctx)
		if err != nil {
			return nil, err
		}
		result := statusFromReply(reply)
		if !c.Wait || result.InForce || time.Now().After(deadline) {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		case <-time.After(statusInterval):
		}
	}
}

func statusFromReply(reply *configpb.StatusReply) *statusResult {
	result := &statusResult{
		Revision: reply.GetRevision(),
		InForce:  len(reply.GetHosts()) > 0,
		Replica:  reply.GetReplicaState(),
		Warnings: reply.GetWarnings(),
	}
	for _, h := range reply.GetHosts() {
		result.Hosts = append(result.Hosts, statusHostInfo{
			ID: h.GetId(), DataCentre: h.GetDataCentre(), State: h.GetState(), Revision: h.GetRevision(), AgeMS: h.GetAgeMs(),
		})
		if h.GetRevision() < reply.GetRevision() {
			result.InForce = false
		}
	}
	return result
}

func (r *statusResult) write(out *output, json bool) error {
	if json {
		return out.json(r)
	}
	header := fmt.Sprintf("revision %d, answered by a %s control replica\n", r.Revision, r.Replica)
	if err := out.printf("%s", header); err != nil {
		return err
	}
	if len(r.Warnings) > 0 {
		if err := out.printf("warning: %s\n", strings.Join(r.Warnings, "\nwarning: ")); err != nil {
			return err
		}
	}
	rows := make([][]string, 0, len(r.Hosts))
	for _, h := range r.Hosts {
		rows = append(rows, []string{h.ID, h.DataCentre, h.State, strconv.FormatUint(h.Revision, 10), formatContactAge(h.AgeMS)})
	}
	return out.table([]string{"HOST", "DATA CENTRE", "STATE", "REVISION", "HEARD"}, rows)
}

// formatContactAge states how long ago the replying replica last had direct contact with a host. A negative
// age means that the replica knows the host from gossip only.
func formatContactAge(ageMS int64) string {
	if ageMS < 0 {
		return "by gossip"
	}
	return fmt.Sprintf("%d ms ago", ageMS)
}

type replaceControlCommand struct {
	target
	Remove  string `arg:"" help:"Id of the control replica to remove."`
	Add     string `arg:"" help:"Id of the control replica to add; the same id after a lost disk."`
	Address string `arg:"" help:"Fleet address (ip:port) of the control replica to add."`
}

// Run requests the replacement and waits until the new member is in the group.
func (c *replaceControlCommand) Run(ctx context.Context, out *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	epoch, err := client.ReplaceControl(ctx, &configpb.ReplaceControlRequest{RemoveId: c.Remove, AddId: c.Add, AddAddress: c.Address})
	if err != nil {
		return err
	}
	if c.JSON {
		return out.json(map[string]uint64{"epoch": epoch})
	}
	return out.printf("%s replaces %s from epoch %d\n", c.Add, c.Remove, epoch)
}
