// Package agreement decides write-once registers by majority among the control
// replicas, without a leader.
package agreement
