package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// quietService is a service of four servers with little work: a request is alone at its server.
type quietService struct {
	g       *WithT
	m       *dispatch.Machine
	now     time.Time
	servers []backend.Server
	id      uint64
}

func newQuietService(t *testing.T) *quietService {
	q := &quietService{g: NewWithT(t), now: time.Unix(1000, 0)}
	q.m = dispatch.New(q.now, dispatch.Config{Service: "x", MinimumHealthyPercent: 50})
	for _, name := range []string{"a", "b", "c", "d"} {
		q.servers = append(q.servers, backend.Server{Instance: name, State: backend.Ready, Slots: 4, Incarnation: 1})
	}
	q.advance(0)
	q.m.Connect(q.now, "n", "dc", 1, nil, nil)
	q.advance(dispatch.CollectionPeriod)
	return q
}

// advance lets time pass and announces the servers again.
func (q *quietService) advance(d time.Duration) {
	q.now = q.now.Add(d)
	for i := range q.servers {
		q.servers[i].Renewed = q.now
	}
	q.m.SetServers(q.now, q.servers)
}

// send sends a request and returns the index of its server; -1 if it was refused.
func (q *quietService) send(fingerprint uint64, result grant.Result) int {
	q.id++
	a := acquire(q.m, q.now, q.id, func(r *dispatch.Request) { r.Fingerprint = fingerprint })
	q.g.Expect(a).To(HaveLen(1))
	if a[0].Kind != dispatch.Granted {
		return -1
	}
	q.m.Complete(q.now, "n", q.id, grant.Completion{Result: result, Total: time.Millisecond})
	for i, s := range q.servers {
		if s.Instance == a[0].Instance {
			return i
		}
	}
	q.g.Expect(a[0].Instance).To(BeEmpty(), "a server that is not listed")
	return -1
}

// sendTo sends requests until the server gets one. That one ends with the result, the others with a response.
func (q *quietService) sendTo(server int, result grant.Result) {
	var others []uint64
	reached := false
	for !reached {
		q.id++
		a := acquire(q.m, q.now, q.id, func(r *dispatch.Request) { r.Fingerprint = q.id + 1000 })
		q.g.Expect(a).To(HaveLen(1))
		q.g.Expect(a[0].Kind).To(Equal(dispatch.Granted))
		if a[0].Instance == q.servers[server].Instance {
			q.m.Complete(q.now, "n", q.id, grant.Completion{Result: result, Total: time.Millisecond})
			reached = true
			continue
		}
		others = append(others, q.id)
	}
	for _, id := range others {
		q.m.Complete(q.now, "n", id, grant.Completion{Result: grant.OK, Total: time.Millisecond})
	}
}

// A connection that was refused while a crashed server was down, but some time after the crash, discarded the broken one
// before the loss of the server was noticed. The request that had crashed the server was not recorded.
func TestCrashRequestIsStoppedIfItsServersRefuseConnectionsLater(t *testing.T) {
	q := newQuietService(t)
	crashes := 0
	for n := range 15 {
		if i := q.send(42, grant.Broken); i >= 0 {
			crashes++
			q.advance(2500 * time.Millisecond)
			q.sendTo(i, grant.ConnectFailed)
			q.advance(time.Second)
			q.servers[i].Incarnation++
		}
		q.advance(time.Second)
		q.g.Expect(q.send(uint64(100+n), grant.OK)).To(BeNumerically(">=", 0), "other requests are served")
	}
	q.g.Expect(crashes).To(BeNumerically("<=", 3))
}

// With little work a crash request breaks a single connection of each server. It was never found, and crashed a server
// each time that it came.
func TestCrashRequestIsStoppedAtLowLoad(t *testing.T) {
	for name, restart := range map[string]func(q *quietService, i, n int){
		"the server restarts":                     func(q *quietService, i, _ int) { q.servers[i].Incarnation++ },
		"another is listed in the server's place": func(q *quietService, i, n int) { q.servers[i].Instance = fmt.Sprintf("new-%d", n) },
		"another has the server's address": func(q *quietService, i, n int) {
			q.servers[i].State = backend.Left
			q.servers = append(q.servers, backend.Server{Instance: fmt.Sprintf("new-%d", n), State: backend.Ready, Slots: 4, Incarnation: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			q := newQuietService(t)
			crashes := 0
			for n := range 15 {
				if i := q.send(42, grant.Broken); i >= 0 {
					crashes++
					q.advance(3 * time.Second)
					restart(q, i, n)
				}
				q.advance(time.Second)
				q.g.Expect(q.send(uint64(100+n), grant.OK)).To(BeNumerically(">=", 0), "other requests are served")
			}
			q.g.Expect(crashes).To(BeNumerically("<=", 3))
			q.g.Expect(q.m.Stats().PoisonRequests).To(BeEquivalentTo(1))
		})
	}
}

// A harmless request must not be refused because servers that reset it drain, respond again or go much later.
func TestLostServersWithoutACrash(t *testing.T) {
	for name, end := range map[string]func(q *quietService, i int){
		"the server drains": func(q *quietService, i int) {
			q.servers[i].State = backend.Draining
			q.advance(time.Second)
		},
		"the request gets a response elsewhere": func(q *quietService, _ int) { q.send(42, grant.OK) },
		"the server goes much later":            func(q *quietService, _ int) { q.advance(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			q := newQuietService(t)
			for n := range 6 {
				i := q.send(42, grant.Broken)
				q.g.Expect(i).To(BeNumerically(">=", 0), "the request is not refused")
				end(q, i)
				q.servers[i] = backend.Server{Instance: fmt.Sprintf("new-%d", n), State: backend.Ready, Slots: 4, Incarnation: 1}
				q.advance(time.Second)
			}
			q.g.Expect(q.m.Stats().PoisonRequests).To(BeZero())
		})
	}
}
