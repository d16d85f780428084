package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// foreignService is a service that no configuration names.
	foreignService = "cuefeed-former"
	foreignWork    = 200 * time.Millisecond
	// foreignRate is the requests per second, three quarters of what 10 instances with 6 slots serve.
	foreignRate     = 225
	foreignLoad     = 20 * time.Second
	foreignDeadline = 1500 * time.Millisecond
	// foreignEntries is of how many of the instances the other writer speaks.
	foreignEntries = 4
)

// foreignDrain serves a load while another writer announces entries with the ids of sound instances, for a service that no
// configuration names, as draining. FLOOR is broken if the sound instances lose their work.
func foreignDrain(p *play) (broken bool, err error) {
	const controls, entries, instances = 3, 3, 10
	if err := p.startFleet(controls, entries); err != nil {
		return false, err
	}
	text := document(1, []string{"cuefeed"}, route{"r-list", "/list/", "safe", "cuefeed", 4 * time.Second})
	if err := p.put(controls, 1, text, 20*time.Second); err != nil {
		return false, err
	}
	var servers []*instance
	for i := range instances {
		s, err := p.startInstance(fmt.Sprintf("i-%d", i+1), "cuefeed", zoneOf(i), p.newInstanceAddress(), controls, 6, foreignWork)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := p.awaitReady(entries, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	began := time.Now()
	if p.trouble {
		go func() {
			time.Sleep(3 * time.Second)
			p.announceForeign(servers[:foreignEntries], controls, began)
		}()
	}
	exchanges := p.sendReads(entries, foreignRate, began, foreignLoad)
	return p.checkFloor(servers, exchanges, began, time.Second, foreignLoad), nil
}

// sendReads sends requests to /list/ at a steady rate, on kept connections, and returns them when all have ended.
func (p *play) sendReads(entries, rate int, began time.Time, load time.Duration) []exchange {
	var mu sync.Mutex
	var exchanges []exchange
	var group sync.WaitGroup
	idle := make(chan *client, rate*int(load/time.Second)+1)
	send := func(n int) {
		var c *client
		select {
		case c = <-idle:
		default:
			c = &client{p: p, address: hostPort(p.entry(n%entries), entryPort)}
		}
		id := fmt.Sprintf("f-%d", n)
		e := exchange{kind: "safe", sent: time.Now()}
		e.served = c.send(http.MethodGet, "/list/"+id, id, "", foreignDeadline) == http.StatusOK
		mu.Lock()
		exchanges = append(exchanges, e)
		mu.Unlock()
		idle <- c
	}
	for n := 0; time.Since(began) < load; n++ {
		group.Go(func() { send(n) })
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / time.Duration(rate))))
	}
	group.Wait()
	served := 0
	for _, e := range exchanges {
		if e.served {
			served++
		}
	}
	p.recordf("%d of %d requests served", served, len(exchanges))
	return exchanges
}

// announceForeign sends the entries of the other writer, each once in the interval of heartbeats.
func (p *play) announceForeign(of []*instance, controls int, began time.Time) {
	for round := 0; time.Since(began) < foreignLoad; round++ {
		for _, s := range of {
			text, err := json.Marshal(map[string]any{
				"service": foreignService, "address": s.address, "zone": s.zone, "version": "v0", "slots": 6, "state": "draining",
				"warmup_left": "0ms", "sequence": round + 1, "born": s.born,
			})
			if err != nil {
				panic(err)
			}
			status, _ := call(http.MethodPut, fmt.Sprintf("http://%s:%d/-/instances/%s", p.control(round%controls), controlPort, s.id), text)
			p.recordf("another writer: %s of service %s is draining: %d", s.id, foreignService, status)
		}
		time.Sleep(beatInterval)
	}
}
