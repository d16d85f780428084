// Package scenario describes the current deployments of both users, for the demo and the benchmarks.
package scenario

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/bench/localfleet"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// User is one deployment.
type User struct {
	Name        string
	Region      string
	DataCentres []string
	// OneWay is the one-way latency between data centres.
	OneWay   time.Duration
	Backends []localfleet.Backends
	Services []*configpb.Service
	Routes   []*configpb.Route
	Teams    []*configpb.Team
	// Classes is a light load over all services.
	Classes []load.Class
}

// Minimum shares of slot time per priority, and the minimum healthy capacity.
const (
	normalMinimumShare     = 0.15
	backgroundMinimumShare = 0.05
	minimumHealthyPercent  = 70
)

// Target latencies of the current services, by priority.
const (
	urgentTarget     = 500 * time.Millisecond
	normalTarget     = time.Second
	backgroundTarget = 5 * time.Second
)

// Hanbit returns the deployment of the Shared Cue Gateway.
func Hanbit() User {
	return User{
		Name:        "hanbit",
		Region:      "kr-central",
		DataCentres: []string{"kr-central-1", "kr-central-2", "kr-central-3"},
		OneWay:      time.Millisecond,
		Backends: []localfleet.Backends{
			{Service: "cuefeed", Instances: 14, Slots: 6, Connections: 330, WorkTime: 100 * time.Millisecond},
			{Service: "lexview", Instances: 10, Slots: 6, Connections: 330, WorkTime: 60 * time.Millisecond},
		},
		Services: []*configpb.Service{newService("cuefeed", 6, 330), newService("lexview", 6, 330)},
		Routes: []*configpb.Route{
			getRoute("cue-lists", "/cuefeed/cues", "cuefeed", configpb.Priority_PRIORITY_URGENT),
			postRoute("sign-offs", "/cuefeed/sign-offs", "cuefeed", configpb.Priority_PRIORITY_URGENT),
			getRoute("cue-reviews", "/cuefeed/reviews", "cuefeed", configpb.Priority_PRIORITY_NORMAL),
			getRoute("cue-exports", "/cuefeed/exports", "cuefeed", configpb.Priority_PRIORITY_BACKGROUND),
			getRoute("previews", "/lexview/previews", "lexview", configpb.Priority_PRIORITY_URGENT),
			getRoute("glossary", "/lexview/glossary", "lexview", configpb.Priority_PRIORITY_NORMAL),
			getRoute("glossary-scans", "/lexview/scans", "lexview", configpb.Priority_PRIORITY_BACKGROUND),
		},
		Teams: newTeams(),
		Classes: []load.Class{
			loadClass("cue-lists", "cuefeed", "/cuefeed/cues", 150, urgentTarget),
			keyedLoadClass("sign-offs", "cuefeed", "/cuefeed/sign-offs", 20, urgentTarget),
			loadClass("cue-exports", "cuefeed", "/cuefeed/exports", 50, backgroundTarget),
			loadClass("previews", "lexview", "/lexview/previews", 120, urgentTarget),
			loadClass("glossary", "lexview", "/lexview/glossary", 80, normalTarget),
		},
	}
}

// Thies returns the deployment of the Thiès Scroll Studio Gateway.
func Thies() User {
	return User{
		Name:        "thies",
		Region:      "thies",
		DataCentres: []string{"thies-1", "thies-2", "thies-3"},
		OneWay:      500 * time.Microsecond,
		Backends: []localfleet.Backends{
			{Service: "booking", Instances: 20, Slots: 3, Connections: 390, WorkTime: 100 * time.Millisecond},
			{Service: "catalogue", Instances: 16, Slots: 3, Connections: 390, WorkTime: 60 * time.Millisecond},
		},
		Services: []*configpb.Service{newService("booking", 3, 390), newService("catalogue", 3, 390)},
		Routes: []*configpb.Route{
			getRoute("order-status", "/booking/status", "booking", configpb.Priority_PRIORITY_URGENT),
			postRoute("deposits", "/booking/deposits", "booking", configpb.Priority_PRIORITY_URGENT),
			getRoute("styles", "/booking/styles", "booking", configpb.Priority_PRIORITY_NORMAL),
			getRoute("booking-archive", "/booking/archive", "booking", configpb.Priority_PRIORITY_BACKGROUND),
			getRoute("browse", "/catalogue/styles", "catalogue", configpb.Priority_PRIORITY_NORMAL),
			getRoute("condition-records", "/catalogue/records", "catalogue", configpb.Priority_PRIORITY_BACKGROUND),
		},
		Teams: newTeams(),
		Classes: []load.Class{
			loadClass("order-status", "booking", "/booking/status", 120, urgentTarget),
			keyedLoadClass("deposits", "booking", "/booking/deposits", 15, urgentTarget),
			loadClass("browse", "catalogue", "/catalogue/styles", 80, normalTarget),
			loadClass("condition-records", "catalogue", "/catalogue/records", 40, backgroundTarget),
		},
	}
}

