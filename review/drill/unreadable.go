package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// oddID and oddLeavingID are ids whose bytes are Latin-1 and no UTF-8.
	oddID        = "i-%E9"
	oddLeavingID = "i-%E8"
	// drain is the bound of that name, after which no request may reach an instance whose departure was acknowledged.
	drain = 2 * time.Second
	// contact is the bound of that name.
	contact = 3 * time.Second
)

// unreadableID plays another writer, of two instances whose ids have bytes that can't be read: one announces itself, one is withdrawn. Later a sound instance reports
// that it drains, and is acknowledged. The case is broken if requests reach it later than the bound after that. All processes
// run undisturbed, so all machines are in touch.
func unreadableID(r *record, trouble bool) (outcome, string) {
	f, err := newFleet(r, 3, 2)
	if err != nil {
		return notRun, err.Error()
	}
	defer f.stop()
	instances, err := f.startInstances(4)
	if err != nil {
		return notRun, err.Error()
	}
	if err := f.serve(instances); err != nil {
		return notRun, err.Error()
	}
	time.Sleep(2 * contact)
	if trouble {
		stop := make(chan struct{})
		defer close(stop)
		go f.writeHeartbeats(oddID, "cuefeed", f.at(f.ip(120), 9), time.Now().UnixMilli(), stop)
		f.writeOddWithdrawal()
	}
	time.Sleep(2 * contact)
	leaving := instances[1]
	leaving.state.Store("draining")
	acknowledged := time.Time{}
	for deadline := time.Now().Add(10 * time.Second); acknowledged.IsZero(); {
		if leaving.beat() {
			acknowledged = time.Now()
			r.event("instance", leaving.id, "is acknowledged as draining")
		}
		if time.Now().After(deadline) {
			return notRun, "the departure was not acknowledged"
		}
	}
	for n := range 100 {
		f.send(f.fronts[n%2], http.MethodGet, "/cues/1", fmt.Sprintf("read-%03d", n), "")
		time.Sleep(100 * time.Millisecond)
	}
	late := 0
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for id, at := range leaving.times {
		if after := at.Sub(acknowledged); after > drain {
			late++
			r.event("BROKEN DRAIN", id, "reached", leaving.id, after.Round(time.Millisecond), "after it was acknowledged as draining")
		}
	}
	if late > 0 {
		return broken, fmt.Sprintf("%d of 100 requests reached %s later than %s after its departure was acknowledged", late, leaving.id, drain)
	}
	return held, "no request reached the leaving instance later than the bound"
}

// writeOddWithdrawal withdraws another instance with an odd id. A call that is not acknowledged goes to the next node.
func (f *fleet) writeOddWithdrawal() {
	body := fmt.Sprintf(`{"born":%d}`, time.Now().UnixMilli())
	for i := range f.cores {
		status, text := f.call(http.MethodDelete, f.control(i), "/-/instances/"+oddLeavingID, body)
		f.record.event("another writer's withdrawal of", oddLeavingID, "at", f.control(i), "status", status, text)
		if status/100 == 2 {
			return
		}
	}
}
