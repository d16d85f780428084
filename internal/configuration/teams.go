package configuration

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/route"
	"github.com/tarragonmux/tarragonmux/internal/usagecap"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// DefaultInFlightQuota applies while neither the team nor the default team sets a quota.
	DefaultInFlightQuota = 256
	// teamShards is the number of shards of a teamTable. A change of one team copies only its shard
	// instead of the whole table: with 60,000 teams a shard holds about 234.
	teamShards = 256
)

// teamTable is a sharded hash map of teams. A shard is never modified once another table shares it.
type teamTable struct {
	shards *[teamShards]map[string]route.Team
	// fallback is the team DefaultTeam, or its defaults if it is not configured. Unknown teams get it, and
	// teams without a quota get its quota.
	fallback route.Team
}

func shardOf(id string) uint64 { return xxhash.Sum64String(id) % teamShards }

func compileTeams(teams []*configpb.Team) teamTable {
	t := teamTable{shards: &[teamShards]map[string]route.Team{}, fallback: compileTeam(&configpb.Team{Id: DefaultTeam})}
	for _, team := range teams {
		t.add(team)
	}
	return t
}

func compileTeam(t *configpb.Team) route.Team {
	return route.Team{
		ID:            t.GetId(),
		Weight:        max(t.GetWeight(), 1),
		InFlightQuota: t.GetInFlightQuota(),
		Services:      t.GetServices(),
		HasPriority:   t.GetPriority() != configpb.Priority_PRIORITY_UNSPECIFIED,
		Priority:      priority.FromProto(t.GetPriority()),
		Limit:         usagecap.Limit{Rate: t.GetRateLimit(), Burst: t.GetBurst()},
	}
}

// UsageCap returns the usage cap of a team in a document in canonical order; a team that is not configured has none.
func UsageCap(d *configpb.Document, team string) usagecap.Limit {
	t, _ := find(d.GetTeams(), teamKey, team)
	return usagecap.Limit{Rate: t.GetRateLimit(), Burst: t.GetBurst()}
}

func (t *teamTable) add(team *configpb.Team) {
	compiled := compileTeam(team)
	if team.GetId() == DefaultTeam {
		t.fallback = compiled
	}
	shard := &t.shards[shardOf(team.GetId())]
	if *shard == nil {
		*shard = map[string]route.Team{}
	}
	(*shard)[team.GetId()] = compiled
}

// withShardCopied returns a table with its own copy of the id's shard, which may be modified.
func (t teamTable) withShardCopied(id string) teamTable {
	shards := *t.shards
	i := shardOf(id)
	shards[i] = maps.Clone(shards[i])
	return teamTable{shards: &shards, fallback: t.fallback}
}

func (t teamTable) withTeam(team *configpb.Team) teamTable {
	next := t.withShardCopied(team.GetId())
	next.add(team)
	return next
}

func (t teamTable) withoutTeam(id string) teamTable {
	next := t.withShardCopied(id)
	shard := &next.shards[shardOf(id)]
	delete(*shard, id)
	if len(*shard) == 0 {
		*shard = nil
	}
	if id == DefaultTeam {
		next.fallback = compileTeam(&configpb.Team{Id: DefaultTeam})
	}
	return next
}

func (t teamTable) get(id string) route.Team {
	team, ok := t.shards[shardOf(id)][id]
	if !ok {
		team = t.fallback
	}
	if team.InFlightQuota == 0 {
		team.InFlightQuota = t.fallback.InFlightQuota
	}
	if team.InFlightQuota == 0 {
		team.InFlightQuota = DefaultInFlightQuota
	}
	return team
}
