package configuration

import (
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Limits of the values of a document.
const (
	maxNameBytes         = 63
	maxTeamIDBytes       = 128
	maxPathBytes         = 1024
	maxSlots             = 1_000_000
	maxPercent           = 100
	maxLatencyMS         = 3_600_000
	maxDeadlineMS        = 3_600_000
	maxBodyBytes         = 1 << 30
	maxWeight            = 1_000
	maxInFlightQuota     = 1_000_000
	maxMinimumShareSum   = 0.95
	maxBufferedBodyBytes = 16 << 20
	maxDataCentres       = 1_000
	maxHosts             = 20_000
	maxServices          = 10_000
	maxShards            = 64
	maxRoutes            = 50_000
	maxTeams             = 500_000
	maxMethodsPerRoute   = 16
)

const nameRemedy = "use letters, digits, dots, hyphens and underscores, with a letter or digit at both ends"

var (
	hostNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	methodPattern   = regexp.MustCompile(`^[A-Z][A-Z-]*$`)
)

func validateCounts(d *configpb.Document) *Rejection {
	for _, section := range []struct {
		field        string
		count, limit int
	}{
		{"data_centres", len(d.GetDataCentres()), maxDataCentres},
		{"hosts", len(d.GetHosts()), maxHosts},
		{"services", len(d.GetServices()), maxServices},
		{"routes", len(d.GetRoutes()), maxRoutes},
		{"teams", len(d.GetTeams()), maxTeams},
	} {
		if section.count > section.limit {
			return reject(section.field, "remove some", "it has %d items, the most is %d", section.count, section.limit)
		}
	}
	return nil
}

func validateName(field, name string, maxBytes int) *Rejection {
	if name == "" {
		return reject(field, "set it", "it is missing")
	}
	if len(name) > maxBytes || !isValidName(name) {
		return reject(field, nameRemedy, "%.140q is not a valid name of at most %d bytes", name, maxBytes)
	}
	return nil
}

// isValidName reports whether the name follows nameRemedy. It does not use a regular expression: that and
// formatting the field of every item took two thirds of the time to validate a document with 60,000 teams.
func isValidName(name string) bool {
	for i := range len(name) {
		c := name[i]
		alphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		inner := i > 0 && i < len(name)-1 && (c == '.' || c == '-' || c == '_')
		if !alphanumeric && !inner {
			return false
		}
	}
	return name != ""
}

func validateRange(field string, n, low, high int64) *Rejection {
	if n < low || n > high {
		return reject(field, "choose a value in the range", "%d is not in the range %d to %d", n, low, high)
	}
	return nil
}

func validateDataCentre(field string, d *configpb.DataCentre) *Rejection {
	if r := validateName(field+".name", d.GetName(), maxNameBytes); r != nil {
		return r
	}
	return validateName(field+".region", d.GetRegion(), maxNameBytes)
}

func validateHost(field string, h *configpb.Host, d *configpb.Document) *Rejection {
	if r := validateName(field+".id", h.GetId(), maxNameBytes); r != nil {
		return r
	}
	if _, ok := find(d.GetDataCentres(), dataCentreKey, h.GetDataCentre()); !ok {
		return reject(field+".data_centre", "put the data centre first", "data centre %q does not exist", h.GetDataCentre())
	}
	if r := validateAddress(field+".fleet_address", h.GetFleetAddress()); r != nil {
		return r
	}
	switch h.GetRole() {
	case configpb.HostRole_HOST_ROLE_NODE, configpb.HostRole_HOST_ROLE_NODE_AND_CONTROL:
		return validateAddress(field+".entry_address", h.GetEntryAddress())
	case configpb.HostRole_HOST_ROLE_CONTROL:
		if h.GetEntryAddress() != "" {
			return reject(field+".entry_address", "remove it or change the role", "a host of the role control serves no callers")
		}
		return nil
	default:
		return reject(field+".role", "use node, control or node-and-control", "it is missing or unknown")
	}
}

func validateAddress(field, text string) *Rejection {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return reject(field, "write ip:port, such as 10.0.0.1:8101", "%.80q is not an address that others can connect to", text)
	}
	return nil
}

// validateAddresses rejects an address that is used twice.
func validateAddresses(hosts []*configpb.Host) *Rejection {
	owners := make(map[string]string, 2*len(hosts))
	for _, h := range hosts {
		for _, address := range []string{h.GetFleetAddress(), h.GetEntryAddress()} {
			if address == "" {
				continue
			}
			if owner, taken := owners[address]; taken {
				return reject("hosts", "give each listener its own address", "address %s of host %q is already used by host %q", address, h.GetId(), owner)
			}
			owners[address] = h.GetId()
		}
	}
	return nil
}

func validateService(field string, s *configpb.Service, d *configpb.Document) *Rejection {
	return firstRejection(
		func() *Rejection { return validateName(field+".name", s.GetName(), maxNameBytes) },
		func() *Rejection { return validateServiceDataCentres(field+".data_centres", s, d) },
		func() *Rejection { return validateMinimumHealthy(field, s) },
		func() *Rejection { return validateRange(field+".slot_limit", int64(s.GetSlotLimit()), 1, maxSlots) },
		func() *Rejection {
			return validateRange(field+".connection_limit", int64(s.GetConnectionLimit()), 1, maxSlots)
		},
		func() *Rejection { return validatePriorities(field+".priorities", s.GetPriorities()) },
	)
}

