package app

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/groupkeeper"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// groupCheckInterval is how often a control host checks whether the control group needs a change.
	groupCheckInterval = 250 * time.Millisecond
	// changeGroupTimeout bounds the proposal of one change of the group.
	changeGroupTimeout = 2 * time.Second
)

// maintainControlGroup makes all control hosts members of the control group. Only a voting replica proposes
// changes.
func maintainControlGroup(lc fx.Lifecycle, b *background, s *settings.Settings, replica *agreement.Replica, m *membership.Runner, logger *log.Logger) {
	prefixed := logger.WithPrefix("group")
	keeper := groupkeeper.New(s.ID, time.Now())
	startComponent(lc, b, "control group", func(ctx context.Context) error {
		ticker := time.NewTicker(groupCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			status := replica.Status()
			if status.State != agreement.Voting {
				continue
			}
			if change, ok := keeper.NextChange(time.Now(), memberIDs(status.Members), controlHosts(m)); ok {
				changeGroup(ctx, replica, change, prefixed)
			}
		}
	})
}

func memberIDs(members []agreement.Member) []string {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

func controlHosts(m *membership.Runner) []groupkeeper.Host {
	var hosts []groupkeeper.Host
	for _, member := range m.Members() {
		hosts = append(hosts, groupkeeper.Host{
			ID: member.ID, Address: member.FleetAddress, DataCentre: member.DataCentre,
			Alive: member.State == fleetpb.NodeState_NODE_STATE_ALIVE,
		})
	}
	return hosts
}

func changeGroup(ctx context.Context, replica *agreement.Replica, change groupkeeper.Change, logger *log.Logger) {
	ctx, cancel := context.WithTimeout(ctx, changeGroupTimeout)
	defer cancel()
	request := &agreementpb.SwapRequest{RemoveId: change.Remove}
	if change.Add != nil {
		request.Add = &agreementpb.Member{Id: change.Add.ID, Address: change.Add.Address}
	}
	reply, err := replica.Swap(ctx, request)
	if err != nil || reply.GetError() != "" {
		logger.Warn("the control group was not changed", "remove", change.Remove, "add", request.GetAdd().GetId(), "err", logging.Err(err), "answer", reply.GetError())
		return
	}
	logger.Info("changed the control group", "remove", change.Remove, "add", request.GetAdd().GetId(), "epoch", reply.GetGroup().GetEpoch(),
		"members", len(reply.GetGroup().GetMembers()))
}
