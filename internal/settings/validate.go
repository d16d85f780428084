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

// validator collects the faults of one validation.
type validator struct {
	faults Errors
	// listenerFields maps each listenerFields address to the field that claims it.
	listenerFields map[netip.AddrPort]string
}

func (s *Settings) validate() Errors {
	c := &validator{listenerFields: map[netip.AddrPort]string{}}
	c.checkName("id", s.ID)
	c.checkDataCentres(s)
	c.checkListener("fleet", s.Fleet)
	c.checkListener("admin", s.Admin)
	c.checkEntry(s)
	c.checkControl(s)
	c.checkReplicas(s)
	c.checkDiscovery(s)
	c.checkAdapter(s)
	for i, peer := range s.Peers {
		c.checkAddress(fmt.Sprintf("peers[%d]", i), peer)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		c.addFault("log.level", fmt.Sprintf("unknown level %q", s.Log.Level), "use debug, info, warn or error")
	}
	return c.faults
}

func (c *validator) addFault(field, reason, remedy string) {
	c.faults = append(c.faults, &Error{Field: field, Reason: reason, Remedy: remedy})
}

func (c *validator) checkName(field, name string) {
	if name == "" {
		c.addFault(field, "it is missing", "set it to a name of letters, digits, dots and hyphens")
		return
	}
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		c.addFault(field, fmt.Sprintf("%q is not a valid name", name), "use at most 63 letters, digits, dots and hyphens, with a letter or digit at both ends")
	}
}

func (c *validator) checkDataCentres(s *Settings) {
	if len(s.DataCentres) == 0 {
		c.addFault("data_centres", "it is empty", "list the names of all data centres of the fleet")
	}
	for i, name := range s.DataCentres {
		c.checkName(fmt.Sprintf("data_centres[%d]", i), name)
		if slices.Index(s.DataCentres, name) != i {
			c.addFault(fmt.Sprintf("data_centres[%d]", i), fmt.Sprintf("%q is listed twice", name), "remove one of the two")
		}
	}
	if !slices.Contains(s.DataCentres, s.DataCentre) {
		c.addFault("data_centre", fmt.Sprintf("data centre %q does not exist", s.DataCentre), "use one of data_centres or add it there")
	}
}

func (c *validator) checkEntry(s *Settings) {
	if s.Entry == nil {
		if s.Control == nil {
			c.addFault("entry", "neither entry nor control is set", "set entry on a node, control on a control replica, or both")
		}
		return
	}
	e := s.Entry
	c.checkListener("entry", e.Listener)
	c.checkDuration("entry.header_timeout", e.HeaderTimeout, 100*time.Millisecond, time.Minute)
	c.checkDuration("entry.body_timeout", e.BodyTimeout, 100*time.Millisecond, 10*time.Minute)
	c.checkDuration("entry.idle_timeout", e.IdleTimeout, time.Second, time.Hour)
	c.checkDuration("entry.endpoint_ttl", e.EndpointTTL, 100*time.Millisecond, 5*time.Minute)
	c.checkNumber("entry.max_header_bytes", int64(e.MaxHeaderBytes), 1024, 1<<20)
	c.checkNumber("entry.max_requests", int64(e.MaxRequests), 1, 1_000_000)
}

func (c *validator) checkDiscovery(s *Settings) {
	d := s.Discovery
	if d == nil {
		return
	}
	c.checkNumber("discovery.tolerate", int64(d.Tolerate), 0, 4)
	c.checkDuration("discovery.server_cutoff", d.ServerCutoff, time.Second, time.Minute)
	c.checkDuration("discovery.leave_for", d.LeaveFor, 0, time.Minute)
	c.checkDuration("discovery.stop_after", d.StopAfter, time.Second, time.Hour)
	// The comparisons are written so that they are false for NaN.
	if !(d.RetryShare >= 0 && d.RetryShare <= 1) {
		c.addFault("discovery.retry_share", fmt.Sprintf("%v is out of range", d.RetryShare), "use 0 to 1")
	}
	if !(d.RetryFloor >= 0 && d.RetryFloor <= 10_000) {
		c.addFault("discovery.retry_floor", fmt.Sprintf("%v is out of range", d.RetryFloor), "use 0 to 10000")
	}
	if s.Entry != nil && s.Control != nil {
		c.addFault("discovery", "a host with discovery runs either a node or a control replica", "remove entry or control")
	}
}

