package settings_test

import (
	"context"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/settings"
)

// Guards against a process that misses a change of the control replicas, with or without a signal, and so
// finds no host after a partition, and against one that replaces its settings by invalid ones.
func TestLiveFollowsTheSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var mu sync.Mutex
		first := &settings.Settings{ControlReplicas: []settings.Replica{{ID: "a", Address: "a:1"}}}
		next, failure := first, error(nil)
		load := func() (*settings.Settings, error) {
			mu.Lock()
			defer mu.Unlock()
			return next, failure
		}
		write := func(s *settings.Settings, err error) {
			mu.Lock()
			defer mu.Unlock()
			next, failure = s, err
		}
		live := settings.NewLive(first, load, logging.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		signals := make(chan os.Signal, 1)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = live.Run(ctx, signals)
		}()
		write(&settings.Settings{ControlReplicas: []settings.Replica{{ID: "b", Address: "b:1"}}}, nil)
		signals <- syscall.SIGHUP
		synctest.Wait()
		g.Expect(live.Replicas()[0].ID).To(Equal("b"))
		write(nil, errors.New("faulty"))
		time.Sleep(2 * time.Second)
		g.Expect(live.Replicas()[0].ID).To(Equal("b"))
		write(&settings.Settings{ControlReplicas: []settings.Replica{{ID: "c", Address: "c:1"}}}, nil)
		time.Sleep(2 * time.Second)
		g.Expect(live.Replicas()[0].ID).To(Equal("c"))
		cancel()
		<-done
	})
}
