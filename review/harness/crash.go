package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// contact is the bound of the platform's settings.
	contact = 3 * time.Second
	// crashPath is the path of the request that crashes each server that begins to run it.
	crashPath = "/sign/poison"
)

func init() { cases["crash"] = playCrash }

// playCrash checks BUDGET for a request that crashes the servers that run it. The service has little work, so that the
// request is mostly alone at its server.
func playCrash(f *fleet, trouble bool) (verdict, error) {
	if err := f.putConfig(route{host: hostName, prefix: "/sign/", kind: "unsafe", service: "sign", timeout: "2500ms", attempts: 2}); err != nil {
		return verdict{}, err
	}
	var l ledger
	for range 10 {
		if _, err := f.newServer(&l, serverOptions{
			service: "sign", slots: 6, work: 60 * time.Millisecond, downFor: 3 * time.Second,
			crashes: func(r run) bool { return r.path == crashPath },
		}); err != nil {
			return verdict{}, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	const length = 60 * time.Second
	end := time.Now().Add(length)
	var group sync.WaitGroup
	served, sent := 0, 0
	group.Go(func() {
		for time.Now().Before(end) {
			a := f.send(http.MethodPost, "/sign/usual", "one sign-off", 5*time.Second)
			f.rec.printf("POST /sign/usual %s at %s: status %d after %v", a.id, a.front, a.status, a.took.Round(time.Millisecond))
			sent++
			if a.status == http.StatusOK {
				served++
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
	if trouble {
		group.Go(func() {
			for time.Now().Before(end) {
				a := f.send(http.MethodPost, crashPath, "the same body", 5*time.Second)
				f.rec.printf("POST %s %s at %s: status %d after %v", crashPath, a.id, a.front, a.status, a.took.Round(time.Millisecond))
				time.Sleep(4 * time.Second)
			}
		})
	}
	group.Wait()
	if served < sent*8/10 {
		return verdict{}, fmt.Errorf("only %d of %d usual requests were served", served, sent)
	}
	// The rule counts the arrivals that were sent later than contact after the third crash.
	crashes, late := 0, 0
	var third time.Time
	for _, r := range l.list() {
		if r.path != crashPath {
			continue
		}
		if crashes++; crashes == 3 {
			third = r.at
		}
		if crashes > 3 && r.at.Sub(third) > contact {
			late++
			f.rec.printf("late run %d of the crash request: %s at %s, %v after the third crash", late, r.id, r.instance, r.at.Sub(third).Round(time.Millisecond))
		}
	}
	return verdict{late > 3, fmt.Sprintf("the request crashed %d servers; %d runs, of 3 allowed, came later than %v after the third crash", crashes, late, contact)}, nil
}
