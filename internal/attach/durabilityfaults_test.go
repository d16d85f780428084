package attach_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

// durabilitySeeds returns the seeds of TestConfirmedDeparturesOutliveFaults: TARRAGONMUX_DURABLE_SEEDS, as in "1-50", or a
// few.
func durabilitySeeds(t *testing.T) (seeds []uint64) {
	first, last, _ := strings.Cut(os.Getenv("TARRAGONMUX_DURABLE_SEEDS"), "-")
	if first == "" {
		first, last = "1", "6"
	}
	if last == "" {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	to, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	for seed := from; seed <= to; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// confirmedDeparture is what the group has confirmed last for an instance.
type confirmedDeparture struct {
	incarnation uint64
	at          time.Time
}

// durabilityPlay compares a group with the plain list of what it has confirmed.
type durabilityPlay struct {
	*diskGroup
	random *rand.Rand
	// lossy is how many disks may be lost at a time.
	lossy int
	// lost holds the hosts that may not have learned everything since the loss of their disks.
	lost map[int]bool
	// newest is the incarnation of the newest process of each instance.
	newest    map[string]uint64
	confirmed map[string]confirmedDeparture
	mu        sync.Mutex
	leaving   sync.WaitGroup
}

// step does one thing to the group.
func (p *durabilityPlay) step() {
	instance := fmt.Sprint("i-", p.random.IntN(6))
	i := p.random.IntN(len(p.hosts))
	switch p.random.IntN(10) {
	case 0, 1:
		p.newest[instance]++
		_ = p.announce(i, instance, p.newest[instance], backend.Ready)
	case 2, 3, 4:
		incarnation := p.newest[instance]
		state := []backend.State{backend.Draining, backend.Left}[p.random.IntN(2)]
		p.leaving.Go(func() {
			if incarnation > 0 && p.announce(i, instance, incarnation, state) == nil {
				p.mu.Lock()
				defer p.mu.Unlock()
				if incarnation >= p.confirmed[instance].incarnation {
					p.confirmed[instance] = confirmedDeparture{incarnation, time.Now()}
				}
			}
		})
	case 5:
		p.kill(nil, i)
	case 6:
		p.startAll()
	case 7:
		delay := time.Duration(p.random.IntN(3)) * 300 * time.Millisecond
		p.hosts[i].fs.DelaySyncs(delay)
	case 8:
		p.loseAll()
	case 9:
		time.Sleep(time.Duration(p.random.IntN(3000)) * time.Millisecond)
	}
	time.Sleep(time.Duration(p.random.IntN(200)) * time.Millisecond)
}

// loseAll kills all processes at a random moment, half of the times with their power, and takes as many disks as may be
// lost.
func (p *durabilityPlay) loseAll() {
	power := p.random
	if p.random.IntN(2) == 0 {
		power = nil
	}
	p.killAll(power)
	p.leaving.Wait()
	for _, i := range p.random.Perm(len(p.hosts))[:p.random.IntN(p.lossy+1)] {
		if len(p.lost) < p.lossy || p.lost[i] {
			p.lost[i] = true
			p.loseDisk(i)
			p.start(i, true)
		}
	}
	p.startAll()
	if p.random.IntN(3) > 0 {
		p.check()
	}
}

// check expects that all confirmed departures are known everywhere soon after all hosts are back, and that newer processes
// may work.
func (p *durabilityPlay) check() {
	p.startAll()
	for _, h := range p.hosts {
		h.fs.DelaySyncs(0)
	}
	p.leaving.Wait()
	time.Sleep(5 * time.Second)
	clear(p.lost)
	for i := range p.hosts {
		covered, current := p.departuresAt(i)
		p.g.Expect(current).To(BeTrue(), "host %d knows the departures again", i)
		for instance, c := range p.confirmed {
			if time.Since(c.at) > 25*time.Second {
				// The departure may be dropped from 30 s on.
				continue
			}
			p.g.Expect(covered[instance]).To(BeNumerically(">=", c.incarnation), "host %d, %s, confirmed %v ago", i, instance, time.Since(c.at))
			p.g.Expect(p.announce(i, instance, c.incarnation, backend.Ready)).To(Succeed())
			p.g.Expect(p.hosts[i].registry.stateOf(instance)).To(Equal(backend.Draining), "host %d, a late heartbeat of %s", i, instance)
		}
		for instance, incarnation := range covered {
			p.g.Expect(incarnation).To(BeNumerically("<=", p.newest[instance]), "nothing takes out a process to come")
		}
	}
}

// Departures that were confirmed hold through kills, losses of power and of as many disks as may be lost, in any order.
func TestConfirmedDeparturesOutliveFaults(t *testing.T) {
	for _, seed := range durabilitySeeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(53, seed))
				hosts := []int{3, 5, 7}[random.IntN(3)]
				p := &durabilityPlay{
					diskGroup: newDiskGroup(NewWithT(t), hosts), random: random, lossy: (hosts - 1) / 2, lost: map[int]bool{},
					newest: map[string]uint64{}, confirmed: map[string]confirmedDeparture{},
				}
				defer p.end()
				p.startAll()
				time.Sleep(5 * time.Second)
				for range 150 {
					p.step()
				}
				p.check()
				t.Logf("%d hosts, %d departures confirmed", hosts, len(p.confirmed))
			})
		})
	}
}
