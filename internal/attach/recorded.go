package attach

import (
	"maps"

	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// recordedDepartures tracks which departures the polled members of the control group have recorded. Most announcements of
// a draining server repeat what a majority is known to have recorded, and need no further call. It is a pure state
// machine and not safe for concurrent use.
type recordedDepartures struct {
	// logs identifies the process at each fleet address.
	logs map[string]uint64
	// incarnations holds up to which incarnation each address has recorded the departure, by instance and address.
	incarnations map[string]map[string]uint64
}

func newRecordedDepartures() *recordedDepartures {
	return &recordedDepartures{logs: map[string]uint64{}, incarnations: map[string]map[string]uint64{}}
}

// add adds the departures that a member reported. What a former process at the address had recorded no longer counts.
func (r *recordedDepartures) add(address string, changes *fleetpb.Departures) {
	if r.logs[address] != changes.GetLog() {
		r.logs[address] = changes.GetLog()
		for _, byAddress := range r.incarnations {
			delete(byAddress, address)
		}
	}
	for _, d := range changes.GetList() {
		byAddress := r.incarnations[d.GetInstance()]
		if byAddress == nil {
			byAddress = map[string]uint64{}
			r.incarnations[d.GetInstance()] = byAddress
		}
		byAddress[address] = max(byAddress[address], d.GetIncarnation())
	}
}

// hosts lists the fleet addresses of the members that have recorded the departure of the process.
func (r *recordedDepartures) hosts(instance string, incarnation uint64) (addresses []string) {
	for address, recorded := range r.incarnations[instance] {
		if recorded >= incarnation {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// retain drops the instances that are not kept.
func (r *recordedDepartures) retain(kept func(instance string) bool) {
	maps.DeleteFunc(r.incarnations, func(instance string, _ map[string]uint64) bool { return !kept(instance) })
}
