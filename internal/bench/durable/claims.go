package durable

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	// claimBytes is the size of the value of one claim.
	claimBytes   = 200
	claimTimeout = 2 * time.Second
	// Bounds of the histograms in microseconds, and their number of significant digits.
	lowestLatency  = 1
	highestLatency = 10_000_000
	latencyDigits  = 3
)

// measureClaims measures claims of new records by concurrent clients for the given time.
func measureClaims(ctx context.Context, folder string, clients int, length time.Duration) (Claims, error) {
	c, err := startLeaderless(ctx, folder)
	if err != nil {
		return Claims{}, err
	}
	client, sent := c.client("node")
	p := agreement.NewProposer(agreement.ProposerConfig{ID: "node", FirstGroup: c.members, Client: client})
	if _, err := p.ProposeFast(ctx, "rec/warm-up", 1, make([]byte, claimBytes)); err != nil {
		return Claims{}, err
	}
	calls, bytes := sent.calls.Load(), sent.bytes.Load()
	histogram, failed := runClaims(ctx, p, clients, length)
	decided := float64(max(histogram.TotalCount(), 1))
	row := Claims{
		Clients:       clients,
		PerSecond:     float64(histogram.TotalCount()) / length.Seconds(),
		P50:           float64(histogram.ValueAtQuantile(50)) / 1000,
		P99:           float64(histogram.ValueAtQuantile(99)) / 1000,
		BytesPerClaim: float64(sent.bytes.Load()-bytes) / decided,
		CallsPerClaim: float64(sent.calls.Load()-calls) / decided,
		Failed:        failed,
	}
	return row, c.close()
}

func runClaims(ctx context.Context, p agreement.Proposer, clients int, length time.Duration) (*hdrhistogram.Histogram, int64) {
	var failed atomic.Int64
	var mu sync.Mutex
	total := hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
	end := time.Now().Add(length)
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() {
			own := hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				start := time.Now()
				if claim(ctx, p, fmt.Sprintf("rec/%d-%d", client, n)) != nil {
					failed.Add(1)
					continue
				}
				// A latency cannot exceed the bounds of the histogram: claimTimeout is shorter.
				_ = own.RecordValue(time.Since(start).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(own)
		})
	}
	running.Wait()
	return total, failed.Load()
}

func claim(ctx context.Context, p agreement.Proposer, prefix string) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := p.ProposeFast(ctx, prefix, 1, make([]byte, claimBytes))
	return err
}

// measureRecovery fills a replica's journal with decided claims and measures the time to open the folder.
func measureRecovery(ctx context.Context, folder string, registers int) (Recovery, error) {
	folder = filepath.Join(folder, fmt.Sprint(registers))
	pool := transport.NewPool(transport.NewDialer())
	config := agreement.ReplicaConfig{ID: "a", FS: storage.NewFS(), Folder: folder, Client: agreement.NewTransportClient(pool)}
	if err := openAndClose(ctx, config); err != nil {
		return Recovery{}, err
	}
	if err := fillJournal(folder, registers); err != nil {
		return Recovery{}, err
	}
	size, err := folderBytes(filepath.Join(folder, "disk"))
	if err != nil {
		return Recovery{}, err
	}
	start := time.Now()
	r, err := agreement.NewReplica(config)
	if err != nil {
		return Recovery{}, err
	}
	row := Recovery{Registers: r.Status().Registers, Bytes: size, Millis: float64(time.Since(start).Microseconds()) / 1000}
	return row, closeReplica(ctx, r)
}

func openAndClose(ctx context.Context, config agreement.ReplicaConfig) error {
	r, err := agreement.NewReplica(config)
	if err != nil {
		return err
	}
	return closeReplica(ctx, r)
}

// closeReplica closes the files of a replica that was not started.
func closeReplica(ctx context.Context, r *agreement.Replica) error {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	return r.Run(ctx)
}

func fillJournal(folder string, registers int) error {
	l, err := storage.Open(storage.Config{FS: storage.NewFS(), Folder: filepath.Join(folder, "disk")},
		func([]byte, bool) error { return nil })
	if err != nil {
		return err
	}
	for i := range registers {
		entry, err := proto.Marshal(&agreementpb.JournalEntry{Kind: &agreementpb.JournalEntry_Register{Register: &agreementpb.Register{
			Key: fmt.Sprintf("rec/%032d/1", i), HasAccepted: true, Value: make([]byte, claimBytes), Decided: true,
		}}})
		if err != nil {
			return errors.WithStack(err)
		}
		if _, err := l.Append(entry); err != nil {
			return err
		}
	}
	if err := l.Sync(l.Last()); err != nil {
		return err
	}
	return l.Close()
}

func folderBytes(folder string) (int64, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	total := int64(0)
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			return 0, errors.WithStack(err)
		}
		total += info.Size()
	}
	return total, nil
}
