package app

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/shard"
)

// fixedFleet implements hostset.Source.
type fixedFleet struct{ fleet hostset.Fleet }

func (f *fixedFleet) Fleet() *hostset.Fleet { return &f.fleet }

// Operators ask for the backend servers of a service. The names of its shards have none.
func TestBackendsAreListedByService(t *testing.T) {
	g := NewWithT(t)
	source := &fixedFleet{}
	for _, part := range append(shard.All("booking", 3), shard.All("catalogue", 1)...) {
		source.fleet.Services = append(source.fleet.Services, hostset.Service{Name: part.String()})
	}
	f := &fleetService{source: source}
	g.Expect(f.services("")).To(Equal([]string{"booking", "catalogue"}))
	g.Expect(f.shardNames("booking")).To(Equal([]string{"booking#0/3", "booking#1/3", "booking#2/3"}))
	g.Expect(f.shardNames("catalogue")).To(Equal([]string{"catalogue"}))
}
