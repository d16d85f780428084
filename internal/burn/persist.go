package burn

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/durablefile"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// fileName is the file of the counts in the data folder.
const fileName = "burn.pb"

// Load restores the counts of an earlier run from the folder. The recorder stays empty if the file is
// missing or damaged. A damaged file is returned as an error, but should not prevent the start of the
// process, which matters more than the counts.
func (r *Recorder) Load(folder string, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.durable = true
	data, err := os.ReadFile(filepath.Join(folder, fileName))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the service-level counts; check the data folder's permissions")
	}
	saved := &fleetpb.BurnReply{}
	if err := proto.Unmarshal(data, saved); err != nil {
		return errors.Wrap(err, "the file of service-level counts is damaged; counting starts at zero")
	}
	r.restore(saved, now)
	return nil
}

func (r *Recorder) restore(saved *fleetpb.BurnReply, now time.Time) {
	r.since = time.Unix(saved.GetSinceS(), 0)
	for _, p := range saved.GetSeries() {
		parsed, err := priority.Parse(p.GetPriority())
		if err != nil || r.seriesCount >= maxSeries {
			continue
		}
		s := newSeries()
		s.target.Store(&Target{
			Latency: time.Duration(p.GetTargetLatencyMs()) * time.Millisecond,
			Share:   p.GetTargetShare(),
		})
		s.history.restore(p.GetBuckets())
		s.history.compact(now)
		r.series.Store(Key{Service: p.GetService(), Priority: parsed}, s)
		r.seriesCount++
	}
}

func (h *history) restore(buckets []*fleetpb.BurnBucket) {
	for _, p := range buckets {
		b := bucketFromProto(p)
		if time.Duration(p.GetSpanS())*time.Second == CoarseSpan {
			h.coarse = append(h.coarse, b)
			continue
		}
		h.fine = append(h.fine, b)
	}
}

// Save writes the counts to the folder atomically: a crash at any time leaves either the old or the new file.
func (r *Recorder) Save(folder, node string, now time.Time) error {
	data, err := proto.Marshal(r.Reply(node, now))
	if err != nil {
		return errors.Wrap(err, "encode the service-level counts")
	}
	return errors.Wrap(durablefile.Replace(filepath.Join(folder, fileName), data), "store the service-level counts")
}
