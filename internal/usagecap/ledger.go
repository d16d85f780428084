package usagecap

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// contactTimeout is how long two parts that do not reach each other keep their shares: a part that received no
	// confirmation from another one for this long falls back to an equal share, and a part that received no report from
	// another one for this long counts on that.
	contactTimeout = 2 * time.Second
	// reportsKept is for how many of its reports a part knows what it said. 16 reports cover 4 s at 250 ms.
	reportsKept = 16
	// reportInterval is how often reports are expected.
	reportInterval = 250 * time.Millisecond
	// silentAfter is the age of a part's newest report from which its requests are reserved for one by one. Reports that
	// take 500 ms are at most 750 ms old.
	silentAfter = 800 * time.Millisecond
	// assumedDelay is how long reports and their confirmations take until one is confirmed.
	assumedDelay = 500 * time.Millisecond
	// disputeAfter is how long parts that reach each other may count on different numbers of parts. Parts notice the end
	// of another one up to a report's interval and delay apart.
	disputeAfter = 750 * time.Millisecond
	// startFraction is the part of an equal share that a part uses until all others know it. Others may not count on a
	// part that was just added, and hold most of the cap if it is a successor.
	startFraction = 0.25
	// startExcess is the part of the overage and the slack with which the bucket of a ledger that has just started begins.
	// Without it the first request of each team would be refused, however far below its cap.
	startExcess = 0.25
)

// Ledger enforces the caps for one dispatcher. It is not safe for concurrent use.
type Ledger struct {
	bound  Bound
	start  time.Time
	now    time.Duration
	part   string
	random random

	teams map[string]*team
	list  []*team

	peers map[string]*peer
	// number is that of the newest report; sent holds when the newest ones were taken.
	number uint64
	sent   [reportsKept]time.Duration

	contact
	// version changes with everything that a share depends on.
	version uint64
	// connected is the fraction of the hosts that use a dispatcher.
	connected float64
	// disputedAt is since when a live peer has counted on another number of parts.
	disputedAt time.Duration
	// oldest is when the oldest of the newest reports was taken, except those of silent peers, as of agedAt.
	oldest, agedAt time.Duration
	silent         []*peer
	// slow is set while reports are so late that a request may be unknown to some part for long.
	slow bool
	// missing is set while a live peer is silent.
	missing bool
}

// contact is what the states of the peers mean for the shares of this part.
type contact struct {
	// parts counts all parts, live those whose claims count; both include this part.
	parts, live int
	// confirmed is the newest report that all live peers have merged.
	confirmed uint64
	// lagging counts the live peers that have merged no later report than that.
	lagging int
	// joined is set once all peers knew this part.
	joined bool
	// frozen is set while a peer may not know this part: shares may shrink only.
	frozen bool
	// overdue is set while a peer that still counts may have given up this part.
	overdue bool
	// disputed is set while a live peer counts on another number of parts: then parts that do not reach each other may
	// count on the same tokens, and each part keeps to an equal share.
	disputed bool
	// until is when this has to be worked out again, if no event comes before.
	until time.Duration
}

// peer is another part.
type peer struct {
	// listed is set for the parts of the configuration. Others count while they report.
	listed bool
	// live is set while the claims of the part count.
	live  bool
	heard time.Duration
	// report is the number of the newest merged report, 0 if there is none; claims of earlier ones have ended.
	report uint64
	// countsOn is on how many parts the peer counts, itself included.
	countsOn int
	// met is set if a report was merged since the contact began.
	met bool
	// joined is the number of this part's newest report when the peer came into contact; acked is the newest report that
	// the peer has merged, taken at ackedAt.
	joined, acked uint64
	ackedAt       time.Duration
	// delay is how long the newest confirmed report and its confirmation took.
	delay time.Duration
}

// NewLedger returns the ledger of the dispatcher for a part. Until SetParts is called it is the only part.
func NewLedger(now time.Time, part string, b Bound) *Ledger {
	h := fnv.New64a()
	h.Write([]byte(part))
	g := &Ledger{
		bound: b.finite(), start: now, part: part, random: random(h.Sum64() ^ uint64(now.UnixNano())),
		teams: map[string]*team{}, peers: map[string]*peer{}, connected: 1,
		// Numbers of an earlier ledger of the part are not taken for those of this one.
		number: uint64(max(now.UnixNano(), reportsKept)),
	}
	g.refresh()
	return g
}

