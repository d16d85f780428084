// Package scenario describes the deployments of today's two users, for the demo and
// the benchmarks.
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
	// OneWay is the latency between data centres.
	OneWay   time.Duration
	Backends []localfleet.Backends
	Services []*configpb.Service
	Routes   []*configpb.Route
	Teams    []*configpb.Team
	// Classes is a light load over all services.
	Classes []load.Class
}

// Minimum shares of slot time, and minimum healthy capacity in percent.
const (
	normalShare     = 0.15
	backgroundShare = 0.05
	minimumHealthy  = 70
)

// Targets of today's services.
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
		Services: []*configpb.Service{service("cuefeed", 6, 330), service("lexview", 6, 330)},
		Routes: []*configpb.Route{
			get("cue-lists", "/cuefeed/cues", "cuefeed", configpb.Priority_PRIORITY_URGENT),
			post("sign-offs", "/cuefeed/sign-offs", "cuefeed", configpb.Priority_PRIORITY_URGENT),
			get("cue-reviews", "/cuefeed/reviews", "cuefeed", configpb.Priority_PRIORITY_NORMAL),
			get("cue-exports", "/cuefeed/exports", "cuefeed", configpb.Priority_PRIORITY_BACKGROUND),
			get("previews", "/lexview/previews", "lexview", configpb.Priority_PRIORITY_URGENT),
			get("glossary", "/lexview/glossary", "lexview", configpb.Priority_PRIORITY_NORMAL),
			get("glossary-scans", "/lexview/scans", "lexview", configpb.Priority_PRIORITY_BACKGROUND),
		},
		Teams: teams(),
		Classes: []load.Class{
			class("cue-lists", "cuefeed", "/cuefeed/cues", 150, urgentTarget),
			keyed("sign-offs", "cuefeed", "/cuefeed/sign-offs", 20, urgentTarget),
			class("cue-exports", "cuefeed", "/cuefeed/exports", 50, backgroundTarget),
			class("previews", "lexview", "/lexview/previews", 120, urgentTarget),
			class("glossary", "lexview", "/lexview/glossary", 80, normalTarget),
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
		Services: []*configpb.Service{service("booking", 3, 390), service("catalogue", 3, 390)},
		Routes: []*configpb.Route{
			get("order-status", "/booking/status", "booking", configpb.Priority_PRIORITY_URGENT),
			post("deposits", "/booking/deposits", "booking", configpb.Priority_PRIORITY_URGENT),
			get("styles", "/booking/styles", "booking", configpb.Priority_PRIORITY_NORMAL),
			get("booking-archive", "/booking/archive", "booking", configpb.Priority_PRIORITY_BACKGROUND),
			get("browse", "/catalogue/styles", "catalogue", configpb.Priority_PRIORITY_NORMAL),
			get("condition-records", "/catalogue/records", "catalogue", configpb.Priority_PRIORITY_BACKGROUND),
		},
		Teams: teams(),
		Classes: []load.Class{
			class("order-status", "booking", "/booking/status", 120, urgentTarget),
			keyed("deposits", "booking", "/booking/deposits", 15, urgentTarget),
			class("browse", "catalogue", "/catalogue/styles", 80, normalTarget),
			class("condition-records", "catalogue", "/catalogue/records", 40, backgroundTarget),
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

// Slots returns the slots of a service over all its stand-ins.
func (u User) Slots(service string) int {
	for _, b := range u.Backends {
		if b.Service == service {
			return b.Instances * b.Slots
		}
	}
	return 0
}

func service(name string, slots, connections uint32) *configpb.Service {
	return &configpb.Service{
		Name:                  name,
		MinimumHealthyPercent: minimumHealthy,
		SlotLimit:             slots,
		ConnectionLimit:       connections,
		Priorities: []*configpb.PriorityTarget{
			target(configpb.Priority_PRIORITY_URGENT, urgentTarget, 0.99, 0),
			target(configpb.Priority_PRIORITY_NORMAL, normalTarget, 0.99, normalShare),
			target(configpb.Priority_PRIORITY_BACKGROUND, backgroundTarget, 0.95, backgroundShare),
		},
	}
}

func target(p configpb.Priority, latency time.Duration, share, minimum float64) *configpb.PriorityTarget {
	return &configpb.PriorityTarget{Priority: p, TargetLatencyMs: latency.Milliseconds(), TargetShare: share, MinimumShare: minimum}
}

func get(id, path, service string, p configpb.Priority) *configpb.Route {
	return &configpb.Route{Id: id, PathPrefix: path, Methods: []string{"GET"}, Service: service, Priority: p, Idempotent: true}
}

func post(id, path, service string, p configpb.Priority) *configpb.Route {
	return &configpb.Route{Id: id, PathPrefix: path, Methods: []string{"POST"}, Service: service, Priority: p}
}

// FloodTeam is a team that floods in experiments.
const FloodTeam = "team-flood"

// teams lets every team have as many requests in flight as a benchmark may need. Teams must be
// configured to be told apart: unknown ones share the team "default".
func teams() []*configpb.Team {
	teams := []*configpb.Team{{Id: "default", Weight: 1, InFlightQuota: 4096}}
	for _, name := range append(TeamNames(), FloodTeam) {
		teams = append(teams, &configpb.Team{Id: name, Weight: 1, InFlightQuota: 4096})
	}
	return teams
}

func class(name, service, path string, rate float64, target time.Duration) load.Class {
	return load.Class{Name: name, Service: service, Path: path, Rate: rate, Deadline: 4 * target, Target: target, Teams: TeamNames()}
}

func keyed(name, service, path string, rate float64, target time.Duration) load.Class {
	c := class(name, service, path, rate, target)
	c.Method = "POST"
	c.Keyed = true
	return c
}

// TeamNames lists the teams of a usual load.
func TeamNames() []string {
	return []string{"team-1", "team-2", "team-3", "team-4", "team-5", "team-6", "team-7", "team-8"}
}