func (c *validator) checkAdapter(s *Settings) {
	a := s.Adapter
	if a == nil {
		return
	}
	for field, address := range map[string]string{"adapter.control": a.Control, "adapter.directory": a.Directory, "adapter.ready": a.Ready} {
		if address != "" {
			c.checkListener(field, Listener{Address: address, Advertise: address})
		}
	}
	if s.Discovery == nil {
		c.addFault("adapter", "an adapter needs discovery", "set discovery, too")
	}
}

func (c *validator) checkControl(s *Settings) {
	if s.Control == nil {
		return
	}
	if s.DataFolder == "" {
		c.addFault("data_folder", "a control replica needs a data folder", "set it to a folder on a local disk")
	}
	c.checkDuration("control.record_retention", s.Control.RecordRetention, time.Minute, 720*time.Hour)
	c.checkNumber("control.segment_bytes", s.Control.SegmentBytes, 4096, 1<<30)
}

func (c *validator) checkReplicas(s *Settings) {
	if len(s.ControlReplicas) == 0 || len(s.ControlReplicas) > maxReplicas {
		c.addFault("control_replicas", fmt.Sprintf("%d replicas are listed", len(s.ControlReplicas)), "list 1 to 9, best 3 or 5 in different data centres")
	}
	ids := map[string]bool{}
	for i, r := range s.ControlReplicas {
		field := fmt.Sprintf("control_replicas[%d]", i)
		c.checkName(field+".id", r.ID)
		c.checkAddress(field+".address", r.Address)
		if ids[r.ID] {
			c.addFault(field+".id", fmt.Sprintf("%q is listed twice", r.ID), "give each replica its own id")
		}
		ids[r.ID] = true
	}
}

func (c *validator) checkListener(field string, l Listener) {
	if addr, ok := c.checkAddress(field+".address", l.Address); ok {
		if other := c.findOverlap(addr); other != "" {
			c.addFault(field+".address", fmt.Sprintf("%s is already used by %s", l.Address, other), "give each listener its own port")
		}
		c.listenerFields[addr] = field + ".address"
	}
	if l.Advertise == l.Address {
		if addr, err := netip.ParseAddrPort(l.Address); err == nil && addr.Addr().IsUnspecified() {
			c.addFault(field+".advertise", "others cannot connect to an unspecified address", "set advertise to the address of this host")
		}
		return
	}
	c.checkAddress(field+".advertise", l.Advertise)
}

// findOverlap returns the field whose listener collides with the address.
func (c *validator) findOverlap(addr netip.AddrPort) string {
	for other, field := range c.listenerFields {
		if other.Port() != addr.Port() {
			continue
		}
		if other.Addr() == addr.Addr() || other.Addr().IsUnspecified() || addr.Addr().IsUnspecified() {
			return field
		}
	}
	return ""
}

func (c *validator) checkAddress(field, text string) (netip.AddrPort, bool) {
	if text == "" {
		c.addFault(field, "it is missing", "set it to ip:port, such as 127.0.0.1:8101")
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		c.addFault(field, fmt.Sprintf("%q is not an address", text), "write an IP address and a port from 1 to 65535, such as 127.0.0.1:8101; host names are not resolved")
		return netip.AddrPort{}, false
	}
	if addr.Port() == 0 {
		c.addFault(field, "port 0 is out of range", "use a port from 1 to 65535")
		return netip.AddrPort{}, false
	}
	return addr, true
}

func (c *validator) checkDuration(field string, d Duration, low, high time.Duration) {
	if d.D() < low || d.D() > high {
		c.addFault(field, fmt.Sprintf("%s is out of range", d.D()), fmt.Sprintf("use %s to %s", low, high))
	}
}

func (c *validator) checkNumber(field string, n, low, high int64) {
	if n < low || n > high {
		c.addFault(field, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("use %d to %d", low, high))
	}
}
