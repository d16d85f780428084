package configuration_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

func TestConfiguration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configuration")
}

func targets() []*configpb.PriorityTarget {
	return []*configpb.PriorityTarget{
		{Priority: configpb.Priority_PRIORITY_URGENT, TargetLatencyMs: 100, TargetShare: 0.99},
		{Priority: configpb.Priority_PRIORITY_NORMAL, TargetLatencyMs: 300, TargetShare: 0.95, MinimumShare: 0.2},
		{Priority: configpb.Priority_PRIORITY_BACKGROUND, TargetLatencyMs: 2000, TargetShare: 0.9, MinimumShare: 0.1},
	}
}

func service(name string, dataCentres ...string) *configpb.Service {
	return &configpb.Service{Name: name, DataCentres: dataCentres, MinimumHealthyPercent: 50, SlotLimit: 6, ConnectionLimit: 330, Priorities: targets()}
}

func host(id, dataCentre string, n int) *configpb.Host {
	return &configpb.Host{
		Id: id, DataCentre: dataCentre, Role: configpb.HostRole_HOST_ROLE_NODE,
		EntryAddress: fmt.Sprintf("10.0.0.%d:8000", n), FleetAddress: fmt.Sprintf("10.0.0.%d:8101", n),
	}
}

func route(id, hostName, path, service string, methods ...string) *configpb.Route {
	return &configpb.Route{Id: id, HostName: hostName, PathPrefix: path, Service: service, Methods: methods, Priority: configpb.Priority_PRIORITY_NORMAL, Idempotent: true}
}

// example returns a valid document in canonical order.
func example() *configpb.Document {
	return &configpb.Document{
		Revision:    7,
		DataCentres: []*configpb.DataCentre{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "far", Region: "s"}},
		Hosts:       []*configpb.Host{host("h1", "a", 1), host("h2", "b", 2)},
		Services:    []*configpb.Service{service("booking", "a", "b"), service("catalogue", "a")},
		Routes:      []*configpb.Route{route("r1", "", "/orders", "booking"), route("r2", "shop.example", "/orders", "catalogue", "GET")},
		Teams:       []*configpb.Team{{Id: "archive", Services: []string{"catalogue"}}, {Id: "default", InFlightQuota: 9}},
	}
}

func putChange(item any) *configpb.Change {
	switch v := item.(type) {
	case *configpb.DataCentre:
		return &configpb.Change{Kind: &configpb.Change_PutDataCentre{PutDataCentre: v}}
	case *configpb.Host:
		return &configpb.Change{Kind: &configpb.Change_PutHost{PutHost: v}}
	case *configpb.Service:
		return &configpb.Change{Kind: &configpb.Change_PutService{PutService: v}}
	case *configpb.Route:
		return &configpb.Change{Kind: &configpb.Change_PutRoute{PutRoute: v}}
	case *configpb.Team:
		return &configpb.Change{Kind: &configpb.Change_PutTeam{PutTeam: v}}
	default:
		return &configpb.Change{Kind: &configpb.Change_ReplaceAll{ReplaceAll: &configpb.ReplaceAll{Document: item.(*configpb.Document)}}}
	}
}

func deleteChange(kind, id string) *configpb.Change {
	switch kind {
	case "host":
		return &configpb.Change{Kind: &configpb.Change_DeleteHost{DeleteHost: id}}
	case "service":
		return &configpb.Change{Kind: &configpb.Change_DeleteService{DeleteService: id}}
	case "route":
		return &configpb.Change{Kind: &configpb.Change_DeleteRoute{DeleteRoute: id}}
	default:
		return &configpb.Change{Kind: &configpb.Change_DeleteTeam{DeleteTeam: id}}
	}
}
