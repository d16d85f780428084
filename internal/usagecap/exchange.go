package usagecap

import (
	"math"
	"time"
)

// Demand is what the report of a part says about a team. An entry without a team says on how many parts the sender
// counts, as the rate.
type Demand struct {
	Team string
	// Rate is what the part claims of the cap, in requests/s.
	Rate float64
	// Used counts the requests that the part has admitted. It begins anew when reports have not named the team for a while.
	Used int64
}

const (
	// scarceFraction is the part of a cap beyond which the sum of the claims makes a team scarce. Claims are larger than
	// the demand by the headroom.
	scarceFraction = 1
	// scarceAfterRefusal is for how long a refusal makes a team scarce.
	scarceAfterRefusal = 2 * time.Second
)

// Report returns the demand that other parts need to know, and starts a new report with the next number. Each report
// replaces the ones before. It also forgets idle teams; it has to be called every 250 ms, and takes time in proportion to
// the number of teams. The list belongs to the caller.
func (g *Ledger) Report(now time.Time) []Demand {
	g.advance(now)
	g.number++
	g.sent[g.number%reportsKept] = g.now
	g.refresh()
	list := []Demand{{Rate: float64(g.live)}}
	for i := 0; i < len(g.list); {
		t := g.list[i]
		c := g.claim(t)
		t.claims[g.number%reportsKept] = c
		g.update(t, t.limit)
		if d, named := g.state(t, c); named {
			list = append(list, d)
		} else if g.idle(t) {
			g.forget(t, i)
			continue
		}
		i++
	}
	return list
}

// Number returns the number of the newest report, for Delivered.
func (g *Ledger) Number() uint64 { return g.number }

// Delivered says that the ledger of another part has merged the report with this number. Without it shares do not grow.
func (g *Ledger) Delivered(now time.Time, part string, number uint64) {
	g.advance(now)
	p := g.peers[part]
	if p == nil || number > g.number || number <= p.acked || g.number-number >= reportsKept {
		return
	}
	lagged, known, overdue := p.acked == g.confirmed, p.knows(), g.now >= p.ackedAt+contactTimeout
	p.acked, p.ackedAt = number, g.sent[number%reportsKept]
	p.delay = g.now - p.ackedAt
	if lagged {
		g.lagging--
	}
	// With 1,000 parts it would take too long to look at all of them after each confirmation.
	if lagged && g.lagging <= 0 || known != p.knows() || overdue {
		g.refresh()
	}
}

// Merge merges the report of another part, which has this number there. Reports of a part have to be merged in the order in which they were taken, and
// those of an earlier dispatcher of the part have to be left out.
func (g *Ledger) Merge(now time.Time, part string, number uint64, list []Demand) {
	g.advance(now)
	if part == g.part {
		return
	}
	p := g.peer(part)
	if !p.live {
		p.meet(g)
	}
	changed := p.learnCount(list) || !p.live || !p.met
	known := p.report > 0
	p.heard, p.met, p.live, p.report = g.now, true, true, max(number, 1)
	if changed {
		g.refresh()
	}
	for _, d := range list {
		if d.Team == "" {
			continue
		}
		t := g.teams[d.Team]
		if t == nil {
			t = g.add(d.Team)
		}
		t.spend(g.now, g.bound.Window, g.admitted(t, p, d, known))
		t.setClaim(claim{peer: p, report: p.report, rate: float32(finite(d.Rate)), used: d.Used})
	}
	g.version++
}

// Scarce returns the teams that are near or over their cap.
func (g *Ledger) Scarce(now time.Time) []string {
	g.advance(now)
	var names []string
	for _, t := range g.list {
		if t.limit.Rate <= 0 {
			continue
		}
		total := g.others(t) + float64(t.claims[g.number%reportsKept])
		if total >= scarceFraction*t.limit.Rate || t.refused+scarceAfterRefusal > g.now {
			names = append(names, t.name)
		}
	}
	return names
}

// learnCount learns on how many parts the peer counts, and returns whether that has changed.
func (p *peer) learnCount(list []Demand) bool {
	former := p.countsOn
	if len(list) > 0 && list[0].Team == "" {
		p.countsOn = int(min(finite(list[0].Rate), math.MaxInt32))
	}
	return p.countsOn != former
}

// state returns what the new report says about a team, and whether it names the team at all.
func (g *Ledger) state(t *team, claim float32) (Demand, bool) {
	t.chargedAt[g.number%reportsKept] = t.charged
	if claim == 0 && t.used == t.told {
		return Demand{}, false
	}
	if g.number-t.toldIn > reportsKept {
		// The other parts have forgotten the former count.
		t.used -= t.told
	}
	t.told, t.toldIn = t.used, g.number
	return Demand{Team: t.name, Rate: float64(claim), Used: t.used}, true
}

// admitted returns how many requests a part has admitted since its last report. A part that was not known yet may have
// admitted them before this ledger began; then only what it can have admitted since counts.
func (g *Ledger) admitted(t *team, p *peer, d Demand, known bool) int64 {
	c := t.claimOf(p)
	switch {
	case c != nil && p.report-c.report <= reportsKept:
		return d.Used - c.used
	case !known:
		since := (t.budget.credit + t.limit.Rate*min(g.now, g.bound.Window).Seconds()) / float64(g.parts)
		return min(max(d.Used, 0), int64(math.Ceil(min(since, math.MaxInt32))))
	}
	return max(d.Used, 0)
}
