package membership

import (
	"net/netip"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// maxNameBytes bounds names. It also bounds the number of data centres that suspect a node.
	maxNameBytes = 255
	// maxListEntries bounds every list of a message.
	maxListEntries = 1 << 16
	// maxIncarnation leaves room to raise an incarnation; start times in milliseconds are far below.
	maxIncarnation = 1 << 62
	// maxAgeMS bounds ages, in milliseconds: 24 hours.
	maxAgeMS = 24 * 60 * 60 * 1000
	// maxSlots bounds the slots and the connections of one backend server.
	maxSlots = 1 << 20
)

func malformed(field, reason string) error {
	return &MalformedError{Field: field, Reason: reason}
}

func checkName(field, name string) error {
	if name == "" {
		return malformed(field, "is empty")
	}
	if len(name) > maxNameBytes {
		return malformed(field, "is too long")
	}
	// Messages with other text cannot be encoded.
	if !utf8.ValidString(name) {
		return malformed(field, "is not UTF-8")
	}
	// Names are written into headers, logs and metrics.
	if strings.ContainsFunc(name, unicode.IsControl) || strings.TrimSpace(name) != name {
		return malformed(field, "has control characters, or spaces at an end")
	}
	return nil
}

func checkAddress(field, address string) error {
	if a, err := netip.ParseAddrPort(address); err != nil || a.Addr().Zone() != "" {
		return malformed(field, "is not ip:port")
	}
	return nil
}

func checkAge(field string, age int64) error {
	if age < 0 || age > maxAgeMS {
		return malformed(field, "is out of range")
	}
	return nil
}

// checkSender checks the short form of a node's entry.
func checkSender(n *fleetpb.Node) error {
	if n == nil {
		return malformed("from", "is missing")
	}
	if err := checkName("from.id", n.GetId()); err != nil {
		return err
	}
	if n.GetIncarnation() == 0 || n.GetIncarnation() >= maxIncarnation || n.GetVersion() >= maxIncarnation {
		return malformed("from.incarnation", "is out of range")
	}
	return nil
}

func checkNode(n *fleetpb.Node) error {
	if err := checkSender(n); err != nil {
		return err
	}
	if n.GetState() < fleetpb.NodeState_NODE_STATE_ALIVE || n.GetState() > fleetpb.NodeState_NODE_STATE_DEAD {
		return malformed("node.state", "is unknown")
	}
	if err := checkName("node.data_centre", n.GetDataCentre()); err != nil {
		return err
	}
	if len(n.GetUnreachableServices()) > maxListEntries || len(n.GetSuspectedBy()) > maxNameBytes {
		return malformed("node", "has a list that is too long")
	}
	if err := checkAge("node.age_ms", n.GetAgeMs()); err != nil {
		return err
	}
	return checkAddress("node.fleet_address", n.GetFleetAddress())
}

func checkServer(s *fleetpb.Server) error {
	if s.GetKind() < fleetpb.EntryKind_ENTRY_KIND_UNSPECIFIED || s.GetKind() > fleetpb.EntryKind_ENTRY_KIND_ENTRY_HOST {
		return malformed("server.kind", "is unknown")
	}
	if err := checkName("server.service", s.GetService()); err != nil {
		return err
	}
	if err := checkName("server.instance", s.GetInstance()); err != nil {
		return err
	}
	if s.GetDataCentre() != "" {
		if err := checkName("server.data_centre", s.GetDataCentre()); err != nil {
			return err
		}
	}
	if s.GetState() < fleetpb.ServerState_SERVER_STATE_STARTING || s.GetState() > fleetpb.ServerState_SERVER_STATE_LEFT {
		return malformed("server.state", "is unknown")
	}
	if s.GetIncarnation() >= maxIncarnation || s.GetVersion() >= maxIncarnation {
		return malformed("server.incarnation", "is out of range")
	}
	if s.GetSlots() > maxSlots || s.GetConnections() > maxSlots {
		return malformed("server.slots", "is out of range")
	}
	if !(s.GetLoad() >= 0 && s.GetLoad() <= 1) {
		return malformed("server.load", "is not between 0 and 1")
	}
	for _, age := range []int64{s.GetAgeMs(), s.GetReadyAgeMs(), s.GetWarmUpMs()} {
		if err := checkAge("server.age_ms", age); err != nil {
			return err
		}
	}
	if s.GetState() == fleetpb.ServerState_SERVER_STATE_LEFT && s.GetAddress() == "" {
		// A withdrawal needs no address; it only identifies the server.
		return nil
	}
	return checkAddress("server.address", s.GetAddress())
}

// checkAnnouncement checks an announcement of a backend server.
func checkAnnouncement(s backend.Server) error {
	return checkServer(serverMessage(&serverEntry{Server: s}))
}

// CheckDeparture checks what the departure of a backend server names. Errors: MalformedError.
func CheckDeparture(instance string, incarnation uint64) error {
	if incarnation >= maxIncarnation {
		return malformed("server.incarnation", "is out of range")
	}
	return checkName("server.instance", instance)
}

func checkNodes(nodes []*fleetpb.Node) error {
	if len(nodes) > maxListEntries {
		return malformed("nodes", "are too many")
	}
	for _, n := range nodes {
		if err := checkNode(n); err != nil {
			return err
		}
	}
	return nil
}

func checkServers(servers []*fleetpb.Server) error {
	if len(servers) > maxListEntries {
		return malformed("servers", "are too many")
	}
	for _, s := range servers {
		if err := checkServer(s); err != nil {
			return err
		}
	}
	return nil
}

func checkRequest(r *fleetpb.GossipRequest) error {
	if err := checkSender(r.GetFrom()); err != nil {
		return err
	}
	if len(r.GetWantNodes()) > maxListEntries || len(r.GetWantServers()) > maxListEntries {
		return malformed("message", "has a list that is too long")
	}
	if err := checkNodes(r.GetNodes()); err != nil {
		return err
	}
	return checkServers(r.GetServers())
}

// checkReply checks a reply without the entries of its backend servers. These come from other programs, and a member of
// another version may have accepted one that this node refuses; it must not keep the node from hearing of the others.
func checkReply(r *fleetpb.GossipReply) error {
	if err := checkSender(r.GetFrom()); err != nil {
		return err
	}
	if len(r.GetNodeKeys()) > maxListEntries || len(r.GetServerKeys()) > maxListEntries || len(r.GetAges()) > maxListEntries {
		return malformed("message", "has a list that is too long")
	}
	if !slices.IsSorted(r.GetServerKeys()) {
		return malformed("server_keys", "are not in order")
	}
	if len(r.GetLoads()) != len(r.GetAges()) {
		return malformed("loads", "do not match the ages")
	}
	if len(r.GetServerKeys()) > 0 && len(r.GetServerKeys()) != len(r.GetAges()) {
		return malformed("server_keys", "do not match the ages")
	}
	if len(r.GetServers()) > maxListEntries {
		return malformed("servers", "are too many")
	}
	return checkNodes(r.GetNodes())
}
