package configuration_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// findRouteLinearly finds a route by trying all of them.
func findRouteLinearly(d *configpb.Document, hostName, method, path string) string {
	best, bestScore := "", -1
	for _, r := range d.GetRoutes() {
		if r.GetHostName() != "" && r.GetHostName() != hostName {
			continue
		}
		if len(r.GetMethods()) > 0 && !slices.Contains(r.GetMethods(), method) {
			continue
		}
		// A prefix without a last slash stands for its own path, too.
		prefix := strings.TrimSuffix(r.GetPathPrefix(), "/")
		ownPath := path == prefix && (prefix == r.GetPathPrefix() || prefix == "")
		if !ownPath && !strings.HasPrefix(path, prefix+"/") {
			continue
		}
		score := 4*len(r.GetPathPrefix()) + len(r.GetMethods())
		if r.GetHostName() != "" {
			score += 1000
		}
		if score > bestScore {
			best, bestScore = r.GetId(), score
		}
	}
	return best
}

func drawPath(t *rapid.T) string {
	segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab"}), 0, 4).Draw(t, "segments")
	path := "/" + strings.Join(segments, "/")
	if len(segments) > 0 && rapid.Bool().Draw(t, "last slash") {
		path += "/"
	}
	return path
}

func drawChange(t *rapid.T) *configpb.Change {
	id := fmt.Sprintf("x%d", rapid.IntRange(0, 5).Draw(t, "id"))
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return deleteChange("route", id)
	case 1:
		return deleteChange("team", rapid.SampledFrom([]string{id, "default"}).Draw(t, "team"))
	case 2:
		return putChange(&configpb.Team{Id: rapid.SampledFrom([]string{id, "default"}).Draw(t, "team"), InFlightQuota: rapid.Uint32Range(0, 3).Draw(t, "quota")})
	case 3:
		return putChange(modified(service("booking", "a", "b"), func(s *configpb.Service) { s.Priorities[1].TargetLatencyMs = rapid.Int64Range(1, 9).Draw(t, "ms") }))
	case 4:
		return putChange(host("h3", "a", rapid.IntRange(3, 5).Draw(t, "address")))
	default:
		r := route(id, rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "host"), drawPath(t), "booking")
		r.Methods = rapid.SampledFrom([][]string{nil, {"GET"}, {"POST"}}).Draw(t, "methods")
		return putChange(r)
	}
}

// A snapshot advanced change by change must equal one compiled from the resulting document and must route
// like a linear search, and earlier snapshots must not change although later ones share their tables.
func TestAdvanceEqualsCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		d := example()
		// With 600 teams, several teams share a shard of the team table.
		for i := range 600 {
			d.Teams = append(d.Teams, &configpb.Team{Id: fmt.Sprintf("x%d", i)})
		}
		d = configuration.Canonical(d)
		s := configuration.Compile(d)
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			c := drawChange(t)
			if configuration.Validate(d, c) != nil {
				continue
			}
			before, old := d, s
			next, err := configuration.Apply(d, &configpb.Entry{Revision: d.GetRevision() + 1, Change: c})
			g.Expect(err).NotTo(HaveOccurred())
			d, s = next, s.Advance(next, c)
			g.Expect(reflect.DeepEqual(s, configuration.Compile(d))).To(BeTrue(), "the snapshot after %v", c)
			g.Expect(reflect.DeepEqual(old, configuration.Compile(before))).To(BeTrue(), "the snapshot before %v", c)
		}
		for range 10 {
			hostName := rapid.SampledFrom([]string{"", "p", "q", "z"}).Draw(t, "requested host")
			method := rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "requested method")
			path := drawPath(t)
			m, _ := s.Match(hostName, method, path)
			g.Expect(m.Route).To(Equal(findRouteLinearly(d, hostName, method, path)), "%s %s%s", method, hostName, path)
		}
	})
}

// Host names of requests can have upper-case letters and ports. A path with dot segments must not match,
// since the backend server could resolve it to another route than the one whose limits were applied.
func TestMatch(t *testing.T) {
	g := NewWithT(t)
	s := configuration.Compile(example())
	for _, c := range []struct{ host, method, path, want string }{
		{"SHOP.example:8080", "GET", "/orders/7", "r2"},
		{"shop.example.", "GET", "/orders", "r2"},
		{"shop.example", "POST", "/orders/7", "r1"},
		{"[::1]:80", "GET", "/orders", "r1"},
		{"", "GET", "/orders/", "r1"},
		{"", "GET", "/ordersx", ""},
		{"", "GET", "/x//orders", ""},
		{"", "GET", "/orders/../x", ""},
		{"", "GET", "/orders/./x", ""},
		{strings.Repeat("x", 300), "GET", "/", ""},
	} {
		m, ok := s.Match(c.host, c.method, c.path)
		g.Expect(m.Route).To(Equal(c.want), "%v", c)
		g.Expect(ok).To(Equal(c.want != ""))
	}
}

// Unknown teams must share one quota; with a quota for each of them the limit would have no effect.
func TestTeams(t *testing.T) {
	g := NewWithT(t)
	s := configuration.Compile(example())
	g.Expect(s.Team("archive").InFlightQuota).To(BeEquivalentTo(9))
	g.Expect(s.Team("archive").Weight).To(BeEquivalentTo(1))
	g.Expect(s.Team("a").ID).To(Equal(configuration.DefaultTeam))
	g.Expect(s.Team("b")).To(Equal(s.Team("a")))
	g.Expect(configuration.Compile(configuration.Empty()).Team("a").InFlightQuota).To(BeEquivalentTo(configuration.DefaultInFlightQuota))
}

// An allocation per lookup would add to the latency of every request.
func TestLookupsDoNotAllocate(t *testing.T) {
	s := configuration.Compile(largeDocument())
	NewWithT(t).Expect(testing.AllocsPerRun(100, func() { lookup(s, 4711) })).To(BeZero())
}

// An older revision must not replace a newer one: it would undo a change that was reported to an operator
// as in force.
func TestHolderNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	var h configuration.Holder
	g.Expect(h.Current()).To(BeNil())
	g.Expect(h.Set(configuration.Compile(example()))).To(BeTrue())
	older := modified(example(), func(d *configpb.Document) { d.Revision-- })
	g.Expect(h.Set(configuration.Compile(older))).To(BeFalse())
	g.Expect(h.Set(configuration.Compile(example()))).To(BeFalse())
	g.Expect(h.Current().Revision()).To(BeEquivalentTo(7))
}

// Requests must read one consistent revision while others are put in force.
func TestLookupWhileApplying(t *testing.T) {
	g := NewWithT(t)
	var h configuration.Holder
	h.Set(configuration.Compile(example()))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for last := uint64(0); ; {
				select {
				case <-stop:
					return
				default:
				}
				s := h.Snapshot()
				// The quota of the team equals the revision in every snapshot after the first.
				if s.Revision() < last || s.Revision() > 7 && uint64(s.Team("t").InFlightQuota) != s.Revision() {
					t.Errorf("revision %d after %d with quota %d", s.Revision(), last, s.Team("t").InFlightQuota)
				}
				last = s.Revision()
			}
		})
	}
	for revision := uint64(8); revision < 2000; revision++ {
		c := putChange(&configpb.Team{Id: "t", InFlightQuota: uint32(revision)})
		d, err := configuration.Apply(h.Snapshot().Document(), &configpb.Entry{Revision: revision, Change: c})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(h.Set(h.Snapshot().Advance(d, c))).To(BeTrue())
	}
	close(stop)
	wg.Wait()
}
