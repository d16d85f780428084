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

// path records how the requests of one node, or of the nodes of one data centre, fared at a server.
type path struct {
	failureRate  failureRate
	lastResponse time.Time
	blockedUntil time.Time
	blockCount   int
	blockedAt    time.Time
	// pausedUntil is until when the server wants no requests from the node.
	pausedUntil time.Time
}

// sample is one completed request.
type sample struct {
	at          time.Time
	sent        time.Time
	latency     time.Duration
	failed      bool
	node        *node
	fingerprint uint64
}

// unansweredRequest is a request that ended by cancellation or deadline without a response.
type unansweredRequest struct {
	at   time.Time
	sent time.Time
	node *node
	// idempotent requests are sent at once; others may first wait for their claim.
	idempotent bool
}

const (
	// maxSamples bounds the samples of one server.
	maxSamples = 64
	// maxUnanswered bounds the records of unanswered requests of one server.
	maxUnanswered = 16
)

func newServer(b backend.Server) *server {
	return &server{Server: b, shedWeight: 1, paths: map[string]*path{}}
}

func (s *server) path(name string) *path {
	p := s.paths[name]
	if p == nil {
		p = &path{}
		s.paths[name] = p
	}
	return p
}

func (s *server) addSample(x sample) {
	if len(s.samples) == maxSamples {
		copy(s.samples, s.samples[1:])
		s.samples = s.samples[:maxSamples-1]
	}
	s.samples = append(s.samples, x)
}

func (s *server) addUnanswered(x unansweredRequest) {
	if len(s.unanswered) == maxUnanswered {
		copy(s.unanswered, s.unanswered[1:])
		s.unanswered = s.unanswered[:maxUnanswered-1]
	}
	s.unanswered = append(s.unanswered, x)
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

// limit is how many requests the server may have in flight now.
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

// beginSlowStart lets the limit rise from one slot to all of them, as after a start.
func (s *server) beginSlowStart(now time.Time) {
	s.slowStartFrom = now
	s.slowStartFor = s.WarmUp
	if s.slowStartFor <= 0 {
		s.slowStartFor = defaultWarmUp
	}
}

// resetAfterRestart discards what was learned about a former process of the server.
func (m *Machine) resetAfterRestart(now time.Time, s *server, b backend.Server) {
	if s.Incarnation != 0 {
		s.restartedAt = now
		m.recordLostServer(now, s)
	}
	s.Server = b
	s.draining = false
	s.shedWeight, s.consecutiveSheds, s.pausedUntil = 1, 0, time.Time{}
	s.limitedUntil = time.Time{}
	s.rate.Lift()
	s.rateAsOf = time.Time{}
	s.endPauses()
	if s.state == heldAfterCrash {
		s.state = inRotation
		s.crashHeld = false
		s.outSince = time.Time{}
	}
	s.resetEvidence(now)
	m.beginWarmUp(now, s)
}

// resetEvidence drops all evidence.
func (s *server) resetEvidence(now time.Time) {
	s.samples = s.samples[:0]
	s.unanswered = s.unanswered[:0]
	s.connectionFailures = s.connectionFailures[:0]
	s.latency = distribution{}
	s.underSuspicion = false
	s.avoidedUntil = time.Time{}
	s.crashedAt = time.Time{}
	s.lastResponse = now
}

const (
	// shedDecrease multiplies the weight at a shed response.
	shedDecrease = 0.7
	// shedInterval limits the decrease to one per burst of shed responses.
	shedInterval = 100 * time.Millisecond
	// shedIncrease is added to the weight per shedInterval without a shed response.
	shedIncrease = 0.05
	// minShedPause is the first pause after a shed response. A server that sheds everything at once would
	// otherwise look idle and attract all work.
	minShedPause = 20 * time.Millisecond
	// sharedShedWindow is the time within which shed responses of different servers count as simultaneous.
	sharedShedWindow = time.Second
	// maxShedPause bounds the pause, which doubles with each consecutive shed response.
	maxShedPause = 500 * time.Millisecond
)

// observeShed records a shed response. When most servers shed at once, no server is backed off: none is
// more loaded than the others, so fewer requests at each would only leave slots idle.
func (m *Machine) observeShed(now time.Time, s *server) {
	s.lastShed = now
	healthy, shedding := 0, 0
	for _, other := range m.servers {
		if !other.healthy(now) {
			continue
		}
		healthy++
		if now.Sub(other.lastShed) < sharedShedWindow {
			shedding++
		}
	}
	if 2*shedding > healthy {
		return
	}
	s.backOff(now)
}

// backOff lowers the weight and pauses the server.
func (s *server) backOff(now time.Time) {
	pause := min(minShedPause<<min(s.consecutiveSheds, 5), maxShedPause)
	s.consecutiveSheds++
	s.pausedUntil = now.Add(pause)
	if now.Sub(s.shedWeightAt) < shedInterval {
		return
	}
	s.shedWeightAt = now
	s.shedWeight = max(s.shedWeight*shedDecrease, 1/float64(max(s.Slots, 1)))
}

// recoverWeight raises the weight by shedIncrease per shedInterval.
func (s *server) recoverWeight(now time.Time) {
	if s.shedWeight >= 1 || now.Sub(s.shedWeightAt) < shedInterval {
		return
	}
	s.shedWeightAt = now
	s.shedWeight = min(1, s.shedWeight+shedIncrease)
}
