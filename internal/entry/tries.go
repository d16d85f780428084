package entry

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// maxLoggedAttempts limits the attempts of one request that are recorded for the log.
const maxLoggedAttempts = 8

// staleListAge is the age from which a server list counts as stale. Each request whose server was selected
// from a stale list is logged, even if it succeeds. A list that heartbeats keep up to date is younger.
const staleListAge = 1500 * time.Millisecond

// listAgePrecision is the precision to which log lines state the age of a server list.
const listAgePrecision = 10 * time.Millisecond

// attemptLog records the results of the attempts of one request. The attempts of an attemptRace
// write to it concurrently.
type attemptLog struct {
	mu    sync.Mutex
	lines []string
	// rejected counts the attempts whose server stated that it did not run the request, skipped the responses to other
	// requests that were discarded.
	rejected, skipped int
	// usedStaleList is set if the server of an attempt was selected from a list at least staleListAge old.
	usedStaleList bool
}

// attemptUse is how an attempt used its connection, and what it got.
type attemptUse struct {
	roundtrip.Use
	// status is that of the response; 0 without one.
	status int
	// rejected is set if the response states that the server did not run the request.
	rejected bool
}

// String returns the end of a log line on an attempt.
func (u attemptUse) String(address string) string {
	if u.Connection == 0 {
		return ""
	}
	var text strings.Builder
	if u.status != 0 {
		fmt.Fprintf(&text, " with status %d", u.status)
	}
	fmt.Fprintf(&text, ", request %d on connection %d to %s", u.Position, u.Connection, address)
	if u.Skipped > 0 {
		fmt.Fprintf(&text, ", responses skipped: %d", u.Skipped)
	}
	return text.String()
}

// add records the end of one attempt, which was sent at the given offset from the arrival of the request.
func (l *attemptLog) add(server grant.Server, result grant.Result, offset, duration time.Duration, use attemptUse) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipped += use.Skipped
	if use.rejected {
		l.rejected++
	}
	l.usedStaleList = l.usedStaleList || server.Autonomous && server.ListAge >= staleListAge
	if len(l.lines) >= maxLoggedAttempts {
		return
	}
	line := server.Instance + " at " + offset.Round(time.Millisecond).String() + " " + result.String() + " after " + duration.Round(time.Millisecond).String() + use.String(server.Address)
	if server.Autonomous {
		line += " without a dispatcher, list " + server.ListAge.Round(listAgePrecision).String() + " old"
	}
	l.lines = append(l.lines, line)
}

// selectedFromStaleList reports whether the server of an attempt was selected from a stale list.
func (l *attemptLog) selectedFromStaleList() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usedStaleList
}

// counts returns how many attempts were rejected by their servers, and how many responses were skipped.
func (l *attemptLog) counts() (rejected, skipped int) {
	if l == nil {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejected, l.skipped
}

// String lists the attempts in the order in which they ended.
func (l *attemptLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "; ")
}
