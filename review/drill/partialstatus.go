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
// Each is followed by the path of the request that it precedes.
var beginnings = []struct{ bytes, path string }{
	{"HTTP/1.1 503 Service Unavailable", "/signoff/works"},
	{"HTTP/1.1 421 Misdirected Request", "/signoff/works"},
	{"HTTP/1.1 200 OK", "/signoff/fails"},
}

// lateBytes holds what a faulty instance sends late. It is sent once, where the next answer is expected on a connection that
// has carried a complete answer before.
type lateBytes struct {
	mu    sync.Mutex
	bytes string
}

func (l *lateBytes) set(bytes string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes = bytes
}

func (l *lateBytes) take(count int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if count < 2 {
		return ""
	}
	bytes := l.bytes
	l.bytes = ""
	return bytes
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
	late := &lateBytes{}
	instances, err := f.startInstances(2)
	if err != nil {
		return notRun, err.Error()
	}
	for _, s := range instances {
		s.before = late.take
	}
	if err := f.serve(instances); err != nil {
		return notRun, err.Error()
	}
	var breaks []string
	note := func(rule, text string) {
		r.event("BROKEN", rule, text)
		breaks = append(breaks, rule+": "+text)
	}
	front := f.fronts[0]
	for n := range 30 {
		for i := range 4 {
			f.send(front, http.MethodGet, "/cues/1", fmt.Sprintf("read-%02d-%d", n, i), "")
		}
		b := beginnings[n%len(beginnings)]
		if trouble {
			late.set(b.bytes)
		}
		id := fmt.Sprintf("signoff-%02d", n)
		a := f.send(front, http.MethodPost, b.path, id, "signed")
		late.set("")
		runs, given := runsAt(instances, id)
		switch {
		case runs > 1:
			note("TWICE", fmt.Sprintf("%s ran %d times, and the client got %d", id, runs, a.status))
		case runs > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusMisdirectedRequest):
			note("REFUSED", fmt.Sprintf("%s got %d with seal %q, and had run; its instance had answered %q", id, a.status, a.seal, given))
		case a.status/100 == 2 && !slices.ContainsFunc(given, func(g string) bool { return strings.HasPrefix(g, "2") }):
			note("MIXED", fmt.Sprintf("%s got %d; its instance had answered %q", id, a.status, given))
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(breaks) > 0 {
		return broken, fmt.Sprintf("%d breaks; the first: %s", len(breaks), breaks[0])
	}
	return held, "no request ran twice, was refused though it had run, or got another status than its instance gave"
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
