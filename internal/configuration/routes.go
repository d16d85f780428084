package configuration

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/route"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Defaults of a route.
const (
	// DefaultBodyLimit is the body limit of idempotent routes in bytes.
	DefaultBodyLimit = 10 << 20
	// DefaultBufferedBodyLimit is the body limit of non-idempotent routes in bytes.
	DefaultBufferedBodyLimit = 256 << 10
	// DefaultDeadline applies if neither the caller nor the route sets a deadline.
	DefaultDeadline = 10 * time.Second
)

const maxHostNameBytes = 255

// routeTable maps host names to path trees. The empty name holds the routes that apply to every host name.
type routeTable map[string]*pathNode

// pathNode is a node of a path tree. Each level stands for one path segment.
type pathNode struct {
	children map[string]*pathNode
	// rules apply to the path that ends at this node and to all paths below it.
	rules []methodRule
	// below apply to the paths below this node only. They stand for prefixes with a last slash.
	below []methodRule
}

type methodRule struct {
	// method is empty for a rule that applies to every method; such a rule comes last.
	method string
	match  route.Match
}

func compileRoutes(routes []*configpb.Route, services map[string]*configpb.Service) routeTable {
	table := routeTable{}
	for _, r := range routes {
		table.add(r, services)
	}
	return table
}

// withHostsRebuilt returns a table with the trees of the host names rebuilt and all others shared.
func (t routeTable) withHostsRebuilt(routes []*configpb.Route, services map[string]*configpb.Service, hostNames ...string) routeTable {
	next := maps.Clone(t)
	for _, name := range hostNames {
		delete(next, name)
	}
	for _, r := range routes {
		if slices.Contains(hostNames, r.GetHostName()) {
			next.add(r, services)
		}
	}
	return next
}

func (t routeTable) add(r *configpb.Route, services map[string]*configpb.Service) {
	root, ok := t[r.GetHostName()]
	if !ok {
		root = &pathNode{}
		t[r.GetHostName()] = root
	}
	path := strings.Trim(r.GetPathPrefix(), "/")
	node := root.ensureNode(path)
	rules := &node.rules
	if path != "" && strings.HasSuffix(r.GetPathPrefix(), "/") {
		rules = &node.below
	}
	match := compileMatch(r, services[r.GetService()])
	if len(r.GetMethods()) == 0 {
		*rules = append(*rules, methodRule{match: match})
		return
	}
	for _, m := range r.GetMethods() {
		*rules = slices.Insert(*rules, 0, methodRule{method: m, match: match})
	}
}

// ensureNode returns the node of the path and creates it if it does not exist.
func (n *pathNode) ensureNode(path string) *pathNode {
	if path == "" {
		return n
	}
	for segment := range strings.SplitSeq(path, "/") {
		child, ok := n.children[segment]
		if !ok {
			child = &pathNode{}
			if n.children == nil {
				n.children = map[string]*pathNode{}
			}
			n.children[segment] = child
		}
		n = child
	}
	return n
}

func compileMatch(r *configpb.Route, s *configpb.Service) route.Match {
	m := route.Match{
		Route:           r.GetId(),
		Service:         r.GetService(),
		Priority:        priority.FromProto(r.GetPriority()),
		Idempotent:      r.GetIdempotent(),
		BodyLimit:       bodyLimit(r),
		DefaultDeadline: time.Duration(r.GetDefaultDeadlineMs()) * time.Millisecond,
		Timeout:         time.Duration(r.GetTimeoutMs()) * time.Millisecond,
		Attempts:        int(r.GetMaxAttempts()),
		Keyless:         r.GetKeyless(),
		Public:          r.GetPublic(),
		Split:           compileSplit(r.GetParts()),
	}
	if m.DefaultDeadline == 0 {
		m.DefaultDeadline = DefaultDeadline
	}
	for _, t := range s.GetPriorities() {
		if t.GetPriority() == r.GetPriority() {
			m.TargetLatency = time.Duration(t.GetTargetLatencyMs()) * time.Millisecond
			m.TargetShare = t.GetTargetShare()
		}
	}
	if target := r.GetTargetLatencyMs(); target > 0 {
		m.TargetLatency = time.Duration(target) * time.Millisecond
	}
	return m
}

func compileSplit(routeParts []*configpb.RoutePart) []route.SplitPart {
	total := 0.0
	for _, part := range routeParts {
		total += float64(part.GetWeight())
	}
	var parts []route.SplitPart
	sum := 0.0
	for _, part := range routeParts {
		if part.GetWeight() == 0 {
			continue
		}
		sum += float64(part.GetWeight())
		parts = append(parts, route.SplitPart{Service: part.GetService(), CumulativeShare: sum / total})
	}
	return parts
}

func bodyLimit(r *configpb.Route) int64 {
	switch {
	case r.GetBodyLimitBytes() > 0:
		return r.GetBodyLimitBytes()
	case r.GetIdempotent():
		return DefaultBodyLimit
	default:
		return DefaultBufferedBodyLimit
	}
}

func (t routeTable) match(hostName, method, path string) (route.Match, bool) {
	if rule := t.treeOf(hostName).findRule(method, path); rule != nil {
		return rule.match, true
	}
	if rule := t[""].findRule(method, path); rule != nil {
		return rule.match, true
	}
	return route.Match{}, false
}

// treeOf returns the tree of the host name, or nil. The host name may have upper-case letters, a
// trailing dot and a port.
func (t routeTable) treeOf(hostName string) *pathNode {
	name := withoutPort(hostName)
	if name == "" || len(name) > maxHostNameBytes {
		return nil
	}
	if root, ok := t[name]; ok {
		return root
	}
	var lower [maxHostNameBytes]byte
	for i := range len(name) {
		lower[i] = name[i]
		if 'A' <= name[i] && name[i] <= 'Z' {
			lower[i] += 'a' - 'A'
		}
	}
	return t[string(lower[:len(name)])]
}

func withoutPort(hostName string) string {
	colon := strings.LastIndexByte(hostName, ':')
	if colon < 0 || strings.HasSuffix(hostName, "]") {
		return strings.TrimSuffix(hostName, ".")
	}
	return strings.TrimSuffix(hostName[:colon], ".")
}

// findRule returns the rule of the longest path prefix that applies to the method, or nil. A path with a dot
// segment matches nothing, since a backend server could resolve it to a path of another route.
func (n *pathNode) findRule(method, path string) *methodRule {
	if n == nil {
		return nil
	}
	best := ruleFor(n.rules, method)
	node := n
	rest := strings.TrimPrefix(path, "/")
	for rest != "" {
		segment, after, continues := strings.Cut(rest, "/")
		if segment == "." || segment == ".." {
			return nil
		}
		rest = after
		if node == nil {
			// The remaining segments are only checked for dot segments.
			continue
		}
		if node = node.children[segment]; node == nil {
			continue
		}
		if rule := ruleFor(node.rules, method); rule != nil {
			best = rule
		}
		if !continues {
			continue
		}
		if rule := ruleFor(node.below, method); rule != nil {
			best = rule
		}
	}
	return best
}

func ruleFor(rules []methodRule, method string) *methodRule {
	for i := range rules {
		if rules[i].method == method || rules[i].method == "" {
			return &rules[i]
		}
	}
	return nil
}
