package main

import (
	"encoding/json"
	"net/http"
	"time"
)

func init() { cases["odd"] = playOdd }

// playOdd checks FLOOR. Another writer sends heartbeats for a service that no configuration names, with the addresses of
// some of the servers.
func playOdd(f *fleet, trouble bool) (verdict, error) {
	const (
		servers = 10
		odd     = 4
	)
	if err := f.putConfig(route{host: hostName, prefix: floorRoutes, kind: "safe", service: "stock", timeout: "2000ms", attempts: 2}); err != nil {
		return verdict{}, err
	}
	var l ledger
	var list []*server
	for range servers {
		s, err := f.newServer(&l, serverOptions{service: "stock", slots: slotsPerServer, work: workPerRequest})
		if err != nil {
			return verdict{}, err
		}
		list = append(list, s)
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	traffic := f.startLoad(floorRoutes+"item", loadOfAllSlots*servers*slotsPerServer/workPerRequest.Seconds())
	time.Sleep(settleTime)
	if trouble {
		for i, s := range list[:odd] {
			body, _ := json.Marshal(map[string]any{
				"service": "no-such-service", "address": s.address, "zone": s.zone, "version": "v1", "slots": 1,
				"state": "ready", "warmup_left": "0ms", "sequence": 1, "born": time.Now().UnixMilli(),
			})
			status, node := f.callControl(i, http.MethodPut, "/-/instances/x-"+s.current().id, string(body), nil)
			f.rec.printf("heartbeat of another writer: %s: %d from %s", body, status, node)
		}
	}
	time.Sleep(soundAfter)
	from := time.Now()
	time.Sleep(watchAfterwards)
	to := time.Now()
	answers := traffic.end()
	return checkFloor(f, answers, l.list(), servers, from, to), nil
}
