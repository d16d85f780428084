package dispatch

import "time"

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
