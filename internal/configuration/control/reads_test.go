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

// Hundreds of hosts that start at once must not make a control replica read the chain hundreds of times, and
// none of them may get what was read before it asked.
func TestReadsAreSharedAndNeverOlderThanTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var shared reads
		var began, latest atomic.Int64
		read := func(context.Context) (bool, error) {
			began.Add(1)
			latest.Store(time.Now().UnixNano())
			time.Sleep(30 * time.Millisecond)
			return true, nil
		}
		var asking sync.WaitGroup
		for i := range 1000 {
			asking.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				asked := time.Now()
				undecided, err := shared.wait(context.Background(), read)
				if err != nil || !undecided {
					t.Errorf("wait returned %v, %v", undecided, err)
				}
				if took := time.Since(asked); took > 60*time.Millisecond {
					t.Errorf("an answer took %v, longer than two reads", took)
				}
				if last := time.Unix(0, latest.Load()); last.Before(asked) && time.Since(last) >= 30*time.Millisecond {
					t.Errorf("the read began %v before the question", asked.Sub(last))
				}
			})
		}
		asking.Wait()
		g.Expect(began.Load()).To(BeNumerically("<=", 6), "130 ms are room for five reads")
	})
}

// A read that nobody waits for any more must end, and not hold up the next.
func TestAbandonedReadEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var shared reads
		endless := func(ctx context.Context) (bool, error) { <-ctx.Done(); return false, ctx.Err() }
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := shared.wait(ctx, endless)
		g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
		synctest.Wait()
		began := time.Now()
		undecided, err := shared.wait(context.Background(), func(context.Context) (bool, error) { return true, nil })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(undecided).To(BeTrue())
		g.Expect(time.Since(began)).To(BeZero())
	})
}
