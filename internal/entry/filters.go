package entry

import (
	"context"

	"github.com/pkg/errors"
)

// Filter handles a request and may hand it to the filter after it. The error is a
// *problem.Problem that the caller has not been told of yet, or one of errCallerGone and
// errBroken.
type Filter interface {
	Handle(x *Exchange) error
}

// Constructor makes a filter that hands requests to next. The context ends when the server
// has shut down.
type Constructor func(ctx context.Context, next Filter, cfg *Config, name string) (Filter, error)

// FilterSpec is one element of the list of filters.
type FilterSpec struct {
	Name string
	New  Constructor
}

// Filters lists the filters in the order in which a request passes them.
func Filters() []FilterSpec {
	return []FilterSpec{
		{"recovery", newRecovery},
		{"request-id", newRequestID},
		{"in-flight", newInFlight},
		{"limits", newLimits},
		{"route", newRouting},
		{"deadline", newDeadline},
		{"quota", newQuota},
		{"at-most-once", newAtMostOnce},
		{"dispatch", newDispatch},
		{"forward", newForward},
	}
}

// build chains the filters; the last has no next.
func build(ctx context.Context, steps []FilterSpec, cfg *Config) (Filter, error) {
	var next Filter
	for i := len(steps) - 1; i >= 0; i-- {
		f, err := steps[i].New(ctx, next, cfg, steps[i].Name)
		if err != nil {
			return nil, errors.Wrapf(err, "filter %s", steps[i].Name)
		}
		next = f
	}
	return next, nil
}

var (
	// errCallerGone ends a request whose caller closed its connection.
	errCallerGone = errors.New("the caller closed its connection")
	// errBroken ends a request whose answer broke off after the caller had got a part of it.
	errBroken = errors.New("the answer broke off after it had begun")
)
