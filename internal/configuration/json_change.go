package configuration

import (
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// changeForm is the JSON form of a change; exactly one member is set.
type changeForm struct {
	PutDataCentre *dataCentreForm `json:"put_data_centre,omitempty"`
	PutHost       *hostForm       `json:"put_host,omitempty"`
	DeleteHost    *string         `json:"delete_host,omitempty"`
	PutService    *serviceForm    `json:"put_service,omitempty"`
	DeleteService *string         `json:"delete_service,omitempty"`
	PutRoute      *routeForm      `json:"put_route,omitempty"`
	DeleteRoute   *string         `json:"delete_route,omitempty"`
	PutTeam       *teamForm       `json:"put_team,omitempty"`
	DeleteTeam    *string         `json:"delete_team,omitempty"`
	ReplaceAll    *documentForm   `json:"replace_all,omitempty"`
}

func (f changeForm) proto() (*configpb.Change, *Rejection) {
	if n := f.memberCount(); n != 1 {
		return nil, reject("change", `set exactly one member, such as "put_team"`, "it has %d members", n)
	}
	c := &configpb.Change{}
	return c, f.setKind(c)
}

func (f changeForm) memberCount() int {
	n := 0
	for _, set := range []bool{
		f.PutDataCentre != nil, f.PutHost != nil, f.DeleteHost != nil, f.PutService != nil, f.DeleteService != nil,
		f.PutRoute != nil, f.DeleteRoute != nil, f.PutTeam != nil, f.DeleteTeam != nil, f.ReplaceAll != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func (f changeForm) setKind(c *configpb.Change) *Rejection {
	switch {
	case f.PutDataCentre != nil:
		v, rejection := f.PutDataCentre.proto("put_data_centre")
		c.Kind = &configpb.Change_PutDataCentre{PutDataCentre: v}
		return rejection
	case f.PutHost != nil:
		v, rejection := f.PutHost.proto("put_host")
		c.Kind = &configpb.Change_PutHost{PutHost: v}
		return rejection
	case f.PutService != nil:
		v, rejection := f.PutService.proto("put_service")
		c.Kind = &configpb.Change_PutService{PutService: v}
		return rejection
	case f.PutRoute != nil:
		v, rejection := f.PutRoute.proto("put_route")
		c.Kind = &configpb.Change_PutRoute{PutRoute: v}
		return rejection
	case f.PutTeam != nil:
		v, rejection := f.PutTeam.proto("put_team")
		c.Kind = &configpb.Change_PutTeam{PutTeam: v}
		return rejection
	case f.ReplaceAll != nil:
		v, rejection := f.ReplaceAll.proto()
		c.Kind = &configpb.Change_ReplaceAll{ReplaceAll: &configpb.ReplaceAll{Document: v}}
		return rejection
	default:
		f.setDeleteKind(c)
		return nil
	}
}

func (f changeForm) setDeleteKind(c *configpb.Change) {
	switch {
	case f.DeleteHost != nil:
		c.Kind = &configpb.Change_DeleteHost{DeleteHost: *f.DeleteHost}
	case f.DeleteService != nil:
		c.Kind = &configpb.Change_DeleteService{DeleteService: *f.DeleteService}
	case f.DeleteRoute != nil:
		c.Kind = &configpb.Change_DeleteRoute{DeleteRoute: *f.DeleteRoute}
	case f.DeleteTeam != nil:
		c.Kind = &configpb.Change_DeleteTeam{DeleteTeam: *f.DeleteTeam}
	}
}

func changeFormOf(c *configpb.Change) changeForm {
	switch k := c.GetKind().(type) {
	case *configpb.Change_PutDataCentre:
		v := dataCentreFormOf(k.PutDataCentre)
		return changeForm{PutDataCentre: &v}
	case *configpb.Change_PutHost:
		v := hostFormOf(k.PutHost)
		return changeForm{PutHost: &v}
	case *configpb.Change_DeleteHost:
		return changeForm{DeleteHost: &k.DeleteHost}
	case *configpb.Change_PutService:
		v := serviceFormOf(k.PutService)
		return changeForm{PutService: &v}
	case *configpb.Change_DeleteService:
		return changeForm{DeleteService: &k.DeleteService}
	case *configpb.Change_PutRoute:
		v := routeFormOf(k.PutRoute)
		return changeForm{PutRoute: &v}
	case *configpb.Change_DeleteRoute:
		return changeForm{DeleteRoute: &k.DeleteRoute}
	case *configpb.Change_PutTeam:
		v := teamFormOf(k.PutTeam)
		return changeForm{PutTeam: &v}
	case *configpb.Change_DeleteTeam:
		return changeForm{DeleteTeam: &k.DeleteTeam}
	case *configpb.Change_ReplaceAll:
		v := documentFormOf(k.ReplaceAll.GetDocument())
		return changeForm{ReplaceAll: &v}
	default:
		return changeForm{}
	}
}
