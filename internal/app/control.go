package app

import (
	"context"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/tarragonmux/tarragonmux/internal/admin"
	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/configuration/control"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/internal/records"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// replicaReportInterval is how often the readiness is updated from the state of the replica.
const replicaReportInterval = 200 * time.Millisecond

// controlComponents are the components of a control replica that benchmarks and tests inspect.
type controlComponents struct {
	Replica *agreement.Replica
	Log     *control.Log
}

func controlModule() fx.Option {
	return fx.Options(
		fx.Provide(newReplica, newConfigurationLog, newControlComponents),
		fx.Invoke(registerControl, reportReplica),
	)
}

// controlOnlyModule provides what a control replica without a node needs in addition.
func controlOnlyModule() fx.Option {
	return fx.Options(
		fx.Provide(
			func(l *logHolder) hostset.Source { return &fleetSource{document: l.document} },
			func() *logHolder { return &logHolder{} },
			func() revisionListener { return func(string, uint64) {} },
		),
		fx.Invoke(registerControlOnly, serveFleet),
	)
}

// logHolder breaks the cycle between the membership, which reads the hosts from the configuration log, and
// the log, which reads the statuses of the hosts from the membership.
type logHolder struct {
	log *control.Log
}

func (h *logHolder) document() *configpb.Document {
	if h.log == nil {
		return nil
	}
	return h.log.Document()
}

func newReplica(lc fx.Lifecycle, b *background, discovery memberDiscovery, s *settings.Settings, pool *transport.Pool, logger *log.Logger) (*agreement.Replica, error) {
	retention := records.Retention{Period: s.Control.RecordRetention.D()}
	replica, err := agreement.NewReplica(agreement.ReplicaConfig{
		ID:           s.ID,
		Address:      s.Fleet.Advertise,
		FS:           storage.NewFS(),
		Folder:       filepath.Join(s.DataFolder, "replica"),
		FirstGroup:   groupMembers(s),
		Discover:     discoverMembers(discovery),
		Join:         s.Discovery != nil && s.Discovery.Join,
		Client:       agreement.NewTransportClient(pool),
		Logger:       logger.WithPrefix("agreement"),
		SegmentBytes: s.Control.SegmentBytes,
		Retain: func(key string, value []byte, decided bool) bool {
			return retention.Retain(key, value, decided, time.Now())
		},
	})
	if err != nil {
		return nil, errors.Wrapf(err, "open the replica's files in %s; check the disk and the folder's permissions", s.DataFolder)
	}
	startComponent(lc, b, "agreement", replica.Run)
	return replica, nil
}

// discoverMembers returns a function that lists the control replicas of the settings in force and the members
// known from gossip. It returns nil without host discovery.
func discoverMembers(discovery memberDiscovery) func() []agreement.Member {
	if discovery.Live == nil {
		return nil
	}
	return func() []agreement.Member {
		var members []agreement.Member
		for _, r := range discovery.Live.Replicas() {
			members = append(members, agreement.Member{ID: r.ID, Address: r.Address})
		}
		for _, m := range discovery.Gossip.members() {
			members = append(members, agreement.Member{ID: m.ID, Address: m.FleetAddress})
		}
		return members
	}
}

func newConfigurationLog(lc fx.Lifecycle, b *background, s *settings.Settings, replica *agreement.Replica, m *membership.Runner, pool *transport.Pool, logger *log.Logger) *control.Log {
	proposer := agreement.NewProposer(agreement.ProposerConfig{
		ID:         s.ID,
		FirstGroup: groupMembers(s),
		Client:     agreement.NewLocalClient(s.ID, replica, agreement.NewTransportClient(pool)),
		KnownGroup: replica.Group,
		Stored:     replica,
		Logger:     logger.WithPrefix("configuration"),
	})
	l := control.New(control.Options{
		Proposer:  proposer,
		Compactor: replica,
		Group:     replicaGroup{replica},
		Fleet:     fleetStatuses{m},
		Capacity:  announcedCapacity{m},
		Logger:    logger.WithPrefix("configuration"),
	})
	replica.Watch(control.Prefix, func(uint64, []byte) { l.Notify() })
	startComponent(lc, b, "configuration log", l.Run)
	return l
}

func newControlComponents(replica *agreement.Replica, l *control.Log) *controlComponents {
	return &controlComponents{Replica: replica, Log: l}
}

func registerControl(mux *transport.Mux, components *controlComponents) error {
	if err := mux.Register(components.Replica, agreementpb.DRPCReplicaDescription{}); err != nil {
		return err
	}
	if err := mux.Register(components.Log, configpb.DRPCOperatorDescription{}); err != nil {
		return err
	}
	return mux.Register(components.Log, configpb.DRPCFeedDescription{})
}

func registerControlOnly(mux *transport.Mux, s *settings.Settings, m *membership.Runner, source hostset.Source, holder *logHolder, components *controlComponents, b *background) error {
	holder.log = components.Log
	service := &fleetService{id: s.ID, membership: m, source: source, drain: b.requestDrain}
	return mux.Register(service, fleetpb.DRPCFleetDescription{})
}

// reportReplica updates the readiness from the state of the replica and registers the metrics of the replica.
func reportReplica(lc fx.Lifecycle, b *background, components *controlComponents, readiness *admin.Readiness, registry *prometheus.Registry) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tarragonmux_replica_voting",
			Help: "1 while the control replica votes.",
		}, func() float64 { return boolGauge(components.Replica.Status().State == agreement.Voting) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tarragonmux_replica_journal_bytes",
			Help: "Bytes of the journal that a restart would replay.",
		}, func() float64 { return float64(components.Replica.Status().JournalBytes) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tarragonmux_replica_registers",
			Help: "Registers of the control replica.",
		}, func() float64 { return float64(components.Replica.Status().Registers) }),
	)
	startComponent(lc, b, "replica report", func(ctx context.Context) error {
		ticker := time.NewTicker(replicaReportInterval)
		defer ticker.Stop()
		for {
			components.reportReadiness(readiness)
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (c *controlComponents) reportReadiness(readiness *admin.Readiness) {
	status := c.Replica.Status()
	if status.State == agreement.Voting {
		readiness.Set("replica", "")
		return
	}
	reason := string(status.State)
	if status.Reason != "" {
		reason += ", " + status.Reason
	}
	readiness.Set("replica", reason)
}

// replicaGroup lets operators replace control replicas.
type replicaGroup struct {
	replica *agreement.Replica
}

// Replace implements control.Group.
func (g replicaGroup) Replace(ctx context.Context, removeID, addID, addAddress string) (uint64, error) {
	reply, err := g.replica.Swap(ctx, &agreementpb.SwapRequest{
		RemoveId: removeID,
		Add:      &agreementpb.Member{Id: addID, Address: addAddress},
	})
	if err != nil {
		return 0, err
	}
	if reply.GetError() != "" {
		return 0, errors.New(reply.GetError())
	}
	return reply.GetGroup().GetEpoch(), nil
}

// State implements control.Group.
func (g replicaGroup) State() string {
	return string(g.replica.Status().State)
}

// fleetStatuses gives the configuration log the state of each node and the revision that it has in force.
type fleetStatuses struct {
	membership *membership.Runner
}

// Statuses implements control.Fleet.
func (f fleetStatuses) Statuses() []*configpb.HostStatus {
	var statuses []*configpb.HostStatus
	for _, m := range f.membership.Members() {
		if m.Role == "control" {
			continue
		}
		statuses = append(statuses, &configpb.HostStatus{
			Id:         m.ID,
			DataCentre: m.DataCentre,
			Revision:   m.Revision,
			State:      stateName(m.State),
			AgeMs:      lastHeardAgeMs(m),
		})
	}
	return statuses
}

func stateName(s fleetpb.NodeState) string {
	switch s {
	case fleetpb.NodeState_NODE_STATE_ALIVE:
		return "alive"
	case fleetpb.NodeState_NODE_STATE_SUSPECT:
		return "suspect"
	case fleetpb.NodeState_NODE_STATE_LEAVING:
		return "leaving"
	case fleetpb.NodeState_NODE_STATE_DEAD:
		return "dead"
	default:
		return "unknown"
	}
}

// announcedCapacity gives the configuration log the slots that backend servers announce.
type announcedCapacity struct {
	membership *membership.Runner
}

// AnnouncedSlots implements control.Capacity.
func (a announcedCapacity) AnnouncedSlots(service string) (slots uint64, known bool) {
	servers := a.membership.Servers(service)
	for _, s := range servers {
		slots += uint64(s.Slots)
	}
	return slots, len(servers) > 0
}
