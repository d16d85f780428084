package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// rateWindow is the span in which the arrivals at a server are counted.
const rateWindow = 4 * time.Second

// rateBench drives a machine with two servers, of which "limited" names a rate in each of its responses.
type rateBench struct {
	*dispatch.Machine
	now    time.Time
	nextID uint64
	// rate is what the server names; negative if it names none.
	rate     float64
	arrivals map[string][]time.Time
}

func newRateBench(rate float64) *rateBench {
	b := &rateBench{now: time.Unix(1_000, 0), rate: rate, arrivals: map[string][]time.Time{}}
	b.takeOver()
	return b
}

// takeOver replaces the machine by that of a new dispatcher.
func (b *rateBench) takeOver() {
	b.Machine = dispatch.New(b.now, dispatch.Config{Service: "s", DefaultSlots: 4})
	var list []backend.Server
	for _, name := range []string{"limited", "other"} {
		list = append(list, backend.Server{
			Service: "s", Instance: name, Incarnation: 1, State: backend.Ready, Slots: 4, Renewed: b.now, Cutoff: time.Hour,
		})
	}
	b.SetServers(b.now, list)
	b.Connect(b.now, "n", "dc", 1, nil, nil)
}

// run sends a request every 10 ms, which takes 5 ms.
func (b *rateBench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(5 * time.Millisecond) {
		b.nextID++
		b.Acquire(b.now, "n", dispatch.Request{ID: b.nextID, Deadline: b.now.Add(time.Second), Idempotent: true})
		b.Tick(b.now)
		var granted []dispatch.Action
		for _, a := range b.TakeActions() {
			if a.Kind == dispatch.Granted {
				granted = append(granted, a)
			}
		}
		b.now = b.now.Add(5 * time.Millisecond)
		for _, a := range granted {
			b.arrivals[a.Instance] = append(b.arrivals[a.Instance], b.now)
			done := grant.Completion{Result: grant.OK, FirstByte: 5 * time.Millisecond, Total: 5 * time.Millisecond}
			if a.Instance == "limited" && b.rate >= 0 {
				done.RateLimited, done.Rate = true, b.rate
			}
			b.Complete(b.now, "n", a.ID, done)
		}
	}
}

// most returns the largest number of arrivals at a server in a window that begins at or after the given time.
func (b *rateBench) most(instance string, from time.Time) int {
	most := 0
	for i, first := range b.arrivals[instance] {
		count := 0
		for _, at := range b.arrivals[instance][i:] {
			if !first.Before(from) && at.Sub(first) < rateWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// A server that named a rate got as many requests as the others.
func TestServerGetsNoMoreThanTheRateThatItNames(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 2.6, 20} {
		g := NewWithT(t)
		b := newRateBench(rate)
		b.run(20 * time.Second)
		named := b.arrivals["limited"][0]
		limit := int(rateWindow.Seconds()*rate) + 2
		g.Expect(b.most("limited", named.Add(time.Second))).To(BeNumerically("<=", limit), "rate %v", rate)
		g.Expect(len(b.arrivals["limited"])).To(BeNumerically(">=", int(20*rate*0.9)), "the rate is used, and the server is not given up")
		g.Expect(len(b.arrivals["other"])).To(BeNumerically(">", 1000))
	}
}

// The limit ends with the first response that names none.
func TestRateLimitEndsWhenTheServerNamesNone(t *testing.T) {
	g := NewWithT(t)
	b := newRateBench(2)
	b.run(10 * time.Second)
	before := len(b.arrivals["limited"])
	b.rate = -1
	b.run(5 * time.Second)
	g.Expect(len(b.arrivals["limited"]) - before).To(BeNumerically(">", 100))
}

// A new dispatcher learns the rate from the nodes, not from a burst of its own requests.
func TestRateLimitSurvivesATakeover(t *testing.T) {
	g := NewWithT(t)
	b := newRateBench(2)
	b.run(10 * time.Second)
	change := b.now
	b.takeOver()
	b.ReportSignals(b.now, b.now, "n", "limited", 1, grant.ServerSignals{RateLimited: true, Rate: 2})
	b.run(10 * time.Second)
	g.Expect(b.most("limited", change)).To(BeNumerically("<=", 10))
}

// Work that limited servers cannot take in time is refused on arrival, not at its deadline.
func TestWorkBeyondTheRatesIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	b := newRateBench(2)
	b.SetServers(b.now, []backend.Server{{
		Service: "s", Instance: "limited", Incarnation: 1, State: backend.Ready, Slots: 4, Renewed: b.now, Cutoff: time.Hour,
	}})
	b.run(5 * time.Second)
	refused, soon := 0, 0
	for range 200 {
		b.nextID++
		b.Acquire(b.now, "n", dispatch.Request{ID: b.nextID, Deadline: b.now.Add(time.Second), Idempotent: true})
		for _, a := range b.TakeActions() {
			if a.Kind == dispatch.Refused {
				refused++
				if a.ID == b.nextID {
					soon++
				}
			}
		}
		b.now = b.now.Add(5 * time.Millisecond)
	}
	g.Expect(soon).To(BeNumerically(">", 190), "of %d refused", refused)
}

// A request that no rate allows before its deadline waited for it although nothing was queued ahead of it.
func TestRequestsThatNoRateAllowsInTimeAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	b := newPauseBench(1)
	b.ReportSignals(b.now, b.now, "n", "s0", 1, grant.ServerSignals{RateLimited: true, Rate: 0.2})
	refused := b.request("n", time.Second)
	g.Expect(refused.Kind).To(Equal(dispatch.Refused))
	g.Expect(refused.RetryAfter).To(Equal(5 * time.Second))
	g.Expect(b.request("n", 6*time.Second).Kind).To(BeZero(), "the rate allows it in time")
	waiting := b.nextID
	b.now = b.now.Add(5 * time.Second)
	b.Tick(b.now)
	g.Expect(b.action(waiting).Kind).To(Equal(dispatch.Granted))
}

