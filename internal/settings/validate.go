package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

const (
	maxNameBytes = 63
	maxReplicas  = 9
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?$`)

// validator collects the errors of one validation.
type validator struct {
	errs Errors
	// listenerFields maps each listening address to the field that uses it.
	listenerFields map[netip.AddrPort]string
}

func (s *Settings) validate() Errors {
	v := &validator{listenerFields: map[netip.AddrPort]string{}}
	v.checkName("id", s.ID)
	v.checkDataCentres(s)
	v.checkListener("fleet", s.Fleet)
	v.checkListener("admin", s.Admin)
	v.checkEntry(s)
	v.checkControl(s)
	v.checkReplicas(s)
	v.checkDiscovery(s)
	v.checkUsageCaps(s.UsageCaps)
	v.checkAdapter(s)
	v.checkInbound(s.Inbound)
	for i, peer := range s.Peers {
		v.checkAddress(fmt.Sprintf("peers[%d]", i), peer)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		v.addError("log.level", fmt.Sprintf("unknown level %q", s.Log.Level), "use debug, info, warn or error")
	}
	return v.errs
}

func (v *validator) addError(field, reason, remedy string) {
	v.errs = append(v.errs, &Error{Field: field, Reason: reason, Remedy: remedy})
}

func (v *validator) checkName(field, name string) {
	if name == "" {
		v.addError(field, "it is missing", "set it to a name of letters, digits, dots and hyphens")
		return
	}
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		v.addError(field, fmt.Sprintf("%q is not a valid name", name), "use at most 63 letters, digits, dots and hyphens, with a letter or digit at both ends")
	}
}

func (v *validator) checkDataCentres(s *Settings) {
	if len(s.DataCentres) == 0 {
		v.addError("data_centres", "it is empty", "list the names of all data centres of the fleet")
	}
	for i, name := range s.DataCentres {
		v.checkName(fmt.Sprintf("data_centres[%d]", i), name)
		if slices.Index(s.DataCentres, name) != i {
			v.addError(fmt.Sprintf("data_centres[%d]", i), fmt.Sprintf("%q is listed twice", name), "remove one of the two")
		}
	}
	if !slices.Contains(s.DataCentres, s.DataCentre) {
		v.addError("data_centre", fmt.Sprintf("data centre %q does not exist", s.DataCentre), "use one of data_centres or add it there")
	}
}

func (v *validator) checkEntry(s *Settings) {
	if s.Entry == nil {
		if s.Control == nil {
			v.addError("entry", "neither entry nor control is set", "set entry on a node, control on a control replica, or both")
		}
		return
	}
	e := s.Entry
	v.checkListener("entry", e.Listener)
	v.checkDuration("entry.header_timeout", e.HeaderTimeout, 100*time.Millisecond, time.Minute)
	v.checkDuration("entry.body_timeout", e.BodyTimeout, 100*time.Millisecond, 10*time.Minute)
	v.checkDuration("entry.idle_timeout", e.IdleTimeout, time.Second, time.Hour)
	v.checkDuration("entry.endpoint_ttl", e.EndpointTTL, 100*time.Millisecond, 5*time.Minute)
	v.checkNumber("entry.max_header_bytes", int64(e.MaxHeaderBytes), 1024, 1<<20)
	v.checkNumber("entry.max_requests", int64(e.MaxRequests), 1, 1_000_000)
	if e.KeyWithdrawal != 0 {
		v.checkDuration("entry.key_withdrawal", e.KeyWithdrawal, time.Second, time.Hour)
	}
}

func (v *validator) checkUsageCaps(c *UsageCaps) {
	if c == nil {
		return
	}
	v.checkDuration("usage_caps.window", c.Window, time.Second, 10*time.Minute)
	// The comparisons are written so that they are false for NaN.
	if !(c.Overage >= 0 && c.Overage <= 1) {
		v.addError("usage_caps.overage", fmt.Sprintf("%v is out of range", c.Overage), "use 0 to 1")
	}
	if !(c.Slack >= 0 && c.Slack <= 1_000_000) {
		v.addError("usage_caps.slack", fmt.Sprintf("%v is out of range", c.Slack), "use 0 to 1000000")
	}
}

func (v *validator) checkDiscovery(s *Settings) {
	d := s.Discovery
	if d == nil {
		return
	}
	v.checkDuration("discovery.server_cutoff", d.ServerCutoff, time.Second, time.Minute)
	v.checkDuration("discovery.leave_for", d.LeaveFor, 0, time.Minute)
	v.checkDuration("discovery.stop_after", d.StopAfter, time.Second, time.Hour)
	// The comparisons are written so that they are false for NaN.
	if !(d.RetryShare >= 0 && d.RetryShare <= 1) {
		v.addError("discovery.retry_share", fmt.Sprintf("%v is out of range", d.RetryShare), "use 0 to 1")
	}
	if !(d.RetryFloor >= 0 && d.RetryFloor <= 10_000) {
		v.addError("discovery.retry_floor", fmt.Sprintf("%v is out of range", d.RetryFloor), "use 0 to 10000")
	}
	if s.Entry != nil && s.Control != nil {
		v.addError("discovery", "a host with discovery runs either a node or a control replica", "remove entry or control")
	}
}

// checkInbound accepts 0, which stands for a default that depends on the process.
func (v *validator) checkInbound(i Inbound) {
	for _, limit := range []struct {
		field        string
		n, low, high int64
	}{
		{"inbound.max_connections", int64(i.MaxConnections), 16, 1_000_000},
		{"inbound.max_connections_per_address", int64(i.MaxConnectionsPerAddress), 1, 1_000_000},
		{"inbound.max_memory", i.MaxMemory, 64 << 10, 1 << 40},
		{"inbound.max_memory_per_address", i.MaxMemoryPerAddress, 64 << 10, 1 << 40},
	} {
		if limit.n != 0 {
			v.checkNumber(limit.field, limit.n, limit.low, limit.high)
		}
	}
}

func (v *validator) checkAdapter(s *Settings) {
	a := s.Adapter
	if a == nil {
		return
	}
	for field, address := range map[string]string{"adapter.control": a.Control, "adapter.directory": a.Directory, "adapter.ready": a.Ready} {
		if address != "" {
			v.checkListener(field, Listener{Address: address, Advertise: address})
		}
	}
	if s.Discovery == nil {
		v.addError("adapter", "an adapter needs discovery", "set discovery, too")
	}
}

func (v *validator) checkControl(s *Settings) {
	if s.Control == nil {
		return
	}
	if s.DataFolder == "" {
		v.addError("data_folder", "a control replica needs a data folder", "set it to a folder on a local disk")
	}
	v.checkDuration("control.record_retention", s.Control.RecordRetention, time.Minute, 720*time.Hour)
	v.checkNumber("control.segment_bytes", s.Control.SegmentBytes, 4096, 1<<30)
}

func (v *validator) checkReplicas(s *Settings) {
	if len(s.ControlReplicas) == 0 || len(s.ControlReplicas) > maxReplicas {
		v.addError("control_replicas", fmt.Sprintf("%d replicas are listed", len(s.ControlReplicas)), "list 1 to 9, best 3 or 5 in different data centres")
	}
	ids := map[string]bool{}
	for i, r := range s.ControlReplicas {
		field := fmt.Sprintf("control_replicas[%d]", i)
		v.checkName(field+".id", r.ID)
		v.checkAddress(field+".address", r.Address)
		if ids[r.ID] {
			v.addError(field+".id", fmt.Sprintf("%q is listed twice", r.ID), "give each replica its own id")
		}
		ids[r.ID] = true
	}
}

func (v *validator) checkListener(field string, l Listener) {
	if addr, ok := v.checkAddress(field+".address", l.Address); ok {
		if other := v.findOverlap(addr); other != "" {
			v.addError(field+".address", fmt.Sprintf("%s is already used by %s", l.Address, other), "give each listener its own port")
		}
		v.listenerFields[addr] = field + ".address"
	}
	if l.Advertise == l.Address {
		if addr, err := netip.ParseAddrPort(l.Address); err == nil && addr.Addr().IsUnspecified() {
			v.addError(field+".advertise", "others cannot connect to an unspecified address", "set advertise to the address of this host")
		}
		return
	}
	v.checkAddress(field+".advertise", l.Advertise)
}

// findOverlap returns the field of an earlier listener that has the same port on the same or on an
// unspecified IP address, or "" if there is none.
func (v *validator) findOverlap(addr netip.AddrPort) string {
	for other, field := range v.listenerFields {
		if other.Port() != addr.Port() {
			continue
		}
		if other.Addr() == addr.Addr() || other.Addr().IsUnspecified() || addr.Addr().IsUnspecified() {
			return field
		}
	}
	return ""
}

func (v *validator) checkAddress(field, text string) (netip.AddrPort, bool) {
	if text == "" {
		v.addError(field, "it is missing", "set it to ip:port, such as 127.0.0.1:8101")
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		v.addError(field, fmt.Sprintf("%q is not an address", text), "write an IP address and a port from 1 to 65535, such as 127.0.0.1:8101; host names are not resolved")
		return netip.AddrPort{}, false
	}
	if addr.Port() == 0 {
		v.addError(field, "port 0 is out of range", "use a port from 1 to 65535")
		return netip.AddrPort{}, false
	}
	return addr, true
}

func (v *validator) checkDuration(field string, d Duration, low, high time.Duration) {
	if d.D() < low || d.D() > high {
		v.addError(field, fmt.Sprintf("%s is out of range", d.D()), fmt.Sprintf("use %s to %s", low, high))
	}
}

func (v *validator) checkNumber(field string, n, low, high int64) {
	if n < low || n > high {
		v.addError(field, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("use %d to %d", low, high))
	}
}
