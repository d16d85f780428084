package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
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
	DropResponses  Kind = "drop-answers"
	Errors         Kind = "errors"
	Truncate       Kind = "truncate"
	Crash          Kind = "crash"
	Drain          Kind = "drain"
	Vanish         Kind = "vanish"
	CrashRequest   Kind = "crash-request"
	Flood          Kind = "flood"
)

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	return []Kind{
		KillNode, StopNode, KillControl, KillDispatcher, FreezeNode, FreezeControl, CutHosts, CutDataCentre, LoseDisk,
		Stall, Slow, Flap, Refuse, DropResponses, Errors, Truncate, Crash, Drain, Vanish, CrashRequest, Flood,
	}
}

const (
	// noNewWorkAfter is the design's bound after which a draining or vanished server receives no new work.
	noNewWorkAfter = 3 * time.Second
	// noNewWorkWatch is how long such a server is watched after the bound.
	noNewWorkWatch = time.Second
	// gracefulStopDuration is the usual duration of a graceful stop: a leaving node accepts requests for the
	// endpoints' time to live of 1 s plus 2 s, and then finishes the requests in flight.
	gracefulStopDuration = 5 * time.Second
	// minDiskLossGap is the time after the end of one disk loss in which no second disk is lost.
	minDiskLossGap = 10 * time.Second
	firstFaultAt   = 300 * time.Millisecond
	minGap         = 150 * time.Millisecond
	maxGap         = 800 * time.Millisecond
	minDuration    = 400 * time.Millisecond
	maxDuration    = 2500 * time.Millisecond
	// maxConcurrent bounds the faults in force at the same time, maxConcurrentPerGroup those of one group.
	maxConcurrent         = 3
	maxConcurrentPerGroup = 2
	// maxDrawAttempts bounds the attempts to draw an admissible fault of one kind.
	maxDrawAttempts = 20
)

// Fault is one fault of a schedule. Its targets are indices into the hosts or stand-ins of the fleet.
type Fault struct {
	Kind     Kind          `json:"kind"`
	Start    time.Duration `json:"at_ns"`
	Duration time.Duration `json:"for_ns"`
	// Service is the index of the stand-in's or dispatcher's service.
	Service int `json:"service"`
	Target  int `json:"target"`
	// Other is the receiving host of a CutHosts fault; nodes come first, then control replicas.
	Other int `json:"other"`
}

// FleetSize is the size of the fleet for which a schedule is drawn.
type FleetSize struct {
	Nodes       int
	Controls    int
	DataCentres int
	// Backends holds the number of stand-ins of each service.
	Backends []int
}

func (f Fault) end() time.Duration { return f.Start + f.Duration }

// DrawSchedule returns the faults of a run, ordered by start time; all end within the span. Equal arguments
// give equal schedules. Each pass over the kinds draws every kind once, in random order; it skips kinds for
// which it finds no admissible fault.
func DrawSchedule(seed uint64, span time.Duration, size FleetSize) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var faults []Fault
	at := firstFaultAt
	for at < span {
		kinds := Kinds()
		random.Shuffle(len(kinds), func(i, k int) { kinds[i], kinds[k] = kinds[k], kinds[i] })
		for _, kind := range kinds {
			if f, ok := drawFault(random, kind, at, span, size, faults); ok {
				faults = append(faults, f)
				at += randomDuration(random, minGap, maxGap)
			}
		}
		at += randomDuration(random, minGap, maxGap)
	}
	return faults
}

func drawFault(random *rand.Rand, kind Kind, at, span time.Duration, size FleetSize, before []Fault) (Fault, bool) {
	for range maxDrawAttempts {
		f := Fault{Kind: kind, Start: at, Duration: randomDuration(random, minDuration, maxDuration), Service: random.IntN(len(size.Backends))}
		f.Target = random.IntN(targetCount(kind, size, f.Service))
		f.Other = random.IntN(size.Nodes + size.Controls)
		if stopsNewWork(kind) {
			f.Duration = noNewWorkAfter + noNewWorkWatch
		}
		if kind == StopNode {
			f.Duration = gracefulStopDuration
		}
		if f.end() <= span && admissible(f, before) {
			return f, true
		}
	}
	return Fault{}, false
}

func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return (low + time.Duration(random.Int64N(int64(high-low)))).Truncate(time.Millisecond)
}

func targetCount(kind Kind, size FleetSize, service int) int {
	switch kind.group() {
	case controlGroup:
		return size.Controls
	case nodeGroup:
		switch kind {
		case CutDataCentre:
			return size.DataCentres
		case CutHosts:
			return size.Nodes + size.Controls
		}
		return size.Nodes
	default:
		return size.Backends[service]
	}
}

// group is what a kind of fault affects.
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

func stopsNewWork(k Kind) bool { return k == Drain || k == Vanish }

// delaysServerTraffic reports whether the fault delays bytes in flight to and from stand-ins. Delayed work
// arrives after the fault and would be mistaken for new work of a draining or vanished server. Delayed
// announcements have their own test (TestLateAnnouncement).
func delaysServerTraffic(k Kind) bool { return k == FreezeNode || k == CutDataCentre }

// admissible reports whether the fault stays within the failures that the design tolerates.
func admissible(f Fault, before []Fault) bool {
	if f.Kind == CutHosts && f.Target == f.Other {
		return false
	}
	concurrent, inGroup := 0, 0
	for _, b := range before {
		if f.Kind == LoseDisk && b.Kind == LoseDisk && f.Start < b.end()+minDiskLossGap {
			return false
		}
		if b.end() <= f.Start {
			continue
		}
		if conflicts(f, b) {
			return false
		}
		concurrent++
		if b.Kind.group() == f.Kind.group() {
			inGroup++
		}
	}
	return concurrent < maxConcurrent && inGroup < maxConcurrentPerGroup
}

func conflicts(f, b Fault) bool {
	if stopsNewWork(f.Kind) && delaysServerTraffic(b.Kind) || stopsNewWork(b.Kind) && delaysServerTraffic(f.Kind) {
		return true
	}
	for _, r := range exclusiveResources(f) {
		if slices.Contains(exclusiveResources(b), r) {
			return true
		}
	}
	return false
}

// exclusiveResources names the resources that no two concurrent faults may share.
func exclusiveResources(f Fault) []string {
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
