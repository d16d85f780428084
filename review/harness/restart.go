package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart"] = playRestart }

// playRestart checks FLOOR. Some servers leave and start again under the ids that they had, while the control machine
// that they call first is frozen. The machine wakes up after they have started again.
func playRestart(f *fleet, trouble bool) (verdict, error) {
	const (
		servers    = 12
		restarting = 4
		freezeFor  = 6 * time.Second
		drain      = 2 * time.Second
	)
	if err := f.putConfig(route{host: hostName, prefix: floorRoutes, kind: "safe", service: "stock", timeout: "2000ms", attempts: 2}); err != nil {
		return verdict{}, err
	}
	var l ledger
	var list []*server
	for i := range servers {
		s, err := f.newServer(&l, serverOptions{service: "stock", slots: slotsPerServer, work: workPerRequest})
		if err != nil {
			return verdict{}, err
		}
		if i < restarting {
			// The servers that restart call this machine first, as the nearest one.
			s.firstNode.Store(0)
		}
		list = append(list, s)
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	traffic := f.startLoad(floorRoutes+"item", loadOfAllSlots*servers*slotsPerServer/workPerRequest.Seconds())
	time.Sleep(settleTime)
	frozen := f.cores[0]
	thawed := time.Now().Add(freezeFor)
	if trouble {
		if err := f.signal(frozen, syscall.SIGSTOP); err != nil {
			return verdict{}, err
		}
	}
	var group sync.WaitGroup
	for _, s := range list[:restarting] {
		group.Go(func() {
			b := s.current()
			b.withdraw()
			time.Sleep(drain)
			b.stop()
			f.rec.printf("server %s exits", b.id)
			_, _ = s.startBoot(b.id)
		})
	}
	group.Wait()
	time.Sleep(time.Until(thawed))
	if trouble {
		if err := f.signal(frozen, syscall.SIGCONT); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(soundAfter)
	from := time.Now()
	time.Sleep(watchAfterwards)
	to := time.Now()
	answers := traffic.end()
	return checkFloor(f, answers, l.list(), servers, from, to), nil
}
