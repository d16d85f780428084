package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KillNode       Kind = "kill-node"
	StopNode       Kind = "stop-node"
	KillControl    Kind = "kill-control"
	KillDispatcher Kind = "kill-dispatcher"
	FreezeNode     Kind = "freeze-node"
	FreezeControl  Kind = "freeze-control"
	CutHosts       Kind = "cut-hosts"
	CutDataCentre  Kind = "cut-data-centre"
	LoseDisk       Kind = "lose-disk"
	Stall          Kind = "stall"
	Slow           Kind = "slow"
	Flap           Kind = "flap"
	Refuse         Kind = "refuse"
	DropAnswers    Kind = "drop-answers"
	Errors         Kind = "errors"
	Truncate       Kind = "truncate"
	Crash          Kind = "crash"
	Drain          Kind = "drain"
	Vanish         Kind = "vanish"
	CrashRequest   Kind = "crash-request"
	Flood          Kind = "flood"
)

// Kinds lists every kind.
func Kinds() []Kind {
	return []Kind{
		KillNode, StopNode, KillControl, KillDispatcher, FreezeNode, FreezeControl, CutHosts, CutDataCentre, LoseDisk,
		Stall, Slow, Flap, Refuse, DropAnswers, Errors, Truncate, Crash, Drain, Vanish, CrashRequest, Flood,
	}
}

const (
	// noNewWorkAfter is the design's bound for work at a server that drains or vanished.
	noNewWorkAfter = 3 * time.Second
	// quietWatch is how long such a server is watched after the bound.
	quietWatch = time.Second
	// stopSpan is the usual time of a graceful stop: the endpoints' time to live of 1 s, 2 s more, and
	// the requests in flight.
	stopSpan = 5 * time.Second
	// returnSpan is the time in which no second disk is lost after one was.
	returnSpan   = 10 * time.Second
	firstFault   = 300 * time.Millisecond
	shortestGap  = 150 * time.Millisecond
	longestGap   = 800 * time.Millisecond
	shortestSpan = 400 * time.Millisecond
	longestSpan  = 2500 * time.Millisecond
	// mostAtOnce bounds the faults in force at the same time, mostPerGroup those of one group.
	mostAtOnce   = 3
	mostPerGroup = 2
	// drawAttempts bounds the attempts to find targets for one fault.
	drawAttempts = 20
)

// Fault is one fault of a schedule. Targets are indices into the hosts or stand-ins of the fleet.
type Fault struct {
	Kind Kind          `json:"kind"`
	At   time.Duration `json:"at_ns"`
	For  time.Duration `json:"for_ns"`
	// Service is the index of the stand-in's or dispatcher's service.
	Service int `json:"service"`
	Target  int `json:"target"`
	// Other is the receiving host of a cut between hosts; nodes come first, then control replicas.
	Other int `json:"other"`
}

// Shape is the size of the fleet that a schedule is drawn for.
type Shape struct {
	Nodes       int
	Controls    int
	DataCentres int
	// Backends holds the number of stand-ins of each service.
	Backends []int
}

func (f Fault) end() time.Duration { return f.At + f.For }

// Draw returns the faults of a run, ordered by time; all end within the span. Equal arguments give
// equal schedules. Every kind is drawn once before any is drawn again.
func Draw(seed uint64, span time.Duration, shape Shape) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var faults []Fault
	at := firstFault
	for at < span {
		deck := Kinds()
		random.Shuffle(len(deck), func(i, k int) { deck[i], deck[k] = deck[k], deck[i] })
		for _, kind := range deck {
			if f, ok := drawFault(random, kind, at, span, shape, faults); ok {
				faults = append(faults, f)
				at += between(random, shortestGap, longestGap)
			}
		}
		at += between(random, shortestGap, longestGap)
	}
	return faults
}

func drawFault(random *rand.Rand, kind Kind, at, span time.Duration, shape Shape, before []Fault) (Fault, bool) {
	for range drawAttempts {
		f := Fault{Kind: kind, At: at, For: between(random, shortestSpan, longestSpan), Service: random.IntN(len(shape.Backends))}
		f.Target = random.IntN(targets(kind, shape, f.Service))
		f.Other = random.IntN(shape.Nodes + shape.Controls)
		if quiet(kind) {
			f.For = noNewWorkAfter + quietWatch
		}
		if kind == StopNode {
			f.For = stopSpan
		}
		if f.end() <= span && admissible(f, before) {
			return f, true
		}
	}
	return Fault{}, false
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return (low + time.Duration(random.Int64N(int64(high-low)))).Truncate(time.Millisecond)
}

func targets(kind Kind, shape Shape, service int) int {
	switch kind.group() {
	case controlGroup:
		return shape.Controls
	case nodeGroup:
		switch kind {
		case CutDataCentre:
			return shape.DataCentres
		case CutHosts:
			return shape.Nodes + shape.Controls
		}
		return shape.Nodes
	default:
		return shape.Backends[service]
	}
}

// group says what a kind strikes.
type group uint8

const (
	nodeGroup group = iota + 1
	controlGroup
	serverGroup
	workGroup
)

func (k Kind) group() group {
	switch k {
	case KillNode, StopNode, KillDispatcher, FreezeNode, CutHosts, CutDataCentre:
		return nodeGroup
	case KillControl, FreezeControl, LoseDisk:
		return controlGroup
	case CrashRequest, Flood:
		return workGroup
	default:
		return serverGroup
	}
}

func quiet(k Kind) bool { return k == Drain || k == Vanish }

// holdsServers tells whether the fault holds bytes under way to and from stand-ins. Held work arrives after the
// fault and would be taken for new work of a server that drains; a held announcement renews a server
// that vanished, a known fault of the fleet (TestLateAnnouncement).
func holdsServers(k Kind) bool { return k == FreezeNode || k == CutDataCentre }

// admissible tells whether the fault keeps the run within the promises of the design.
func admissible(f Fault, before []Fault) bool {
	if f.Kind == CutHosts && f.Target == f.Other {
		return false
	}
	atOnce, inGroup := 0, 0
	for _, b := range before {
		if f.Kind == LoseDisk && b.Kind == LoseDisk && f.At < b.end()+returnSpan {
			return false
		}
		if b.end() <= f.At {
			continue
		}
		if conflicts(f, b) {
			return false
		}
		atOnce++
		if b.Kind.group() == f.Kind.group() {
			inGroup++
		}
	}
	return atOnce < mostAtOnce && inGroup < mostPerGroup
}

func conflicts(f, b Fault) bool {
	if quiet(f.Kind) && holdsServers(b.Kind) || quiet(b.Kind) && holdsServers(f.Kind) {
		return true
	}
	for _, r := range resources(f) {
		if slices.Contains(resources(b), r) {
			return true
		}
	}
	return false
}

// resources names what no two faults may use at once.
func resources(f Fault) []string {
	switch f.Kind {
	case KillNode, StopNode, FreezeNode:
		return []string{fmt.Sprintf("node %d", f.Target)}
	case KillDispatcher:
		return []string{"dispatcher"}
	case CutHosts, CutDataCentre:
		return []string{"cut"}
	case KillControl, FreezeControl, LoseDisk:
		return []string{fmt.Sprintf("control %d", f.Target)}
	case CrashRequest, Flood:
		return []string{string(f.Kind)}
	default:
		return []string{fmt.Sprintf("stand-in %d of %d", f.Target, f.Service)}
	}
}
