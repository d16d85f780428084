package agreement_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	powerSeedsVariable = "TARRAGONMUX_POWER_SEEDS"
	// powerRounds is how often the power is lost in one run.
	powerRounds = 2
	// recoverWithin is the time from the start of the last replica until all members vote.
	recoverWithin = 15 * time.Second
	// catchUp is how long a replica counts as lost after it is back.
	catchUp = 4 * time.Second
)

// processFS is a disk as one process of a replica sees it. Once the process has ended, its operations have no effect.
type processFS struct {
	storage.FS
	mu    sync.RWMutex
	ended bool
}

func (p *processFS) do(operation func() error) error {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.ended {
		return errors.WithStack(storage.ErrInjected)
	}
	return operation()
}

// end ends the process and changes the disk in one step.
func (p *processFS) end(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	change()
}

func (p *processFS) Create(path string) (f storage.File, err error) {
	err = p.do(func() error { f, err = p.FS.Create(path); return err })
	return f, err
}

func (p *processFS) Append(path string) (f storage.File, err error) {
	err = p.do(func() error { f, err = p.FS.Append(path); return err })
	return f, err
}

func (p *processFS) Rename(from, to string) error {
	return p.do(func() error { return p.FS.Rename(from, to) })
}

func (p *processFS) Remove(path string) error {
	return p.do(func() error { return p.FS.Remove(path) })
}

func (p *processFS) Truncate(path string, size int64) error {
	return p.do(func() error { return p.FS.Truncate(path, size) })
}

func (p *processFS) SyncFolder(folder string) error {
	return p.do(func() error { return p.FS.SyncFolder(folder) })
}

// powerRun loses the power of a whole group, with some of its disks.
type powerRun struct {
	*cluster
	seed      uint64
	tolerate  int
	random    *rand.Rand
	processes map[string]*processFS
	ledger    *powerLedger
	// added counts the replicas that were started after the first group.
	added   int
	clients int
	stats   *powerStats
}

// powerStats are the results of all runs.
type powerStats struct {
	runs, losses, wiped, values, undecided int
	slowestWork, slowestVotes              time.Duration
	scenarios                              map[string]int
}

func newPowerRun(t *testing.T, members, tolerate int, seed uint64, stats *powerStats) *powerRun {
	r := &powerRun{
		cluster: newCluster(t, seed), seed: seed, tolerate: tolerate, stats: stats,
		random: rand.New(rand.NewPCG(seed, uint64(members))), processes: map[string]*processFS{}, ledger: newPowerLedger(t),
	}
	r.segment, r.joins = 16<<10, map[string]bool{}
	r.fs = func(id string) storage.FS {
		r.disk(id).DelaySyncs(time.Duration(r.random.IntN(6)) * time.Millisecond)
		r.processes[id] = &processFS{FS: r.disk(id)}
		return r.processes[id]
	}
	for i := range members {
		id := string(rune('a' + i))
		r.members = append(r.members, agreement.Member{ID: id, Address: id})
	}
	for _, m := range r.members {
		r.start(m.ID)
	}
	return r
}

func (r *powerRun) sleep(longest time.Duration) {
	time.Sleep(time.Duration(r.random.Int64N(int64(longest))))
}

// ids returns the replicas that run, sorted.
func (r *powerRun) ids() []string {
	return slices.Sorted(maps.Keys(r.running))
}

// end ends the processes of the replicas at the same moment, and changes their disks.
func (r *powerRun) end(ids []string, change func(id string)) {
	for _, id := range ids {
		r.network.Detach(id)
	}
	for _, id := range ids {
		r.processes[id].end(func() { change(id) })
	}
	for _, id := range ids {
		r.running[id].cancel()
	}
	for _, id := range ids {
		<-r.running[id].done
		delete(r.running, id)
	}
}

func (r *powerRun) wipe(id string) {
	r.disks[id] = storage.NewMemFS()
	r.joins[id] = true
}

// startNew starts a replica that is not a member, and returns its id.
func (r *powerRun) startNew() string {
	r.added++
	id := fmt.Sprintf("n%d", r.added)
	r.joins[id] = true
	r.start(id)
	time.Sleep(time.Second)
	return id
}

// change asks a voting member to change the group.
func (r *powerRun) change(ctx context.Context, remove, add string) {
	via := r.votingMember(remove)
	request := &agreementpb.SwapRequest{RemoveId: remove}
	if add != "" {
		request.Add = &agreementpb.Member{Id: add, Address: add}
	}
	_, _ = via.Swap(ctx, request)
}

func (r *powerRun) votingMember(except string) *agreement.Replica {
	for _, id := range r.ids() {
		if s := r.running[id].replica.Status(); id != except && s.State == agreement.Voting {
			return r.running[id].replica
		}
	}
	r.t.Fatal("no member votes")
	return nil
}

