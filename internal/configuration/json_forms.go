package configuration

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// documentForm is the JSON form of a document. Revision, HostsRevision and PreviousHosts are maintained
// by the system: they are written, but ignored when the document replaces another one.
type documentForm struct {
	Revision      uint64           `json:"revision,omitempty"`
	HostsRevision uint64           `json:"hosts_revision,omitempty"`
	DataCentres   []dataCentreForm `json:"data_centres"`
	Hosts         []hostForm       `json:"hosts"`
	Services      []serviceForm    `json:"services"`
	Routes        []routeForm      `json:"routes"`
	Teams         []teamForm       `json:"teams"`
	RequiresKeys  bool             `json:"requires_keys,omitempty"`
	PreviousHosts []hostForm       `json:"previous_hosts,omitempty"`
}

type dataCentreForm struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

type hostForm struct {
	ID           string `json:"id"`
	DataCentre   string `json:"data_centre"`
	EntryAddress string `json:"entry_address,omitempty"`
	FleetAddress string `json:"fleet_address"`
	Role         string `json:"role"`
}

type serviceForm struct {
	Name                  string          `json:"name"`
	DataCentres           []string        `json:"data_centres"`
	MinimumHealthySlots   uint32          `json:"minimum_healthy_slots,omitempty"`
	MinimumHealthyPercent uint32          `json:"minimum_healthy_percent,omitempty"`
	SlotLimit             uint32          `json:"slot_limit"`
	ConnectionLimit       uint32          `json:"connection_limit"`
	Priorities            *prioritiesForm `json:"priorities"`
}

// prioritiesForm has one member per priority, the most urgent first.
type prioritiesForm struct {
	Urgent     *targetForm `json:"urgent"`
	Normal     *targetForm `json:"normal"`
	Background *targetForm `json:"background"`
}

type targetForm struct {
	TargetLatencyMS int64   `json:"target_latency_ms"`
	TargetShare     float64 `json:"target_share"`
	MinimumShare    float64 `json:"minimum_share,omitempty"`
}

type routeForm struct {
	ID                string   `json:"id"`
	HostName          string   `json:"host_name,omitempty"`
	PathPrefix        string   `json:"path_prefix"`
	Methods           []string `json:"methods,omitempty"`
	Service           string   `json:"service"`
	Priority          string   `json:"priority"`
	Idempotent        *bool    `json:"idempotent"`
	BodyLimitBytes    int64    `json:"body_limit_bytes,omitempty"`
	DefaultDeadlineMS int64    `json:"default_deadline_ms,omitempty"`
	Public            bool     `json:"public,omitempty"`
}

