package configuration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// maxRouteAttempts bounds the number of backend servers that one request may be sent to.
const maxRouteAttempts = 100

func validateRoute(field string, r *configpb.Route, d *configpb.Document) *Rejection {
	return firstRejection(
		func() *Rejection { return validateName(field+".id", r.GetId(), maxNameBytes) },
		func() *Rejection { return validateHostName(field+".host_name", r.GetHostName()) },
		func() *Rejection { return validatePath(field+".path_prefix", r.GetPathPrefix()) },
		func() *Rejection { return validateMethods(field+".methods", r.GetMethods()) },
		func() *Rejection { return validateRouteTarget(field, r, d) },
		func() *Rejection { return validateRouteLimits(field, r) },
	)
}

func validateRouteTarget(field string, r *configpb.Route, d *configpb.Document) *Rejection {
	if rejection := validateRouteServices(field, r, d); rejection != nil {
		return rejection
	}
	if r.GetPriority() < configpb.Priority_PRIORITY_URGENT || r.GetPriority() > configpb.Priority_PRIORITY_BACKGROUND {
		return reject(field+".priority", "use urgent, normal or background", "it is missing or unknown")
	}
	return nil
}

// validateRouteServices checks the service of a route, or the services between which it is split.
func validateRouteServices(field string, r *configpb.Route, d *configpb.Document) *Rejection {
	parts := r.GetParts()
	if len(parts) == 0 {
		return validateRouteService(field+".service", r.GetService(), d)
	}
	if r.GetService() != "" {
		return reject(field+".service", "set either service or parts", "both are set")
	}
	total := uint64(0)
	for i, part := range parts {
		partField := fmt.Sprintf("%s.parts[%d]", field, i)
		if rejection := validateRouteService(partField+".service", part.GetService(), d); rejection != nil {
			return rejection
		}
		total += uint64(part.GetWeight())
	}
	if total == 0 {
		return reject(field+".parts", "give one part a weight above 0", "no part has a weight")
	}
	return nil
}

func validateRouteService(field, name string, d *configpb.Document) *Rejection {
	if _, ok := find(d.GetServices(), serviceKey, name); !ok {
		return reject(field, "put the service first", "service %q does not exist", name)
	}
	return nil
}

func validateRouteLimits(field string, r *configpb.Route) *Rejection {
	maxBody := int64(maxBodyBytes)
	if !r.GetIdempotent() && !r.GetKeyless() {
		// The body of a request that must not be repeated is buffered in memory to compute its fingerprint.
		maxBody = maxBufferedBodyBytes
	}
	if rejection := validateRange(field+".body_limit_bytes", r.GetBodyLimitBytes(), 0, maxBody); rejection != nil {
		return rejection
	}
	for _, limit := range []struct {
		name string
		ms   int64
	}{
		{".default_deadline_ms", r.GetDefaultDeadlineMs()},
		{".timeout_ms", r.GetTimeoutMs()},
		{".target_latency_ms", r.GetTargetLatencyMs()},
	} {
		if rejection := validateRange(field+limit.name, limit.ms, 0, maxDeadlineMS); rejection != nil {
			return rejection
		}
	}
	return validateRange(field+".max_attempts", int64(r.GetMaxAttempts()), 0, maxRouteAttempts)
}

func validateHostName(field, name string) *Rejection {
	if name == "" {
		return nil
	}
	if len(name) > maxHostNameBytes || !hostNamePattern.MatchString(name) {
		return reject(field, "write a lower-case host name without a port, or leave it empty for every name", "%.140q is not a valid host name", name)
	}
	return nil
}

func validatePath(field, path string) *Rejection {
	const remedy = `write an absolute path: "/orders" for that path and all below it, "/orders/" for those below it only, or "/"`
	if path == "/" {
		return nil
	}
	if len(path) > maxPathBytes || !strings.HasPrefix(path, "/") {
		return reject(field, remedy, "%.140q is not a valid path prefix", path)
	}
	for _, segment := range strings.Split(strings.TrimSuffix(path[1:], "/"), "/") {
		if segment == "" || segment == "." || segment == ".." || strings.ContainsAny(segment, "?#%*\x00 ") {
			return reject(field, remedy, "%.140q has the invalid segment %.80q", path, segment)
		}
	}
	return nil
}

func validateMethods(field string, methods []string) *Rejection {
	if len(methods) > maxMethodsPerRoute {
		return reject(field, "leave it empty for every method", "it lists %d methods", len(methods))
	}
	for i, m := range methods {
		if !methodPattern.MatchString(m) || len(m) > maxNameBytes {
			return reject(field, "write upper-case methods, such as GET", "%.80q is not a valid method", m)
		}
		if slices.Index(methods, m) != i {
			return reject(field, "remove one of the two", "method %s is listed twice", m)
		}
	}
	return nil
}

// overlaps reports whether two routes match the same request with the same precedence.
func overlaps(a, b *configpb.Route) bool {
	if a.GetHostName() != b.GetHostName() || a.GetPathPrefix() != b.GetPathPrefix() {
		return false
	}
	if len(a.GetMethods()) == 0 || len(b.GetMethods()) == 0 {
		return len(a.GetMethods()) == len(b.GetMethods())
	}
	return slices.ContainsFunc(a.GetMethods(), func(m string) bool { return slices.Contains(b.GetMethods(), m) })
}

func overlapRejection(field string, r, other *configpb.Route) *Rejection {
	return reject(field, "change host name, path prefix or methods of one of them", "route %q matches the same requests as route %q", r.GetId(), other.GetId())
}

// routeScope identifies where a route applies. Only routes with the same scope can overlap.
type routeScope struct {
	hostName, path string
}

func validateOverlaps(routes []*configpb.Route) *Rejection {
	byScope := make(map[routeScope][]*configpb.Route, len(routes))
	for _, r := range routes {
		scope := routeScope{r.GetHostName(), r.GetPathPrefix()}
		for _, other := range byScope[scope] {
			if overlaps(r, other) {
				return overlapRejection("routes", r, other)
			}
		}
		byScope[scope] = append(byScope[scope], r)
	}
	return nil
}
