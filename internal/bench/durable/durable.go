package durable

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultFor is the total time of a run if the options state none.
	DefaultDuration = time.Minute
	// MinFor is the shortest time in which each part still measures something.
	MinDuration = 4 * time.Second
	// claimShare is the part of the total time for each of the two claim measurements. The changes
	// share the rest but a reserve for starts and restarts.
	claimShare  = 0.1
	changeShare = 0.6
)

// Options of a run.
type Options struct {
	// Duration is the total time of the measurements, without the starts of the processes; 0 means DefaultFor.
	Duration time.Duration
	// Folder is where temporary files are made, on the disk to be measured; empty means the system's.
	Folder string
	// RecoverySizes lists the numbers of registers whose restart is timed; empty means 1,000, 10,000 and 100,000.
	RecoverySizes []int
}

// Claims tells how fast claims are decided.
type Claims struct {
	// Clients is how many claims run at once.
	Clients int `json:"clients"`
	// PerSecond counts decided claims.
	PerSecond float64 `json:"per_second"`
	// P50 and P99 are latencies in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// BytesPerClaim counts both directions at the claiming node; CallsPerClaim counts requests.
	BytesPerClaim float64 `json:"bytes_per_claim"`
	CallsPerClaim float64 `json:"calls_per_claim"`
	Failed        int64   `json:"failed"`
}

// Recovery is the time until a replica has read its folder.
type Recovery struct {
	Registers int     `json:"registers"`
	Bytes     int64   `json:"bytes"`
	Millis    float64 `json:"ms"`
}

// Changes tells how changes are accepted while one replica is faulty.
type Changes struct {
	Design string `json:"design"`
	Fault  Fault  `json:"fault"`
	// Before and During count acceptances per second before and after the fault begins.
	Before float64 `json:"per_second_before"`
	During float64 `json:"per_second_during"`
	// LongestGap is the longest time in milliseconds without an acceptance since the fault began.
	LongestGap float64 `json:"longest_gap_ms"`
}

// The two designs.
const (
	Leaderless  = "leaderless"
	LeaderBased = "leader-based"
)

// Report is the result of a run.
type Report struct {
	Claims   []Claims   `json:"claims"`
	Recovery []Recovery `json:"recovery"`
	Changes  []Changes  `json:"changes"`
}

// Run measures for about the time in the options. Errors come from the files, from loopback and
// from the end of the context.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Duration < MinDuration {
		return Report{}, errors.Errorf("the time %s is too short; give at least %s", o.Duration, MinDuration)
	}
	if len(o.RecoverySizes) == 0 {
		o.RecoverySizes = []int{1_000, 10_000, 100_000}
	}
	folder, err := os.MkdirTemp(o.Folder, "bench-durable-")
	if err != nil {
		return Report{}, errors.Wrap(err, "make a temporary folder; name another one")
	}
	report, err := run(ctx, o, folder)
	if removeErr := os.RemoveAll(folder); err == nil {
		err = errors.WithStack(removeErr)
	}
	return report, err
}

func run(ctx context.Context, o Options, folder string) (Report, error) {
	report := Report{}
	for _, clients := range []int{1, 32} {
		row, err := measureClaims(ctx, filepath.Join(folder, "claims", time.Now().Format("150405.000")), clients, scaleDuration(o.Duration, claimShare))
		if err != nil {
			return report, err
		}
		report.Claims = append(report.Claims, row)
	}
	for _, size := range o.RecoverySizes {
		row, err := measureRecovery(ctx, filepath.Join(folder, "recovery"), size)
		if err != nil {
			return report, err
		}
		report.Recovery = append(report.Recovery, row)
	}
	rows, err := measureAllChanges(ctx, folder, scaleDuration(o.Duration, changeShare))
	report.Changes = rows
	return report, err
}

func scaleDuration(total time.Duration, part float64) time.Duration {
	return time.Duration(float64(total) * part)
}
