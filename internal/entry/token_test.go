package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

// If an announcement that was delayed on its way counts as a renewal, a server that has vanished
// remains in use for more than 3 s.
func TestHeldAnnouncementIsOld(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	c := newTokenIssuer(start)
	token := c.issue(start.Add(10 * time.Second))
	g.Expect(c.announcedAt(token, start.Add(10*time.Second+backend.RenewEvery))).To(Equal(start.Add(10*time.Second + backend.RenewEvery)))
	late := start.Add(15 * time.Second)
	g.Expect(c.announcedAt(token, late)).To(Equal(start.Add(10*time.Second + backend.RenewEvery)))
	server := backend.Server{State: backend.Ready, Renewed: c.announcedAt(token, late)}
	g.Expect(server.Usable(late)).To(BeFalse())

	for _, foreign := range []string{"", "x", newTokenIssuer(start).issue(start), c.nonce + "-", c.nonce + "--5", c.nonce + "-zzzzzzzzzzzzzz"} {
		g.Expect(c.announcedAt(foreign, late)).To(Equal(late), foreign)
	}
}
