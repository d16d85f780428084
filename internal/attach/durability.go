package attach

import (
	"context"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// departureReopenInterval is the pause after a failure of the disk.
const departureReopenInterval = time.Second

// durability writes the departures of a tracker to its disk. One goroutine writes; departures that are recorded while a
// sync is running share the next one. Without a file, departures count as durable once they are recorded.
type durability struct {
	file *departureFile
	// wake signals that there is something to write.
	wake chan struct{}

	// The tracker's mutex protects the fields below.

	// waiting holds the entries that the next write contains.
	waiting []*fleetpb.DepartureRecord
	// complete is set once this host knows every departure that it has confirmed, over the loss of its disk;
	// completeDurable once the file says so.
	complete, completeDurable bool
	// changed is closed when further departures have become durable.
	changed chan struct{}
}

func newDurability() *durability {
	return &durability{wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

func (d *durability) notifyWriter() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// openFile reads the departures that a former process of this host has kept.
func (t *tracker) openFile(folder DepartureFolder, now time.Time) error {
	file, records, err := openDepartureFile(folder, t.opts.Logger)
	if err != nil {
		return err
	}
	t.durability.file = file
	for _, r := range records {
		if r.GetComplete() || r.GetDiskLost() {
			t.durability.complete = r.GetComplete()
			t.durability.completeDurable = r.GetComplete() && !file.failed()
			continue
		}
		// The wall clock may have been set; a departure is never kept for longer than one that is recorded now.
		age := max(now.Sub(time.UnixMilli(r.GetRecordedMs())), 0)
		if age >= departureRetention {
			continue
		}
		if membership.CheckDeparture(string(r.GetInstance()), r.GetIncarnation()) != nil {
			continue
		}
		recordedAt := now.Add(-age)
		t.departures.record(recordedAt, string(r.GetInstance()), r.GetIncarnation())
		if !file.failed() {
			t.departures.markDurable(string(r.GetInstance()), r.GetIncarnation(), recordedAt)
		}
	}
	t.opts.Logger.Info("read the departures of backend servers", "kept", len(t.departures.entries), "read", len(records),
		"complete", t.durability.complete, "disk_lost", file.folder.DiskLost)
	return nil
}

// record adds a departure and has it written. It reports whether the departure was new. The caller holds the mutex.
func (t *tracker) record(now time.Time, instance string, incarnation uint64) bool {
	if !t.departures.record(now, instance, incarnation) {
		return false
	}
	if t.durability.file == nil {
		t.departures.markDurable(instance, incarnation, now)
		return true
	}
	t.durability.waiting = append(t.durability.waiting, departureRecord(now, instance, t.departures.entries[instance].incarnation))
	t.durability.notifyWriter()
	return true
}

func departureRecord(recordedAt time.Time, instance string, incarnation uint64) *fleetpb.DepartureRecord {
	return &fleetpb.DepartureRecord{Instance: []byte(instance), Incarnation: incarnation, RecordedMs: recordedAt.UnixMilli()}
}

// recovering reports whether this host may lack departures that it has confirmed. After the loss of its disk it does until
// it has polled a majority of the control group: what was confirmed is on the disks of a majority, so enough of them are
// left. A file that does not say whether it is complete, as after an upgrade, counts as such after recoveryPeriod. The
// caller holds the mutex.
func (t *tracker) recovering(now time.Time) bool {
	d := t.durability
	if d.complete {
		return false
	}
	if d.file != nil && d.file.folder.DiskLost {
		if t.freshness.asOf(t.opts.Source.Fleet()).IsZero() {
			return true
		}
	} else if now.Sub(t.started) < recoveryPeriod {
		return true
	}
	if d.file != nil {
		d.complete = true
		d.notifyWriter()
		t.opts.Logger.Info("knows the departures that were confirmed before", "kept", len(t.departures.entries), "disk_lost", d.file.folder.DiskLost)
	}
	return false
}

// isDurable reports whether the departure of the process is durable at this host.
func (t *tracker) isDurable(instance string, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departures.isDurable(instance, incarnation)
}

// durableChange returns a channel that is closed when further departures have become durable.
func (t *tracker) durableChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.durability.changed
}

// awaitDurable waits until all departures are durable or the context ends, and reports which of the two happened.
func (t *tracker) awaitDurable(ctx context.Context, marks []*fleetpb.Mark) bool {
	for {
		changed := t.durableChange()
		durable := true
		for _, m := range marks {
			durable = durable && t.isDurable(m.GetInstance(), m.GetIncarnation())
		}
		if durable {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// writeDepartures writes departures to disk until the context is cancelled.
func (t *tracker) writeDepartures(ctx context.Context) {
	file := t.durability.file
	if file == nil {
		return
	}
	defer file.close()
	ticker := time.NewTicker(departureReopenInterval)
	defer ticker.Stop()
	for {
		t.write()
		wake := t.durability.wake
		if file.failed() {
			wake = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-ticker.C:
		}
	}
}

// write makes everything durable that is waiting. After a failure of the disk, or if most of the file is outdated, it
// replaces the file by the departures that are kept.
func (t *tracker) write() {
	file := t.durability.file
	replace := file.failed() || file.isLarge()
	records, complete := t.takeWaiting(replace)
	if len(records) == 0 && !replace {
		return
	}
	started := time.Now()
	var err error
	if replace {
		err = file.replace(records)
	} else {
		err = file.append(records)
	}
	t.opts.Metrics.observeWrite(time.Since(started), len(records), err)
	if err != nil {
		t.opts.Logger.Error("could not write departures; they count as not confirmed by this host until its disk takes them",
			"departures", len(records), "err", logging.Err(err))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.durability.completeDurable = complete
	for _, r := range records {
		t.departures.markDurable(string(r.GetInstance()), r.GetIncarnation(), time.UnixMilli(r.GetRecordedMs()))
	}
	close(t.durability.changed)
	t.durability.changed = make(chan struct{})
}

// takeWaiting returns the entries to write: those that are waiting, or all that are kept. complete is whether the file
// then holds everything that this host has confirmed.
func (t *tracker) takeWaiting(all bool) (records []*fleetpb.DepartureRecord, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.durability
	records, d.waiting = d.waiting, nil
	if all {
		records = nil
		for instance, e := range t.departures.entries {
			records = append(records, departureRecord(e.recordedAt, instance, e.incarnation))
		}
	}
	switch {
	case d.complete && (all || !d.completeDurable):
		records = append(records, &fleetpb.DepartureRecord{Complete: true})
	case all && d.file.folder.DiskLost:
		records = append(records, &fleetpb.DepartureRecord{DiskLost: true})
	}
	return records, d.complete
}
