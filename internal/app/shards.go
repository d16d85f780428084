package app

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/configuration/control"
	"github.com/tarragonmux/tarragonmux/internal/groupkeeper"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/shard"
)

const (
	// shardCheckInterval is how often a control host compares the number of shards with that of the servers.
	shardCheckInterval = 500 * time.Millisecond
	// changeShardsTimeout bounds the proposal of one change.
	changeShardsTimeout = 2 * time.Second
)

// maintainShards keeps the number of shards of each service in proportion to its backend servers. One member
// of the control group proposes changes; if several do, the log decides.
func maintainShards(lc fx.Lifecycle, b *background, s *settings.Settings, replica *agreement.Replica, m *membership.Runner, components *controlComponents, logger *log.Logger) {
	keeper := shardKeeper{
		keeper: shard.NewKeeper(), log: components.Log, logger: logger.WithPrefix("shards"), registry: m,
		proposes: func() bool {
			status := replica.Status()
			return status.State == agreement.Voting && groupkeeper.Proposes(s.ID, memberIDs(status.Members), controlHosts(m))
		},
	}
	startComponent(lc, b, "shards", func(ctx context.Context) error {
		ticker := time.NewTicker(shardCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				keeper.check(ctx, time.Now())
			}
		}
	})
}

// shardKeeper proposes the changes that a shard.Keeper decides on.
type shardKeeper struct {
	keeper   *shard.Keeper
	log      *control.Log
	logger   *log.Logger
	registry *membership.Runner
	proposes func() bool
}

func (k *shardKeeper) check(ctx context.Context, now time.Time) {
	if !k.proposes() {
		return
	}
	for _, s := range k.log.Document().GetServices() {
		usable := 0
		for _, server := range k.registry.Servers(s.GetName()) {
			if server.Usable(now) {
				usable++
			}
		}
		count, ok := k.keeper.Next(now, s.GetName(), int(s.GetShards()), usable)
		if !ok {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, changeShardsTimeout)
		err := k.log.SetShards(bounded, s.GetName(), count, "shards")
		cancel()
		if err != nil {
			k.logger.Warn("the number of shards was not changed; trying again", "service", s.GetName(), "shards", count, "err", logging.Err(err))
			continue
		}
		k.logger.Info("changed the number of shards", "service", s.GetName(), "from", s.GetShards(), "to", count, "servers", usable)
	}
}
