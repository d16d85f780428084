package dispatchrpc

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// Messages of nodes with any content must neither panic nor violate an invariant of the dispatcher.
func FuzzNodeBatch(f *testing.F) {
	for _, b := range []*dispatchpb.NodeBatch{
		{},
		{Progress: &dispatchpb.Progress{Received: 3, FirstByte: []uint64{1, 2}}},
		{Acquires: []*dispatchpb.Acquire{{Id: 1, Priority: 2, Team: "t", DeadlineMs: 800, Idempotent: true, Kind: 5}, {Id: 2, Priority: 77, DeadlineMs: -5, Purpose: 9, Weight: 1 << 31}}},
		{Completes: []*dispatchpb.Complete{{Id: 1, Result: 1, FirstByteUs: 1, TotalUs: 2}, {Id: 9, Result: 44, FirstByteUs: -1, TotalUs: 1 << 62}}},
		{Cancels: []*dispatchpb.Cancel{{Id: 1}}, Hello: &dispatchpb.Hello{Node: "other"}},
	} {
		data, err := proto.Marshal(b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		batch := &dispatchpb.NodeBatch{}
		if proto.Unmarshal(data, batch) != nil {
			return
		}
		before := invariant.Total()
		d := newSoleDispatcher(3)
		s := NewServer(ServerConfig{Node: "self", Settings: d, Registry: d, Elections: d, Logger: logging.Discard()})
		s.tick()
		part, _ := s.requestedShard(takeoverService)
		r := s.runner(part)
		sess := r.startSession(time.Now(), &dispatchpb.NodeBatch{Hello: &dispatchpb.Hello{Node: "n", Incarnation: 1, Service: takeoverService}})
		if sess == nil {
			t.Fatal("no session")
		}
		for range 3 {
			r.handleBatchContained(sess, batch)
			r.mu.Lock()
			now := time.Now().Add(time.Second)
			r.machine.Tick(now)
			r.deliverActions()
			r.mu.Unlock()
		}
		if invariant.Total() != before {
			t.Fatalf("violated by %v", batch)
		}
	})
}
