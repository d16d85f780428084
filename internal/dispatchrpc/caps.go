package dispatchrpc

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/shard"
	"github.com/tarragonmux/tarragonmux/internal/usagecap"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// capHostsInterval is how often a dispatcher lists the running entry hosts.
	capHostsInterval = 500 * time.Millisecond
	// closedHostsFor is how long a host that closed its stream counts as connected. Most such hosts have ended or open
	// another stream at once; by then the control hosts no longer list one that has ended.
	closedHostsFor = 2 * time.Second
	// closeTransit is the time that the end of a stream may take to arrive beyond a heartbeat. The stream of a host that was
	// silent for longer may have ended because the host lost this dispatcher, and it may place requests alone.
	closeTransit = 100 * time.Millisecond
	// cappedLogInterval is the least time between two lines about teams beyond their caps.
	cappedLogInterval = time.Second
	// maxLoggedTeams bounds the teams that such a line names.
	maxLoggedTeams = 8
	// mixHalfLife is the half-life of the requests in the mix of services of a host.
	mixHalfLife = 5 * time.Second
)

// refreshCaps tells the state machine among which parts usage caps are divided and how many entry hosts use it. The
// caller holds the mutex.
func (r *runner) refreshCaps(now time.Time, settings ServiceSettings) {
	if settings.UsageCap == nil {
		return
	}
	if parts := Parts(r.server.config.Settings); !slices.Equal(parts, r.capParts) {
		r.capParts = parts
		r.machine.SetCapParts(now, parts)
	}
	if r.server.config.EntryHosts == nil || now.Sub(r.capHostsAt) < capHostsInterval {
		return
	}
	r.capHostsAt = now
	r.capHosts = r.capHosts[:0]
	for _, host := range r.server.config.EntryHosts() {
		if r.part.Owns(host) {
			r.capHosts = append(r.capHosts, host)
		}
	}
	r.countCapHosts(now)
}

// countCapHosts tells the state machine how many of the running entry hosts use it. It is also called when a host connects:
// counted as one that places requests alone, the first host of a new dispatcher would be refused requests within caps. The
// caller holds the mutex.
func (r *runner) countCapHosts(now time.Time) {
	r.machine.SetCapHosts(now, r.connectedCapHosts(now), len(r.capHosts))
}

// connectedCapHosts returns how many of the running entry hosts use this dispatcher or have closed their streams lately.
func (r *runner) connectedCapHosts(now time.Time) int {
	maps.DeleteFunc(r.closedStreams, func(_ string, closed time.Time) bool { return now.Sub(closed) >= closedHostsFor })
	connected := 0
	for _, host := range r.capHosts {
		_, closed := r.closedStreams[host]
		if closed || r.sessions[host] != nil {
			connected++
		}
	}
	return connected
}

// Parts returns the names of the shards of all services, in order.
func Parts(s Settings) []string {
	var parts []string
	for _, service := range s.Services() {
		settings, ok := s.Service(service)
		if !ok {
			continue
		}
		for _, part := range shard.All(service, settings.Shards) {
			parts = append(parts, part.String())
		}
	}
	slices.Sort(parts)
	return parts
}

// logCapped logs which teams are near or beyond their usage caps while requests are refused for that. The caller holds
// the mutex.
func (r *runner) logCapped(now time.Time, v *dispatch.View) {
	capped := r.machine.Stats().Capped
	if capped < r.cappedLogged {
		// A new state machine counts anew.
		r.cappedLogged = 0
	}
	if capped == r.cappedLogged || now.Sub(r.cappedLoggedAt) < cappedLogInterval {
		return
	}
	r.server.log.Info("refused requests beyond usage caps", "service", r.name, "term", r.term, "refused", capped-r.cappedLogged,
		"scarce_teams", len(v.ScarceTeams), "teams", v.ScarceTeams[:min(len(v.ScarceTeams), maxLoggedTeams)])
	r.cappedLogged, r.cappedLoggedAt = capped, now
}

// dispatching calls the function for each shard that this node dispatches while its service has usage caps, with the
// runner's mutex held.
func (s *Server) dispatching(f func(r *runner)) {
	s.mu.RLock()
	runners := make([]*runner, 0, len(s.runners))
	for _, r := range s.runners {
		runners = append(runners, r)
	}
	s.mu.RUnlock()
	for _, r := range runners {
		r.mu.Lock()
		if r.syncWithLease(time.Now()) {
			if settings, ok := r.settings(); ok && settings.UsageCap != nil {
				f(r)
			}
		}
		r.mu.Unlock()
	}
}

