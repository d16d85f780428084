package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// floorWindow, floorShare and the shares of requests that are not served are those of the rule FLOOR.
	floorWindow     = 2 * time.Second
	floorShare      = 0.7
	leastUnserved   = 0.1
	mostUnserved    = 0.5
	floorStep       = 100 * time.Millisecond
	soundAfter      = 2 * contact
	clientDeadline  = 2 * time.Second
	floorRoutes     = "/stock/"
	workPerRequest  = 100 * time.Millisecond
	slotsPerServer  = 2
	loadOfAllSlots  = 0.85
	settleTime      = 3 * time.Second
	watchAfterwards = 10 * time.Second
)

// load is the open-loop traffic of clients and its answers.
type load struct {
	f       *fleet
	stop    chan struct{}
	clients sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

// startLoad sends perSecond requests a second until end is called.
func (f *fleet) startLoad(path string, perSecond float64) *load {
	l := &load{f: f, stop: make(chan struct{})}
	l.clients.Go(func() {
		started := time.Now()
		for n := 0; ; n++ {
			due := started.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
			select {
			case <-l.stop:
				return
			case <-time.After(time.Until(due)):
			}
			l.clients.Go(func() {
				a := f.send(http.MethodGet, path, "", clientDeadline)
				f.rec.printf("GET %s %s at %s: status %d after %v", path, a.id, a.front, a.status, a.took.Round(time.Millisecond))
				l.mu.Lock()
				defer l.mu.Unlock()
				l.answers = append(l.answers, a)
			})
		}
	})
	return l
}

func (l *load) end() []answer {
	close(l.stop)
	l.clients.Wait()
	return l.answers
}

// checkFloor looks for a window of floorWindow between from and to in which some, but too few, of the sound servers got
// requests while more than a tenth but under half of the requests were not served.
func checkFloor(f *fleet, answers []answer, runs []run, sound int, from, to time.Time) verdict {
	brokenWindows, windows := 0, 0
	first := ""
	for at := from; !at.Add(floorWindow).After(to); at = at.Add(floorStep) {
		windows++
		inWindow := func(t time.Time) bool { return !t.Before(at) && t.Before(at.Add(floorWindow)) }
		sent, unserved := 0, 0
		for _, a := range answers {
			if inWindow(a.sent) {
				sent++
				if a.status != http.StatusOK {
					unserved++
				}
			}
		}
		used := map[string]bool{}
		for _, r := range runs {
			if inWindow(r.at) {
				used[r.instance] = true
			}
		}
		share, lost := float64(len(used))/float64(sound), float64(unserved)/float64(max(sent, 1))
		if len(used) > 0 && share < floorShare && lost > leastUnserved && lost < mostUnserved {
			brokenWindows++
			if first == "" {
				first = fmt.Sprintf("%d of %d sound servers got requests while %d of %d requests were not served", len(used), sound, unserved, sent)
			}
		}
	}
	if brokenWindows == 0 {
		return verdict{false, fmt.Sprintf("no window of %d breaks the rule", windows)}
	}
	return verdict{true, fmt.Sprintf("%d of %d windows of %v; the first: %s", brokenWindows, windows, floorWindow, first)}
}
