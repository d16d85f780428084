package entry

import (
	"strings"
	"sync"
	"time"
)

// maxTries bounds the attempts of one request that are recorded for the log.
const maxTries = 8

// tries records what became of the attempts of one request. The attempts of a race write to it at once.
type tries struct {
	mu   sync.Mutex
	list []string
}

// add records the end of one attempt.
func (t *tries) add(instance, result string, took time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.list) < maxTries {
		t.list = append(t.list, instance+" "+result+" after "+took.Round(time.Millisecond).String())
	}
}

// String lists the attempts in the order in which they ended.
func (t *tries) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.list, "; ")
}
