package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// Requests of peers with any content must be applied or rejected without a panic or a violated invariant.
func FuzzGossipRequest(f *testing.F) {
	seed := func(r *fleetpb.GossipRequest) {
		data, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	node := &fleetpb.Node{Id: "n2", Incarnation: 5, Version: 1, State: fleetpb.NodeState_NODE_STATE_ALIVE, FleetAddress: "10.0.0.2:1", DataCentre: "a"}
	server := &fleetpb.Server{Service: "booking", Instance: "i-1", Address: "10.0.0.9:80", Incarnation: 3, Slots: 2}
	seed(&fleetpb.GossipRequest{From: node})
	seed(&fleetpb.GossipRequest{From: node, Nodes: []*fleetpb.Node{node, {Id: "n1", Incarnation: 99, State: 77}}, WantNodes: []uint64{1}})
	seed(&fleetpb.GossipRequest{From: node, ReferenceMs: 1, Servers: []*fleetpb.Server{server, server}})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &fleetpb.GossipRequest{}
		if proto.Unmarshal(data, r) != nil {
			return
		}
		before := invariant.Total()
		now := time.Unix(1000, 0)
		s := NewState(now, Identity{ID: "n1", Incarnation: 7, DataCentre: "a", FleetAddress: "10.0.0.1:1"}, rand.New(rand.NewPCG(1, 2)))
		for i := range 3 {
			_, _, _ = s.HandleRequest(now.Add(time.Duration(i)*time.Second), r)
		}
		if invariant.Total() != before {
			t.Fatalf("violated by %v", r)
		}
	})
}
