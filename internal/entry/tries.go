package entry

import (
	"strings"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// maxTries bounds the attempts of one request that are recorded for the log.
const maxTries = 8

// outdatedList is the age of a list from which each placement is logged, also of requests that succeed. A
// list that is kept up to date by heartbeats is younger.
const outdatedList = 1500 * time.Millisecond

// listAgePrecision is the precision of the age of a list in log lines.
const listAgePrecision = 10 * time.Millisecond

// tries records what became of the attempts of one request. The attempts of a race write to it at once.
type tries struct {
	mu   sync.Mutex
	list []string
	// outdated is set if one was placed from a list older than outdatedList.
	outdated bool
}

// add records the end of one attempt that was sent at the given time after the request arrived.
func (t *tries) add(server grant.Server, result grant.Result, at, took time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outdated = t.outdated || server.Autonomous && server.ListAge >= outdatedList
	if len(t.list) >= maxTries {
		return
	}
	line := server.Instance + " at " + at.Round(time.Millisecond).String() + " " + result.String() + " after " + took.Round(time.Millisecond).String()
	if server.Autonomous {
		line += " without a dispatcher, list " + server.ListAge.Round(listAgePrecision).String() + " old"
	}
	t.list = append(t.list, line)
}

// fromOutdatedList tells whether an attempt was placed from an outdated list.
func (t *tries) fromOutdatedList() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outdated
}

// String lists the attempts in the order in which they ended.
func (t *tries) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.list, "; ")
}
