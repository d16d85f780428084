package configuration

import (
	"fmt"
	"slices"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Validate returns nil if the change may be applied to the document, which must be in canonical order,
// or otherwise the rejection. It is a pure function of its arguments, so every control replica gives
// the same verdict.
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
		return requireExists(d.GetRoutes(), routeKey, k.DeleteRoute, "delete_route", "route")
	case *configpb.Change_PutTeam:
		return validatePutTeam(d, k.PutTeam)
	case *configpb.Change_DeleteTeam:
		return requireExists(d.GetTeams(), teamKey, k.DeleteTeam, "delete_team", "team")
	case *configpb.Change_ReplaceAll:
		return validateReplaceAll(d, k.ReplaceAll.GetDocument())
	case *configpb.Change_Supersede:
		return validateSupersede(k.Supersede.GetDocument())
	case *configpb.Change_SetShards:
		return validateSetShards(d, k.SetShards)
	default:
		return reject("change", "set one of the kinds of change", "it has no known kind")
	}
}

// ValidateDocument returns nil if the document is valid by itself, or otherwise the first rejection.
func ValidateDocument(d *configpb.Document) *Rejection {
	return validateCanonical(Canonical(d))
}

func requireExists[T any](items []T, key func(T) string, id, field, kind string) *Rejection {
	if _, ok := find(items, key, id); !ok {
		return reject(field, "check the name with: config get", "%s %q does not exist", kind, id)
	}
	return nil
}

// validateSetShards allows shards only in documents whose hosts are discovered: nodes of a host list belong
// to the host set of a service as a whole.
func validateSetShards(d *configpb.Document, c *configpb.SetShards) *Rejection {
	if r := requireExists(d.GetServices(), serviceKey, c.GetService(), "set_shards.service", "service"); r != nil {
		return r
	}
	if d.GetVersion() == 0 {
		return reject("set_shards", "use host discovery", "the document lists its hosts")
	}
	return validateRange("set_shards.shards", int64(c.GetShards()), 1, maxShards)
}

func validatePutDataCentre(d *configpb.Document, c *configpb.Change, dc *configpb.DataCentre) *Rejection {
	if r := validateDataCentre("put_data_centre", dc); r != nil {
		return r
	}
	next, _ := applyChange(d, c)
	return validateRegions(next)
}

func validatePutHost(d *configpb.Document, c *configpb.Change, h *configpb.Host) *Rejection {
	if r := validateHost("put_host", h, d); r != nil {
		return r
	}
	next, _ := applyChange(d, c)
	if r := validateAddresses(next.GetHosts()); r != nil {
		return r
	}
	return validateNodes(next)
}

func validateDeleteHost(d *configpb.Document, c *configpb.Change, id string) *Rejection {
	if r := requireExists(d.GetHosts(), hostKey, id, "delete_host", "host"); r != nil {
		return r
	}
	next, _ := applyChange(d, c)
	return validateNodes(next)
}

func validatePutService(d *configpb.Document, s *configpb.Service) *Rejection {
	if r := validateService("put_service", s, d); r != nil {
		return r
	}
	if r := validateSameDataCentres("put_service", d, s); r != nil {
		return r
	}
	if !hasNode(d.GetHosts(), s) {
		return noNodeRejection("put_service.data_centres", s)
	}
	return nil
}

func validateDeleteService(d *configpb.Document, name string) *Rejection {
	if r := requireExists(d.GetServices(), serviceKey, name, "delete_service", "service"); r != nil {
		return r
	}
	for _, route := range d.GetRoutes() {
		if routesTo(route, name) {
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

// routesTo reports whether the route sends requests to the service.
func routesTo(r *configpb.Route, service string) bool {
	return r.GetService() == service ||
		slices.ContainsFunc(r.GetParts(), func(p *configpb.RoutePart) bool { return p.GetService() == service })
}

func validatePutRoute(d *configpb.Document, r *configpb.Route) *Rejection {
	if rejection := validateRoute("put_route", r, d); rejection != nil {
		return rejection
	}
	for _, other := range d.GetRoutes() {
		if other.GetId() != r.GetId() && overlaps(other, r) {
			return overlapRejection("put_route", r, other)
		}
	}
	return nil
}

func validateReplaceAll(current, requested *configpb.Document) *Rejection {
	if requested == nil {
		return reject("replace_all.document", "set the whole document", "it is missing")
	}
	next := Canonical(requested)
	if r := validateCanonical(next); r != nil {
		return r
	}
	for i, s := range next.GetServices() {
		if r := validateSameDataCentres(fmt.Sprintf("services[%d]", i), current, s); r != nil {
			return r
		}
	}
	return nil
}

func validateSupersede(requested *configpb.Document) *Rejection {
	if requested.GetVersion() == 0 {
		return reject("supersede.document.version", "give each document a version above that of the one before", "it is missing")
	}
	return validateCanonical(Canonical(requested))
}

// validateCanonical checks a document in canonical order.
func validateCanonical(d *configpb.Document) *Rejection {
	return firstRejection(
		func() *Rejection { return validateCounts(d) },
		func() *Rejection {
			return validateUniqueItems("data_centres", d.GetDataCentres(), dataCentreKey, validateDataCentre)
		},
		func() *Rejection {
			return validateUniqueItems("hosts", d.GetHosts(), hostKey, withDocument(d, validateHost))
		},
		func() *Rejection { return validateAddresses(d.GetHosts()) },
		func() *Rejection {
			return validateUniqueItems("services", d.GetServices(), serviceKey, withDocument(d, validateService))
		},
		func() *Rejection { return validateNodes(d) },
		func() *Rejection {
			return validateUniqueItems("routes", d.GetRoutes(), routeKey, withDocument(d, validateRoute))
		},
		func() *Rejection { return validateOverlaps(d.GetRoutes()) },
		func() *Rejection {
			return validateUniqueItems("teams", d.GetTeams(), teamKey, withDocument(d, validateTeam))
		},
		func() *Rejection { return validateKeyOwners(d.GetTeams()) },
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

// withDocument returns a check of one item that passes the document to the given check.
func withDocument[T any](d *configpb.Document, check func(string, T, *configpb.Document) *Rejection) func(string, T) *Rejection {
	return func(field string, item T) *Rejection { return check(field, item, d) }
}

func validateUniqueItems[T any](section string, items []T, key func(T) string, check func(string, T) *Rejection) *Rejection {
	for i, item := range items {
		// The field is formatted only for an invalid item, of which there is at most one, since formatting
		// it for every item is slow.
		if check(section, item) != nil {
			return check(fmt.Sprintf("%s[%q]", section, key(item)), item)
		}
		if i > 0 && key(items[i-1]) == key(item) {
			return reject(fmt.Sprintf("%s[%q]", section, key(item)), "remove one of the two", "it is listed twice")
		}
	}
	return nil
}
