package durable

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultDuration is the total time of a run if the options specify none.
	DefaultDuration = time.Minute
	// MinDuration is the shortest time in which each measurement still has results.
	MinDuration = 4 * time.Second
	// claimShare is the fraction of the total time for each of the two claim measurements, changeShare that
	// for all measurements of changes. The rest is a reserve for starts and restarts.
	claimShare  = 0.1
	changeShare = 0.6
)

// Options configures a run.
type Options struct {
	// Duration is the total time of the measurements, without the starts of the processes; 0 means
	// DefaultDuration.
	Duration time.Duration
	// Folder is where temporary files are created, on the disk to be measured; empty means the system's
	// default.
	Folder string
	// RecoverySizes lists the numbers of registers whose restart is timed; empty means 1,000, 10,000 and
	// 100,000.
	RecoverySizes []int
}

// Claims is the measurement of claims with one number of clients.
type Claims struct {
	// Clients is the number of concurrent claims.
	Clients int `json:"clients"`
	// PerSecond counts decided claims.
	PerSecond float64 `json:"per_second"`
	// P50 and P99 are latencies in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// BytesPerClaim counts the bytes of both directions at the claiming node; CallsPerClaim counts its
	// requests.
	BytesPerClaim float64 `json:"bytes_per_claim"`
	CallsPerClaim float64 `json:"calls_per_claim"`
	Failed        int64   `json:"failed"`
}

// Recovery is the time that a replica takes to read its folder.
type Recovery struct {
	Registers int     `json:"registers"`
	Bytes     int64   `json:"bytes"`
	Millis    float64 `json:"ms"`
}

// Changes is the measurement of accepted changes of one design with one fault.
type Changes struct {
	Design string `json:"design"`
	Fault  Fault  `json:"fault"`
	// Before and During are the accepted changes per second before and after the start of the fault.
	Before float64 `json:"per_second_before"`
	During float64 `json:"per_second_during"`
	// LongestGap is the longest time in milliseconds without an accepted change since the start of the fault.
	LongestGap float64 `json:"longest_gap_ms"`
}

// Designs that are compared.
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

// Run measures for about the time in the options. It returns an error if a file or loopback operation fails
// or the context ends.
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
		return Report{}, errors.Wrap(err, "create a temporary folder; choose another folder")
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

func scaleDuration(total time.Duration, share float64) time.Duration {
	return time.Duration(float64(total) * share)
}
