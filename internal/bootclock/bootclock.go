// Package bootclock reads a clock that, unlike the monotonic clock of package time, also counts the time during which
// the machine was suspended.
package bootclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// resampleAfter is by how much the time of day and the monotonic clock may drift apart before the kernel's clock is read
// again. A suspension moves them apart by its whole length.
const resampleAfter = 20 * time.Millisecond

// sample relates the clocks at one moment.
type sample struct {
	// lead is by how much the clock that counts suspensions is ahead of the monotonic one.
	lead time.Duration
	// skew is by how much the time of day was ahead of the monotonic clock.
	skew time.Duration
}

var (
	origin = time.Now()
	last   atomic.Pointer[sample]
)

// Now returns the time since an arbitrary moment, including suspensions. It reads the kernel's clock only if the time of
// day has moved against the monotonic clock, which a suspension causes, so that most calls need no system call.
func Now() time.Duration {
	now := time.Now()
	monotonic := now.Sub(origin)
	skew := now.Round(0).Sub(origin.Round(0)) - monotonic
	s := last.Load()
	if s == nil || (skew-s.skew).Abs() > resampleAfter {
		s = takeSample()
		last.Store(s)
	}
	return monotonic + s.lead
}

// maxSampleTime is the longest time between the readings of a sample. A process that is stopped between them would
// understate all later times.
const maxSampleTime = time.Millisecond

// takeSample reads the kernel's clock together with the others.
func takeSample() *sample {
	var s *sample
	for range 5 {
		now := time.Now()
		var ts unix.Timespec
		err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
		monotonic := now.Sub(origin)
		skew := now.Round(0).Sub(origin.Round(0)) - monotonic
		if err != nil {
			// The clock exists since Linux 2.6.39. Without it suspensions count as far as the time of day shows them.
			return &sample{lead: skew, skew: skew}
		}
		s = &sample{lead: time.Duration(ts.Nano()) - monotonic, skew: skew}
		if time.Since(now) <= maxSampleTime {
			break
		}
	}
	return s
}
