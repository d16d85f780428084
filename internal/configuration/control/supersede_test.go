package control_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/configuration/control"
	"github.com/tarragonmux/tarragonmux/internal/registerfake"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

func versioned(version uint64, source string) *configpb.Document {
	return &configpb.Document{
		Version:  version,
		Services: []*configpb.Service{configuration.DefaultService("cuefeed")},
		Source:   []byte(source),
	}
}

func inForce(l *control.Log) (uint64, string) {
	reply, err := l.Get(background, &configpb.GetRequest{})
	if err != nil {
		return 0, err.Error()
	}
	return reply.GetDocument().GetVersion(), string(reply.GetDocument().GetSource())
}

// The highest version must be in force regardless of the order of proposals. A lower version, a resend and
// different content under the version in force are accepted without effect.
func TestHighestVersionIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		registers := registerfake.New(1, registerfake.Faults{})
		l, other := newLog(registers), newLog(registers)
		put := func(on *control.Log, version uint64, source string) {
			g.Expect(on.Supersede(background, versioned(version, source), "test")).To(Succeed())
		}
		put(l, 4, "four")
		put(other, 9, "nine")
		put(l, 7, "late")
		put(l, 9, "other content")
		put(other, 4, "four")
		for _, on := range []*control.Log{l, other, newLog(registers)} {
			version, source := inForce(on)
			g.Expect(version).To(BeEquivalentTo(9))
			g.Expect(source).To(Equal("nine"))
		}
	})
}

// If two operators propose different documents under one version at two hosts, one wins and both hosts
// must report it.
func TestRacingVersionsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		registers := registerfake.New(3, registerfake.Faults{})
		a, b := newLog(registers), newLog(registers)
		for version := uint64(2); version < 40; version += 3 {
			var group sync.WaitGroup
			errs := make([]error, 2)
			for i, on := range []*control.Log{a, b} {
				group.Go(func() {
					errs[i] = on.Supersede(background, versioned(version, []string{"a", "b"}[i]), "test")
				})
			}
			group.Wait()
			g.Expect(errs[0]).NotTo(HaveOccurred())
			g.Expect(errs[1]).NotTo(HaveOccurred())
			versionA, sourceA := inForce(a)
			versionB, sourceB := inForce(b)
			g.Expect(versionA).To(Equal(version))
			g.Expect(versionB).To(Equal(version))
			g.Expect(sourceA).To(Equal(sourceB))
		}
	})
}

// A rejected document must not come into force, and a proposal without a majority must not succeed.
func TestSupersedeRefusals(t *testing.T) {
	g := NewWithT(t)
	l := newLog(registerfake.New(1, registerfake.Faults{}))
	invalid := versioned(3, "faulty")
	invalid.Routes = []*configpb.Route{{Id: "r", HostName: "a", PathPrefix: "/", Service: "unknown", Priority: configpb.Priority_PRIORITY_NORMAL}}
	var rejection *configuration.Rejection
	g.Expect(l.Supersede(background, invalid, "test")).To(BeAssignableToTypeOf(rejection))
	g.Expect(l.Supersede(background, versioned(0, "none"), "test")).To(BeAssignableToTypeOf(rejection))
	version, _ := inForce(l)
	g.Expect(version).To(BeZero())
	ended, cancel := context.WithCancel(background)
	cancel()
	g.Expect(l.Supersede(ended, versioned(3, "three"), "test")).To(HaveOccurred())
}

// Whole documents in quick succession filled the memory of a control host: the chain of registers grew to 32 MiB and
// 16 MiB of former documents before a snapshot replaced them, however small the document was.
func TestChainOfLargeDocumentsStaysNearTheDocument(t *testing.T) {
	const documentBytes = 600 << 10
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		registers := registerfake.New(1, registerfake.Faults{})
		l := control.New(control.Options{Proposer: registers.Proposer(), Compactor: registers})
		ctx, stop := context.WithCancel(background)
		defer stop()
		go func() { _ = l.Run(ctx) }()
		largest := 0
		for version := uint64(1); version <= 100; version++ {
			g.Expect(l.Supersede(background, versioned(version, strings.Repeat("x", documentBytes)), "test")).To(Succeed())
			time.Sleep(time.Second)
			size := 0
			for _, value := range registers.Values(control.Prefix) {
				size += len(value)
			}
			largest = max(largest, size)
		}
		// Twice the 4 MiB that former documents and new changes may take, and one change each beyond that.
		g.Expect(largest).To(BeNumerically("<=", 8<<20+3*documentBytes))
		version, _ := inForce(newLog(registers))
		g.Expect(version).To(BeEquivalentTo(100))
	})
}
