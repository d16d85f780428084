package entry

import (
	"context"

	"github.com/pkg/errors"
)

// Filter handles a request and may pass it to the next filter. The error is a *problem.Problem
// that has not been sent to the caller yet, or errCallerGone or errResponseBroken.
type Filter interface {
	Handle(x *Exchange) error
}

// Constructor returns a filter that passes requests to next. The context is cancelled when the
// server has shut down.
type Constructor func(ctx context.Context, next Filter, cfg *Config, name string) (Filter, error)

// FilterSpec names a filter and its constructor.
type FilterSpec struct {
	Name string
	New  Constructor
}

// Filters returns the filters in the order in which a request passes them.
func Filters() []FilterSpec {
	return []FilterSpec{
		{"recovery", newRecovery},
		{"request-id", newRequestID},
		{"in-flight", newInFlight},
		{"limits", newLimits},
		{"route", newRouting},
		{"authentication", newAuthentication},
		{"deadline", newDeadline},
		{"quota", newQuota},
		{"at-most-once", newAtMostOnce},
		{"dispatch", newDispatch},
		{"forward", newForward},
	}
}

// buildChain links the filters. The last one has a nil next filter.
func buildChain(ctx context.Context, specs []FilterSpec, cfg *Config) (Filter, error) {
	var next Filter
	for i := len(specs) - 1; i >= 0; i-- {
		f, err := specs[i].New(ctx, next, cfg, specs[i].Name)
		if err != nil {
			return nil, errors.Wrapf(err, "filter %s", specs[i].Name)
		}
		next = f
	}
	return next, nil
}

var (
	// errCallerGone ends a request whose caller closed its connection.
	errCallerGone = errors.New("the caller closed its connection")
	// errResponseBroken ends a request whose response broke off after a part of it was sent to the
	// caller.
	errResponseBroken = errors.New("the response broke off after a part of it was sent")
)