func (r *powerRun) groupIDs() []string {
	var ids []string
	for _, m := range r.votingMember("").Status().Members {
		ids = append(ids, m.ID)
	}
	return ids
}

// disturb brings the group into a state in which it loses its power. It returns the members that count as lost.
func (r *powerRun) disturb(ctx context.Context) (scenario string, lost []string) {
	members := r.groupIDs()
	victim := members[r.random.IntN(len(members))]
	switch r.random.IntN(6) {
	case 0:
		r.end(r.ids(), func(id string) { r.disks[id].Kill() })
		r.startAll(10 * time.Millisecond)
		r.sleep(800 * time.Millisecond)
		return "all killed before", nil
	case 1:
		r.end([]string{victim}, r.wipe)
		r.start(victim)
		r.sleep(800 * time.Millisecond)
		return "copy", []string{victim}
	case 2:
		id := r.startNew()
		go r.change(ctx, "", id)
		r.sleep(80 * time.Millisecond)
		return "member added", nil
	case 3:
		id := r.startNew()
		go r.change(ctx, victim, id)
		r.sleep(80 * time.Millisecond)
		return "member replaced", []string{id}
	case 4:
		if len(members)%2 != 0 {
			r.change(ctx, "", r.startNew())
			r.awaitVotes()
			time.Sleep(time.Second)
		}
		go r.change(ctx, victim, "")
		r.sleep(80 * time.Millisecond)
		return "member removed", nil
	default:
		return "none", nil
	}
}

// startClients starts processes that use the group until the context ends.
func (r *powerRun) startClients(ctx context.Context, running *sync.WaitGroup) {
	client := func(run func(*powerClient)) {
		r.clients++
		c := &powerClient{
			ledger: r.ledger, proposer: r.newProposer(), name: fmt.Sprintf("client%d", r.clients),
			random: rand.New(rand.NewPCG(r.seed, uint64(1000+r.clients))),
		}
		running.Go(func() { run(c) })
	}
	client(func(c *powerClient) { c.writeConfig(ctx) })
	client(func(c *powerClient) { c.readConfig(ctx) })
	for range 2 {
		client(func(c *powerClient) { c.writeClaims(ctx) })
		client(func(c *powerClient) { c.contend(ctx) })
	}
	var replicas []*agreement.Replica
	for _, id := range r.ids() {
		replicas = append(replicas, r.running[id].replica)
	}
	client(func(c *powerClient) { c.compactConfig(ctx, replicas) })
}

// newProposer returns the proposer of a new process, which finds the group through any replica.
func (r *powerRun) newProposer() agreement.Proposer {
	var members []agreement.Member
	for _, id := range slices.Sorted(maps.Keys(r.disks)) {
		members = append(members, agreement.Member{ID: id, Address: id})
	}
	r.clients++
	id := fmt.Sprintf("client%d", r.clients)
	return agreement.NewProposer(agreement.ProposerConfig{ID: id, FirstGroup: members, Client: r.network.Client(id)})
}

// loseEverything ends all processes at the same moment and wipes as many disks as may be lost.
func (r *powerRun) loseEverything(lost []string) (wiped []string) {
	others := slices.DeleteFunc(r.ids(), func(id string) bool { return slices.Contains(lost, id) })
	r.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	wiped = others[:max(0, r.tolerate-len(lost))]
	if r.random.IntN(4) == 0 {
		wiped = wiped[:r.random.IntN(len(wiped)+1)]
	}
	if r.random.IntN(2) == 0 {
		wiped = slices.Concat(wiped, lost)
	}
	r.ledger.setClosed(true)
	r.end(r.ids(), func(id string) {
		r.disks[id].LosePower(r.random)
		if slices.Contains(wiped, id) {
			r.wipe(id)
		}
	})
	r.stats.losses++
	r.stats.wiped += len(wiped)
	return wiped
}

// startAll starts all replicas in random order.
func (r *powerRun) startAll(longestPause time.Duration) {
	ids := slices.Sorted(maps.Keys(r.disks))
	r.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if r.running[id] == nil {
			if s := r.start(id).Status(); s.FoldersSetAside > 0 {
				r.t.Errorf("%s set its folder aside: %s", id, s.Reason)
			}
			r.sleep(longestPause)
		}
	}
}

