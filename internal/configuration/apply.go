package configuration

import (
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Errors of Apply.
var (
	// ErrOutOfSequence means that the entry's revision does not directly follow that of the document.
	ErrOutOfSequence = errors.New("the entry does not follow the revision of the document; fetch the entries between, or the whole document")
	// ErrUnknownChange means that this version of the program does not support the entry's kind of change.
	ErrUnknownChange = errors.New("the entry has a kind of change that this program does not know; upgrade this host")
)

// Apply returns the document after the entry. It is a pure function of its arguments. It does not
// modify the given document, but the result shares the unchanged sections with it. It does not
// validate the change: a decided entry was validated by the replica that proposed it.
// Errors: ErrOutOfSequence, ErrUnknownChange.
func Apply(d *configpb.Document, e *configpb.Entry) (*configpb.Document, error) {
	if e.GetRevision() != d.GetRevision()+1 {
		return nil, errors.WithStack(ErrOutOfSequence)
	}
	next, ok := applyChange(d, e.GetChange())
	if !ok {
		return nil, errors.WithStack(ErrUnknownChange)
	}
	next.Revision = e.GetRevision()
	if hostsDiffer(d.GetHosts(), next.GetHosts()) {
		next.PreviousHosts = d.GetHosts()
		next.HostsRevision = e.GetRevision()
	}
	return next, nil
}

// ChangesHosts reports whether the change would alter the document's hosts.
func ChangesHosts(d *configpb.Document, c *configpb.Change) bool {
	next, ok := applyChange(d, c)
	return ok && hostsDiffer(d.GetHosts(), next.GetHosts())
}

// applyChange returns a copy of the document with the change, at the same revision. It returns false if the
// kind of change is unknown.
func applyChange(d *configpb.Document, c *configpb.Change) (*configpb.Document, bool) {
	next := shallowCopy(d)
	switch k := c.GetKind().(type) {
	case *configpb.Change_PutDataCentre:
		next.DataCentres = put(d.GetDataCentres(), dataCentreKey, k.PutDataCentre)
	case *configpb.Change_PutHost:
		next.Hosts = put(d.GetHosts(), hostKey, k.PutHost)
	case *configpb.Change_DeleteHost:
		next.Hosts = remove(d.GetHosts(), hostKey, k.DeleteHost)
	case *configpb.Change_PutService:
		next.Services = put(d.GetServices(), serviceKey, canonicalService(k.PutService))
	case *configpb.Change_DeleteService:
		next.Services = remove(d.GetServices(), serviceKey, k.DeleteService)
	case *configpb.Change_PutRoute:
		next.Routes = put(d.GetRoutes(), routeKey, k.PutRoute)
	case *configpb.Change_DeleteRoute:
		next.Routes = remove(d.GetRoutes(), routeKey, k.DeleteRoute)
	case *configpb.Change_PutTeam:
		next.Teams = put(d.GetTeams(), teamKey, k.PutTeam)
	case *configpb.Change_DeleteTeam:
		next.Teams = remove(d.GetTeams(), teamKey, k.DeleteTeam)
	case *configpb.Change_ReplaceAll:
		next = shareUnchanged(d, Canonical(k.ReplaceAll.GetDocument()))
		next.Revision = d.GetRevision()
		next.PreviousHosts = d.GetPreviousHosts()
		next.HostsRevision = d.GetHostsRevision()
	case *configpb.Change_Supersede:
		return applySupersede(d, k.Supersede.GetDocument()), true
	case *configpb.Change_SetShards:
		next.Services = withShards(d.GetServices(), k.SetShards.GetService(), k.SetShards.GetShards())
	default:
		return nil, false
	}
	return next, true
}

// withShards returns the services, one of them with another number of shards.
func withShards(services []*configpb.Service, name string, shards uint32) []*configpb.Service {
	s, ok := find(services, serviceKey, name)
	if !ok {
		// A document without the service came into force while the change was proposed.
		return services
	}
	changed := proto.CloneOf(s)
	changed.Shards = shards
	return put(services, serviceKey, changed)
}

// applySupersede returns the document with the higher version, at the same revision. The version is a number
// that the operator gave to the document. If a document of an equal or higher version came into force while
// this one was proposed, nothing changes.
func applySupersede(d, requested *configpb.Document) *configpb.Document {
	if requested.GetVersion() <= d.GetVersion() {
		return shallowCopy(d)
	}
	next := shareUnchanged(d, Canonical(requested))
	next.Revision = d.GetRevision()
	next.PreviousHosts = d.GetPreviousHosts()
	next.HostsRevision = d.GetHostsRevision()
	for _, s := range d.GetServices() {
		if s.GetShards() > 0 {
			next.Services = withShards(next.Services, s.GetName(), s.GetShards())
		}
	}
	return next
}

func hostsDiffer(a, b []*configpb.Host) bool {
	return !slices.EqualFunc(a, b, func(x, y *configpb.Host) bool { return proto.Equal(x, y) })
}
