package main

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// heartbeatDelay is how late the delayed heartbeat arrives.
	heartbeatDelay = 4 * time.Second
	// killAfter is the time from the acknowledgement to the kill, and down how long the processes are away.
	killAfter = time.Second
	down      = 700 * time.Millisecond
)

// lostDeparture plays an instance that withdraws itself and is acknowledged. A second later all processes of the system are
// killed; they are back within a second. A heartbeat that the instance sent before arrives late. The case is broken if requests reach
// the instance later than the bound after the acknowledgement, once the entry hosts are in touch again. Without trouble
// nothing is killed; the heartbeat arrives late all the same.
func lostDeparture(r *record, trouble bool) (outcome, string) {
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
	leaving := instances[1]
	close(leaving.stopBeats)
	// The instance gets no response to this heartbeat within a second, so it calls the next node.
	late := leaving.beatBody(leaving.sequence.Add(1), "ready")
	r.event("instance", leaving.id, "sends a heartbeat that arrives", heartbeatDelay, "late:", late)
	time.AfterFunc(heartbeatDelay, func() {
		status, text := f.call(http.MethodPut, f.control(1), "/-/instances/"+leaving.id, late)
		r.event("the late heartbeat of", leaving.id, "arrives at", f.control(1), "status", status, text)
	})
	time.Sleep(time.Second)
	if !leaving.beat() {
		return notRun, "the heartbeat was not acknowledged"
	}
	acknowledged := time.Time{}
	for i := range 2 * len(f.cores) {
		status, text := f.call(http.MethodDelete, f.control(i), "/-/instances/"+leaving.id, fmt.Sprintf(`{"born":%d}`, leaving.born))
		r.event("instance", leaving.id, "withdraws itself at", f.control(i), "status", status, text)
		if status == http.StatusOK {
			acknowledged = time.Now()
			break
		}
	}
	if acknowledged.IsZero() {
		return notRun, "the withdrawal was not acknowledged"
	}
	inTouch := acknowledged
	if trouble {
		time.Sleep(killAfter)
		back, err := f.killAll()
		if err != nil {
			return notRun, err.Error()
		}
		// Machines are in touch after twice that time, if a final fault took most of the core.
		inTouch = back.Add(2 * contact)
	}
	for n := range 100 {
		f.send(f.fronts[n%2], http.MethodGet, "/cues/1", fmt.Sprintf("read-%03d", n), "")
		time.Sleep(80 * time.Millisecond)
	}
	broke := 0
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for id, at := range leaving.times {
		if after := at.Sub(acknowledged); after > drain && at.After(inTouch) {
			broke++
			r.event("BROKEN DRAIN", id, "reached", leaving.id, after.Round(time.Millisecond), "after its withdrawal was acknowledged")
		}
	}
	if broke > 0 {
		return broken, fmt.Sprintf("%d of 100 requests reached %s later than %s after its withdrawal was acknowledged, through machines in touch", broke, leaving.id, drain)
	}
	return held, "no request reached the instance that has left later than the bound"
}

// killAll kills all processes of the system and starts them again. It returns when they run again.
func (f *fleet) killAll() (time.Time, error) {
	all := slices.Concat(f.cores, f.fronts)
	for _, p := range all {
		f.record.event("kill", p.role, p.ip)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	time.Sleep(down)
	for _, p := range all {
		if err := p.writeSettings(false); err != nil {
			return time.Time{}, err
		}
		if err := p.start(); err != nil {
			return time.Time{}, err
		}
	}
	return time.Now(), nil
}
