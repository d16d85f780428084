package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// routing finds the route in the configuration snapshot, which the request uses until it ends.
type routing struct {
	next    Filter
	dialect *Dialect
	splits  splitPositions
}

func newRouting(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &routing{next: next, dialect: cfg.Dialect}, nil
}

// Handle refuses requests without a route, and bodies whose stated length exceeds the limit.
func (f *routing) Handle(x *Exchange) error {
	match, ok := x.snapshot.Match(hostName(x.r.Host), x.r.Method, routePath(f.dialect, x.r))
	if !ok {
		return problem.New(problem.NoRoute, problem.NotRun, "")
	}
	if match.BodyLimit <= 0 {
		match.BodyLimit = DefaultBodyLimit
	}
	if len(match.Split) > 0 {
		match.Service = match.ChooseService(f.splits.next(match.Route))
	}
	x.match = match
	x.matched = true
	if x.r.ContentLength > match.BodyLimit {
		return problem.New(problem.BodyTooLarge, problem.NotRun, fmt.Sprintf("the limit is %d bytes", match.BodyLimit))
	}
	return f.next.Handle(x)
}

// routePath returns the path that is compared with the prefixes of routes. A target with an empty path stands for "/".
func routePath(d *Dialect, r *http.Request) string {
	path := r.URL.Path
	if d.LiteralPaths {
		path, _, _ = strings.Cut(requestTarget(r), "?")
	}
	if path == "" {
		return "/"
	}
	return path
}

// hostName removes the port. For a host without a port it does not call SplitHostPort, which would
// allocate an error.
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
