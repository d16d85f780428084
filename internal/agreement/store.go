package agreement

import (
	"maps"
	"slices"
	"sort"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// groupPrefix names the chain of group registers; its index is the epoch.
const groupPrefix = "group"

// chain holds the registers of one prefix, sorted by index. The snapshot replaces the registers below the
// floor. A put replaces the pointer to a register; stored registers are never modified.
type chain struct {
	floor     uint64
	snapshot  []byte
	registers []*register
}

func (c *chain) position(index uint64) (int, bool) {
	if c == nil {
		return 0, false
	}
	at := sort.Search(len(c.registers), func(i int) bool { return c.registers[i].index >= index })
	return at, at < len(c.registers) && c.registers[at].index == index
}

// diskKey identifies one disk of one member.
type diskKey struct {
	id   string
	disk string
}

// store is the state of a replica, which replaying the journal restores.
type store struct {
	chains map[string]*chain
	group  *agreementpb.Group
	// readyEpoch is the epoch in which the replica joined and for which the store holds the full state; 0 if
	// the state is incomplete.
	readyEpoch uint64
	seen       map[diskKey]uint64
	registers  int
}

func newStore() *store {
	return &store{chains: map[string]*chain{}, seen: map[diskKey]uint64{}}
}

// get returns the register, or an empty one if it does not exist yet.
func (s *store) get(prefix string, index uint64) register {
	c := s.chains[prefix]
	if at, ok := c.position(index); ok {
		return *c.registers[at]
	}
	return register{index: index}
}

func (s *store) floor(prefix string) uint64 {
	if c := s.chains[prefix]; c != nil {
		return max(c.floor, 1)
	}
	return 1
}

// hasDecided reports whether the decided value of the register is known, by itself or in the chain's snapshot.
func (s *store) hasDecided(prefix string, index uint64) bool {
	return index < s.floor(prefix) || s.get(prefix, index).decided
}

// prefixes returns the prefixes of all chains, sorted.
func (s *store) prefixes() []string {
	return slices.Sorted(maps.Keys(s.chains))
}

func (s *store) put(prefix string, r register) {
	c := s.chains[prefix]
	if c == nil {
		c = &chain{}
		s.chains[prefix] = c
	}
	at, ok := c.position(r.index)
	if ok {
		c.registers[at] = &r
		return
	}
	c.registers = append(c.registers, nil)
	copy(c.registers[at+1:], c.registers[at:])
	c.registers[at] = &r
	s.registers++
}

// compact replaces the registers below the floor by the snapshot.
func (s *store) compact(prefix string, floor uint64, snapshot []byte) {
	c := s.chains[prefix]
	if c == nil {
		c = &chain{}
		s.chains[prefix] = c
	}
	if floor <= c.floor {
		return
	}
	at, _ := c.position(floor)
	s.registers -= at
	kept := append([]*register(nil), c.registers[at:]...)
	s.chains[prefix] = &chain{floor: floor, snapshot: snapshot, registers: kept}
}

func (s *store) drop(prefix string) {
	if c := s.chains[prefix]; c != nil {
		s.registers -= len(c.registers)
		delete(s.chains, prefix)
	}
}

func (s *store) recordSeen(m *agreementpb.Sequence) bool {
	key := diskKey{m.GetId(), m.GetDiskId()}
	if key.disk == "" || m.GetSequence() <= s.seen[key] {
		return false
	}
	s.seen[key] = m.GetSequence()
	return true
}

// apply replays one journal entry.
func (s *store) apply(entry []byte) error {
	m := &agreementpb.JournalEntry{}
	if err := proto.Unmarshal(entry, m); err != nil {
		return errors.Wrap(err, "decode a journal entry")
	}
	switch kind := m.GetKind().(type) {
	case *agreementpb.JournalEntry_Register:
		return s.applyRegister(kind.Register)
	case *agreementpb.JournalEntry_DecidedKey:
		return s.applyDecided(kind.DecidedKey)
	case *agreementpb.JournalEntry_Compacted:
		s.compact(kind.Compacted.GetPrefix(), kind.Compacted.GetFloor(), kind.Compacted.GetSnapshot())
	case *agreementpb.JournalEntry_DroppedPrefix:
		s.drop(kind.DroppedPrefix)
	case *agreementpb.JournalEntry_Group:
		s.group = kind.Group
	case *agreementpb.JournalEntry_ReadyJoined:
		s.readyEpoch = kind.ReadyJoined
	case *agreementpb.JournalEntry_Seen:
		s.recordSeen(kind.Seen)
	default:
		return errors.New("unknown journal entry; the folder was written by a newer version, install that version")
	}
	return nil
}

func (s *store) applyRegister(m *agreementpb.Register) error {
	prefix, index, err := parseKey(m.GetKey())
	if err != nil {
		return err
	}
	s.put(prefix, registerOf(index, m))
	return nil
}

func (s *store) applyDecided(key string) error {
	prefix, index, err := parseKey(key)
	if err != nil {
		return err
	}
	r := s.get(prefix, index)
	if invariant.Check(r.hasAccepted, "agreement.decided-has-value", "journal decides %s without a value", key) {
		r.decided = true
		s.put(prefix, r)
	}
	return nil
}

// chainView is a point-in-time copy of a chain.
type chainView struct {
	prefix string
	chain  chain
}

// view returns point-in-time copies of all chains, in no particular order. Their registers do not change
// later.
func (s *store) view() []chainView {
	views := make([]chainView, 0, len(s.chains))
	for prefix, c := range s.chains {
		v := chainView{prefix: prefix, chain: *c}
		v.chain.registers = append([]*register(nil), c.registers...)
		views = append(views, v)
	}
	return views
}

// entries returns the journal entries that restore the chain.
func (v chainView) entries() []*agreementpb.JournalEntry {
	var out []*agreementpb.JournalEntry
	if v.chain.floor > 0 {
		out = append(out, entryCompacted(v.prefix, v.chain.floor, v.chain.snapshot))
	}
	for _, r := range v.chain.registers {
		out = append(out, entryRegister(v.prefix, *r))
	}
	return out
}

func entryRegister(prefix string, r register) *agreementpb.JournalEntry {
	return &agreementpb.JournalEntry{Kind: &agreementpb.JournalEntry_Register{Register: r.message(prefix)}}
}

func entryDecided(key string) *agreementpb.JournalEntry {
	return &agreementpb.JournalEntry{Kind: &agreementpb.JournalEntry_DecidedKey{DecidedKey: key}}
}

func entryCompacted(prefix string, floor uint64, snapshot []byte) *agreementpb.JournalEntry {
	return &agreementpb.JournalEntry{Kind: &agreementpb.JournalEntry_Compacted{
		Compacted: &agreementpb.ChainSnapshot{Prefix: prefix, Floor: floor, Snapshot: snapshot},
	}}
}

func entryDropped(prefix string) *agreementpb.JournalEntry {
	return &agreementpb.JournalEntry{Kind: &agreementpb.JournalEntry_DroppedPrefix{DroppedPrefix: prefix}}
}

func entryGroup(g *agreementpb.Group) *agreementpb.JournalEntry {
	return &agreementpb.JournalEntry{Kind: &agreementpb.JournalEntry_Group{Group: g}}
}

func entryReady(joined uint64) *agreementpb.JournalEntry {
	return &agreementpb.JournalEntry{Kind: &agreementpb.JournalEntry_ReadyJoined{ReadyJoined: joined}}
}

func entrySeen(key diskKey, sequence uint64) *agreementpb.JournalEntry {
	return &agreementpb.JournalEntry{Kind: &agreementpb.JournalEntry_Seen{
		Seen: &agreementpb.Sequence{Id: key.id, DiskId: key.disk, Sequence: sequence},
	}}
}