func validateServiceDataCentres(field string, s *configpb.Service, d *configpb.Document) *Rejection {
	if len(s.GetDataCentres()) == 0 && d.GetVersion() > 0 {
		// In a document with a version, the data centres are discovered with the hosts.
		return nil
	}
	if len(s.GetDataCentres()) == 0 {
		return reject(field, "list the data centres of its backend servers", "it is empty")
	}
	region := ""
	for i, name := range s.GetDataCentres() {
		dc, ok := find(d.GetDataCentres(), dataCentreKey, name)
		if !ok {
			return reject(field, "put the data centre first", "data centre %q does not exist", name)
		}
		if slices.Index(s.GetDataCentres(), name) != i {
			return reject(field, "remove one of the two", "data centre %q is listed twice", name)
		}
		if region != "" && dc.GetRegion() != region {
			return reject(field, "use one service per region", "the data centres of service %q lie in the regions %q and %q", s.GetName(), region, dc.GetRegion())
		}
		region = dc.GetRegion()
	}
	return nil
}

func validateMinimumHealthy(field string, s *configpb.Service) *Rejection {
	slots, percent := s.GetMinimumHealthySlots(), s.GetMinimumHealthyPercent()
	if (slots == 0) == (percent == 0) {
		return reject(field+".minimum_healthy_slots", "set exactly one of minimum_healthy_slots and minimum_healthy_percent above 0", "slots are %d and percent is %d", slots, percent)
	}
	if r := validateRange(field+".minimum_healthy_slots", int64(slots), 0, maxSlots); r != nil {
		return r
	}
	return validateRange(field+".minimum_healthy_percent", int64(percent), 0, maxPercent)
}

func validatePriorities(field string, targets []*configpb.PriorityTarget) *Rejection {
	seen := map[configpb.Priority]bool{}
	shares := 0.0
	for _, t := range targets {
		if t.GetPriority() < configpb.Priority_PRIORITY_URGENT || t.GetPriority() > configpb.Priority_PRIORITY_BACKGROUND {
			return reject(field, "use urgent, normal and background", "a priority is missing or unknown")
		}
		name := strings.ToLower(strings.TrimPrefix(t.GetPriority().String(), "PRIORITY_"))
		if r := validateTarget(field+"."+name, t); r != nil {
			return r
		}
		seen[t.GetPriority()] = true
		shares += t.GetMinimumShare()
	}
	if len(seen) != 3 || len(targets) != 3 {
		return reject(field, "set urgent, normal and background once each", "it has %d targets", len(targets))
	}
	if shares > maxMinimumShareSum {
		return reject(field, "lower the minimum shares", "the minimum shares add up to %.3g, the most is %.3g", shares, maxMinimumShareSum)
	}
	return nil
}

func validateTarget(field string, t *configpb.PriorityTarget) *Rejection {
	if r := validateRange(field+".target_latency_ms", t.GetTargetLatencyMs(), 1, maxLatencyMS); r != nil {
		return r
	}
	// The comparisons are written so that NaN is rejected.
	if share := t.GetTargetShare(); !(share > 0 && share < 1) {
		return reject(field+".target_share", "use a share such as 0.99", "%v is not above 0 and below 1", share)
	}
	if share := t.GetMinimumShare(); !(share >= 0 && share < 1) {
		return reject(field+".minimum_share", "use a share such as 0.1", "%v is not at least 0 and below 1", share)
	}
	return nil
}

func validateSameDataCentres(field string, d *configpb.Document, s *configpb.Service) *Rejection {
	old, ok := find(d.GetServices(), serviceKey, s.GetName())
	if !ok {
		return nil
	}
	if !slices.Equal(sortedBy(old.GetDataCentres(), identity), sortedBy(s.GetDataCentres(), identity)) {
		return reject(field+".data_centres", "create a new service and move the routes to it", "the data centres of service %q cannot be changed", s.GetName())
	}
	return nil
}

func identity(s string) string { return s }

// validateRegions checks that the data centres of every service are still in one region.
func validateRegions(d *configpb.Document) *Rejection {
	for _, s := range d.GetServices() {
		if r := validateServiceDataCentres("services["+s.GetName()+"].data_centres", s, d); r != nil {
			return r
		}
	}
	return nil
}

// validateNodes checks that every service has a node in its data centres.
func validateNodes(d *configpb.Document) *Rejection {
	if d.GetVersion() > 0 {
		// In a document with a version, the hosts are discovered.
		return nil
	}
	nodes := map[string]bool{}
	for _, h := range d.GetHosts() {
		if RunsNode(h) {
			nodes[h.GetDataCentre()] = true
		}
	}
	for _, s := range d.GetServices() {
		if !slices.ContainsFunc(s.GetDataCentres(), func(dc string) bool { return nodes[dc] }) {
			return noNodeRejection("hosts", s)
		}
	}
	return nil
}

func hasNode(hosts []*configpb.Host, s *configpb.Service) bool {
	return slices.ContainsFunc(hosts, func(h *configpb.Host) bool {
		return RunsNode(h) && slices.Contains(s.GetDataCentres(), h.GetDataCentre())
	})
}

func noNodeRejection(field string, s *configpb.Service) *Rejection {
	return reject(field, "put a host of the role node into one of its data centres first", "service %q would have no node in its data centres", s.GetName())
}

// RunsNode reports whether the host runs a node, which serves callers.
func RunsNode(h *configpb.Host) bool {
	return h.GetRole() == configpb.HostRole_HOST_ROLE_NODE || h.GetRole() == configpb.HostRole_HOST_ROLE_NODE_AND_CONTROL
}

// RunsControl reports whether the host runs a control replica.
func RunsControl(h *configpb.Host) bool {
	return h.GetRole() == configpb.HostRole_HOST_ROLE_CONTROL || h.GetRole() == configpb.HostRole_HOST_ROLE_NODE_AND_CONTROL
}
