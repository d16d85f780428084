package dispatch

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

const (
	// crashWindow is the time within which broken connections count as one crash.
	crashWindow = 500 * time.Millisecond
	// poisonServers is how many different servers must crash on a fingerprint to poison it.
	poisonServers = 2
	// poisonFor is how long a poisoned fingerprint is refused.
	poisonFor = 10 * time.Minute
	// maxCrashRecords bounds the table of crash records.
	maxCrashRecords = 1024
	// harmlessFor is how long a response shows that a request is harmless. A request that crashes servers
	// never gets a response, while a harmless one may be on several servers when they crash.
	harmlessFor = time.Minute
	// responseSlots bounds the table of fingerprints with a response; a collision overwrites the older one.
	responseSlots = 4096
	// crashHoldTime is how long a server that crashed gets no work.
	crashHoldTime = time.Second
	// minRefusals is how many refused connections make a server bad.
	minRefusals = 2
)

// crashRecord holds the servers that crashed with one fingerprint on them.
type crashRecord struct {
	servers       []string
	lastCrash     time.Time
	poisonedUntil time.Time
}

// crashTable finds requests that crash servers.
type crashTable struct {
	records map[uint64]*crashRecord
	// responses holds the latest responses by fingerprint.
	responses [responseSlots]responseRecord
}

type responseRecord struct {
	fingerprint uint64
	at          time.Time
}

func newCrashTable() *crashTable {
	return &crashTable{records: map[uint64]*crashRecord{}}
}

// isCrashSuspect reports whether the fingerprint was on a server that crashed.
func (t *crashTable) isCrashSuspect(fingerprint uint64) bool {
	return fingerprint != 0 && t.records[fingerprint] != nil
}

// poisoned reports whether requests with the fingerprint are refused.
func (t *crashTable) poisoned(now time.Time, fingerprint uint64) bool {
	if len(t.records) == 0 || fingerprint == 0 {
		return false
	}
	r := t.records[fingerprint]
	return r != nil && now.Before(r.poisonedUntil)
}

// recordResponse records a response to the fingerprint and drops its crash record unless it is poisoned:
// many callers may send the same harmless request, and one of them is likely to be on a server when it
// crashes.
func (t *crashTable) recordResponse(now time.Time, fingerprint uint64) {
	t.responses[fingerprint%responseSlots] = responseRecord{fingerprint: fingerprint, at: now}
	if r := t.records[fingerprint]; r != nil && r.poisonedUntil.IsZero() {
		delete(t.records, fingerprint)
	}
}

// recordCrash records that a server crashed with the fingerprint on it, and returns true when the
// fingerprint becomes poisoned.
func (t *crashTable) recordCrash(now time.Time, fingerprint uint64, instance string) bool {
	if fingerprint == 0 || t.harmless(now, fingerprint) {
		return false
	}
	r := t.records[fingerprint]
	if r == nil {
		t.makeRoom(now)
		r = &crashRecord{}
		t.records[fingerprint] = r
	}
	r.lastCrash = now
	if slices.Contains(r.servers, instance) {
		return false
	}
	r.servers = append(r.servers, instance)
	if len(r.servers) < poisonServers || !r.poisonedUntil.IsZero() {
		return false
	}
	r.poisonedUntil = now.Add(poisonFor)
	return true
}

// harmless reports whether the fingerprint got a response within the last harmlessFor.
func (t *crashTable) harmless(now time.Time, fingerprint uint64) bool {
	a := t.responses[fingerprint%responseSlots]
	return a.fingerprint == fingerprint && now.Sub(a.at) < harmlessFor
}

// makeRoom makes room for one record: expired ones go first, then the oldest.
func (t *crashTable) makeRoom(now time.Time) {
	if len(t.records) < maxCrashRecords {
		return
	}
	var oldest uint64
	var oldestAt time.Time
	for f, r := range t.records {
		if now.Sub(r.lastCrash) > poisonFor {
			delete(t.records, f)
			continue
		}
		if oldestAt.IsZero() || r.lastCrash.Before(oldestAt) {
			oldest, oldestAt = f, r.lastCrash
		}
	}
	if len(t.records) >= maxCrashRecords {
		delete(t.records, oldest)
	}
}

// dropExpired drops the records without a crash within the last poisonFor.
func (t *crashTable) dropExpired(now time.Time) {
	for f, r := range t.records {
		if now.Sub(r.lastCrash) > poisonFor {
			delete(t.records, f)
		}
	}
}

// connectionFailure is one broken or refused connection.
type connectionFailure struct {
	at          time.Time
	node        *node
	fingerprint uint64
	refused     bool
	crashed     bool
}

// observeConnectionFailure records a broken or refused connection as evidence.
func (m *Machine) observeConnectionFailure(now time.Time, r *request, result grant.Result) {
	s := r.server
	s.connectionFailures = slices.DeleteFunc(s.connectionFailures, func(b connectionFailure) bool { return now.Sub(b.at) > sampleWindow })
	s.connectionFailures = append(s.connectionFailures, connectionFailure{at: now, node: r.node, fingerprint: r.Fingerprint, refused: result == grant.ConnectFailed})
	s.addSample(sample{at: now, sent: r.sent, failed: true, node: r.node, fingerprint: r.Fingerprint})
	// The next request confirms or clears the doubt.
	s.underSuspicion = true
	if m.isCrash(now, s, r) {
		m.recordCrash(now, s)
		return
	}
	m.detectRefusals(now, s)
}

// isCrash reports whether a connection broke together with others within the crash window, or with a
// connection refused later, and without a response to work sent in between: a server that responds to work
// sent after the break has not crashed. Refusals count for the whole sample window, since at a low rate the
// next request may come late.
func (m *Machine) isCrash(now time.Time, s *server, r *request) bool {
	if s.otherRequestsSurvived(r) {
		return false
	}
	broken, recentlyBroken, refused := 0, 0, 0
	for _, b := range s.connectionFailures {
		switch {
		case b.at.Before(s.lastRespondedSent):
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

// otherRequestsSurvived reports whether requests other than the given one that were in flight when a
// connection broke still are. A crash breaks all connections at once; a server that resets single requests
// continues with the others.
func (s *server) otherRequestsSurvived(ended *request) bool {
	for _, b := range s.connectionFailures {
		if b.refused || b.at.Before(s.lastRespondedSent) {
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

// recordCrash counts the crash against the requests that ran, and holds the server.
func (m *Machine) recordCrash(now time.Time, s *server) {
	for i := range s.connectionFailures {
		b := &s.connectionFailures[i]
		if b.refused || b.crashed || b.at.Before(s.lastRespondedSent) {
			continue
		}
		b.crashed = true
		if m.crashes.recordCrash(now, b.fingerprint, s.Instance) {
			m.stats.PoisonRequests++
		}
	}
	s.crashedAt = now
	if s.state == inRotation {
		m.stats.Crashes++
		m.holdAfterCrash(now, s)
	}
}

// detectRefusals classifies the evidence of a server that repeatedly refuses connections.
func (m *Machine) detectRefusals(now time.Time, s *server) {
	if s.state != inRotation {
		return
	}
	refused := 0
	p := evidence{}
	for _, b := range s.connectionFailures {
		if b.refused && b.at.After(s.lastResponse) && !now.Before(b.node.isolatedUntil) {
			refused++
			p.addRequest(s, b.node, b.at)
		}
	}
	if refused >= minRefusals {
		m.classifyEvidence(now, s, &p, causeRefused)
	}
}
