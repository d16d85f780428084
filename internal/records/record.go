package records

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
	"github.com/tarragonmux/tarragonmux/proto/recordspb"
)

// Prefix is the start of every record's chain prefix.
const Prefix = "rec/"

// recordIDBytes is the length of the hash that identifies a record. The hash must be collision
// resistant, because callers choose the key.
const recordIDBytes = 16

// errCorrupt means that a chain holds a transition that no correct node proposes.
var errCorrupt = errors.New("the record of the operation is corrupt; report this as a defect")

// chainPrefixOf returns the chain prefix of the operation's record.
func chainPrefixOf(op attempt.Operation) string {
	h := sha256.New()
	for _, part := range []string{op.Service, op.Route, op.Key} {
		// Hashing the length as well distinguishes ("a", "bc") from ("ab", "c").
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return Prefix + hex.EncodeToString(h.Sum(nil)[:recordIDBytes])
}

// phase is the state of a record.
type phase uint8

const (
	absent phase = iota
	claimed
	done
	abandoned
	unknown
)

// record is the state of an operation, derived from its chain.
type record struct {
	phase phase
	// claim is the newest claim; nil while the record is absent.
	claim    *recordspb.Claimed
	response *fleetpb.Answer
	// next is the index of the next transition.
	next uint64
}

// recordFromChain applies the chain's transitions in order and returns the resulting record.
func recordFromChain(chain agreement.Chain) (record, error) {
	r := record{next: max(chain.Floor, 1)}
	for _, register := range chain.Decided {
		t := &recordspb.Transition{}
		if err := proto.Unmarshal(register.Value, t); err != nil {
			return r, errors.WithStack(errCorrupt)
		}
		if !invariant.Check(register.Index == r.next && r.allows(t), "records.transition-follows", "register %d, phase %d, next %d: %v", register.Index, r.phase, r.next, t) {
			return r, errors.WithStack(errCorrupt)
		}
		r.apply(t)
	}
	return r, nil
}

// allows reports whether the transition is valid as the record's next one.
func (r *record) allows(t *recordspb.Transition) bool {
	if t.GetClaimed() != nil {
		return r.phase == absent || r.phase == abandoned
	}
	return r.phase == claimed && attemptIDOf(t) == r.claim.GetAttempt()
}

func (r *record) apply(t *recordspb.Transition) {
	r.next++
	switch k := t.GetKind().(type) {
	case *recordspb.Transition_Claimed:
		r.phase, r.claim = claimed, k.Claimed
	case *recordspb.Transition_Done:
		r.phase, r.response = done, k.Done.GetAnswer()
	case *recordspb.Transition_Abandoned:
		r.phase = abandoned
	case *recordspb.Transition_Unknown:
		r.phase = unknown
	}
}

// matches reports whether the record was claimed for the same team and request content.
func (r *record) matches(op attempt.Operation) bool {
	return r.claim.GetTeam() == op.Team && string(r.claim.GetFingerprint()) == string(op.Fingerprint[:])
}

// attemptIDOf returns the ID of the attempt that a transition belongs to.
func attemptIDOf(t *recordspb.Transition) string {
	switch k := t.GetKind().(type) {
	case *recordspb.Transition_Claimed:
		return k.Claimed.GetAttempt()
	case *recordspb.Transition_Done:
		return k.Done.GetAttempt()
	case *recordspb.Transition_Abandoned:
		return k.Abandoned.GetAttempt()
	case *recordspb.Transition_Unknown:
		return k.Unknown.GetAttempt()
	default:
		return ""
	}
}

func encode(t *recordspb.Transition) []byte {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(t)
	invariant.Check(err == nil, "records.transition-encodes", "%v", err)
	return value
}
