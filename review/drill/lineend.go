package main

import (
	"fmt"
	"net/http"
	"time"
)

// lineEndID is the id of the first instance with the line end behind it, as in a text file, that another writer leaves on.
const lineEndID = "i-0%0D%0A"

// lineEnd plays another writer whose heartbeats name an instance with a line end behind its id. Clients send requests with a
// body on an unsafe route. The case is broken if an instance runs one with another body than the client sent.
func lineEnd(r *record, trouble bool) (outcome, string) {
	f, err := newFleet(r, 3, 1)
	if err != nil {
		return notRun, err.Error()
	}
	defer f.stop()
	instances, err := f.startInstances(2)
	if err != nil {
		return notRun, err.Error()
	}
	if err := f.serve(instances); err != nil {
		return notRun, err.Error()
	}
	time.Sleep(contact)
	if trouble {
		stop := make(chan struct{})
		defer close(stop)
		go f.writeHeartbeats(lineEndID, instances[0].service, instances[0].address, instances[0].born, stop)
		time.Sleep(contact)
	}
	const body = "signed by the editor"
	changed := 0
	for n := range 60 {
		id := fmt.Sprintf("signoff-%02d", n)
		a := f.send(f.fronts[0], http.MethodPost, "/signoff/1", id, body)
		for _, s := range instances {
			s.mu.Lock()
			got, ran := s.bodies[id]
			s.mu.Unlock()
			if ran && got != body {
				changed++
				r.event("BROKEN UNASKED", id, "ran at", s.id, "with the body", fmt.Sprintf("%q", got), "instead of", fmt.Sprintf("%q", body), "and the client got", a.status)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if changed > 0 {
		return broken, fmt.Sprintf("%d of 60 requests ran with another body than the client sent", changed)
	}
	return held, "all requests ran with the body that the client sent"
}

// writeHeartbeats announces an instance under an id, each time at the next control node.
func (f *fleet) writeHeartbeats(id, service, address string, born int64, stop <-chan struct{}) {
	for n := 1; ; n++ {
		status, text := f.call(http.MethodPut, f.control(n), "/-/instances/"+id, beatBody(service, address, born, int64(n), "ready"))
		f.record.event("another writer's heartbeat of", id, "to", f.control(n), "status", status, text)
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}
