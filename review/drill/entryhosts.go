package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// entryHostsName is a name of a service that no configuration has. The control hosts use it for their own list of entry hosts.
const entryHostsName = "entry hosts"

// entryHosts plays another writer whose heartbeat names a service that no configuration has. Clients ask the directory where to
// connect and send requests of the service cuefeed there. The case is broken if an instance of another service runs one.
func entryHosts(r *record, trouble bool) (outcome, string) {
	f, err := newFleet(r, 3, 2)
	if err != nil {
		return notRun, err.Error()
	}
	defer f.stop()
	instances, err := f.startInstances(2)
	if err != nil {
		return notRun, err.Error()
	}
	other, err := f.startInstance(110, "i-other", "lexview")
	if err != nil {
		return notRun, err.Error()
	}
	routes := []route{{"/signoff/", "unsafe", "cuefeed"}, {"/cues/", "safe", "cuefeed"}, {"/glossary/", "safe", "lexview"}}
	if err := f.putAndServe(routes, []string{"cuefeed", "lexview"}, append(instances, other)); err != nil {
		return notRun, err.Error()
	}
	time.Sleep(contact)
	if trouble {
		stop := make(chan struct{})
		defer close(stop)
		go f.writeHeartbeats("i-odd", entryHostsName, other.address, other.born, stop)
		time.Sleep(contact)
	}
	wrong := 0
	for n := range 60 {
		address, err := f.resolve(n)
		if err != nil {
			r.event("directory", err.Error())
			continue
		}
		id := fmt.Sprintf("signoff-%02d", n)
		a := f.exchangeAt(address, http.MethodPost, "/signoff/1", id, "signed by the editor")
		r.event("client sent", id, "to", address, "which the directory named, and got", a.status, "seal", a.seal, fmt.Sprintf("%.60q", a.body), a.errText())
		if runs, _ := other.runsOf(id); runs > 0 {
			wrong++
			r.event("BROKEN ROUTE", id, "of the service cuefeed ran at", other.id, "of the service", other.service)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if wrong > 0 {
		return broken, fmt.Sprintf("%d of 60 requests for cuefeed ran at an instance of lexview", wrong)
	}
	return held, "all requests ran at instances of their service"
}

// resolve asks a control host where to connect and picks one of the addresses.
func (f *fleet) resolve(n int) (string, error) {
	status, text := f.call(http.MethodGet, f.at(f.cores[n%len(f.cores)].ip, f.ports.directory), "/-/resolve?name="+hostName+"&region=r&zone=a", "")
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil || len(answer.Addresses) == 0 {
		return "", fmt.Errorf("status %d: %s", status, text)
	}
	return answer.Addresses[rand.IntN(len(answer.Addresses))], nil
}
