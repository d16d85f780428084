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
	next Filter
}

func newRouting(_ context.Context, next Filter, _ *Config, _ string) (Filter, error) {
	return &routing{next: next}, nil
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
	x.match = match
	x.matched = true
	name, ok := single(x.r.Header, headerTeam)
	if !ok || name != "" && !printable(name, MaxIDBytes) {
		return problem.New(problem.BadRequest, problem.NotRun, "Tarragon-Team must be one value of at most 128 printable ASCII characters")
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
