package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// beginnings are the additional bytes that the faulty instance sends: the first line of an answer, broken off before its end.
var beginnings = []string{"HTTP/1.1 503 Service Unavailable", "HTTP/1.1 421 Misdirected Request", "HTTP/1.1 200 OK"}

const (
	// garbleEvery is the number of answers of the faulty instance of which one has additional bytes before it, which is a share
	// of 0.03, and garbleFor how long that lasts.
	garbleEvery = 34
	garbleFor   = 5 * time.Second
	// signoffClients send one request after the other, and one in failEvery fails at its instance, as 0.012 of all do.
	signoffClients = 4
	failEvery      = 83
)

// lateBytes decides which answers of a faulty instance have additional bytes before them. They follow a complete answer on the
// same connection and arrive late, where the next one is expected.
type lateBytes struct {
	mu sync.Mutex
	on bool
	// answered counts the answers, and sent those with additional bytes, since that was set on.
	answered, sent int
}

func (l *lateBytes) set(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on = on
}

// take returns the bytes before an answer; count is the number of its request on the connection.
func (l *lateBytes) take(count int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.on {
		return ""
	}
	l.answered++
	if count < 2 || l.sent >= l.answered/garbleEvery {
		return ""
	}
	l.sent++
	return beginnings[l.sent%len(beginnings)]
}

// partialStatus plays a faulty instance that sends additional bytes after a complete answer: the beginning of a status line.
// They arrive late. The case is broken if a request that is not idempotent runs twice, or is answered 503 though it has run,
// or if a client gets a success where the instance had answered with a failure.
func partialStatus(r *record, trouble bool) (outcome, string) {
	f, err := newFleet(r, 3, 1)
	if err != nil {
		return notRun, err.Error()
	}
	defer f.stop()
	instances, err := f.startInstances(2)
	if err != nil {
		return notRun, err.Error()
	}
	late := &lateBytes{}
	instances[0].before = late.take
	if err := f.serve(instances); err != nil {
		return notRun, err.Error()
	}
	checks := &signoffChecks{fleet: f, instances: instances}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range signoffClients {
		clients.Go(func() { checks.send(n, stop) })
	}
	time.Sleep(contact)
	late.set(trouble)
	time.Sleep(garbleFor)
	late.set(false)
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	if len(checks.breaks) > 0 {
		return broken, fmt.Sprintf("%d breaks in %d requests, %d answers with additional bytes before them; by rule %v; the first: %s",
			len(checks.breaks), checks.requests, late.sent, checks.byRule, checks.breaks[0])
	}
	return held, fmt.Sprintf("%d requests; none ran twice, was refused though it had run, or got another status than its instance gave", checks.requests)
}

// signoffChecks sends requests of the unsafe route and checks each of them.
type signoffChecks struct {
	fleet     *fleet
	instances []*instance

	mu       sync.Mutex
	requests int
	breaks   []string
	byRule   map[string]int
}

func (c *signoffChecks) send(client int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		path := "/signoff/works"
		if (n+10*client)%failEvery == failEvery-1 {
			path = "/signoff/fails"
		}
		id := fmt.Sprintf("signoff-%d-%04d", client, n)
		a := c.fleet.send(c.fleet.fronts[0], http.MethodPost, path, id, "signed")
		c.check(id, a)
	}
}

func (c *signoffChecks) check(id string, a answer) {
	runs, given := runsAt(c.instances, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	switch {
	case runs > 1:
		c.note("TWICE", fmt.Sprintf("%s ran %d times, and the client got %d", id, runs, a.status))
	case runs > 0 && slices.Contains([]int{408, 421, 429, 503}, a.status):
		c.note("REFUSED", fmt.Sprintf("%s got %d with seal %q, and had run; its instance had answered %q", id, a.status, a.seal, given))
	case a.status/100 == 2 && !slices.ContainsFunc(given, func(g string) bool { return strings.HasPrefix(g, "2") }):
		c.note("MIXED", fmt.Sprintf("%s got %d; its instance had answered %q", id, a.status, given))
	}
}

// note records a break. The mutex is held.
func (c *signoffChecks) note(rule, text string) {
	c.fleet.record.event("BROKEN", rule, text)
	c.breaks = append(c.breaks, rule+": "+text)
	if c.byRule == nil {
		c.byRule = map[string]int{}
	}
	c.byRule[rule]++
}

// runsAt returns how often the instances ran a request, and the statuses that they answered.
func runsAt(instances []*instance, id string) (runs int, given []string) {
	for _, s := range instances {
		n, status := s.runsOf(id)
		runs += n
		if n > 0 {
			given = append(given, status)
		}
	}
	return runs, given
}
