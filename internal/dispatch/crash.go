package dispatch

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

const (
	// crashWindow joins broken connections and refusals to one crash.
	crashWindow = 500 * time.Millisecond
	// crashServers is how many different servers must crash on a fingerprint.
	crashServers = 2
	// poisonFor is how long a fingerprint is refused.
	poisonFor = 10 * time.Minute
	// crashRecords bounds the table.
	crashRecords = 1024
	// answeredFor is how long an answer shows that a request is harmless. What crashes servers is
	// never answered, while a harmless request may be on several servers when they crash.
	answeredFor = time.Minute
	// answeredSlots bounds the table of answered fingerprints; a collision forgets the older one.
	answeredSlots = 4096
	// holdFor is how long a server that crashed gets no work.
	holdFor = time.Second
	// refusalsNeeded is how many refused connections make a server bad.
	refusalsNeeded = 2
)

// crashRecord is what is known of one fingerprint.
type crashRecord struct {
	servers []string
	seen    time.Time
	until   time.Time
}

// crashTable finds requests that crash servers.
type crashTable struct {
	records map[uint64]*crashRecord
	// answered holds the last answers by fingerprint.
	answered [answeredSlots]answeredRecord
}

type answeredRecord struct {
	fingerprint uint64
	at          time.Time
}

func newCrashTable() *crashTable {
	return &crashTable{records: map[uint64]*crashRecord{}}
}

// suspect tells whether the fingerprint was on a server that crashed.
func (t *crashTable) suspect(fingerprint uint64) bool {
	return fingerprint != 0 && t.records[fingerprint] != nil
}

// poisoned tells whether the fingerprint is refused.
func (t *crashTable) poisoned(now time.Time, fingerprint uint64) bool {
	if len(t.records) == 0 || fingerprint == 0 {
		return false
	}
	r := t.records[fingerprint]
	return r != nil && now.Before(r.until)
}

// clear drops a fingerprint that was answered: many callers may send the same harmless request,
// and one of them is likely to be on a server when it crashes.
func (t *crashTable) clear(now time.Time, fingerprint uint64) {
	t.answered[fingerprint%answeredSlots] = answeredRecord{fingerprint: fingerprint, at: now}
	if r := t.records[fingerprint]; r != nil && r.until.IsZero() {
		delete(t.records, fingerprint)
	}
}

// add records that a server crashed with the fingerprint on it, and returns true when the
// fingerprint becomes poisoned.
func (t *crashTable) add(now time.Time, fingerprint uint64, instance string) bool {
	if fingerprint == 0 || t.harmless(now, fingerprint) {
		return false
	}
	r := t.records[fingerprint]
	if r == nil {
		t.bound(now)
		r = &crashRecord{}
		t.records[fingerprint] = r
	}
	r.seen = now
	if slices.Contains(r.servers, instance) {
		return false
	}
	r.servers = append(r.servers, instance)
	if len(r.servers) < crashServers || !r.until.IsZero() {
		return false
	}
	r.until = now.Add(poisonFor)
	return true
}

// harmless tells whether the fingerprint was answered a short while ago.
func (t *crashTable) harmless(now time.Time, fingerprint uint64) bool {
	a := t.answered[fingerprint%answeredSlots]
	return a.fingerprint == fingerprint && now.Sub(a.at) < answeredFor
}

// bound makes room for one record: expired ones go first, then the oldest.
func (t *crashTable) bound(now time.Time) {
	if len(t.records) < crashRecords {
		return
	}
	var oldest uint64
	var oldestAt time.Time
	for f, r := range t.records {
		if now.Sub(r.seen) > poisonFor {
			delete(t.records, f)
			continue
		}
		if oldestAt.IsZero() || r.seen.Before(oldestAt) {
			oldest, oldestAt = f, r.seen
		}
	}
	if len(t.records) >= crashRecords {
		delete(t.records, oldest)
	}
}

// sweep drops records past their time.
func (t *crashTable) sweep(now time.Time) {
	for f, r := range t.records {
		if now.Sub(r.seen) > poisonFor {
			delete(t.records, f)
		}
	}
}

// breakage is one broken or refused connection.
type breakage struct {
	at          time.Time
	node        *node
	fingerprint uint64
	refused     bool
	crashed     bool
}

// observeBreak takes a broken or refused connection as evidence.
func (m *Machine) observeBreak(now time.Time, r *request, result grant.Result) {
	s := r.server
	s.breaks = slices.DeleteFunc(s.breaks, func(b breakage) bool { return now.Sub(b.at) > sampleWindow })
	s.breaks = append(s.breaks, breakage{at: now, node: r.node, fingerprint: r.Fingerprint, refused: result == grant.ConnectFailed})
	s.addSample(sample{at: now, sent: r.sent, failed: true, node: r.node, fingerprint: r.Fingerprint})
	// The next request confirms or clears the doubt.
	s.doubted = true
	if m.crashed(now, s, r) {
		m.noteCrash(now, s)
		return
	}
	m.judgeRefusals(now, s)
}

// crashed tells whether a connection broke with others broken within the crash window, or with a
// connection refused later, and no answer to work sent in between: a server that answers what was
// sent after the break has not crashed. Refusals count for the whole sample window, since at a low
// rate the next request may come late.
func (m *Machine) crashed(now time.Time, s *server, r *request) bool {
	if s.outlived(r) {
		return false
	}
	broken, recentlyBroken, refused := 0, 0, 0
	for _, b := range s.breaks {
		switch {
		case b.at.Before(s.answeredSent):
			continue
		case b.refused:
			refused++
		default:
			broken++
			if now.Sub(b.at) <= crashWindow {
				recentlyBroken++
			}
		}
	}
	return recentlyBroken >= 2 || broken >= 1 && refused >= 1
}

// outlived tells whether requests other than the given one that were in flight when a connection broke
// still are. A crash breaks all connections at once; a server that resets single requests goes on with the
// others.
func (s *server) outlived(ended *request) bool {
	for _, b := range s.breaks {
		if b.refused || b.at.Before(s.answeredSent) {
			continue
		}
		for _, r := range s.inflight {
			if r != ended && r.sent.Before(b.at) {
				return true
			}
		}
		return false
	}
	return false
}

// noteCrash counts the crash against the requests that ran, and holds the server.
func (m *Machine) noteCrash(now time.Time, s *server) {
	for i := range s.breaks {
		b := &s.breaks[i]
		if b.refused || b.crashed || b.at.Before(s.answeredSent) {
			continue
		}
		b.crashed = true
		if m.crashes.add(now, b.fingerprint, s.Instance) {
			m.stats.PoisonRequests++
		}
	}
	s.crashedAt = now
	if s.state == inRotation {
		m.stats.Crashes++
		m.hold(now, s)
	}
}

// judgeRefusals ejects a server that refuses connections of at least two nodes.
func (m *Machine) judgeRefusals(now time.Time, s *server) {
	if s.state != inRotation {
		return
	}
	refused := 0
	p := proof{}
	for _, b := range s.breaks {
		if b.refused && b.at.After(s.lastAnswer) && !now.Before(b.node.isolatedUntil) {
			refused++
			p.note(s, b.node, b.at)
		}
	}
	if refused >= refusalsNeeded {
		m.classify(now, s, &p, causeRefused)
	}
}
