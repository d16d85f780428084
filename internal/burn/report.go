package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// Window is one span over which a burn rate is computed.
type Window struct {
	Name string
	Span time.Duration
}

// windows are the windows of the report, shortest first.
var windows = []Window{
	{"5m", 5 * time.Minute},
	{"30m", 30 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
	{"3d", 72 * time.Hour},
}

// Alert verdicts, most severe last.
const (
	VerdictNone   = "ok"
	VerdictNoData = "no data"
	VerdictTicket = "ticket"
	VerdictPage   = "page"
)

// rule sets a verdict if the burn rate reaches the rate in both the long and the short window.
type rule struct {
	verdict     string
	rate        float64
	long, short string
}

// rules are in the order of severity; the first rule that is met sets the verdict.
var rules = []rule{
	{VerdictPage, 14.4, "1h", "5m"},
	{VerdictTicket, 6, "6h", "30m"},
	{VerdictTicket, 1, "3d", "6h"},
}

// Rate is the burn rate of one window, with the counts that it follows from.
type Rate struct {
	Window string  `json:"window"`
	Good   uint64  `json:"good"`
	Total  uint64  `json:"total"`
	Share  float64 `json:"share"`
	// Burn is the share of bad requests divided by the share that the target allows.
	Burn float64 `json:"burn"`
}

// Line is the report of one service and priority.
type Line struct {
	Service  string `json:"service"`
	Priority string `json:"priority"`
	// TargetShare and TargetLatencyMS are the service level; a share of 0 means that there is no target.
	TargetShare     float64 `json:"target_share"`
	TargetLatencyMS int64   `json:"target_latency_ms"`
	Rates           []Rate  `json:"rates"`
	// BudgetLeft is the remaining share of the 3-day error budget; negative if the budget is overspent.
	BudgetLeft float64           `json:"budget_left"`
	Verdict    string            `json:"verdict"`
	Refusals   map[string]uint64 `json:"refusals"`
	// Points is the history for the plots, oldest first.
	Points []Point `json:"points"`
}

// Point holds the counts of one span of time.
type Point struct {
	StartS int64  `json:"start_s"`
	SpanS  int64  `json:"span_s"`
	Good   uint64 `json:"good"`
	Total  uint64 `json:"total"`
}

// NodeCoverage states from when the counts of a node are complete.
type NodeCoverage struct {
	Node   string `json:"node"`
	SinceS int64  `json:"since_s"`
	// Durable is set if the counts survive a restart of the node.
	Durable bool `json:"durable"`
}

// Report merges the counts of all reachable nodes.
type Report struct {
	TimeS       int64          `json:"time_s"`
	Lines       []Line         `json:"lines"`
	Nodes       []NodeCoverage `json:"nodes"`
	Unreachable []string       `json:"unreachable"`
}

// Merge combines the replies of the nodes into a report. The nodes listed as unreachable did not reply.
func Merge(replies []*fleetpb.BurnReply, unreachable []string, now time.Time) *Report {
	report := &Report{TimeS: now.Unix(), Unreachable: slices.Sorted(slices.Values(unreachable))}
	merged := map[[2]string]*Line{}
	points := map[[2]string]map[int64]*Point{}
	for _, reply := range replies {
		report.Nodes = append(report.Nodes, NodeCoverage{Node: reply.GetNode(), SinceS: reply.GetSinceS(), Durable: reply.GetDurable()})
		for _, s := range reply.GetSeries() {
			key := [2]string{s.GetService(), s.GetPriority()}
			line := merged[key]
			if line == nil {
				line = &Line{Service: key[0], Priority: key[1], Refusals: map[string]uint64{}}
				merged[key] = line
				points[key] = map[int64]*Point{}
			}
			line.add(s, points[key])
		}
	}
	for key, line := range merged {
		line.computeRates(points[key], now)
		report.Lines = append(report.Lines, *line)
	}
	slices.SortFunc(report.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(priorityRank(a.Priority), priorityRank(b.Priority)))
	})
	slices.SortFunc(report.Nodes, func(a, b NodeCoverage) int { return cmp.Compare(a.Node, b.Node) })
	return report
}

// priorityRank returns the position of the priority in the report, the most urgent first.
func priorityRank(name string) int {
	return slices.Index([]string{"urgent", "normal", "background"}, name)
}

// add adds the counts of one node's series to the line and to its points, which are keyed by start time.
func (l *Line) add(s *fleetpb.BurnSeries, points map[int64]*Point) {
	if s.GetTargetShare() > 0 {
		l.TargetShare = s.GetTargetShare()
		l.TargetLatencyMS = s.GetTargetLatencyMs()
	}
	for _, b := range s.GetBuckets() {
		p := points[b.GetStartS()]
		if p == nil {
			p = &Point{StartS: b.GetStartS(), SpanS: b.GetSpanS()}
			points[b.GetStartS()] = p
		}
		p.SpanS = max(p.SpanS, b.GetSpanS())
		p.Good += b.GetGood()
		p.Total += b.GetTotal()
		for kind, count := range b.GetRefusals() {
			l.Refusals[kind] += count
		}
	}
}

// computeRates sets the points, rates, remaining budget and verdict of the line.
func (l *Line) computeRates(points map[int64]*Point, now time.Time) {
	for _, p := range points {
		l.Points = append(l.Points, *p)
	}
	slices.SortFunc(l.Points, func(a, b Point) int { return cmp.Compare(a.StartS, b.StartS) })
	for _, w := range windows {
		l.Rates = append(l.Rates, l.rate(w, now))
	}
	l.BudgetLeft = 1 - l.Rates[len(l.Rates)-1].Burn
	l.Verdict = l.verdict()
}

func (l *Line) rate(w Window, now time.Time) Rate {
	r := Rate{Window: w.Name, Share: 1}
	from := now.Add(-w.Span).Unix()
	for _, p := range l.Points {
		if p.StartS+p.SpanS > from {
			r.Good += p.Good
			r.Total += p.Total
		}
	}
	if r.Total > 0 {
		r.Share = float64(r.Good) / float64(r.Total)
	}
	if l.TargetShare > 0 && l.TargetShare < 1 {
		r.Burn = (1 - r.Share) / (1 - l.TargetShare)
	}
	return r
}

func (l *Line) verdict() string {
	burn := map[string]float64{}
	total := uint64(0)
	for _, r := range l.Rates {
		burn[r.Window] = r.Burn
		total += r.Total
	}
	if total == 0 {
		return VerdictNoData
	}
	for _, rule := range rules {
		if burn[rule.long] >= rule.rate && burn[rule.short] >= rule.rate {
			return rule.verdict
		}
	}
	return VerdictNone
}
