package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// restarted is how many of the instances are shut down and start again under their ids.
	restarted   = 4
	restartWork = 200 * time.Millisecond
	// restartRate is the requests per second, about four fifths of what 9 instances with 6 slots serve.
	restartRate = 222
	restartLoad = 26 * time.Second
	// freezeTime is how long the control host stands still.
	freezeTime = 1200 * time.Millisecond
	// freezeLead is how long before the withdrawals it begins to do so.
	freezeLead = 500 * time.Millisecond
	// servingTime is how long an instance serves after its drain was acknowledged; drain is 2 s.
	servingTime  = 2400 * time.Millisecond
	restartPause = 300 * time.Millisecond
	// withdrawalGap is the time between the withdrawals of two instances.
	withdrawalGap = 20 * time.Millisecond
	// judgedFrom is the time of the load from which FLOOR is checked: the control host has run again, and the instances have
	// run, for twice contact.
	judgedFrom = 14 * time.Second
)

// pausedRestart serves a load while some instances are shut down as planned and start again under their ids. Meanwhile the
// control host that their new processes call first stands still. FLOOR is broken if the instances that have started get no work.
func pausedRestart(p *play) (broken bool, err error) {
	const controls, entries, instances, frozen = 3, 3, 9, 2
	if err := p.startFleet(controls, entries); err != nil {
		return false, err
	}
	text := document(1, []string{"cuefeed"}, route{"r-list", "/list/", "safe", "cuefeed", 4 * time.Second})
	if err := p.put(controls, 1, text, 20*time.Second); err != nil {
		return false, err
	}
	var servers []*instance
	for i := range instances {
		s, err := p.startInstance(fmt.Sprintf("i-%d", i+1), "cuefeed", zoneOf(i), p.newInstanceAddress(), controls, 6, restartWork)
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
	failed := make(chan error, 1)
	go func() { failed <- p.restartInstances(servers, frozen, began.Add(2*time.Second)) }()
	exchanges := p.sendReads(entries, restartRate, began, restartLoad)
	if err := <-failed; err != nil {
		return false, err
	}
	return p.checkFloor(servers, exchanges, began, judgedFrom, restartLoad), nil
}

// restartInstances shuts the first instances down, and replaces them in the list by the ones that start again.
func (p *play) restartInstances(servers []*instance, frozen int, at time.Time) error {
	time.Sleep(time.Until(at))
	var group sync.WaitGroup
	drained := make([]error, restarted)
	for i, s := range servers[:restarted] {
		group.Go(func() { _, drained[i] = s.drain() })
	}
	group.Wait()
	for _, err := range drained {
		if err != nil {
			return err
		}
	}
	time.Sleep(servingTime - freezeLead)
	if p.trouble {
		if err := p.freeze(p.control(frozen), freezeTime); err != nil {
			return err
		}
	}
	time.Sleep(freezeLead)
	for i, s := range servers[:restarted] {
		group.Go(func() {
			time.Sleep(time.Duration(i) * withdrawalGap)
			s.withdraw()
			time.Sleep(restartPause)
			servers[i], drained[i] = p.startAgain(s, frozen)
		})
	}
	group.Wait()
	for _, err := range drained {
		if err != nil {
			return err
		}
	}
	return nil
}

// freeze stops the process of a host and continues it after the time.
func (p *play) freeze(ip string, duration time.Duration) error {
	p.mu.Lock()
	cmd := p.processes[ip]
	p.mu.Unlock()
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	p.recordf("control host %s stands still", ip)
	time.AfterFunc(duration, func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		p.recordf("control host %s runs again", ip)
	})
	return nil
}

// withdraw withdraws the instance, at one control host after another until one acknowledges it, and ends it.
func (s *instance) withdraw() {
	s.stopBeat()
	s.mu.Lock()
	first := s.beatAt
	s.mu.Unlock()
	for i := range s.controls {
		at := s.p.control((first + i) % s.controls)
		status, _ := call(http.MethodDelete, fmt.Sprintf("http://%s:%d/-/instances/%s", at, controlPort, s.id), nil)
		s.p.recordf("instance %s withdraws at %s: %d", s.id, at, status)
		if status/100 == 2 {
			break
		}
	}
	s.p.recordf("instance %s exits", s.id)
	_ = s.server.Close()
}

// startAgain starts an instance under the id and at the address of one that has ended. It knows nothing of before and calls
// the given control host first.
func (p *play) startAgain(old *instance, first int) (*instance, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &instance{
		p: p, id: old.id, service: old.service, zone: old.zone, address: old.address, controls: old.controls, work: old.work,
		born: time.Now().UnixMilli(), slots: make(chan struct{}, cap(old.slots)), queue: make(chan struct{}, cap(old.queue)),
		stopBeat: cancel, state: "ready", idle: old.idle, beatAt: first,
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		cancel()
		return nil, err
	}
	s.server = &http.Server{Handler: s, IdleTimeout: s.idle}
	go func() { _ = s.server.Serve(l) }()
	go s.beat(ctx)
	p.closers = append(p.closers, func() {
		cancel()
		_ = s.server.Close()
	})
	p.recordf("instance %s starts again", s.id)
	return s, nil
}
