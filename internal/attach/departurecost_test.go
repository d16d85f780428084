package attach_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
)

const (
	// syncTime is the time of a sync on a slow disk.
	syncTime = 5 * time.Millisecond
	// heartbeatInterval is how often a backend server announces itself.
	heartbeatInterval = 1500 * time.Millisecond
)

// leave lets a backend server leave: it announces its drain until it is confirmed and with each heartbeat for the given
// time, and withdraws. It returns how long the first confirmation took.
func (d *diskGroup) leave(random *rand.Rand, instance string, serves time.Duration) time.Duration {
	send := func(state backend.State) time.Duration {
		started := time.Now()
		for time.Since(started) < 2*departureBound && d.announce(random.IntN(len(d.hosts)), instance, 5, state) != nil {
		}
		return time.Since(started)
	}
	took := send(backend.Draining)
	for end := time.Now().Add(serves); time.Now().Before(end); {
		time.Sleep(heartbeatInterval)
		send(backend.Draining)
	}
	send(backend.Left)
	return took
}

// countMarks returns the number of calls so far that told a host of departures.
func (d *diskGroup) countMarks() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.marks
}

// syncs returns the number of syncs at all hosts.
func (d *diskGroup) syncs() (count int) {
	for _, h := range d.hosts {
		count += h.fs.Syncs()
	}
	return count
}

// The sender of an announcement waits for one second. The syncs of a release, or of a whole service that leaves at once,
// must not make confirmations late, whatever the size of the control group. What they cost is in docs/CAPACITY.md.
func TestCostOfDurableDepartures(t *testing.T) {
	sizes := []int{3, 19, 60}
	if testing.Short() {
		sizes = sizes[:2]
	}
	for _, hosts := range sizes {
		for _, leaving := range []struct {
			name     string
			servers  int
			interval time.Duration
		}{
			{"a release of 7.5 servers a second", 225, time.Second * 2 / 15},
			{"345 servers at once", 345, 0},
		} {
			for _, inMemory := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d hosts, %s, in memory %v", hosts, leaving.name, inMemory), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						d := newDiskGroup(NewWithT(t), hosts)
						d.inMemory = inMemory
						d.holder = leadership.Holder{Node: "c00:1", Address: "c00:1", Term: 3}
						for _, h := range d.hosts {
							h.fs.DelaySyncs(syncTime)
						}
						d.startAll()
						defer d.end()
						time.Sleep(5 * time.Second)
						before, marksBefore := d.syncs(), d.countMarks()
						began := time.Now()
						took := make([]time.Duration, leaving.servers)
						var running sync.WaitGroup
						for i := range took {
							random := rand.New(rand.NewPCG(53, uint64(i)))
							running.Go(func() { took[i] = d.leave(random, fmt.Sprint("i-", i), 3*time.Second) })
							time.Sleep(leaving.interval)
						}
						running.Wait()
						slices.Sort(took)
						perHost := float64(d.syncs()-before) / float64(hosts)
						t.Logf("%.0f syncs a host, %.1f%% of its disk's time, %.1f calls a departure, confirmed after %v in the median, %v at the most",
							perHost, 100*perHost*syncTime.Seconds()/time.Since(began).Seconds(), float64(d.countMarks()-marksBefore)/float64(len(took)),
							took[len(took)/2], took[len(took)-1])
						d.g.Expect(took[len(took)-1]).To(BeNumerically("<", responseWait))
					})
				})
			}
		}
	}
}

// The memory for departures of a control host in a release of 7.5 servers a second: those of a minute, and who has
// recorded them.
func BenchmarkMemoryOfDepartures(b *testing.B) {
	for _, hosts := range []int{3, 19, 60} {
		for _, inMemory := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d hosts, in memory %v", hosts, inMemory), func(b *testing.B) {
				for b.Loop() {
					d := newDiskGroup(NewWithT(b), hosts)
					d.inMemory = inMemory
					d.startAll()
					time.Sleep(recoveryWait)
					idle := heapInUse()
					var running sync.WaitGroup
					for i := range 450 {
						running.Go(func() {
							for d.announce(i%hosts, fmt.Sprintf("i-%08x", i), 1760000000000, backend.Draining) != nil {
							}
						})
					}
					running.Wait()
					time.Sleep(time.Second)
					b.ReportMetric((heapInUse()-idle)/float64(hosts)/1024, "KiB/host")
					d.killAll(nil)
				}
			})
		}
	}
}

// heapInUse returns the bytes of live objects.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// recoveryWait is longer than a control host needs until its departures are current.
const recoveryWait = 4 * time.Second