// SetParts sets the names of the parts of all dispatchers (shards of all services). A part that is not among them any
// more counts until it has been silent for 2 s.
func (g *Ledger) SetParts(now time.Time, parts []string) {
	g.advance(now)
	for _, p := range g.peers {
		p.listed = false
	}
	for _, name := range parts {
		if name != g.part {
			g.peer(name).listed = true
		}
	}
	g.refresh()
}

// SetHosts sets how many of the entry hosts use a dispatcher. The part of the others is left to their allowances. Hosts
// that do not run count as connected. A total of 0 means that all use a dispatcher.
func (g *Ledger) SetHosts(now time.Time, connected, total int) {
	g.advance(now)
	c := 1.0
	if total > 0 {
		c = min(max(float64(connected)/float64(total), 0), 1)
	}
	if c != g.connected {
		g.connected = c
		g.version++
	}
}

// Admit decides on a request of a team and counts it if it returns true. A refused caller finds a token after the
// returned time, at most the window. A limit without a rate admits all requests and keeps no state; one with a negative
// rate or NaN admits none.
func (g *Ledger) Admit(now time.Time, name string, l Limit) (ok bool, retryAfter time.Duration) {
	if l.admitsAll() {
		return true, 0
	}
	if l.admitsNone() {
		return false, g.bound.Window
	}
	g.advance(now)
	t := g.teams[name]
	if t == nil {
		t = g.add(name)
	}
	t.asked(g.now)
	g.update(t, l)
	if g.grant(t) {
		t.used++
		t.spend(g.now, g.bound.Window, 1)
		return true, 0
	}
	t.refused = g.now
	return false, g.retry(t)
}

// Return gives back the token of a request that did not reach a server.
func (g *Ledger) Return(now time.Time, name string) {
	g.advance(now)
	if t := g.teams[name]; t != nil && t.limit.Rate > 0 {
		t.used--
		t.spend(g.now, g.bound.Window, -1)
		if _, unknown := g.credit(t); unknown > 0 {
			t.charged--
		}
	}
}

// advance moves the time on; a clock that goes back stands still.
func (g *Ledger) advance(now time.Time) {
	g.now = max(g.now, now.Sub(g.start))
	if g.now >= g.until {
		g.refresh()
	}
}

// peer returns a peer, which is added if it is not known.
func (g *Ledger) peer(name string) *peer {
	p := g.peers[name]
	if p == nil {
		p = &peer{live: true, heard: g.now, delay: assumedDelay}
		p.meet(g)
		g.peers[name] = p
	}
	return p
}

// meet starts the contact with a peer: until it has merged a later report, it may not know this part.
func (p *peer) meet(g *Ledger) {
	p.joined, p.acked, p.ackedAt = g.number, g.number, g.now
}

// knows reports whether the peer has merged a report since the contact began, and this part one of the peer.
func (p *peer) knows() bool { return p.met && p.acked > p.joined }

// refresh works out what the states of the peers mean.
func (g *Ledger) refresh() {
	c := contact{parts: 1, live: 1, confirmed: g.number, joined: g.joined, until: math.MaxInt64}
	for name, p := range g.peers {
		expires := p.heard + contactTimeout
		if !p.listed && g.now >= expires {
			p.live = false
			delete(g.peers, name)
			continue
		}
		c.parts++
		p.live = g.now < expires
		if !p.live {
			p.met = false
			continue
		}
		c.live++
		if p.acked < c.confirmed {
			c.confirmed, c.lagging = p.acked, 0
		}
		if p.acked == c.confirmed {
			c.lagging++
		}
		c.frozen = c.frozen || !p.knows()
		overdue := p.ackedAt + contactTimeout
		c.overdue = c.overdue || g.now >= overdue
		c.until = min(c.until, expires)
		if overdue > g.now {
			c.until = min(c.until, overdue)
		}
	}
	c.joined = c.joined || !c.frozen
	g.dispute(&c)
	if c != g.contact {
		g.contact = c
		g.version++
	}
}

// dispute finds out whether the live peers have counted on other numbers of parts for too long.
func (g *Ledger) dispute(c *contact) {
	agreed := true
	for _, p := range g.peers {
		agreed = agreed && (!p.live || !p.met || p.countsOn == c.live)
	}
	if agreed {
		g.disputedAt = math.MaxInt64 - disputeAfter
		return
	}
	g.disputedAt = min(g.disputedAt, g.now)
	c.disputed = g.now >= g.disputedAt+disputeAfter
	if !c.disputed {
		c.until = min(c.until, g.disputedAt+disputeAfter)
	}
}
