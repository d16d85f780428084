package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// A late request to a drained server cannot be explained if its log line does not state when the
// request was sent and how old the list was from which the server was selected.
func TestAttemptLogStatesTheAgeOfTheList(t *testing.T) {
	g := NewWithT(t)
	var none *attemptLog
	g.Expect(none.selectedFromStaleList()).To(BeFalse())
	list := &attemptLog{}
	list.add(grant.Server{Instance: "i-1"}, grant.Shed, 4*time.Millisecond, 2*time.Millisecond, attemptUse{})
	list.add(grant.Server{Instance: "i-2", Autonomous: true, ListAge: 320 * time.Millisecond}, grant.Broken, 9*time.Millisecond, 30*time.Millisecond, attemptUse{})
	g.Expect(list.selectedFromStaleList()).To(BeFalse())
	list.add(grant.Server{Instance: "i-3", Autonomous: true, ListAge: 2314 * time.Millisecond}, grant.OK, 50*time.Millisecond, 400*time.Millisecond, attemptUse{})
	g.Expect(list.selectedFromStaleList()).To(BeTrue(), "the use of a stale list is logged although the request succeeds")
	g.Expect(list.String()).To(Equal("i-1 at 4ms shed after 2ms; " +
		"i-2 at 9ms broken after 30ms without a dispatcher, list 320ms old; " +
		"i-3 at 50ms ok after 400ms without a dispatcher, list 2.31s old"))
}

// Whether a server has refused twice, or an earlier refusal came once more, cannot be told without the address and the
// connection of each attempt.
func TestAttemptLogStatesTheConnection(t *testing.T) {
	g := NewWithT(t)
	list := &attemptLog{}
	list.add(grant.Server{Instance: "i-1", Address: "10.0.0.7:80"}, grant.ConnectFailed, 4*time.Millisecond, 2*time.Millisecond,
		attemptUse{Use: roundtrip.Use{Connection: 3, Position: 1}, status: 421, rejected: true})
	list.add(grant.Server{Instance: "i-2", Address: "10.0.0.7:80"}, grant.Shed, 9*time.Millisecond, time.Millisecond,
		attemptUse{Use: roundtrip.Use{Connection: 3, Position: 2, Skipped: 1}, status: 503, rejected: true})
	list.add(grant.Server{Instance: "i-3", Address: "10.0.0.8:80"}, grant.Broken, 20*time.Millisecond, time.Millisecond,
		attemptUse{Use: roundtrip.Use{Connection: 5, Position: 1}})
	g.Expect(list.String()).To(Equal("i-1 at 4ms connect failed after 2ms with status 421, request 1 on connection 3 to 10.0.0.7:80; " +
		"i-2 at 9ms shed after 1ms with status 503, request 2 on connection 3 to 10.0.0.7:80, responses skipped: 1; " +
		"i-3 at 20ms broken after 1ms, request 1 on connection 5 to 10.0.0.8:80"))
	rejected, skipped := list.counts()
	g.Expect(rejected).To(Equal(2))
	g.Expect(skipped).To(Equal(1))
}
