package entry

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

// tokenClock issues the tokens of announcements and tells how old an announcement is at the least.
//
// An announcement that the network or a frozen host held back for seconds looks like a renewal. A
// backend server that carries back the token of the host's last answer made its announcement at most
// one renewal interval after that answer, unless it was held back.
type tokenClock struct {
	// nonce tells the tokens of this process from those of others, whose clocks mean nothing here.
	nonce string
	start time.Time
}

func newTokenClock(start time.Time) *tokenClock {
	return &tokenClock{nonce: strconv.FormatUint(rand.Uint64(), 36), start: start}
}

// issue returns the token of an answer given now.
func (c *tokenClock) issue(now time.Time) string {
	return c.nonce + "-" + strconv.FormatInt(now.Sub(c.start).Milliseconds(), 36)
}

// made returns a time at which the announcement was made, at most RenewEvery too late. Without a
// token of this process it is now.
func (c *tokenClock) made(token string, now time.Time) time.Time {
	text, ours := strings.CutPrefix(token, c.nonce+"-")
	if !ours {
		return now
	}
	issued, err := strconv.ParseInt(text, 36, 64)
	if err != nil || issued < 0 || issued > now.Sub(c.start).Milliseconds() {
		return now
	}
	latest := c.start.Add(time.Duration(issued)*time.Millisecond + backend.RenewEvery)
	if latest.Before(now) {
		return latest
	}
	return now
}
