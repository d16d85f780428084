package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

const (
	// TeamBuckets is the number of hashed team buckets in observations.
	TeamBuckets = 64

	quotaShards     = 64
	quotaRetryAfter = 200 * time.Millisecond
)

// quota bounds the requests of each team in flight on this node.
type quota struct {
	next   Filter
	shards [quotaShards]quotaShard
}

type quotaShard struct {
	mu       sync.Mutex
	inFlight map[string]uint32
}

func newQuota(_ context.Context, next Filter, _ *Config, _ string) (Filter, error) {
	f := &quota{next: next}
	for i := range f.shards {
		f.shards[i].inFlight = map[string]uint32{}
	}
	return f, nil
}

// Handle counts under the id of the team that the snapshot returned, so unknown teams share
// the default team's quota and cannot grow the table.
func (f *quota) Handle(x *Exchange) error {
	shard := &f.shards[xxhash.Sum64String(x.team.ID)%quotaShards]
	if !shard.enter(x.team.ID, x.team.InFlightQuota) {
		return problem.New(problem.Quota, problem.NotRun, fmt.Sprintf("the quota on this host is %d", x.team.InFlightQuota)).After(quotaRetryAfter)
	}
	defer shard.leave(x.team.ID)
	return f.next.Handle(x)
}

// enter counts a request in; a quota of 0 means no bound.
func (s *quotaShard) enter(team string, limit uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && s.inFlight[team] >= limit {
		return false
	}
	s.inFlight[team]++
	return true
}

func (s *quotaShard) leave(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.inFlight[team]
	if !invariant.Check(count > 0, "entry.quota", "a team leaves without having entered") {
		return
	}
	if count == 1 {
		delete(s.inFlight, team)
		return
	}
	s.inFlight[team] = count - 1
}

func teamBucket(team string) int {
	return int(xxhash.Sum64String(team) % TeamBuckets)
}