// awaitVotes waits until all members of the newest group vote in its epoch.
func (r *powerRun) awaitVotes() time.Duration {
	r.t.Helper()
	started := time.Now()
	for ; time.Since(started) < recoverWithin; time.Sleep(20 * time.Millisecond) {
		newest := agreement.Status{}
		for _, p := range r.running {
			if s := p.replica.Status(); s.Epoch > newest.Epoch {
				newest = s
			}
		}
		voting := 0
		for _, m := range newest.Members {
			if s := r.running[m.ID].replica.Status(); s.State == agreement.Voting && s.Epoch == newest.Epoch {
				voting++
			}
		}
		if voting > 0 && voting == len(newest.Members) {
			return time.Since(started)
		}
	}
	for _, id := range r.ids() {
		s := r.running[id].replica.Status()
		r.t.Errorf("%s: %s epoch %d, %d set aside: %s", id, s.State, s.Epoch, s.FoldersSetAside, s.Reason)
	}
	return recoverWithin
}

// verify reads everything back that clients were told.
func (r *powerRun) verify() {
	c := &powerClient{ledger: r.ledger, proposer: r.newProposer()}
	prefixes, _ := r.ledger.prefixes()
	slices.Sort(prefixes)
	for _, prefix := range prefixes {
		found, ok := c.read(context.Background(), prefix)
		switch {
		case !ok:
			r.t.Errorf("%s cannot be read", prefix)
		case found.undecided && strings.HasPrefix(prefix, contendedChains):
			r.stats.undecided++
		case found.undecided && r.ledger.count(prefix) > len(found.values):
			r.t.Errorf("%s has %d values, clients were told %d", prefix, len(found.values), r.ledger.count(prefix))
		}
	}
}

// runRound lets clients use the group, loses its power and checks what is there afterwards.
func (r *powerRun) runRound() {
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	r.startClients(ctx, &clients)
	r.sleep(time.Second)
	scenario, lost := r.disturb(ctx)
	r.stats.scenarios[scenario]++
	wiped := r.loseEverything(lost)
	r.t.Logf("power lost: %s, replicas %v, lost before %v, disks wiped %v", scenario, slices.Sorted(maps.Keys(r.disks)), lost, wiped)
	stop()
	clients.Wait()
	r.ledger.setClosed(false)

	// A host that starts early must not be shown an older state.
	ctx, stop = context.WithCancel(context.Background())
	reader := &powerClient{ledger: r.ledger, proposer: r.newProposer(), random: rand.New(rand.NewPCG(r.seed, 7))}
	clients.Go(func() { reader.readConfig(ctx) })
	r.startAll(500 * time.Millisecond)
	started := time.Now()
	writer := &powerClient{ledger: r.ledger, proposer: r.newProposer(), name: fmt.Sprint("after ", r.stats.losses), random: r.random}
	for n := 0; !writer.propose(ctx, writer.proposer.Propose, fmt.Sprintf("rec/after-%d-%d", r.stats.losses, n), 1); n++ {
		if time.Since(started) > recoverWithin {
			r.t.Errorf("no value was accepted within %v", recoverWithin)
			break
		}
	}
	r.stats.slowestWork = max(r.stats.slowestWork, time.Since(started))
	r.awaitVotes()
	r.stats.slowestVotes = max(r.stats.slowestVotes, time.Since(started))
	stop()
	clients.Wait()
	r.verify()
	if r.t.Failed() {
		r.t.FailNow()
	}
}

// Guards against acknowledged values that are lost, and older states that are shown, when up to the tolerated number of
// disks are lost while all other hosts lose power at the same moment.
func TestPowerLostWithTheDisks(t *testing.T) {
	stats := &powerStats{scenarios: map[string]int{}}
	for _, seed := range powerSeeds(t) {
		for _, group := range []struct{ members, tolerate int }{{3, 1}, {5, 1}, {7, 2}} {
			t.Run(fmt.Sprintf("seed %d, %d members", seed, group.members), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newPowerRun(t, group.members, group.tolerate, seed, stats)
					defer r.stop()
					r.network.Delay(0, 4*time.Millisecond)
					r.awaitVotes()
					for range powerRounds {
						r.runRound()
						time.Sleep(catchUp)
						r.awaitVotes()
					}
					_, values := r.ledger.prefixes()
					stats.values += values
					stats.runs++
				})
			})
		}
	}
	t.Logf("%d runs, %d losses of power, %d disks wiped, %d values read back, %d contended claims undecided, work after %v, all vote after %v, %v",
		stats.runs, stats.losses, stats.wiped, stats.values, stats.undecided, stats.slowestWork, stats.slowestVotes, stats.scenarios)
}

// powerSeeds returns the seeds of the variable, in the form 1-50, or those that CI plays.
func powerSeeds(t *testing.T) (seeds []uint64) {
	text := os.Getenv(powerSeedsVariable)
	if text == "" {
		text = "1-2"
	}
	first, last, ranged := strings.Cut(text, "-")
	if !ranged {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 32)
	to, lastErr := strconv.ParseUint(last, 10, 32)
	if err != nil || lastErr != nil {
		t.Fatalf("%s=%q: must be a seed or a range such as 1-50", powerSeedsVariable, text)
	}
	for seed := from; seed <= to; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}
