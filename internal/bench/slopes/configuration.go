package slopes

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	targetRoutes = 5_200
	targetTeams  = 60_000
	targetNodes  = 1_500
	lookupTrials = 200_000
	megabyte     = 1 << 20
)

// configurationSlopes measures the size of the configuration on a node and the time to process it. Routes,
// teams and hosts grow together in the proportion of the target; the size is the number of teams.
func configurationSlopes(_ context.Context, o Options) ([]Series, error) {
	wire := Series{Role: "node", Figure: "configuration on the wire", Unit: "MB", Per: "team (with 0.087 routes)"}
	memory := Series{Role: "node", Figure: "compiled configuration in memory", Unit: "MB", Per: "team (with 0.087 routes)"}
	compile := Series{Role: "node", Figure: "compile the whole configuration", Unit: "ms", Per: "team (with 0.087 routes)"}
	change := Series{Role: "node", Figure: "apply one change of a team", Unit: "ms", Per: "team (with 0.087 routes)"}
	lookup := Series{Role: "node", Figure: "find route and team of a request", Unit: "ns", Per: "team (with 0.087 routes)"}
	for _, share := range []float64{0.125, 0.25, 0.5, 1} {
		teams := int(share * targetTeams)
		document := newDocument(int(share*targetRoutes), teams, int(share*targetNodes))
		m, err := measureConfiguration(document)
		if err != nil {
			return nil, err
		}
		wire.addPoint(float64(teams), m.wire)
		memory.addPoint(float64(teams), m.memory)
		compile.addPoint(float64(teams), m.compile)
		change.addPoint(float64(teams), m.change)
		lookup.addPoint(float64(teams), m.lookup)
		o.progress("configuration of %d teams: %+v", teams, m)
	}
	var fitted []Series
	for _, s := range []Series{wire, memory, compile, change, lookup} {
		fitted = append(fitted, s.fit(targetTeams))
	}
	return fitted, nil
}

type configurationFigures struct {
	wire, memory, compile, change, lookup float64
}

func measureConfiguration(document *configpb.Document) (configurationFigures, error) {
	var m configurationFigures
	data, err := proto.Marshal(document)
	if err != nil {
		return m, errors.WithStack(err)
	}
	m.wire = float64(len(data)) / megabyte
	before := liveHeapBytes()
	decoded := &configpb.Document{}
	if err := proto.Unmarshal(data, decoded); err != nil {
		return m, errors.WithStack(err)
	}
	begin := time.Now()
	snapshot := configuration.Compile(decoded)
	m.compile = milliseconds(begin)
	m.memory = float64(liveHeapBytes()-before) / megabyte
	m.lookup = lookupTime(snapshot)
	if m.change, err = changeTime(snapshot); err != nil {
		return m, err
	}
	runtime.KeepAlive(decoded)
	return m, nil
}

func lookupTime(snapshot *configuration.Snapshot) float64 {
	begin := time.Now()
	found := 0
	for i := range lookupTrials {
		match, ok := snapshot.Match("", "GET", "/service-1/route-1/x")
		if ok && snapshot.Team("team-7").ID != "" && match.Service != "" {
			found += i & 1
		}
	}
	runtime.KeepAlive(found)
	return float64(time.Since(begin).Nanoseconds()) / lookupTrials
}

const changeTrials = 20

func changeTime(snapshot *configuration.Snapshot) (float64, error) {
	begin := time.Now()
	for i := range changeTrials {
		revision := snapshot.Revision() + 1
		change := &configpb.Change{Kind: &configpb.Change_PutTeam{PutTeam: &configpb.Team{Id: "team-7", Weight: uint32(i + 1), InFlightQuota: 10}}}
		next, err := configuration.Apply(snapshot.Document(), &configpb.Entry{Revision: revision, Change: change})
		if err != nil {
			return 0, errors.WithStack(err)
		}
		snapshot = snapshot.Advance(next, change)
	}
	return milliseconds(begin) / changeTrials, nil
}

func milliseconds(begin time.Time) float64 {
	return float64(time.Since(begin).Microseconds()) / 1000
}

// liveHeapBytes returns the size of the live heap, after a garbage collection.
func liveHeapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// newDocument returns a configuration whose number of services is proportional to the routes, as at the
// target.
func newDocument(routes, teams, hosts int) *configpb.Document {
	const routesPerService = 11
	d := &configpb.Document{Revision: 1, HostsRevision: 1}
	for i := range 8 {
		d.DataCentres = append(d.DataCentres, &configpb.DataCentre{Name: fmt.Sprintf("dc-%d", i), Region: fmt.Sprintf("region-%d", i%3)})
	}
	for i := range hosts {
		d.Hosts = append(d.Hosts, &configpb.Host{
			Id: fmt.Sprintf("node-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%8), Role: configpb.HostRole_HOST_ROLE_NODE,
			EntryAddress: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), FleetAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		})
	}
	for i := range max(1, routes/routesPerService) {
		s := &configpb.Service{Name: fmt.Sprintf("service-%d", i), DataCentres: []string{"dc-0", "dc-1", "dc-2"}, MinimumHealthyPercent: 70, SlotLimit: 6, ConnectionLimit: 330}
		for p := range 3 {
			s.Priorities = append(s.Priorities, &configpb.PriorityTarget{Priority: configpb.Priority(p + 1), TargetLatencyMs: 500, TargetShare: 0.99})
		}
		d.Services = append(d.Services, s)
	}
	for i := range routes {
		d.Routes = append(d.Routes, &configpb.Route{
			Id: fmt.Sprintf("route-%d", i), PathPrefix: fmt.Sprintf("/service-%d/route-%d", i/routesPerService, i),
			Service: fmt.Sprintf("service-%d", min(i/routesPerService, len(d.Services)-1)), Priority: configpb.Priority(1 + i%3), Idempotent: i%4 != 0,
		})
	}
	for i := range teams {
		d.Teams = append(d.Teams, &configpb.Team{Id: fmt.Sprintf("team-%d", i), Weight: 1, InFlightQuota: 64})
	}
	return configuration.Canonical(d)
}
