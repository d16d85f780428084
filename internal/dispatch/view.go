package dispatch

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

// State names of servers in a view.
const (
	ViewReady    = "ready"
	ViewStarting = "starting"
	ViewDraining = "draining"
	ViewEjected  = "ejected"
	// ViewCrashed servers crashed recently and get no work until they respond again; they are not ejected.
	ViewCrashed   = "crashed"
	ViewProbation = "probation"
	ViewSuspect   = "suspect"
)

// ServerView is one server as the dispatcher sees it.
type ServerView struct {
	Instance   string
	Address    string
	DataCentre string
	State      string
	InFlight   int
	Limit      int
	LeaseLeft  time.Duration
	Slots      int
}

// View is the state of the service that is reported to nodes and operators.
type View struct {
	Servers  []ServerView
	P95      time.Duration
	Overload bool
	// Healthy and Minimum are capacities in slots.
	Healthy int
	Minimum int
	// Counts are the numbers of usable servers by the reason why they get less work or none.
	Counts ServerCounts
	// ScarceTeams are the teams that are near or beyond their usage caps, in order.
	ScarceTeams []string
}

// Merge adds the view of another dispatcher of the same service.
func (v *View) Merge(other View) {
	v.Servers = append(v.Servers, other.Servers...)
	v.P95 = max(v.P95, other.P95)
	v.Overload = v.Overload || other.Overload
	v.Healthy += other.Healthy
	v.Minimum += other.Minimum
	v.Counts.merge(&other.Counts)
	v.ScarceTeams = append(v.ScarceTeams, other.ScarceTeams...)
}

// View returns the state of the service.
func (m *Machine) View(now time.Time) View {
	v := View{
		P95: m.latencies.p95, Overload: m.overload,
		Healthy: m.healthyCapacity(now), Minimum: m.minimum(now), Counts: m.CountServers(now),
		Servers: make([]ServerView, 0, len(m.servers)),
	}
	v.ScarceTeams = m.ScarceTeams(now)
	slices.Sort(v.ScarceTeams)
	for _, s := range m.servers {
		if !s.listed {
			continue
		}
		v.Servers = append(v.Servers, ServerView{
			Instance: s.Instance, Address: s.Address, DataCentre: s.DataCentre,
			State: s.viewState(now), InFlight: len(s.inflight), Limit: s.limit(now),
			LeaseLeft: backend.Cutoff - now.Sub(s.Renewed), Slots: s.Slots,
		})
	}
	return v
}
