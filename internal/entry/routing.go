package entry

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// routing finds route and team in the snapshot that the request keeps to its end.
type routing struct {
	next    Filter
	dialect *Dialect
	turns   turns
}

func newRouting(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &routing{next: next, dialect: cfg.Dialect}, nil
}

// Handle refuses requests without a route and bodies that are known to be too large.
func (f *routing) Handle(x *Exchange) error {
	match, ok := x.snapshot.Match(hostName(x.r.Host), x.r.Method, x.r.URL.Path)
	if !ok {
		return problem.New(problem.NoRoute, problem.NotRun, "")
	}
	if match.BodyLimit <= 0 {
		match.BodyLimit = DefaultBodyLimit
	}
	if len(match.Split) > 0 {
		match.Service = match.ChooseService(f.turns.next(match.Route))
	}
	x.match = match
	x.matched = true
	name, err := f.team(x)
	if err != nil {
		return err
	}
	x.teamName = name
	x.team = x.snapshot.Team(name)
	if len(x.team.Services) > 0 && !slices.Contains(x.team.Services, match.Service) {
		return problem.New(problem.NoRoute, problem.NotRun, "the team may not call this service")
	}
	if x.r.ContentLength > match.BodyLimit {
		return problem.New(problem.BodyTooLarge, problem.NotRun, fmt.Sprintf("the limit is %d bytes", match.BodyLimit))
	}
	return f.next.Handle(x)
}

// team returns the name of the caller's team, or "" if it names none.
func (f *routing) team(x *Exchange) (string, error) {
	if f.dialect.Team == "" {
		return "", nil
	}
	name, ok := single(x.r.Header, f.dialect.Team)
	if !ok || name != "" && !printable(name, MaxIDBytes) {
		return "", problem.New(problem.BadRequest, problem.NotRun, f.dialect.Team+" must be one value of at most 128 printable ASCII characters")
	}
	return name, nil
}

// hostName cuts the port off. SplitHostPort allocates an error if there is none.
func hostName(host string) string {
	if !strings.Contains(host, ":") {
		return host
	}
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return host
	}
	return name
}
