package usagecap

import (
	"math"
	"time"
)

const (
	// refillOverage and depthOverage are the parts of the overage that raise the rate and the depth of a cap's bucket.
	refillOverage = 0.15
	depthOverage  = 0.55
	// depthSlack is the part of the slack that deepens the bucket.
	depthSlack = 0.5
	// margin is the part of the overage and the slack that is kept for shares in transit and for parts that were just
	// added or replaced.
	margin = 0.2
	// usualAge is the age of reports that the cap leaves room for.
	usualAge = 300 * time.Millisecond
	// agesKept is how long the age of the oldest report is not worked out again.
	agesKept = 10 * time.Millisecond
	// equalCredit is the part of the credit that is divided equally, so that a part can serve first requests. The rest
	// follows the shares.
	equalCredit = 0.7
	// idleCredit is the part of the window that the credit of all parts is for a team without requests in the window. It
	// shrinks by each request, down to the credit of a team at its cap. More of it lets more of a burst in at one part, and
	// leaves less room for a team that begins to use its full rate.
	idleCredit = 0.6
	// knownAfter is the age from which all parts know a request, and no longer have unknown ones from before they did.
	knownAfter = 1500 * time.Millisecond
	// slowReports is the delay of reports from which that is not certain.
	slowReports = 400 * time.Millisecond
)

// budget is what the limit of a team means in numbers.
type budget struct {
	// rate and depth are those of the bucket that the requests of all parts are taken from.
	rate, depth float64
	// most is how many requests all parts may admit in a window.
	most float64
	// credit is how many requests all parts together may have admitted without the others knowing, besides those at the
	// rate of their shares, if the team is at its cap; idle is the same for a team without requests in the window.
	credit, idle float64
}

// creditAt returns the credit of all parts together if so many requests are in the window.
func (b *budget) creditAt(requests float64) float64 { return max(b.credit, b.idle-requests) }

func (b Bound) budget(l Limit, connected float64) budget {
	excess := b.excess(l) - b.Slack
	w := l.Rate * b.Window.Seconds()
	depth := l.Burst + depthOverage*excess + depthSlack*b.Slack
	most := w + l.Burst + (1-margin)*(excess+b.Slack)
	credit := 0.95 * (most - 0.98*w - l.Rate*usualAge.Seconds())
	return budget{
		rate: l.Rate * (1 + refillOverage*b.Overage) * connected, depth: depth * connected, most: most * connected,
		credit: max(credit, 0) * connected, idle: idleCredit * most * connected,
	}
}

// usage is what a part knows of the requests that all parts have admitted for a team.
type usage struct {
	// level is a bucket for the whole cap.
	level  bucket
	window window
	// used counts the requests that this part has admitted, as its reports state it; told and toldIn are the count in the
	// newest report that named the team, and the number of that report.
	used, told int64
	toldIn     uint64
	// charged counts what was charged to the credit of this part; by report, to know how much the others do not know.
	charged   uint32
	chargedAt [reportsKept]uint32
}

// spend counts admitted requests; a negative number counts returned ones.
func (u *usage) spend(now, length time.Duration, requests int64) {
	u.level.settle(now)
	n := float64(requests)
	u.level.tokens = min(max(u.level.tokens-n, -u.level.depth), u.level.depth)
	u.window.advance(now, length)
	u.window.add(int32(min(max(requests, math.MinInt16), math.MaxInt32/4)))
}

// grant decides whether the team may run one more request, and charges it.
//
// Three conditions hold for each admitted request. The bucket of the whole cap, as far as this part knows, has a token.
// This part has admitted no more than its credit since the newest report that all others have merged. And the window has
// room even if all others have used up their credits since their newest reports.
func (g *Ledger) grant(t *team) bool {
	t.level.settle(g.now)
	t.window.advance(g.now, g.bound.Window)
	if t.level.tokens < almostOne || float64(t.window.sum)+1 > t.budget.most-g.reserve(t) {
		return false
	}
	if g.alone() {
		return true
	}
	credit, unknown := g.credit(t)
	switch {
	case credit >= almostOne:
		if unknown+almostOne > credit {
			return false
		}
	case unknown > 0:
		return false
	case !g.random.chance(credit):
		// A credit of less than a request is used up by the attempt.
		t.charged++
		return false
	}
	t.charged++
	return true
}