// A response that began before the server named its rate, and ended after it, ended the limit.
func TestResponsesThatBeganBeforeTheRateWasNamedDoNotEndIt(t *testing.T) {
	g := NewWithT(t)
	b := newPauseBench(1)
	long, short := b.granted(g, "n"), b.granted(g, "o")
	b.now = b.now.Add(2 * time.Second)
	b.Signals(b.now, "o", short, grant.ServerSignals{RateLimited: true, Rate: 0.5})
	b.now = b.now.Add(100 * time.Millisecond)
	b.Complete(b.now, "n", long, grant.Completion{Result: grant.OK, FirstByte: time.Second, Total: 2100 * time.Millisecond})
	g.Expect(b.request("n", 10*time.Second).Kind).To(BeZero(), "the next request is due 2 s after the rate was named")
	b.now = b.now.Add(1900 * time.Millisecond)
	b.Tick(b.now)
	g.Expect(b.action(b.nextID).Kind).To(Equal(dispatch.Granted))
}

// A response whose server no longer limited its rate when it ended brought the limit back.
func TestResponsesThatBeganBeforeTheRateWasLiftedDoNotBringItBack(t *testing.T) {
	g := NewWithT(t)
	b := newPauseBench(1)
	long, short := b.granted(g, "n"), b.granted(g, "o")
	limited := grant.ServerSignals{RateLimited: true, Rate: 0.5}
	b.Signals(b.now, "n", long, limited)
	b.now = b.now.Add(2 * time.Second)
	b.Complete(b.now, "o", short, grant.Completion{Result: grant.OK, FirstByte: 2 * time.Second, Total: 2 * time.Second})
	b.now = b.now.Add(100 * time.Millisecond)
	b.Complete(b.now, "n", long, grant.Completion{Result: grant.OK, Total: 2100 * time.Millisecond, ServerSignals: limited})
	for range 3 {
		g.Expect(b.request("n", 10*time.Second).Kind).To(Equal(dispatch.Granted))
	}
}

// A host that had not heard from a server for long, and lost its stream for a moment, brought back a rate that the server
// no longer named.
func TestReportsOfFormerRatesDoNotBringThemBack(t *testing.T) {
	g := NewWithT(t)
	b := newPauseBench(1)
	first, last := b.granted(g, "n"), b.granted(g, "o")
	limited := grant.ServerSignals{RateLimited: true, Rate: 0.5}
	b.Signals(b.now, "n", first, limited)
	heard := b.now
	b.now = b.now.Add(10 * time.Second)
	b.Complete(b.now, "o", last, grant.Completion{Result: grant.OK, FirstByte: 10 * time.Second, Total: 10 * time.Second})
	b.ReportSignals(b.now, heard, "n", "s0", 1, limited)
	b.granted(g, "n")
	b.granted(g, "o")
}

// A server that raised its rate got its next request only after the interval of the former rate.
func TestRaisedRateAppliesAtOnce(t *testing.T) {
	g := NewWithT(t)
	b := newPauseBench(1)
	first, second := b.granted(g, "n"), b.granted(g, "o")
	b.Signals(b.now, "n", first, grant.ServerSignals{RateLimited: true, Rate: 0.2})
	b.now = b.now.Add(500 * time.Millisecond)
	b.Signals(b.now, "o", second, grant.ServerSignals{RateLimited: true, Rate: 2})
	g.Expect(b.request("n", 10*time.Second).Kind).To(BeZero())
	b.now = b.now.Add(500 * time.Millisecond)
	b.Tick(b.now)
	g.Expect(b.action(b.nextID).Kind).To(Equal(dispatch.Granted))
}
