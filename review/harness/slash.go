package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slash"] = playSlash }

// playSlash checks TWICE. The configuration has an unsafe route for the prefix / and a safe one for /orders/. A POST to
// /orders is on the unsafe route, since /orders/ does not begin its path. For some seconds some servers lose the answers
// of requests that they ran.
func playSlash(f *fleet, trouble bool) (verdict, error) {
	if err := f.putConfig(
		route{host: hostName, prefix: "/", kind: "unsafe", service: "orders", timeout: "2500ms", attempts: 2},
		route{host: hostName, prefix: "/orders/", kind: "safe", service: "orders", timeout: "2500ms", attempts: 2},
	); err != nil {
		return verdict{}, err
	}
	var losing atomic.Bool
	var l ledger
	for i := range 6 {
		o := serverOptions{service: "orders", slots: 6, work: 40 * time.Millisecond}
		if i%2 == 0 {
			// Half of the servers lose the answer of three requests in ten.
			o.loseAnswer = func(run) bool { return losing.Load() && rand.Float64() < 0.3 }
		}
		if _, err := f.newServer(&l, o); err != nil {
			return verdict{}, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	const (
		clients  = 8
		requests = 60
		// loseFor is below the 6 s for which the site file lets servers lose answers.
		loseFor = 5500 * time.Millisecond
	)
	losing.Store(trouble)
	time.AfterFunc(loseFor, func() { losing.Store(false) })
	var group sync.WaitGroup
	var answered atomic.Int64
	for i := range clients {
		// The path /billing is on the unsafe route as well, and shows that the servers and the check are sound.
		path := []string{"/orders", "/billing"}[i%2]
		group.Go(func() {
			for range requests {
				a := f.send(http.MethodPost, path, "one order", 5*time.Second)
				f.rec.printf("POST %s %s at %s: status %d after %v", path, a.id, a.front, a.status, a.took.Round(time.Millisecond))
				if a.status == http.StatusOK {
					answered.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	runs := map[string][]run{}
	for _, r := range l.list() {
		runs[r.id] = append(runs[r.id], r)
	}
	twice := map[string]int{}
	for id, list := range runs {
		if len(list) > 1 {
			twice[list[0].path]++
			f.rec.printf("request %s for %s ran %d times", id, list[0].path, len(list))
		}
	}
	if answered.Load() < clients*requests/2 {
		return verdict{}, fmt.Errorf("only %d of %d requests were answered with success", answered.Load(), clients*requests)
	}
	return verdict{len(twice) > 0, fmt.Sprintf("of %d requests of the unsafe route these ran more than once, by path: %v; %d were answered with success", clients*requests, twice, answered.Load())}, nil
}
