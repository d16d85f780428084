package entry

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

// tokenIssuer issues the tokens of announcements and derives the minimum age of an announcement from its
// token.
//
// An announcement that the network or a frozen host delayed by seconds would otherwise look like a
// fresh renewal. A backend server returns the token of the host's last response, and sends its
// announcement at most one renewal interval after that response. An announcement that arrives later
// was delayed.
type tokenIssuer struct {
	// nonce distinguishes the tokens of this process from those of other processes, whose times are not
	// comparable.
	nonce string
	start time.Time
}

func newTokenIssuer(start time.Time) *tokenIssuer {
	return &tokenIssuer{nonce: strconv.FormatUint(rand.Uint64(), 36), start: start}
}

// issue returns the token for a response that is sent now.
func (t *tokenIssuer) issue(now time.Time) string {
	return t.nonce + "-" + strconv.FormatInt(now.Sub(t.start).Milliseconds(), 36)
}

// announcedAt estimates when an announcement with the token was sent. The estimate is at most
// RenewEvery too late. For a token that this process did not issue, the estimate is now.
func (t *tokenIssuer) announcedAt(token string, now time.Time) time.Time {
	text, own := strings.CutPrefix(token, t.nonce+"-")
	if !own {
		return now
	}
	issued, err := strconv.ParseInt(text, 36, 64)
	if err != nil || issued < 0 || issued > now.Sub(t.start).Milliseconds() {
		return now
	}
	latest := t.start.Add(time.Duration(issued)*time.Millisecond + backend.RenewEvery)
	if latest.Before(now) {
		return latest
	}
	return now
}
