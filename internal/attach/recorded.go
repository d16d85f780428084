package attach

import (
	"maps"
	"time"

	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// recordedDepartures tracks which departures the polled members of the control group have recorded. Most announcements of
// a draining server repeat what a majority is known to have recorded, and need no further call. It is a pure state
// machine and not safe for concurrent use.
type recordedDepartures struct {
	started time.Time
	// logs identifies the process at each fleet address.
	logs map[string]uint64
	// incarnations holds up to which incarnation each address has recorded the departure, by instance and address.
	incarnations map[string]map[string]recordedDeparture
}

// recordedDeparture is a departure that a member has recorded, and when it did so last.
type recordedDeparture struct {
	incarnation uint64
	// at counts from the start of this process.
	at time.Duration
}

func newRecordedDepartures(now time.Time) *recordedDepartures {
	return &recordedDepartures{started: now, logs: map[string]uint64{}, incarnations: map[string]map[string]recordedDeparture{}}
}

// add adds the departures that a member reported. What a former process at the address had recorded no longer counts.
func (r *recordedDepartures) add(now time.Time, address string, changes *fleetpb.Departures) {
	if r.logs[address] != changes.GetLog() {
		r.logs[address] = changes.GetLog()
		for _, byAddress := range r.incarnations {
			delete(byAddress, address)
		}
	}
	for _, d := range changes.GetList() {
		byAddress := r.incarnations[d.GetInstance()]
		if byAddress == nil {
			byAddress = map[string]recordedDeparture{}
			r.incarnations[d.GetInstance()] = byAddress
		}
		age := time.Duration(d.GetAgeMs()) * time.Millisecond
		byAddress[address] = recordedDeparture{max(byAddress[address].incarnation, d.GetIncarnation()), now.Sub(r.started) - age}
	}
}

// hosts lists the fleet addresses of the members that have recorded the departure of the process and need not renew it.
func (r *recordedDepartures) hosts(now time.Time, instance string, incarnation uint64) (addresses []string) {
	for address, recorded := range r.incarnations[instance] {
		if recorded.incarnation >= incarnation && now.Sub(r.started)-recorded.at < departureRenewal {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// retain drops the instances that are not kept.
func (r *recordedDepartures) retain(kept func(instance string) bool) {
	maps.DeleteFunc(r.incarnations, func(instance string, _ map[string]recordedDeparture) bool { return !kept(instance) })
}
