package usagecap

import "time"

const (
	// unknownHosts stands for the number of hosts while it is not known: the largest fleet that the system is built for.
	unknownHosts = 1500
	// calmDepth is the least depth for a team that was not near its cap. A smaller one refuses ordinary requests, since
	// the share of one host is a fraction of a request.
	calmDepth = 2
	// sweepEvery is how many teams are looked at for each request, to forget those with a full bucket.
	sweepEvery = 2
)

// Allowance enforces the caps on a host that places requests without a dispatcher. It is not safe for concurrent use.
type Allowance struct {
	bound  Bound
	start  time.Time
	now    time.Duration
	random random
	teams  map[string]*allowed
	list   []*allowed
	cursor int
}

// allowed is the state of one team.
type allowed struct {
	bucket
	team  string
	index int
	limit Limit
	share float64
	calm  bool
}

// NewAllowance returns the allowance of one host; the seed should differ between hosts.
func NewAllowance(seed uint64, b Bound) *Allowance {
	return &Allowance{bound: b.finite(), random: random(seed), teams: map[string]*allowed{}}
}

// Admit decides on a request of a team. The number of hosts is that of all entry hosts, 0 if it is unknown; the share is
// the service's part of this host's requests, from 0 to 1; scarce says whether the last dispatcher reported the team as
// near or over its cap. A refused caller finds a token after the returned time, at most the window.
func (a *Allowance) Admit(now time.Time, team string, l Limit, hosts int, share float64, scarce bool) (ok bool, retryAfter time.Duration) {
	if l.admitsAll() {
		return true, 0
	}
	if l.admitsNone() {
		return false, a.bound.Window
	}
	if a.start.IsZero() {
		a.start = now
	}
	a.now = max(a.now, now.Sub(a.start))
	if hosts <= 0 {
		hosts = unknownHosts
	}
	a.sweep()
	e := a.entry(team)
	e.adjust(a.now, a.bound, l, min(finite(share), 1)/float64(hosts), !scarce)
	if e.take(a.now, &a.random) {
		return true, 0
	}
	wait := e.waits(a.bound.Window)
	return false, e.promise(a.now, wait, a.bound.Window, e.rate)
}

// Return gives back the token of a request that did not reach a server.
func (a *Allowance) Return(team string) {
	if e := a.teams[team]; e != nil {
		e.tokens = min(e.tokens+1, e.depth)
	}
}

// entry returns the state of a team; the bucket of a new one is filled by its first adjustment.
func (a *Allowance) entry(team string) *allowed {
	e := a.teams[team]
	if e == nil {
		e = &allowed{team: team, index: len(a.list), share: -1}
		a.teams[team] = e
		a.list = append(a.list, e)
	}
	return e
}

// take takes a token. A bucket that is too shallow for a whole token admits a request with the probability of what it
// holds, and is empty afterwards in either case.
func (e *allowed) take(now time.Duration, r *random) bool {
	e.settle(now)
	if e.depth < almostOne {
		p := e.tokens
		e.tokens = 0
		return r.chance(p)
	}
	if e.tokens < almostOne {
		return false
	}
	e.tokens--
	return true
}

// adjust applies the limit and the share of this host. Only a new bucket gets tokens.
func (e *allowed) adjust(now time.Duration, b Bound, l Limit, share float64, calm bool) {
	if e.limit == l && e.share == share && e.calm == calm {
		return
	}
	fresh := e.share < 0
	e.limit, e.share, e.calm = l, share, calm
	l = l.finite()
	depth := (l.Burst + b.excess(l)/2) * share
	if calm && share > 0 {
		depth = max(depth, calmDepth)
	}
	e.change(now, l.Rate*share, depth)
	if fresh {
		e.tokens, e.settled = depth, now
	}
}

// sweep forgets teams whose bucket is full, a few at a time. Their next request starts with a full bucket again.
func (a *Allowance) sweep() {
	for range min(sweepEvery, len(a.list)) {
		if a.cursor >= len(a.list) {
			a.cursor = 0
		}
		e := a.list[a.cursor]
		e.settle(a.now)
		if e.tokens < e.depth || e.promised > a.now {
			a.cursor++
			continue
		}
		a.forget(e)
	}
}

func (a *Allowance) forget(e *allowed) {
	last := a.list[len(a.list)-1]
	a.list[e.index], last.index = last, e.index
	a.list = a.list[:len(a.list)-1]
	delete(a.teams, e.team)
}
