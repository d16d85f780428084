package configuration

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// ErrOtherBase means that a difference does not start at the revision of the document.
var ErrOtherBase = errors.New("the difference starts at another revision; fetch the newest configuration again")

// Diff returns the difference between two documents in canonical order. It shares items with the next document,
// and omits the operator's text.
func Diff(base, next *configpb.Document) *configpb.Difference {
	d := &configpb.Difference{BaseRevision: base.GetRevision(), Changed: shallowCopy(WithoutSource(next))}
	d.Changed.DataCentres, d.RemovedDataCentres = diffSection(base.GetDataCentres(), next.GetDataCentres(), dataCentreKey)
	d.Changed.Hosts, d.RemovedHosts = diffSection(base.GetHosts(), next.GetHosts(), hostKey)
	d.Changed.Services, d.RemovedServices = diffSection(base.GetServices(), next.GetServices(), serviceKey)
	d.Changed.Routes, d.RemovedRoutes = diffSection(base.GetRoutes(), next.GetRoutes(), routeKey)
	d.Changed.Teams, d.RemovedTeams = diffSection(base.GetTeams(), next.GetTeams(), teamKey)
	return d
}

// Patch returns the document that the difference leads to. It shares unchanged items with the given one.
// Errors: ErrOtherBase.
func Patch(base *configpb.Document, d *configpb.Difference) (*configpb.Document, error) {
	if base.GetRevision() != d.GetBaseRevision() {
		return nil, errors.WithStack(ErrOtherBase)
	}
	next := shallowCopy(d.GetChanged())
	next.DataCentres = patchSection(base.GetDataCentres(), next.DataCentres, d.GetRemovedDataCentres(), dataCentreKey)
	next.Hosts = patchSection(base.GetHosts(), next.Hosts, d.GetRemovedHosts(), hostKey)
	next.Services = patchSection(base.GetServices(), next.Services, d.GetRemovedServices(), serviceKey)
	next.Routes = patchSection(base.GetRoutes(), next.Routes, d.GetRemovedRoutes(), routeKey)
	next.Teams = patchSection(base.GetTeams(), next.Teams, d.GetRemovedTeams(), teamKey)
	return next, nil
}

// diffSection returns the items that were added or changed, and the keys of those that were removed.
func diffSection[T interface {
	proto.Message
	comparable
}](base, next []T, key func(T) string) (changed []T, removed []string) {
	i := 0
	for _, item := range next {
		for i < len(base) && key(base[i]) < key(item) {
			removed = append(removed, key(base[i]))
			i++
		}
		if i < len(base) && key(base[i]) == key(item) {
			if base[i] != item && !proto.Equal(base[i], item) {
				changed = append(changed, item)
			}
			i++
			continue
		}
		changed = append(changed, item)
	}
	for ; i < len(base); i++ {
		removed = append(removed, key(base[i]))
	}
	return changed, removed
}

// patchSection merges the changed items into the others. Both lists are ordered by key.
func patchSection[T any](base, changed []T, removed []string, key func(T) string) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return base
	}
	merged := make([]T, 0, len(base)+len(changed))
	for _, item := range base {
		for len(changed) > 0 && key(changed[0]) < key(item) {
			merged, changed = append(merged, changed[0]), changed[1:]
		}
		if len(changed) > 0 && key(changed[0]) == key(item) {
			continue
		}
		if _, gone := slices.BinarySearchFunc(removed, key(item), strings.Compare); !gone {
			merged = append(merged, item)
		}
	}
	return append(merged, changed...)
}