// alone reports whether no other part has to know what this one admits.
func (g *Ledger) alone() bool { return g.live == 1 && !g.overdue }

// credit returns how many requests this part may have admitted that others do not know, and how many it has.
func (g *Ledger) credit(t *team) (credit, unknown float64) {
	since := g.confirmed
	if g.number-since >= reportsKept {
		since = g.number - reportsKept + 1
	}
	age := g.now - g.sent[since%reportsKept]
	total := t.budget.credit
	if g.age(); !g.slow && !g.missing {
		total = t.budget.creditAt(float64(t.window.sum))
	}
	own := total * (equalCredit/float64(g.parts) + (1-equalCredit)*t.share)
	return own + t.share*t.limit.Rate*age.Seconds(), float64(t.charged - t.chargedAt[since%reportsKept])
}

// reserve returns how many requests other parts may have admitted since their newest reports, and how many may have been
// admitted at the full rate in the part of the window before this ledger began.
func (g *Ledger) reserve(t *team) float64 {
	before := t.limit.Rate * max(g.bound.Window-g.now, 0).Seconds() * g.connected
	if g.parts == 1 {
		return before
	}
	rest := 1 - t.share
	age, known := g.age().Seconds(), 0.0
	if !g.slow {
		known = float64(t.window.before(knownAfter, g.bound.Window)) + before
	}
	sum := t.budget.creditAt(known)*(equalCredit*(1-1/float64(g.parts))+(1-equalCredit)*rest) + rest*t.limit.Rate*age
	for _, p := range g.silent {
		share := 1 / float64(g.parts)
		if c := t.claimOf(p); p.live && c != nil {
			share = min(share+float64(c.rate)/t.limit.Rate, 1)
		}
		age := min(g.now-p.heard, g.bound.Window)
		sum += share * t.limit.Rate * age.Seconds()
		if p.live {
			sum += (t.budget.idle - t.budget.credit) * (equalCredit/float64(g.parts) + (1-equalCredit)*share)
		}
	}
	return before + sum*g.connected
}

// age returns the age of the oldest of the newest reports, including the time that reports and their confirmations take.
// It leaves out silent parts and lists them.
func (g *Ledger) age() time.Duration {
	if g.agedAt == 0 || g.now-g.agedAt >= agesKept {
		g.agedAt, g.oldest, g.silent, g.slow = g.now, g.now, g.silent[:0], g.frozen
		g.missing = false
		for _, p := range g.peers {
			if g.now-p.heard > silentAfter {
				g.silent = append(g.silent, p)
				g.missing = g.missing || p.live
				continue
			}
			// A report is older than its arrival, and its sender counts from the report that it knows to be merged.
			g.oldest = min(g.oldest, p.heard-p.delay)
			g.slow = g.slow || p.delay > slowReports
		}
	}
	return g.now - g.oldest
}

// retry returns when a refused caller finds a token, after the callers refused before it; at most the window.
func (g *Ledger) retry(t *team) time.Duration {
	length := g.bound.Window
	room := t.budget.most - g.reserve(t) - 1
	wait := max(t.level.waits(length), t.window.falls(g.now, length, room))
	if !g.alone() {
		credit, unknown := g.credit(t)
		if missing := unknown + 1 - credit; missing > 0 {
			// The credit grows with time, and is restored when all others confirm a report.
			wait = max(wait, min(seconds(missing/(t.share*t.limit.Rate), length), 2*usualAge))
		}
	}
	return t.level.promise(g.now, wait, length, t.share*t.level.rate)
}
