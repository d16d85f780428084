package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

// condition of a server beyond what it announces.
type condition uint8

const (
	// inRotation servers get work.
	inRotation condition = iota
	// ejectedServer gets no work until its probation ends.
	ejectedServer
	// onCanary gets one request, which decides whether it returns.
	onCanary
	// held servers crashed a moment ago; they get no work until the hold ends, and then a canary.
	held
)

// server is the dispatcher's record of one backend server.
type server struct {
	backend.Server
	// present is set while the registry lists the server.
	present  bool
	inflight []*request
	// openLimit is the limit as of the latest survey.
	openLimit int
	// weight is 1 unless the server sheds load; it multiplies the slots.
	weight      float64
	pausedUntil time.Time
	sheds       int
	shedAt      time.Time
	weightAt    time.Time
	// growFrom is when the limit started to rise from one slot; zero if it does not.
	growFrom time.Time
	growFor  time.Duration
	// limited is set when evidence asked for an ejection that the minimum forbids.
	limitedUntil time.Time
	// draining is set by signals in answers.
	draining bool
	// deducted is set once the slots of a leaving server no longer count as announced.
	deducted bool
	// reserved are the slots that members without a stream may use on their own.
	reserved int
	// shares caches the autonomous shares by member.
	shares        []int
	sharesSlots   int
	sharesMembers []Member

	state      condition
	stateUntil time.Time
	// outSince is when the server left rotation, and knownSince when the dispatcher began to use it.
	outSince, knownSince time.Time

	ejections   int
	lastEjected time.Time

	failing failures
	// failingUntil is how long the server is spared.
	failingUntil time.Time
	// failed is set while the server is out for failures in a row, and crashHeld while it is out for a crash.
	failed    bool
	crashHeld bool

	latency    distribution
	samples    []sample
	unanswered []unansweredRequest
	lastAnswer time.Time
	paths      map[string]*path
	// pathsBlockedUntil is the latest end of a block, so that the usual case needs no look-up.
	pathsBlockedUntil time.Time
	// doubted is set while the server's oldest request waits unusually long; it then gets one
	// more request, which confirms or clears the doubt.
	doubted bool
	// hanging is set while a request waits unusually long and the server answers no other.
	hanging bool
	// avoidUntil is set while unusual delays count against the server; it then gets work last.
	avoidUntil time.Time
	breaks     []breakage
	// answeredSent is when the latest sent of the answered requests was sent.
	answeredSent time.Time
	crashedAt    time.Time
	suspects     int
	// grantBefore is the last grant that was old enough to be reported as failed when the next one came.
	lastGrant, grantBefore time.Time
}

// path is what one node, or the nodes of one data centre, experience with a server.
type path struct {
	failing      failures
	lastAnswer   time.Time
	blockedUntil time.Time
	blocks       int
	blockedAt    time.Time
}

// sample is one ended request.
type sample struct {
	at          time.Time
	sent        time.Time
	latency     time.Duration
	failed      bool
	node        *node
	fingerprint uint64
}

// unansweredRequest is a request that ended without an answer by cancellation or deadline.
type unansweredRequest struct {
	at   time.Time
	sent time.Time
	node *node
	// idempotent requests are sent at once; others may wait for their claim first.
	idempotent bool
}

const (
	// samplesKept bounds the samples of one server.
	samplesKept = 64
	// unansweredKept bounds the unanswered, ended requests of one server.
	unansweredKept = 16
)

func newServer(b backend.Server) *server {
	return &server{Server: b, weight: 1, paths: map[string]*path{}}
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
	if len(s.samples) == samplesKept {
		copy(s.samples, s.samples[1:])
		s.samples = s.samples[:samplesKept-1]
	}
	s.samples = append(s.samples, x)
}

func (s *server) addUnanswered(x unansweredRequest) {
	if len(s.unanswered) == unansweredKept {
		copy(s.unanswered, s.unanswered[1:])
		s.unanswered = s.unanswered[:unansweredKept-1]
	}
	s.unanswered = append(s.unanswered, x)
}

