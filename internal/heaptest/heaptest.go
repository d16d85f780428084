// Package heaptest measures the heap for tests.
package heaptest

import (
	"runtime"
	"time"
)

// sampleInterval is the pause between two looks at the heap.
const sampleInterval = 5 * time.Millisecond

// Growth returns by how many bytes the heap in use grows at most while f runs.
func Growth(f func()) uint64 {
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		highest := before.HeapInuse
		for {
			select {
			case <-done:
				peak <- highest
				return
			case <-time.After(sampleInterval):
				runtime.ReadMemStats(&now)
				highest = max(highest, now.HeapInuse)
			}
		}
	}()
	f()
	close(done)
	return <-peak - before.HeapInuse
}
