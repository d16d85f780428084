package logging

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	lines   bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// Guards against a log output that nobody reads and that thereby blocks requests, and against lines that are
// dropped without a report.
func TestAsyncNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	a := NewAsync(out)
	began := time.Now()
	for range 3 * asyncQueueLines {
		_, err := a.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
	short, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	a.Close(short)
	close(out.release)
	a.Close(context.Background())
	text := out.lines.String()
	g.Expect(strings.Count(text, "line\n")).To(BeNumerically(">=", asyncQueueLines))
	g.Expect(text).To(ContainSubstring("dropped lines"))
}

// Guards against a log flooded by many failures, and against suppressed lines that are not reported.
func TestLimiterCountsWhatItSuppresses(t *testing.T) {
	g := NewWithT(t)
	l := NewLimiter(10)
	now := time.Unix(100, 0)
	allowed := 0
	for range 50 {
		if ok, _ := l.Allow(now); ok {
			allowed++
		}
	}
	g.Expect(allowed).To(Equal(10))
	ok, suppressed := l.Allow(now.Add(time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(suppressed).To(Equal(40))
}