type teamForm struct {
	ID            string   `json:"id"`
	Weight        uint32   `json:"weight,omitempty"`
	InFlightQuota uint32   `json:"in_flight_quota,omitempty"`
	Services      []string `json:"services,omitempty"`
	// KeyDigests are the first 16 bytes of the SHA-256 of each key, in hexadecimal.
	KeyDigests []string `json:"key_digests,omitempty"`
	Priority   string   `json:"priority,omitempty"`
	// RateLimit is in requests per second, Burst in requests.
	RateLimit float64 `json:"rate_limit,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
}

var roleNames = map[configpb.HostRole]string{
	configpb.HostRole_HOST_ROLE_NODE:             "node",
	configpb.HostRole_HOST_ROLE_CONTROL:          "control",
	configpb.HostRole_HOST_ROLE_NODE_AND_CONTROL: "node-and-control",
}

func (f documentForm) proto() (*configpb.Document, *Rejection) {
	d := &configpb.Document{Revision: f.Revision, HostsRevision: f.HostsRevision, RequiresKeys: f.RequiresKeys}
	var rejection *Rejection
	if d.DataCentres, rejection = fromForms("data_centres", f.DataCentres, dataCentreForm.proto); rejection != nil {
		return nil, rejection
	}
	if d.Hosts, rejection = fromForms("hosts", f.Hosts, hostForm.proto); rejection != nil {
		return nil, rejection
	}
	if d.Services, rejection = fromForms("services", f.Services, serviceForm.proto); rejection != nil {
		return nil, rejection
	}
	if d.Routes, rejection = fromForms("routes", f.Routes, routeForm.proto); rejection != nil {
		return nil, rejection
	}
	if d.Teams, rejection = fromForms("teams", f.Teams, teamForm.proto); rejection != nil {
		return nil, rejection
	}
	d.PreviousHosts, rejection = fromForms("previous_hosts", f.PreviousHosts, hostForm.proto)
	return d, rejection
}

func documentFormOf(d *configpb.Document) documentForm {
	return documentForm{
		Revision:      d.GetRevision(),
		HostsRevision: d.GetHostsRevision(),
		DataCentres:   toForms(d.GetDataCentres(), dataCentreFormOf),
		Hosts:         toForms(d.GetHosts(), hostFormOf),
		Services:      toForms(d.GetServices(), serviceFormOf),
		Routes:        toForms(d.GetRoutes(), routeFormOf),
		Teams:         toForms(d.GetTeams(), teamFormOf),
		RequiresKeys:  d.GetRequiresKeys(),
		PreviousHosts: toForms(d.GetPreviousHosts(), hostFormOf),
	}
}

func (f dataCentreForm) proto(string) (*configpb.DataCentre, *Rejection) {
	return &configpb.DataCentre{Name: f.Name, Region: f.Region}, nil
}

func dataCentreFormOf(d *configpb.DataCentre) dataCentreForm {
	return dataCentreForm{Name: d.GetName(), Region: d.GetRegion()}
}

func (f hostForm) proto(field string) (*configpb.Host, *Rejection) {
	h := &configpb.Host{Id: f.ID, DataCentre: f.DataCentre, EntryAddress: f.EntryAddress, FleetAddress: f.FleetAddress}
	for role, name := range roleNames {
		if name == f.Role {
			h.Role = role
			return h, nil
		}
	}
	return nil, reject(field+".role", "use node, control or node-and-control", "unknown role %q", f.Role)
}

func hostFormOf(h *configpb.Host) hostForm {
	return hostForm{ID: h.GetId(), DataCentre: h.GetDataCentre(), EntryAddress: h.GetEntryAddress(), FleetAddress: h.GetFleetAddress(), Role: roleNames[h.GetRole()]}
}

func (f serviceForm) proto(field string) (*configpb.Service, *Rejection) {
	if f.Priorities == nil {
		return nil, reject(field+".priorities", "set urgent, normal and background", "it is missing")
	}
	targets, rejection := f.Priorities.proto(field + ".priorities")
	if rejection != nil {
		return nil, rejection
	}
	return &configpb.Service{
		Name:                  f.Name,
		DataCentres:           f.DataCentres,
		MinimumHealthySlots:   f.MinimumHealthySlots,
		MinimumHealthyPercent: f.MinimumHealthyPercent,
		SlotLimit:             f.SlotLimit,
		ConnectionLimit:       f.ConnectionLimit,
		Priorities:            targets,
	}, nil
}

func serviceFormOf(s *configpb.Service) serviceForm {
	return serviceForm{
		Name:                  s.GetName(),
		DataCentres:           s.GetDataCentres(),
		MinimumHealthySlots:   s.GetMinimumHealthySlots(),
		MinimumHealthyPercent: s.GetMinimumHealthyPercent(),
		SlotLimit:             s.GetSlotLimit(),
		ConnectionLimit:       s.GetConnectionLimit(),
		Priorities:            prioritiesFormOf(s.GetPriorities()),
	}
}

func (f prioritiesForm) members() [priority.Count]*targetForm {
	return [priority.Count]*targetForm{f.Urgent, f.Normal, f.Background}
}

func (f prioritiesForm) proto(field string) ([]*configpb.PriorityTarget, *Rejection) {
	var targets []*configpb.PriorityTarget
	for p, t := range f.members() {
		name := priority.Priority(p)
		if t == nil {
			return nil, reject(field+"."+name.String(), "set its target_latency_ms and target_share", "it is missing")
		}
		targets = append(targets, &configpb.PriorityTarget{
			Priority:        name.Proto(),
			TargetLatencyMs: t.TargetLatencyMS,
			TargetShare:     t.TargetShare,
			MinimumShare:    t.MinimumShare,
		})
	}
	return targets, nil
}

func prioritiesFormOf(targets []*configpb.PriorityTarget) *prioritiesForm {
	f := &prioritiesForm{}
	for _, t := range targets {
		form := &targetForm{TargetLatencyMS: t.GetTargetLatencyMs(), TargetShare: t.GetTargetShare(), MinimumShare: t.GetMinimumShare()}
		switch t.GetPriority() {
		case configpb.Priority_PRIORITY_URGENT:
			f.Urgent = form
		case configpb.Priority_PRIORITY_NORMAL:
			f.Normal = form
		case configpb.Priority_PRIORITY_BACKGROUND:
			f.Background = form
		}
	}
	return f
}

func (f routeForm) proto(field string) (*configpb.Route, *Rejection) {
	p, err := priority.Parse(f.Priority)
	if err != nil {
		return nil, reject(field+".priority", "use urgent, normal or background", "unknown priority %q", f.Priority)
	}
	if f.Idempotent == nil {
		return nil, reject(field+".idempotent", "set it to false if the work must run at most once, else to true", "it is missing")
	}
	return &configpb.Route{
		Id:                f.ID,
		HostName:          strings.ToLower(f.HostName),
		PathPrefix:        f.PathPrefix,
		Methods:           f.Methods,
		Service:           f.Service,
		Priority:          p.Proto(),
		Idempotent:        *f.Idempotent,
		BodyLimitBytes:    f.BodyLimitBytes,
		DefaultDeadlineMs: f.DefaultDeadlineMS,
		Public:            f.Public,
	}, nil
}

func routeFormOf(r *configpb.Route) routeForm {
	idempotent := r.GetIdempotent()
	return routeForm{
		ID:                r.GetId(),
		HostName:          r.GetHostName(),
		PathPrefix:        r.GetPathPrefix(),
		Methods:           r.GetMethods(),
		Service:           r.GetService(),
		Priority:          priority.FromProto(r.GetPriority()).String(),
		Idempotent:        &idempotent,
		BodyLimitBytes:    r.GetBodyLimitBytes(),
		DefaultDeadlineMS: r.GetDefaultDeadlineMs(),
		Public:            r.GetPublic(),
	}
}

func (f teamForm) proto(field string) (*configpb.Team, *Rejection) {
	t := &configpb.Team{
		Id: f.ID, Weight: f.Weight, InFlightQuota: f.InFlightQuota, Services: f.Services, RateLimit: f.RateLimit, Burst: f.Burst,
	}
	if f.Priority != "" {
		p, err := priority.Parse(f.Priority)
		if err != nil {
			return nil, reject(field+".priority", "use urgent, normal or background, or leave it out", "unknown priority %q", f.Priority)
		}
		t.Priority = p.Proto()
	}
	for i, text := range f.KeyDigests {
		digest, err := hex.DecodeString(text)
		if err != nil {
			// The text may be a key that was written in place of its digest, so the reason does not repeat it.
			return nil, reject(fmt.Sprintf("%s.key_digests[%d]", field, i), "write the first 16 bytes of the SHA-256 of the key in hexadecimal", "it is not hexadecimal")
		}
		t.KeyDigests = append(t.KeyDigests, digest)
	}
	return t, nil
}

func teamFormOf(t *configpb.Team) teamForm {
	f := teamForm{
		ID: t.GetId(), Weight: t.GetWeight(), InFlightQuota: t.GetInFlightQuota(), Services: t.GetServices(),
		RateLimit: t.GetRateLimit(), Burst: t.GetBurst(),
	}
	if t.GetPriority() != configpb.Priority_PRIORITY_UNSPECIFIED {
		f.Priority = priority.FromProto(t.GetPriority()).String()
	}
	for _, digest := range t.GetKeyDigests() {
		f.KeyDigests = append(f.KeyDigests, hex.EncodeToString(digest))
	}
	return f
}
