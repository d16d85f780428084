package readahead

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// open returns a connection, the caller's end of it and the context of its requests.
func open(t *testing.T) (c *Conn, caller net.Conn, ctx context.Context) {
	caller, inner := net.Pipe()
	c = newConn(inner)
	ctx = Context(context.Background(), c)
	t.Cleanup(func() {
		_ = caller.Close()
		_ = c.Close()
	})
	return c, caller, ctx
}

// startWatch reads the first byte of a pipelined request, as net/http does while it handles a request.
func startWatch(g *WithT, c *Conn, caller net.Conn, request string) {
	written := make(chan error, 1)
	go func() {
		_, err := caller.Write([]byte(request))
		written <- err
	}()
	first := make([]byte, 1)
	_, err := io.ReadFull(c, first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-written).To(Succeed())
}

// Without the cancellation, servers work on for callers that have left.
func TestCloseBehindPipelinedRequestCancels(t *testing.T) {
	g := NewWithT(t)
	c, caller, ctx := open(t)
	startWatch(g, c, caller, "GET /second")
	g.Expect(caller.Close()).To(Succeed())
	g.Eventually(ctx.Done()).Should(BeClosed())
	rest, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(rest)).To(Equal("ET /second"))
}

// Lost or reordered bytes would change the requests behind the first one.
func TestBytesStayInOrder(t *testing.T) {
	g := NewWithT(t)
	c, caller, _ := open(t)
	sent := make([]byte, 4*MaxBuffered)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range sent {
		sent[i] = byte(random.Uint32())
	}
	go func() {
		for rest := sent; len(rest) > 0; {
			n := min(len(rest), 1+random.IntN(3*chunkBytes))
			_, _ = caller.Write(rest[:n])
			rest = rest[n:]
		}
		_ = caller.Close()
	}()
	var got bytes.Buffer
	for i := 0; ; i++ {
		p := make([]byte, 1+i%3*700)
		n, err := c.Read(p)
		got.Write(p[:n])
		if err == io.EOF {
			break
		}
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(bytes.Equal(got.Bytes(), sent)).To(BeTrue())
}

// A caller that pipelines without end must not fill the memory.
func TestBufferIsBounded(t *testing.T) {
	g := NewWithT(t)
	c, caller, _ := open(t)
	startWatch(g, c, caller, "GET /second")
	written := make(chan int, 1)
	go func() {
		n, _ := caller.Write(make([]byte, 4*MaxBuffered))
		written <- n
	}()
	g.Eventually(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.reading && len(c.buffer) >= MaxBuffered
	}).Should(BeTrue())
	g.Expect(caller.Close()).To(Succeed())
	g.Expect(<-written).To(BeNumerically("<=", MaxBuffered+chunkBytes))
}

// net/http interrupts reads with a deadline in the past, and reads on afterwards.
func TestReadDeadlineDoesNotEndTheConnection(t *testing.T) {
	g := NewWithT(t)
	c, caller, ctx := open(t)
	startWatch(g, c, caller, "G")
	g.Expect(c.SetReadDeadline(time.Unix(1, 0))).To(Succeed())
	_, err := c.Read(make([]byte, 10))
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	g.Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
	go func() { _, _ = caller.Write([]byte("ET")) }()
	rest := make([]byte, 2)
	_, err = io.ReadFull(c, rest)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(rest)).To(Equal("ET"))
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
}
