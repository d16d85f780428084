package entry

import (
	"context"
	"fmt"
	"strings"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// fieldOverhead is the size of a header field without its name and value: colon, space and line end.
const fieldOverhead = 4

// limits refuses malformed and oversized requests before any work is done for them.
type limits struct {
	next Filter
	cfg  *Config
}

func newLimits(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &limits{next: next, cfg: cfg}, nil
}

// Handle checks the protocol version, the size of the headers, loops, protocol upgrades and dot
// segments in the path.
func (f *limits) Handle(x *Exchange) error {
	r := x.r
	if !r.ProtoAtLeast(1, 1) {
		return problem.New(problem.BadRequest, problem.NotRun, "HTTP/1.0 is not served; use HTTP/1.1")
	}
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	if size > f.cfg.Settings.MaxHeaderBytes {
		return problem.New(problem.HeaderTooLarge, problem.NotRun, fmt.Sprintf("the limit is %d bytes", f.cfg.Settings.MaxHeaderBytes))
	}
	for _, via := range r.Header["Via"] {
		if strings.Contains(via, viaName) {
			return problem.New(problem.Loop, problem.NotRun, "")
		}
	}
	if r.Method == "CONNECT" || r.RequestURI == "*" || r.Header.Get("Upgrade") != "" {
		return problem.New(problem.BadRequest, problem.NotRun, "tunnels and protocol upgrades are not served")
	}
	if strings.Contains(r.URL.Path, "/.") && hasDotSegment(r.URL.Path) {
		return problem.New(problem.BadRequest, problem.NotRun, "the path has . or .. segments, which could take it past its route")
	}
	return f.next.Handle(x)
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
