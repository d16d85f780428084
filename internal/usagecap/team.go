package usagecap

import (
	"math"
	"time"
)

const (
	// averagedOver is the time constant of the average demand.
	averagedOver = 500 * time.Millisecond
	// headroom is by how much a claim exceeds the average demand, so that a part at its average rate is not refused when
	// the sum of the claims reaches the cap.
	headroom = 1.3
	// reportAbove is the part of an equal share above which demand is reported although no other part reports the team.
	reportAbove = 0.25
	// ignoreBelow is the same for a team that another part reports. It ends the reports of a team that no one uses.
	ignoreBelow = 0.01
	// floorShare is what all parts together keep of a cap whatever the claims, for the first requests at a part.
	floorShare = 0.02
)

// team is the state of one team.
type team struct {
	usage
	name   string
	limit  Limit
	budget budget
	share  float64
	// live is the part of the parts that counted when the bucket was set.
	live float64
	// version is that of the ledger when the share was worked out.
	version uint64
	// demand is the average rate of requests, as of counted.
	demand  float64
	counted time.Duration
	refused time.Duration
	// claims holds what the newest reports claimed.
	claims [reportsKept]float32
	// others holds the claims of other parts.
	others []claim
}

// claim is what a peer claims; it has ended if the peer has sent another report since.
type claim struct {
	peer   *peer
	report uint64
	rate   float32
	used   int64
}

// counts reports whether the claim is in the newest report of a live peer.
func (c *claim) counts() bool { return c.peer.live && c.report == c.peer.report }

// kept reports whether the peer still counts its requests from the same beginning.
func (c *claim) kept() bool { return c.peer.report-c.report <= reportsKept }

// add starts the state of a team.
func (g *Ledger) add(name string) *team {
	t := &team{name: name, share: -1, refused: -scarceAfterRefusal}
	t.counted = g.now
	g.teams[name] = t
	g.list = append(g.list, t)
	return t
}

// forget ends the state of the team at index i of the list.
func (g *Ledger) forget(t *team, i int) {
	last := len(g.list) - 1
	g.list[i] = g.list[last]
	g.list[last] = nil
	g.list = g.list[:last]
	delete(g.teams, t.name)
}

// idle reports whether a team that no report names has the state that it would start with.
func (g *Ledger) idle(t *team) bool {
	t.level.settle(g.now)
	t.window.advance(g.now, g.bound.Window)
	if t.window.sum != 0 || t.level.tokens < t.level.depth || t.level.promised > g.now || g.number-t.toldIn <= reportsKept {
		return false
	}
	for i := range t.others {
		if t.others[i].kept() {
			return false
		}
	}
	return g.now >= g.bound.Window && t.refused+scarceAfterRefusal <= g.now
}

// asked counts a request, admitted or not.
func (t *team) asked(now time.Duration) {
	t.decay(now)
	t.demand += 1 / averagedOver.Seconds()
}

func (t *team) decay(now time.Duration) {
	if passed := now - t.counted; passed > 0 {
		t.demand *= math.Exp(-float64(passed) / float64(averagedOver))
		t.counted = now
	}
}

// claimOf returns the newest claim of a peer, nil if there is none.
func (t *team) claimOf(p *peer) *claim {
	for i := range t.others {
		if t.others[i].peer == p {
			return &t.others[i]
		}
	}
	return nil
}

// setClaim sets what a peer claims and drops claims that are no longer needed.
func (t *team) setClaim(c claim) {
	kept := t.others[:0]
	for _, o := range t.others {
		if o.peer != c.peer && o.kept() {
			kept = append(kept, o)
		}
	}
	t.others = append(kept, c)
}

// others returns the sum of what the other parts claim.
func (g *Ledger) others(t *team) float64 {
	var sum float64
	for i := range t.others {
		if t.others[i].counts() {
			sum += float64(t.others[i].rate)
		}
	}
	return sum
}

// claim returns what the next report claims for a team.
func (g *Ledger) claim(t *team) float32 {
	t.decay(g.now)
	least := ignoreBelow
	if g.others(t) == 0 {
		least = reportAbove
	}
	if t.limit.Rate <= 0 || t.demand < least*t.limit.Rate/float64(g.parts) {
		return 0
	}
	return float32(min(t.limit.Rate, headroom*t.demand))
}

// confirmedClaim returns the largest claim that all live peers know: the smallest one of all reports from the newest that
// all of them have merged.
func (g *Ledger) confirmedClaim(t *team) float64 {
	if g.number-g.confirmed >= reportsKept {
		return 0
	}
	least := t.claims[g.number%reportsKept]
	for n := g.confirmed; n < g.number; n++ {
		least = min(least, t.claims[n%reportsKept])
	}
	return float64(least)
}

// update applies a limit and what has changed since the share was worked out, without adding tokens.
func (g *Ledger) update(t *team, l Limit) {
	if t.version == g.version+1 && t.limit == l {
		return
	}
	fresh := t.limit.Rate <= 0
	t.limit, t.version = l, g.version+1
	if l.Rate <= 0 {
		return
	}
	l = l.finite()
	t.share = g.shareOf(t, l)
	t.budget = g.bound.budget(l, g.connected)
	live := float64(g.live) / float64(g.parts)
	if g.disputed {
		live = 1 / float64(g.parts)
	}
	if !g.joined {
		live *= startFraction
	}
	t.level.change(g.now, t.budget.rate*live, t.budget.depth*live)
	switch {
	case fresh:
		g.fill(t)
	case live < t.live:
		// The lost parts may have used their credits, as these parts have.
		t.window.advance(g.now, g.bound.Window)
		const since = contactTimeout + reportInterval
		recent := float64(t.window.sum-t.window.before(since, g.bound.Window)) - t.level.rate*since.Seconds()
		t.level.tokens = min(t.level.tokens, t.level.depth-max(recent, 0))
	}
	t.live = live
}

// fill sets the first tokens of a team: this part's share of startExcess if the ledger has just started, since earlier
// requests are not known, and otherwise what the requests of the last window leave.
func (g *Ledger) fill(t *team) {
	t.window.advance(g.now, g.bound.Window)
	left := t.budget.depth + t.budget.rate*g.bound.Window.Seconds() - float64(t.window.sum)
	start := startExcess * g.bound.excess(t.limit.finite()) * g.connected / float64(g.parts)
	t.level.tokens = min(t.level.depth, start+t.level.rate*g.now.Seconds(), left)
	t.level.settled = g.now
}

// shareOf returns the share of this part. If every part counts for itself at most what all the others know that it
// claims, the shares sum to at most 1: what a part gets shrinks as the claims of others grow.
func (g *Ledger) shareOf(t *team, l Limit) float64 {
	live := float64(g.live)
	fraction := live / float64(g.parts)
	own := min(g.confirmedClaim(t)/(l.Rate*fraction), 1)
	total := own + g.others(t)/(l.Rate*fraction)
	part := own
	if total > 1 {
		part = own / total
	} else {
		part += (1 - total) / live
	}
	share := fraction * (floorShare/live + (1-floorShare)*part)
	equal := 1 / float64(g.parts)
	if g.overdue || g.disputed {
		share = min(share, equal)
	}
	if g.frozen {
		former := t.share
		if former < 0 {
			former = equal
		}
		share = min(share, former)
	}
	if !g.joined {
		share = min(share, startFraction*equal)
	}
	return share
}
