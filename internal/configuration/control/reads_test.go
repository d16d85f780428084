package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// Hundreds of hosts that start at the same time must not make a control replica read the chain hundreds of
// times, and none of them may get the result of a read that began before its request.
func TestReadsAreSharedAndNeverOlderThanTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var shared readGroup
		var starts, latest atomic.Int64
		read := func(context.Context) (bool, error) {
			starts.Add(1)
			latest.Store(time.Now().UnixNano())
			time.Sleep(30 * time.Millisecond)
			return true, nil
		}
		var readers sync.WaitGroup
		for i := range 1000 {
			readers.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				requested := time.Now()
				undecided, err := shared.awaitRead(context.Background(), read)
				if err != nil || !undecided {
					t.Errorf("wait returned %v, %v", undecided, err)
				}
				if elapsed := time.Since(requested); elapsed > 60*time.Millisecond {
					t.Errorf("a call took %v, longer than two reads", elapsed)
				}
				if last := time.Unix(0, latest.Load()); last.Before(requested) && time.Since(last) >= 30*time.Millisecond {
					t.Errorf("the read began %v before the request", requested.Sub(last))
				}
			})
		}
		readers.Wait()
		g.Expect(starts.Load()).To(BeNumerically("<=", 6), "at most five reads fit into 130 ms")
	})
}

// A read for which no call waits any more must be cancelled, so that it does not delay the next read.
func TestAbandonedReadEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var shared readGroup
		endless := func(ctx context.Context) (bool, error) { <-ctx.Done(); return false, ctx.Err() }
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := shared.awaitRead(ctx, endless)
		g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
		synctest.Wait()
		began := time.Now()
		undecided, err := shared.awaitRead(context.Background(), func(context.Context) (bool, error) { return true, nil })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(undecided).To(BeTrue())
		g.Expect(time.Since(began)).To(BeZero())
	})
}