// attach adds a granted request.
func (s *server) attach(r *request) {
	r.server = s
	r.slot = len(s.inflight)
	s.inflight = append(s.inflight, r)
	if r.crashSuspect {
		s.suspects++
	}
}

// detach removes a granted request.
func (s *server) detach(r *request) {
	last := len(s.inflight) - 1
	moved := s.inflight[last]
	s.inflight[r.slot] = moved
	moved.slot = r.slot
	s.inflight[last] = nil
	s.inflight = s.inflight[:last]
	if r.crashSuspect {
		s.suspects--
	}
	r.server = nil
}

// usable tells whether the server's announcement allows new work.
func (s *server) usable(now time.Time) bool {
	return s.present && !s.draining && s.Usable(now)
}

// healthy tells whether the server counts towards the healthy capacity.
func (s *server) healthy(now time.Time) bool {
	return s.usable(now) && s.state == inRotation
}

// hardLimit is the most requests the server may ever have in flight.
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
	case ejectedServer, held:
		return 0
	case onCanary:
		return min(1, s.hardLimit())
	}
	limit := float64(s.Slots) * s.weight
	if now.Before(s.limitedUntil) {
		limit = 1
	}
	if elapsed := now.Sub(s.growFrom); !s.growFrom.IsZero() && elapsed < s.growFor {
		limit = min(limit, 1+float64(s.Slots-1)*elapsed.Seconds()/s.growFor.Seconds())
	}
	return min(max(int(limit), 1), s.hardLimit()-s.reserved)
}

// grow lets the limit rise from one slot to all, as after a start.
func (s *server) grow(now time.Time) {
	s.growFrom = now
	s.growFor = s.WarmUp
	if s.growFor <= 0 {
		s.growFor = defaultWarmUp
	}
}

// forget drops all evidence.
func (s *server) forget(now time.Time) {
	s.samples = s.samples[:0]
	s.unanswered = s.unanswered[:0]
	s.breaks = s.breaks[:0]
	s.latency = distribution{}
	s.doubted = false
	s.avoidUntil = time.Time{}
	s.crashedAt = time.Time{}
	s.lastAnswer = now
}

const (
	// shedFactor multiplies the weight at a shed answer.
	shedFactor = 0.7
	// shedEvery limits the decrease to one per burst of shed answers.
	shedEvery = 100 * time.Millisecond
	// shedRecovery is added to the weight per shedEvery without a shed answer.
	shedRecovery = 0.05
	// shedPause is the first pause after a shed answer. A server that sheds everything at once
	// would otherwise look idle and attract all work.
	shedPause = 20 * time.Millisecond
	// shedTogether is how close shed answers of different servers are when they shed at once.
	shedTogether = time.Second
	// shedPauseCap bounds the pause.
	shedPauseCap = 500 * time.Millisecond
)

// observeShed takes a shed answer. When most servers shed at once, fewer requests at each would only leave
// slots idle, since none of them is fuller than the others.
func (m *Machine) observeShed(now time.Time, s *server) {
	s.shedAt = now
	healthy, shedding := 0, 0
	for _, other := range m.servers {
		if !other.healthy(now) {
			continue
		}
		healthy++
		if now.Sub(other.shedAt) < shedTogether {
			shedding++
		}
	}
	if 2*shedding > healthy {
		return
	}
	s.shed(now)
}

// shed lowers the weight and pauses the server.
func (s *server) shed(now time.Time) {
	pause := min(shedPause<<min(s.sheds, 5), shedPauseCap)
	s.sheds++
	s.pausedUntil = now.Add(pause)
	if now.Sub(s.weightAt) < shedEvery {
		return
	}
	s.weightAt = now
	s.weight = max(s.weight*shedFactor, 1/float64(max(s.Slots, 1)))
}

// recoverWeight raises the weight slowly.
func (s *server) recoverWeight(now time.Time) {
	if s.weight >= 1 || now.Sub(s.weightAt) < shedEvery {
		return
	}
	s.weightAt = now
	s.weight = min(1, s.weight+shedRecovery)
}
