package entry

import (
	"strings"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// maxTries bounds the attempts of one request that are recorded for the log.
const maxTries = 8

// tries records what became of the attempts of one request. The attempts of a race write to it at once.
type tries struct {
	mu   sync.Mutex
	list []string
}

// add records the end of one attempt.
func (t *tries) add(server grant.Server, result grant.Result, took time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.list) >= maxTries {
		return
	}
	line := server.Instance + " " + result.String() + " after " + took.Round(time.Millisecond).String()
	if server.Alone {
		line += " without a dispatcher"
	}
	t.list = append(t.list, line)
}

// String lists the attempts in the order in which they ended.
func (t *tries) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.list, "; ")
}