// ReportDemand returns the next reports of the dispatchers of this node. It must be called every 250 ms.
func (s *Server) ReportDemand() []*fleetpb.PartDemand {
	var reports []*fleetpb.PartDemand
	s.dispatching(func(r *runner) {
		number, demands := r.machine.ReportDemand(time.Now())
		report := &fleetpb.PartDemand{Part: r.name, Term: r.term, Number: number}
		for _, d := range demands {
			report.Teams = append(report.Teams, &fleetpb.TeamDemand{Team: d.Team, Rate: float32(d.Rate), Used: d.Used})
		}
		reports = append(reports, report)
	})
	return reports
}

// MergeDemand merges reports, which must be in order, and returns the parts whose dispatchers on this node have merged
// them.
func (s *Server) MergeDemand(reports []*fleetpb.PartDemand) (parts []string) {
	lists := make([][]usagecap.Demand, len(reports))
	for i, report := range reports {
		for _, d := range report.GetTeams() {
			lists[i] = append(lists[i], usagecap.Demand{Team: d.GetTeam(), Rate: float64(d.GetRate()), Used: d.GetUsed()})
		}
	}
	s.dispatching(func(r *runner) {
		for i, report := range reports {
			if report.GetPart() != r.name {
				r.machine.MergeDemand(time.Now(), report.GetPart(), report.GetNumber(), lists[i])
			}
		}
		parts = append(parts, r.name)
	})
	return parts
}

// DemandDelivered records that the dispatchers of the other parts have merged the reports.
func (s *Server) DemandDelivered(reports []*fleetpb.PartDemand, parts []string) {
	s.dispatching(func(r *runner) {
		for _, report := range reports {
			if report.GetPart() != r.name || report.GetTerm() != r.term {
				continue
			}
			for _, part := range parts {
				r.machine.DemandDelivered(time.Now(), part, report.GetNumber())
			}
		}
	})
}

// takeAllowance takes a token of this host's part of the team's usage cap for a request that is placed without a
// dispatcher. If there is none, it refuses the request and returns false. The caller holds the mutex.
func (c *channel) takeAllowance(now time.Time, q *queuedRequest) bool {
	settings, ok := c.client.config.Settings.Service(c.service)
	if !ok || settings.UsageCap == nil {
		return true
	}
	limit := settings.UsageCap(q.request.Team)
	if limit.Rate == 0 {
		return true
	}
	if c.autonomy.allowance == nil {
		c.autonomy.allowance = usagecap.NewAllowance(rand.Uint64(), settings.CapBound)
	}
	ok, retryAfter := c.autonomy.allowance.Admit(now, q.request.Team, limit, c.hostCount(settings), c.client.mix.share(now, c.service), c.scarceTeams[q.request.Team])
	if !ok {
		c.sendCancel(q)
		c.resolve(q, acquireResult{problem: problem.New(problem.UsageCap, problem.NotRun, "").After(retryAfter)})
		return false
	}
	q.counted = true
	return true
}

// countedTeam returns the team whose allowance was charged for the request, or "".
func countedTeam(q *queuedRequest) string {
	if !q.counted {
		return ""
	}
	return q.request.Team
}

// serviceMix counts the requests of a host by service, older ones for less. It is safe for concurrent use.
type serviceMix struct {
	mu     sync.Mutex
	at     time.Time
	counts map[string]float64
}

func (m *serviceMix) count(now time.Time, service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.counts[service]++
}

// share returns the service's part of the host's requests, from 0 to 1.
func (m *serviceMix) share(now time.Time, service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	total := 0.0
	for _, n := range m.counts {
		total += n
	}
	if total == 0 {
		return 0
	}
	return m.counts[service] / total
}

// decay applies the time since the last call. Intervals below a tenth of a second are left to a later call.
func (m *serviceMix) decay(now time.Time) {
	if m.counts == nil {
		m.counts, m.at = map[string]float64{}, now
	}
	passed := now.Sub(m.at)
	if passed < 100*time.Millisecond {
		return
	}
	m.at = now
	factor := math.Exp2(-passed.Seconds() / mixHalfLife.Seconds())
	for service, n := range m.counts {
		if n *= factor; n < 0.01 {
			delete(m.counts, service)
		} else {
			m.counts[service] = n
		}
	}
}
