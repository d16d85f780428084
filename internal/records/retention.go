package records

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/proto/recordspb"
)

const (
	// RetentionMargin is added to the retention period to allow for differences between clocks.
	RetentionMargin = time.Hour
	// outcomeWindow is how long after a claim its outcome may still be recorded; then the node gives up.
	outcomeWindow = time.Hour
)

// Retention decides which record registers a control replica keeps.
type Retention struct {
	// Period is how long the outcome of an operation is guaranteed to be kept.
	Period time.Duration
}

// Retain reports whether a chain is still needed at the wall-clock time now, given the key and the
// value of its last register. The age counts from the time in that value, which is the time of the
// outcome or, if there is no outcome, of the claim. Chains that are not records, and values that
// cannot be decoded, are retained.
//
// The registers of a chain must be dropped together: if its first register were dropped while a
// later one exists, the operation could be claimed again from the start.
func (r Retention) Retain(key string, value []byte, _ bool, now time.Time) bool {
	if !strings.HasPrefix(key, Prefix) {
		return true
	}
	t := &recordspb.Transition{}
	if proto.Unmarshal(value, t) != nil {
		return true
	}
	return now.Sub(time.UnixMilli(t.GetTimeMs())) < r.Period+RetentionMargin
}
