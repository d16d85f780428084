package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/usagecap"
)

// takeToken counts a first attempt against the usage cap of its team. Further attempts of a request that was counted take
// no token. If the cap is used up, it refuses the request and returns false.
func (m *Machine) takeToken(now time.Time, n *node, q *Request) (counted, withinCap bool) {
	if m.config.UsageCap == nil || q.Purpose != grant.First {
		return false, true
	}
	limit := m.config.UsageCap(q.Team)
	if limit.Rate == 0 {
		return false, true
	}
	ok, retryAfter := m.caps.Admit(now, q.Team, limit)
	if !ok {
		m.stats.Capped++
		m.refuseFor(n, q.ID, problem.UsageCap, retryAfter)
	}
	return ok, ok
}

// returnToken gives back the token of a request that reached no server. A time in the past stands for that of the
// latest event.
func (m *Machine) returnToken(now time.Time, team string, counted bool) {
	if counted {
		m.caps.Return(now, team)
	}
}

// ReportDemand returns the next report of this dispatcher's demand for the dispatchers of other parts, and its number.
// It must be called every 250 ms.
func (m *Machine) ReportDemand(now time.Time) (number uint64, list []usagecap.Demand) {
	list = m.caps.Report(now)
	return m.caps.Number(), list
}

// MergeDemand merges a report of the dispatcher of another part. Reports must be merged in their order.
func (m *Machine) MergeDemand(now time.Time, part string, number uint64, list []usagecap.Demand) {
	m.caps.Merge(now, part, number, list)
}

// DemandDelivered records that the dispatcher of another part has merged the report with the number.
func (m *Machine) DemandDelivered(now time.Time, part string, number uint64) {
	m.caps.Delivered(now, part, number)
}

// SetCapParts sets the names of the parts of all dispatchers, among which usage caps are divided.
func (m *Machine) SetCapParts(now time.Time, parts []string) { m.caps.SetParts(now, parts) }

// SetCapHosts sets how many of the running entry hosts of this part use this dispatcher. The others place requests alone
// and have a part of each cap.
func (m *Machine) SetCapHosts(now time.Time, connected, total int) {
	m.caps.SetHosts(now, connected, total)
}

// ScarceTeams returns the teams that are near or beyond their usage caps.
func (m *Machine) ScarceTeams(now time.Time) []string { return m.caps.Scarce(now) }
