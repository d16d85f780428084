package configuration

import (
	"fmt"
	"slices"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Validate returns nil if the change may follow the document, which must be in canonical
// order, or else the rejection. It is a pure function of its arguments, so every control
// replica gives the same verdict.
func Validate(d *configpb.Document, c *configpb.Change) *Rejection {
	switch k := c.GetKind().(type) {
	case *configpb.Change_PutDataCentre:
		return validatePutDataCentre(d, c, k.PutDataCentre)
	case *configpb.Change_PutHost:
		return validatePutHost(d, c, k.PutHost)
	case *configpb.Change_DeleteHost:
		return validateDeleteHost(d, c, k.DeleteHost)
	case *configpb.Change_PutService:
		return validatePutService(d, k.PutService)
	case *configpb.Change_DeleteService:
		return validateDeleteService(d, k.DeleteService)
	case *configpb.Change_PutRoute:
		return validatePutRoute(d, k.PutRoute)
	case *configpb.Change_DeleteRoute:
		return mustExist(d.GetRoutes(), routeKey, k.DeleteRoute, "delete_route", "route")
	case *configpb.Change_PutTeam:
		return validateTeam("put_team", k.PutTeam, d)
	case *configpb.Change_DeleteTeam:
		return mustExist(d.GetTeams(), teamKey, k.DeleteTeam, "delete_team", "team")
	case *configpb.Change_ReplaceAll:
		return validateReplaceAll(d, k.ReplaceAll.GetDocument())
	case *configpb.Change_Supersede:
		return validateSupersede(k.Supersede.GetDocument())
	default:
		return reject("change", "set one of the kinds of change", "it has no known kind")
	}
}

// ValidateDocument returns nil if the document is valid by itself, or else the first rejection.
func ValidateDocument(d *configpb.Document) *Rejection {
	return validateWhole(Canonical(d))
}

func mustExist[T any](items []T, key func(T) string, id, field, noun string) *Rejection {
	if _, ok := find(items, key, id); !ok {
		return reject(field, "check the name with: config get", "%s %q does not exist", noun, id)
	}
	return nil
}

func validatePutDataCentre(d *configpb.Document, c *configpb.Change, dc *configpb.DataCentre) *Rejection {
	if r := validateDataCentre("put_data_centre", dc); r != nil {
		return r
	}
	next, _ := change(d, c)
	return validateRegions(next)
}

func validatePutHost(d *configpb.Document, c *configpb.Change, h *configpb.Host) *Rejection {
	if r := validateHost("put_host", h, d); r != nil {
		return r
	}
	next, _ := change(d, c)
	if r := validateAddresses(next.GetHosts()); r != nil {
		return r
	}
	return validateServed(next)
}

func validateDeleteHost(d *configpb.Document, c *configpb.Change, id string) *Rejection {
	if r := mustExist(d.GetHosts(), hostKey, id, "delete_host", "host"); r != nil {
		return r
	}
	next, _ := change(d, c)
	return validateServed(next)
}

func validatePutService(d *configpb.Document, s *configpb.Service) *Rejection {
	if r := validateService("put_service", s, d); r != nil {
		return r
	}
	if r := validateSameDataCentres("put_service", d, s); r != nil {
		return r
	}
	if !servedBy(d.GetHosts(), s) {
		return notServed("put_service.data_centres", s)
	}
	return nil
}

func validateDeleteService(d *configpb.Document, name string) *Rejection {
	if r := mustExist(d.GetServices(), serviceKey, name, "delete_service", "service"); r != nil {
		return r
	}
	for _, route := range d.GetRoutes() {
		if uses(route, name) {
			return reject("delete_service", "delete the route or move it to another service first", "route %q uses service %q", route.GetId(), name)
		}
	}
	for _, team := range d.GetTeams() {
		for _, s := range team.GetServices() {
			if s == name {
				return reject("delete_service", "remove the service from the team first", "team %q lists service %q", team.GetId(), name)
			}
		}
	}
	return nil
}

// uses tells whether requests of the route go to the service.
func uses(r *configpb.Route, service string) bool {
	return r.GetService() == service ||
		slices.ContainsFunc(r.GetParts(), func(p *configpb.RoutePart) bool { return p.GetService() == service })
}

func validatePutRoute(d *configpb.Document, r *configpb.Route) *Rejection {
	if fault := validateRoute("put_route", r, d); fault != nil {
		return fault
	}
	for _, other := range d.GetRoutes() {
		if other.GetId() != r.GetId() && overlap(other, r) {
			return overlapping("put_route", r, other)
		}
	}
	return nil
}

func validateReplaceAll(current, asked *configpb.Document) *Rejection {
	if asked == nil {
		return reject("replace_all.document", "set the whole document", "it is missing")
	}
	next := Canonical(asked)
	if r := validateWhole(next); r != nil {
		return r
	}
	for i, s := range next.GetServices() {
		if r := validateSameDataCentres(fmt.Sprintf("services[%d]", i), current, s); r != nil {
			return r
		}
	}
	return nil
}

func validateSupersede(asked *configpb.Document) *Rejection {
	if asked.GetVersion() == 0 {
		return reject("supersede.document.version", "give each document a version above that of the one before", "it is missing")
	}
	return validateWhole(Canonical(asked))
}

// validateWhole checks a document in canonical order.
func validateWhole(d *configpb.Document) *Rejection {
	return firstRejection(
		func() *Rejection { return validateCounts(d) },
		func() *Rejection {
			return eachUnique("data_centres", d.GetDataCentres(), dataCentreKey, validateDataCentre)
		},
		func() *Rejection { return eachUnique("hosts", d.GetHosts(), hostKey, within(d, validateHost)) },
		func() *Rejection { return validateAddresses(d.GetHosts()) },
		func() *Rejection {
			return eachUnique("services", d.GetServices(), serviceKey, within(d, validateService))
		},
		func() *Rejection { return validateServed(d) },
		func() *Rejection { return eachUnique("routes", d.GetRoutes(), routeKey, within(d, validateRoute)) },
		func() *Rejection { return validateOverlaps(d.GetRoutes()) },
		func() *Rejection { return eachUnique("teams", d.GetTeams(), teamKey, within(d, validateTeam)) },
	)
}

func firstRejection(checks ...func() *Rejection) *Rejection {
	for _, check := range checks {
		if r := check(); r != nil {
			return r
		}
	}
	return nil
}

func within[T any](d *configpb.Document, check func(string, T, *configpb.Document) *Rejection) func(string, T) *Rejection {
	return func(field string, item T) *Rejection { return check(field, item, d) }
}

func eachUnique[T any](part string, items []T, key func(T) string, check func(string, T) *Rejection) *Rejection {
	for i, item := range items {
		// The field is written out only for a faulty item, of which there is one at most.
		if check(part, item) != nil {
			return check(fmt.Sprintf("%s[%q]", part, key(item)), item)
		}
		if i > 0 && key(items[i-1]) == key(item) {
			return reject(fmt.Sprintf("%s[%q]", part, key(item)), "remove one of the two", "it is listed twice")
		}
	}
	return nil
}
