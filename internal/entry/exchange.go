package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/route"
)

// Exchange is one request of a caller as it passes the filters. Only one goroutine uses it; each
// attempt gets its own copy.
type Exchange struct {
	ctx       context.Context
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time
	dialect   *Dialect
	id        string
	idHeader  [1]string
	snapshot  route.Snapshot
	// configurationAge is for how long changes may have been confirmed that the snapshot lacks. It is set where keys are
	// required; configurationKnown is not set while it is not known.
	configurationAge   time.Duration
	configurationKnown bool
	match              route.Match
	matched            bool
	teamName           string
	team               route.Team
	// keyed is set if the caller has identified itself by a key of the team.
	keyed    bool
	deadline time.Time
	key      string
	leaving  bool

	body  body
	claim *pendingClaim
	// held is the memory of the buffered responses of all attempts.
	held *heldMemory
	// kept is the memory of the request body, if that is kept by keepBody.
	kept *heldMemory

	// responseStarted is set once the caller may have received a part of the response.
	responseStarted bool
	status          int
	// mayHaveRun is set once an attempt may have run the work.
	mayHaveRun bool
	attempts   int
	// attemptLog records the result of each attempt for the log; nil before the first.
	attemptLog *attemptLog
	// runs counts the attempts that may have run the work.
	runs     int
	hedged   bool
	replayed bool
	// record collects the response to claimed work.
	record *attempt.Answer

	// The following belong to one attempt.
	grant    grant.Grant
	request  roundtrip.Request
	response *roundtrip.Response
	// cancelAttempt cancels the attempt's context; nil if the attempt has no context of its own.
	cancelAttempt context.CancelFunc
	// abort and responseBegun are set for the first attempt of an attemptRace; nil otherwise.
	abort         *roundtrip.Abort
	responseBegun *atomic.Bool
	sentAt        time.Time
	// timeToFirstByte is the time from sending to the first byte of the response.
	timeToFirstByte time.Duration
	// responseBody is the part of the response body that was read before relaying begins. It is the
	// complete body if bodyComplete is set.
	responseBody []byte
	bodyComplete bool
	// signals is what the server said about itself in the response.
	signals   grant.ServerSignals
	use       attemptUse
	completed bool
}

// refuse returns a refusal with the outcome of all attempts so far.
func (x *Exchange) refuse(kind problem.Kind, detail string) *problem.Problem {
	return problem.New(kind, x.outcome(), detail)
}

func (x *Exchange) outcome() problem.Outcome {
	if x.mayHaveRun {
		return problem.Unknown
	}
	return problem.NotRun
}

// contextError returns the error with which the request ends after its context has ended.
func (x *Exchange) contextError() error {
	if context.Cause(x.ctx) == context.DeadlineExceeded {
		return x.refuse(problem.DeadlinePassed, "")
	}
	return errCallerGone
}

// fork returns a copy for one attempt; g is nil if the attempt has no grant yet.
func (x *Exchange) fork(ctx context.Context, g grant.Grant) *Exchange {
	c := *x
	c.ctx = ctx
	c.grant = g
	c.response = nil
	return &c
}
