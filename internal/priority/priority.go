// Package priority defines the three priorities of requests.
package priority

import (
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Priority ranks requests; lower values are served first.
type Priority uint8

// The priorities, most urgent first.
const (
	Urgent Priority = iota
	Normal
	Background
)

// Count is the number of priorities.
const Count = 3

// All lists the priorities, most urgent first.
func All() [Count]Priority {
	return [Count]Priority{Urgent, Normal, Background}
}

// String returns the name used in settings, metrics and reports.
func (p Priority) String() string {
	switch p {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	case Background:
		return "background"
	default:
		return "invalid"
	}
}

// Parse returns the priority with the given name.
func Parse(name string) (Priority, error) {
	for _, p := range All() {
		if p.String() == name {
			return p, nil
		}
	}
	return Background, errors.Errorf("unknown priority %q; use urgent, normal or background", name)
}

// FromProto converts from the wire form. An unspecified priority becomes Background, the one that affects
// other requests least.
func FromProto(p configpb.Priority) Priority {
	switch p {
	case configpb.Priority_PRIORITY_URGENT:
		return Urgent
	case configpb.Priority_PRIORITY_NORMAL:
		return Normal
	default:
		return Background
	}
}

// Proto converts to the wire form.
func (p Priority) Proto() configpb.Priority {
	switch p {
	case Urgent:
		return configpb.Priority_PRIORITY_URGENT
	case Normal:
		return configpb.Priority_PRIORITY_NORMAL
	default:
		return configpb.Priority_PRIORITY_BACKGROUND
	}
}
