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

// Exchange is one request of a caller on its way through the filters. One goroutine uses
// it, but for the attempts, which get a copy each.
type Exchange struct {
	ctx      context.Context
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	dialect  *Dialect
	id       string
	idHeader [1]string
	snapshot route.Snapshot
	match    route.Match
	matched  bool
	teamName string
	team     route.Team
	deadline time.Time
	key      string
	leaving  bool

	body  body
	claim *claiming

	// begun is set once the caller may have got a part of the answer.
	begun  bool
	status int
	// mayHaveRun is set once an attempt may have run the work.
	mayHaveRun bool
	attempts   int
	// tries records what became of the attempts, for the log; nil before the first.
	tries *tries
	// runs counts the attempts that may have run the work.
	runs     int
	hedged   bool
	replayed bool
	// record collects the answer of claimed work.
	record *attempt.Answer

	// The following belong to one attempt.
	grant   grant.Grant
	request roundtrip.Request
	answer  *roundtrip.Response
	// release ends the attempt's context; nil if it has none of its own.
	release context.CancelFunc
	// abort and answering belong to the first attempt of a race; nil otherwise.
	abort     *roundtrip.Abort
	answering *atomic.Bool
	sent      time.Time
	// first is the time from sending to the first byte of the answer.
	first time.Duration
	// whole is the body of an answer that was read to its end, if fetched is set.
	whole     []byte
	fetched   bool
	draining  bool
	completed bool
}

// refuse makes a refusal with the outcome that holds for all attempts so far.
func (x *Exchange) refuse(kind problem.Kind, detail string) *problem.Problem {
	return problem.New(kind, x.outcome(), detail)
}

func (x *Exchange) outcome() problem.Outcome {
	if x.mayHaveRun {
		return problem.Unknown
	}
	return problem.NotRun
}

// ended returns how the request ends after its context did.
func (x *Exchange) ended() error {
	if context.Cause(x.ctx) == context.DeadlineExceeded {
		return x.refuse(problem.DeadlinePassed, "")
	}
	return errCallerGone
}

// fork returns a copy for one attempt.
func (x *Exchange) fork(ctx context.Context, g grant.Grant) *Exchange {
	c := *x
	c.ctx = ctx
	c.grant = g
	c.answer = nil
	return &c
}
