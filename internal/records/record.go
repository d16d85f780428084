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

// Prefix begins the chain prefix of every record.
const Prefix = "rec/"

// keyBytes is the length of the hash that names a record. A hash that callers cannot find
// collisions of is used, since the key is chosen by them.
const keyBytes = 16

// errCorrupt means that a chain holds transitions that no correct node proposes.
var errCorrupt = errors.New("the record of the operation is corrupt; report this as a defect")

// chainOf returns the chain prefix of the operation's record.
func chainOf(op attempt.Operation) string {
	h := sha256.New()
	for _, part := range []string{op.Service, op.Route, op.Key} {
		// The length keeps ("a", "bc") and ("ab", "c") apart.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return Prefix + hex.EncodeToString(h.Sum(nil)[:keyBytes])
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

// record is the state that follows from a chain.
type record struct {
	phase phase
	// claim is the newest claim; nil while the record is absent.
	claim  *recordspb.Claimed
	answer *fleetpb.Answer
	// next is the index of the next transition.
	next uint64
}

// fold derives the record from its chain.
func fold(chain agreement.Chain) (record, error) {
	r := record{next: max(chain.Floor, 1)}
	for _, register := range chain.Decided {
		t := &recordspb.Transition{}
		if err := proto.Unmarshal(register.Value, t); err != nil {
			return r, errors.WithStack(errCorrupt)
		}
		if !invariant.Check(register.Index == r.next && r.follows(t), "records.transition-follows", "register %d, phase %d, next %d: %v", register.Index, r.phase, r.next, t) {
			return r, errors.WithStack(errCorrupt)
		}
		r.apply(t)
	}
	return r, nil
}

// follows tells whether the transition may be the record's next one.
func (r *record) follows(t *recordspb.Transition) bool {
	if t.GetClaimed() != nil {
		return r.phase == absent || r.phase == abandoned
	}
	return r.phase == claimed && attemptOf(t) == r.claim.GetAttempt()
}

func (r *record) apply(t *recordspb.Transition) {
	r.next++
	switch k := t.GetKind().(type) {
	case *recordspb.Transition_Claimed:
		r.phase, r.claim = claimed, k.Claimed
	case *recordspb.Transition_Done:
		r.phase, r.answer = done, k.Done.GetAnswer()
	case *recordspb.Transition_Abandoned:
		r.phase = abandoned
	case *recordspb.Transition_Unknown:
		r.phase = unknown
	}
}

// belongs tells whether the operation is the one that the record was claimed for.
func (r *record) belongs(op attempt.Operation) bool {
	return r.claim.GetTeam() == op.Team && string(r.claim.GetFingerprint()) == string(op.Fingerprint[:])
}

// attemptOf returns the attempt that a transition is about.
func attemptOf(t *recordspb.Transition) string {
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
