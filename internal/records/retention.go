package records

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/proto/recordspb"
)

const (
	// RetentionMargin is added to the retention for differences between clocks.
	RetentionMargin = time.Hour
	// outcomeWindow is how long after a claim its outcome may still be written.
	outcomeWindow = time.Hour
)

// Retention decides which registers of records a control replica keeps.
type Retention struct {
	// Period is how long the outcome of an operation is promised to be kept.
	Period time.Duration
}

// Retain tells whether a chain is still needed at the wall time now, from the key and the
// value of its last register; the time of that value is the time of the outcome or, without
// an outcome, of the claim. Other chains and values that cannot be decoded are retained.
//
// The registers of a chain must be dropped together: a chain whose first register is gone
// while a later one exists could be claimed anew from the start.
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
