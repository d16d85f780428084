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

// quota limits each team's requests in flight on this node.
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

// Handle counts requests under the id of the team that the snapshot returned. Unknown teams
// therefore share the default team's quota and cannot make the table grow.
func (f *quota) Handle(x *Exchange) error {
	shard := &f.shards[xxhash.Sum64String(x.team.ID)%quotaShards]
	if !shard.tryAcquire(x.team.ID, x.team.InFlightQuota) {
		return problem.New(problem.Quota, problem.NotRun, fmt.Sprintf("the quota on this host is %d", x.team.InFlightQuota)).After(quotaRetryAfter)
	}
	defer shard.release(x.team.ID)
	return f.next.Handle(x)
}

// tryAcquire counts a request unless the team's quota is used up. A quota of 0 means unlimited.
func (s *quotaShard) tryAcquire(team string, limit uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && s.inFlight[team] >= limit {
		return false
	}
	s.inFlight[team]++
	return true
}

func (s *quotaShard) release(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.inFlight[team]
	if !invariant.Check(count > 0, "entry.quota", "a team released a request that it had not acquired") {
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
