package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// A late request to a drained server cannot be explained if its log line does not state when the
// request was sent and how old the list was from which the server was selected.
func TestAttemptLogStatesTheAgeOfTheList(t *testing.T) {
	g := NewWithT(t)
	var none *attemptLog
	g.Expect(none.selectedFromStaleList()).To(BeFalse())
	list := &attemptLog{}
	list.add(grant.Server{Instance: "i-1"}, grant.Shed, 4*time.Millisecond, 2*time.Millisecond)
	list.add(grant.Server{Instance: "i-2", Autonomous: true, ListAge: 320 * time.Millisecond}, grant.Broken, 9*time.Millisecond, 30*time.Millisecond)
	g.Expect(list.selectedFromStaleList()).To(BeFalse())
	list.add(grant.Server{Instance: "i-3", Autonomous: true, ListAge: 2314 * time.Millisecond}, grant.OK, 50*time.Millisecond, 400*time.Millisecond)
	g.Expect(list.selectedFromStaleList()).To(BeTrue(), "the use of a stale list is logged although the request succeeds")
	g.Expect(list.String()).To(Equal("i-1 at 4ms shed after 2ms; " +
		"i-2 at 9ms broken after 30ms without a dispatcher, list 320ms old; " +
		"i-3 at 50ms ok after 400ms without a dispatcher, list 2.31s old"))
}
