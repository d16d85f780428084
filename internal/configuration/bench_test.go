package configuration_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// documentOfSize returns a document with the given numbers of routes, under one host name, and teams.
func documentOfSize(routes, teams int) *configpb.Document {
	d := example()
	d.Routes, d.Teams = nil, nil
	for i := range routes {
		d.Routes = append(d.Routes, route(fmt.Sprintf("r%05d", i), "gateway.example", fmt.Sprintf("/v1/area%d/work%d", i%70, i), "booking"))
	}
	for i := range teams {
		d.Teams = append(d.Teams, &configpb.Team{Id: fmt.Sprintf("team%06d", i), Weight: 1, InFlightQuota: 8})
	}
	return d
}

var largeDocument = sync.OnceValue(func() *configpb.Document { return documentOfSize(5_200, 60_000) })

var (
	paths, teams = lookupKeys()
)

func lookupKeys() (paths, teams []string) {
	for i := range 5_200 {
		paths = append(paths, fmt.Sprintf("/v1/area%d/work%d/item/17", i%70, i))
		teams = append(teams, fmt.Sprintf("team%06d", i*11))
	}
	return paths, teams
}

func lookup(s *configuration.Snapshot, i int) {
	m, ok := s.Match("Gateway.example:8080", "GET", paths[i%len(paths)])
	team := s.Team(teams[i%len(teams)])
	if !ok || m.Service != "booking" || team.InFlightQuota != 8 {
		panic("wrong lookup")
	}
}

var sizes = []struct{ routes, teams int }{{52, 600}, {520, 6_000}, {5_200, 60_000}}

func BenchmarkCompile(b *testing.B) {
	for _, size := range sizes {
		d := documentOfSize(size.routes, size.teams)
		b.Run(fmt.Sprintf("routes=%d/teams=%d", size.routes, size.teams), func(b *testing.B) {
			for b.Loop() {
				configuration.Compile(d)
			}
		})
	}
}

func BenchmarkValidateDocument(b *testing.B) {
	for _, size := range sizes {
		d := documentOfSize(size.routes, size.teams)
		b.Run(fmt.Sprintf("routes=%d/teams=%d", size.routes, size.teams), func(b *testing.B) {
			for b.Loop() {
				if rejection := configuration.ValidateDocument(d); rejection != nil {
					b.Fatal(rejection)
				}
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	changes := map[string]*configpb.Change{
		"team":    putChange(&configpb.Team{Id: "team000033", InFlightQuota: 5}),
		"route":   putChange(route("r00033", "gateway.example", "/v1/other", "booking")),
		"service": putChange(service("booking", "a", "b")),
		"host":    putChange(host("h3", "a", 3)),
	}
	for _, size := range sizes {
		s := configuration.Compile(documentOfSize(size.routes, size.teams))
		for name, c := range changes {
			b.Run(fmt.Sprintf("%s/routes=%d/teams=%d", name, size.routes, size.teams), func(b *testing.B) {
				for b.Loop() {
					if configuration.Validate(s.Document(), c) != nil {
						b.Fatal("rejected")
					}
					d, err := configuration.Apply(s.Document(), &configpb.Entry{Revision: 8, Change: c})
					if err != nil {
						b.Fatal(err)
					}
					s.Advance(d, c)
				}
			})
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	s := configuration.Compile(largeDocument())
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		lookup(s, i)
		i++
	}
}

func BenchmarkLookupWhileApplying(b *testing.B) {
	var h configuration.Holder
	h.Set(configuration.Compile(largeDocument()))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for revision := uint64(8); ; revision++ {
			select {
			case <-stop:
				return
			default:
			}
			c := putChange(&configpb.Team{Id: "team000033", InFlightQuota: 8})
			d, _ := configuration.Apply(h.Snapshot().Document(), &configpb.Entry{Revision: revision, Change: c})
			h.Set(h.Snapshot().Advance(d, c))
		}
	})
	i := 0
	for b.Loop() {
		lookup(h.Snapshot(), i)
		i++
	}
	close(stop)
	wg.Wait()
}