// Fleet returns the configuration of a local fleet for the user with the given numbers of hosts.
func (u User) Fleet(nodes, controls int) localfleet.Config {
	for _, s := range u.Services {
		s.DataCentres = u.DataCentres
	}
	return localfleet.Config{
		Nodes:       nodes,
		Controls:    controls,
		DataCentres: u.DataCentres,
		Region:      u.Region,
		Backends:    u.Backends,
		Services:    u.Services,
		Routes:      u.Routes,
		Teams:       u.Teams,
	}
}

// Slots returns the number of slots of a service over all its stand-in backend servers.
func (u User) Slots(service string) int {
	for _, b := range u.Backends {
		if b.Service == service {
			return b.Instances * b.Slots
		}
	}
	return 0
}

func newService(name string, slots, connections uint32) *configpb.Service {
	return &configpb.Service{
		Name:                  name,
		MinimumHealthyPercent: minimumHealthyPercent,
		SlotLimit:             slots,
		ConnectionLimit:       connections,
		Priorities: []*configpb.PriorityTarget{
			priorityTarget(configpb.Priority_PRIORITY_URGENT, urgentTarget, 0.99, 0),
			priorityTarget(configpb.Priority_PRIORITY_NORMAL, normalTarget, 0.99, normalMinimumShare),
			priorityTarget(configpb.Priority_PRIORITY_BACKGROUND, backgroundTarget, 0.95, backgroundMinimumShare),
		},
	}
}

func priorityTarget(p configpb.Priority, latency time.Duration, share, minimum float64) *configpb.PriorityTarget {
	return &configpb.PriorityTarget{Priority: p, TargetLatencyMs: latency.Milliseconds(), TargetShare: share, MinimumShare: minimum}
}

func getRoute(id, path, service string, p configpb.Priority) *configpb.Route {
	return &configpb.Route{Id: id, PathPrefix: path, Methods: []string{"GET"}, Service: service, Priority: p, Idempotent: true}
}

func postRoute(id, path, service string, p configpb.Priority) *configpb.Route {
	return &configpb.Route{Id: id, PathPrefix: path, Methods: []string{"POST"}, Service: service, Priority: p}
}

// FloodTeam is the team that floods a service in experiments.
const FloodTeam = "team-flood"

// newTeams returns the configured teams, each with an in-flight quota that no benchmark reaches. The teams
// are configured since all unknown teams would share the team "default".
func newTeams() []*configpb.Team {
	teams := []*configpb.Team{{Id: "default", Weight: 1, InFlightQuota: 4096}}
	for _, name := range append(TeamNames(), FloodTeam) {
		teams = append(teams, &configpb.Team{Id: name, Weight: 1, InFlightQuota: 4096})
	}
	return teams
}

func loadClass(name, service, path string, rate float64, target time.Duration) load.Class {
	return load.Class{Name: name, Service: service, Path: path, Rate: rate, Deadline: 4 * target, Target: target, Teams: TeamNames()}
}

func keyedLoadClass(name, service, path string, rate float64, target time.Duration) load.Class {
	c := loadClass(name, service, path, rate, target)
	c.Method = "POST"
	c.Keyed = true
	return c
}

// TeamNames lists the teams that send requests in a load without a flood.
func TeamNames() []string {
	return []string{"team-1", "team-2", "team-3", "team-4", "team-5", "team-6", "team-7", "team-8"}
}
