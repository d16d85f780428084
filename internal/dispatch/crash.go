package dispatch

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/grant"
)

const (
	// crashWindow is the time within which broken connections count as one crash.
	crashWindow = 500 * time.Millisecond
	// lostServerWindow is the time after a broken connection within which a server that restarts or goes counts as
	// crashed by it.
	lostServerWindow = 30 * time.Second
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
	// maxOldBreaks bounds the broken connections of a server that are kept beyond the sample window.
	maxOldBreaks = 64
	// minRefusals is how many refused connections count as evidence of a bad server.
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
	r := t.responses[fingerprint%responseSlots]
	return r.fingerprint == fingerprint && now.Sub(r.at) < harmlessFor
}

// makeRoom makes room for one record: it deletes the expired records or, if there are none, the oldest one.
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
	s.dropOldFailures(now)
	s.connectionFailures = append(s.connectionFailures, connectionFailure{at: now, node: r.node, fingerprint: r.Fingerprint, refused: result == grant.ConnectFailed})
	s.addSample(sample{at: now, sent: r.sent, failed: true, node: r.node, fingerprint: r.Fingerprint})
	// The next request confirms or clears the suspicion.
	s.underSuspicion = true
	if m.isCrash(now, s, r) {
		m.recordCrash(now, s)
		return
	}
	m.detectRefusals(now, s)
}

// dropOldFailures drops the failures that are older than the sample window, except broken connections that may still
// show a crash if the server is lost.
func (s *server) dropOldFailures(now time.Time) {
	s.connectionFailures = slices.DeleteFunc(s.connectionFailures, func(f connectionFailure) bool {
		age := now.Sub(f.at)
		return age > lostServerWindow || age > sampleWindow && (f.refused || f.at.Before(s.lastRespondedSent))
	})
	if excess := len(s.connectionFailures) - len(s.recentFailures(now)) - maxOldBreaks; excess > 0 {
		s.connectionFailures = slices.Delete(s.connectionFailures, 0, excess)
	}
}

// recentFailures returns the failures within the sample window, in the order in which they came.
func (s *server) recentFailures(now time.Time) []connectionFailure {
	first := slices.IndexFunc(s.connectionFailures, func(f connectionFailure) bool { return now.Sub(f.at) <= sampleWindow })
	if first < 0 {
		return nil
	}
	return s.connectionFailures[first:]
}

// isCrash reports whether the server crashed: a connection broke together with others within the crash
// window, or one broke and one was refused, and no request sent after the break got a response: a server
// that responds to such a request has not crashed. Refusals count for the whole sample window, since at a
// low rate the next request may come late.
func (m *Machine) isCrash(now time.Time, s *server, r *request) bool {
	if s.otherRequestsSurvived(now, r) {
		return false
	}
	broken, recentlyBroken, refused := 0, 0, 0
	for _, f := range s.recentFailures(now) {
		switch {
		case f.at.Before(s.lastRespondedSent):
			continue
		case f.refused:
			refused++
		default:
			broken++
			if now.Sub(f.at) <= crashWindow {
				recentlyBroken++
			}
		}
	}
	return recentlyBroken >= 2 || broken >= 1 && refused >= 1
}

// otherRequestsSurvived reports whether any request other than the given one was in flight when a
// connection broke and still is. A crash breaks all connections at once; a server that resets single
// requests continues with the others.
func (s *server) otherRequestsSurvived(now time.Time, ended *request) bool {
	for _, f := range s.recentFailures(now) {
		if f.refused || f.at.Before(s.lastRespondedSent) {
			continue
		}
		for _, r := range s.inflight {
			if r != ended && r.sent.Before(f.at) {
				return true
			}
		}
		return false
	}
	return false
}

// recordCrash records the crash for the fingerprints of the broken requests, and holds the server.
func (m *Machine) recordCrash(now time.Time, s *server) {
	recent := s.recentFailures(now)
	for i := range recent {
		f := &recent[i]
		if f.refused || f.crashed || f.at.Before(s.lastRespondedSent) {
			continue
		}
		f.crashed = true
		if m.crashes.recordCrash(now, f.fingerprint, s.Instance) {
			m.stats.PoisonRequests++
		}
	}
	s.crashedAt = now
	if s.state == inRotation {
		m.stats.Crashes++
		m.holdAfterCrash(now, s)
	}
}

// recordLostServer records a crash for the requests whose connections broke last at a server that has restarted or gone
// without draining. With little work a crash breaks a single connection, and none is refused while the server gets
// work last; that it did not come back is the evidence.
func (m *Machine) recordLostServer(now time.Time, s *server) {
	if s.draining || s.State == backend.Draining {
		return
	}
	for i := range s.connectionFailures {
		f := &s.connectionFailures[i]
		if f.refused || f.crashed || f.at.Before(s.lastRespondedSent) || now.Sub(f.at) > lostServerWindow {
			continue
		}
		f.crashed = true
		if m.crashes.recordCrash(now, f.fingerprint, s.Instance) {
			m.stats.PoisonRequests++
		}
	}
}

// detectRefusals classifies the evidence of a server that repeatedly refuses connections.
func (m *Machine) detectRefusals(now time.Time, s *server) {
	if s.state != inRotation {
		return
	}
	refused := 0
	e := evidence{}
	for _, f := range s.recentFailures(now) {
		if f.refused && f.at.After(s.lastResponse) && !now.Before(f.node.isolatedUntil) {
			refused++
			e.addRequest(s, f.node, f.at)
		}
	}
	if refused >= minRefusals {
		m.classifyEvidence(now, s, &e, causeRefused)
	}
}
