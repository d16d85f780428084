package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

// rotationState is the dispatcher's own state of a server, beyond the state that the server announces.
type rotationState uint8

const (
	// inRotation servers get work.
	inRotation rotationState = iota
	// ejectedServer is the state of an ejected or suspended server, which gets no work until stateUntil.
	ejectedServer
	// onCanary servers get one request, which decides whether they return to rotation.
	onCanary
	// heldAfterCrash servers crashed recently; they get no work until the hold ends, and then a canary.
	heldAfterCrash
)

// server is the dispatcher's record of one backend server.
type server struct {
	backend.Server
	// listed is set while the registry lists the server.
	listed   bool
	inflight []*request
	// openLimit is the limit as of the latest call of surveyServers.
	openLimit int
	// shedWeight multiplies the slots. It is 1 unless the server sheds load.
	shedWeight       float64
	pausedUntil      time.Time
	consecutiveSheds int
	lastShed         time.Time
	shedWeightAt     time.Time
	// slowStartFrom is when the limit started to rise from one slot; zero without a slow start.
	slowStartFrom time.Time
	slowStartFor  time.Duration
	// limitedUntil is set when evidence called for an ejection that the minimum forbids.
	limitedUntil time.Time
	// draining is set by drain signals in responses.
	draining bool
	// restartedAt is when the present process was first seen in place of a former one; zero if there was none.
	restartedAt time.Time
	// rate is the limit that the server named in its last response, and rateAsOf when that response arrived.
	rate     RateLimit
	rateAsOf time.Time
	// pausesUntil is the latest end of a pause that the server asked of a node; it saves the look-up while there is
	// none.
	pausesUntil time.Time
	// deductedFromPeaks is set once the slots of a leaving server no longer count as announced.
	deductedFromPeaks bool
	// reservedSlots are the slots that members without a stream may use in autonomous mode.
	reservedSlots int
	// shares caches the autonomous shares by member.
	shares        []int
	sharesSlots   int
	sharesMembers []Member

	state      rotationState
	stateUntil time.Time
	// outSince is when the server left rotation, and knownSince when the dispatcher started to use it.
	outSince, knownSince time.Time

	ejections   int
	lastEjected time.Time

	failureRate failureRate
	// deprioritizedUntil is set for a failing server that the minimum keeps in rotation. Until then,
	// requests wait for another server while they can.
	deprioritizedUntil time.Time
	// suspended is set while the server is out for consecutive failures, and crashHeld while it is out for
	// a crash.
	suspended bool
	crashHeld bool

	latency      distribution
	samples      []sample
	unanswered   []unansweredRequest
	lastResponse time.Time
	paths        map[string]*path
	// pathsBlockedUntil is the latest end of a path block; it saves the look-up while no path is blocked.
	pathsBlockedUntil time.Time
	// underSuspicion is set on weak evidence, such as an error or a request that has been waiting unusually
	// long. The server then gets work last, except for requests that confirm or clear the suspicion. Crash
	// suspects are requests and have nothing to do with it.
	underSuspicion bool
	// hanging is set while a request has been waiting unusually long and the server responds to no other.
	hanging bool
	// avoidedUntil is set while unusual delays count against the server; it then gets work last.
	avoidedUntil       time.Time
	connectionFailures []connectionFailure
	// lastRespondedSent is the sending time of the most recently sent request that got a response.
	lastRespondedSent time.Time
	crashedAt         time.Time
	// crashSuspectsInFlight counts the requests in flight whose fingerprint was on a server that crashed.
	crashSuspectsInFlight int
	// previousGrant is the latest grant that was at least resetReportTime old when the next one was made,
	// so that its failure would have been reported by then.
	lastGrant, previousGrant time.Time
}

func newServer(b backend.Server) *server {
	return &server{Server: b, shedWeight: 1, paths: map[string]*path{}}
}

// attach adds a granted request.
func (s *server) attach(r *request) {
	r.server = s
	r.inflightIndex = len(s.inflight)
	s.inflight = append(s.inflight, r)
	if r.crashSuspect {
		s.crashSuspectsInFlight++
	}
}

// detach removes a granted request.
func (s *server) detach(r *request) {
	last := len(s.inflight) - 1
	moved := s.inflight[last]
	s.inflight[r.inflightIndex] = moved
	moved.inflightIndex = r.inflightIndex
	s.inflight[last] = nil
	s.inflight = s.inflight[:last]
	if r.crashSuspect {
		s.crashSuspectsInFlight--
	}
	r.server = nil
}

// usable reports whether the server's announcement allows new work.
func (s *server) usable(now time.Time) bool {
	return s.listed && !s.draining && s.Usable(now)
}

// healthy reports whether the server counts towards the healthy capacity.
func (s *server) healthy(now time.Time) bool {
	return s.usable(now) && s.state == inRotation
}

// hardLimit is the maximum number of requests that the server may ever have in flight.
func (s *server) hardLimit() int {
	if s.Connections > 0 {
		return min(s.Slots, s.Connections)
	}
	return s.Slots
}

// limit is how many requests the server may have in flight now, from the conditions that other files decide:
// the announcement (setServer in machine.go), leaving (signals.go), shed responses (shed.go), slow start
// (restart.go), ejection, canary and return (ejection.go, advanceStates in detect.go), suspension (failing.go),
// crashes (crash.go), the minimum (limitedUntil in ejection.go) and the shares of hosts without a stream
// (reservedSlots in node.go).
// hasRoom adds the rate, and selectReachable the conditions that depend on the request: pauses, paths,
// suspicion and the budget of canaries.
func (s *server) limit(now time.Time) int {
	if !s.usable(now) || now.Before(s.pausedUntil) {
		return 0
	}
	switch s.state {
	case ejectedServer, heldAfterCrash:
		return 0
	case onCanary:
		return min(1, s.hardLimit())
	}
	limit := float64(s.Slots) * s.shedWeight
	if now.Before(s.limitedUntil) {
		limit = 1
	}
	if elapsed := now.Sub(s.slowStartFrom); !s.slowStartFrom.IsZero() && elapsed < s.slowStartFor {
		limit = min(limit, 1+float64(s.Slots-1)*elapsed.Seconds()/s.slowStartFor.Seconds())
	}
	return min(max(int(limit), 1), s.hardLimit()-s.reservedSlots)
}

// hasRoom reports whether the server may get another request now, given its limit as of the latest survey.
func (s *server) hasRoom(now time.Time) bool {
	return len(s.inflight) < s.openLimit && s.rate.Allows(now)
}

// viewState names the condition of the server for views. Views show as ready also a server that sheds load, starts
// slowly, names a rate or asks nodes to pause.
func (s *server) viewState(now time.Time) string {
	switch {
	case s.draining || s.Server.State == backend.Draining || s.Server.State == backend.Left:
		return ViewDraining
	case s.Server.State == backend.Starting:
		return ViewStarting
	case s.state == ejectedServer:
		return ViewEjected
	case s.state == heldAfterCrash || s.state == onCanary && s.crashHeld:
		return ViewCrashed
	case s.state == onCanary:
		return ViewProbation
	case s.underSuspicion || now.Before(s.limitedUntil) || now.Before(s.avoidedUntil):
		return ViewSuspect
	default:
		return ViewReady
	}
}
