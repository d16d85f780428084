package roundtrip_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
)

// listen passes each connection, with its number starting at 1, to the function.
func listen(t testing.TB, handle func(n int, c net.Conn, br *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(n, c, bufio.NewReader(c))
		}
	}()
	return l.Addr().String()
}

func newPool(t testing.TB, cfg roundtrip.Config) *roundtrip.Pool {
	p := roundtrip.New(cfg)
	t.Cleanup(p.Close)
	return p
}

func get(target string) *roundtrip.Request {
	return &roundtrip.Request{
		Method: "GET", Target: target, Host: "h", MaxIdle: time.Minute, AcquireDeadline: time.Now().Add(200 * time.Millisecond),
	}
}

func fetch(ctx context.Context, p *roundtrip.Pool, address, target string) (string, error) {
	a, err := p.Send(ctx, address, get(target))
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// echo responds with the request's target until the connection ends.
func echo(c net.Conn, br *bufio.Reader) {
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.RequestURI), r.RequestURI)
	}
}

// A late response on a reused connection would be delivered to the next request, which belongs to
// another caller.
func TestLateAnswerIsNeverReused(t *testing.T) {
	g := NewWithT(t)
	var conns atomic.Int64
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		conns.Store(int64(n))
		if n == 1 {
			_, _ = http.ReadRequest(br)
			time.Sleep(60 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			return
		}
		echo(c, br)
	})
	p := newPool(t, roundtrip.Config{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := fetch(ctx, p, address, "/one")
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	for range 5 {
		g.Expect(fetch(context.Background(), p, address, "/two")).To(Equal("/two"))
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(conns.Load()).To(BeEquivalentTo(2), "a clean connection is reused")
}

// Bytes after a response, sent with it or later, must not be read as the beginning of the next response.
func TestSurplusBytesEndTheConnection(t *testing.T) {
	const surplus = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	for name, pause := range map[string]time.Duration{"with the response": 0, "while idle": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.RequestURI), r.RequestURI)
				if pause == 0 {
					_, _ = io.WriteString(c, response+surplus)
					return
				}
				_, _ = io.WriteString(c, response)
				time.Sleep(pause)
				_, _ = io.WriteString(c, surplus)
			})
			p := newPool(t, roundtrip.Config{})
			g.Expect(fetch(context.Background(), p, address, "/one")).To(Equal("/one"))
			time.Sleep(2 * pause)
			g.Expect(fetch(context.Background(), p, address, "/two")).To(Equal("/two"))
		})
	}
}

// When a reused connection breaks, a request that is resent on a new connection without notice
// would run twice.
func TestBrokenReusedConnectionIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	var seen atomic.Int64
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		for i := range 2 {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			seen.Add(1)
			if i == 0 {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
	})
	p := newPool(t, roundtrip.Config{})
	_, err := fetch(context.Background(), p, address, "/one")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fetch(context.Background(), p, address, "/two")
	var e *roundtrip.Error
	g.Expect(err).To(BeAssignableToTypeOf(e))
	g.Expect(err.(*roundtrip.Error).Written).To(BeTrue())
	g.Expect(seen.Load()).To(BeEquivalentTo(2))
}

// rejectingHooks rejects every request before it is written.
type rejectingHooks struct{}

func (rejectingHooks) BeforeWrite() bool { return false }
func (rejectingHooks) FirstByte()        {}

// Error.Written decides between the outcomes not-run and unknown, so it must be false before the
// first byte is written and true afterwards.
func TestWrittenIsTruthful(t *testing.T) {
	g := NewWithT(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	closed.Close()
	p := newPool(t, roundtrip.Config{Connections: 1})
	expect := func(address string, r *roundtrip.Request, stage roundtrip.Stage, written bool) {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := p.Send(ctx, address, r)
		var e *roundtrip.Error
		g.Expect(err).To(BeAssignableToTypeOf(e))
		e = err.(*roundtrip.Error)
		g.Expect([]any{e.Stage, e.Written}).To(Equal([]any{stage, written}), e.Error())
	}
	expect(closed.Addr().String(), get("/"), roundtrip.StageConnect, false)

	respondAndClose := func(after string) string {
		return listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			_, _ = io.WriteString(c, after)
			c.Close()
		})
	}
	withdrawn := get("/")
	withdrawn.Hooks = rejectingHooks{}
	expect(respondAndClose(""), withdrawn, roundtrip.StageStart, false)
	expect(respondAndClose(""), get("/"), roundtrip.StageAwait, true)
	expect(respondAndClose("HTTP/1.1 200"), get("/"), roundtrip.StageHeader, true)
	expect(respondAndClose("HTTP/1.1 200 OK\r\n\r\nno length"), get("/"), roundtrip.StageHeader, true)
	expect(respondAndClose("HTTP/1.1 101 Switching Protocols\r\n\r\n"), get("/"), roundtrip.StageHeader, true)
	expect(respondAndClose("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", roundtrip.MaxResponseHeaderBytes)), get("/"), roundtrip.StageHeader, true)

	busy := listen(t, func(_ int, c net.Conn, br *bufio.Reader) { echo(c, br) })
	first, err := p.Send(context.Background(), busy, get("/"))
	g.Expect(err).NotTo(HaveOccurred())
	shortWait := get("/")
	shortWait.AcquireDeadline = time.Now().Add(10 * time.Millisecond)
	expect(busy, shortWait, roundtrip.StageAcquire, false)
	first.Close()
}

// A truncated response that looks complete would give the caller wrong data. A response that is cut
// at any byte must be an error, whether its body has a stated length or is chunked.
func TestEveryCutIsAnError(t *testing.T) {
	var response atomic.Value
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(c, response.Load().(string))
		c.Close()
	})
	p := newPool(t, roundtrip.Config{})
	rapid.Check(t, func(t *rapid.T) {
		complete := "HTTP/1.1 200 OK\r\n"
		body := ""
		if rapid.Bool().Draw(t, "chunked") {
			complete += "Transfer-Encoding: chunked\r\n\r\n"
			for _, chunk := range rapid.SliceOfN(rapid.StringMatching("[a-z0-9\r\n]{1,40}"), 0, 4).Draw(t, "chunks") {
				complete += fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
				body += chunk
			}
			complete += "0\r\n\r\n"
		} else {
			body = rapid.StringMatching("[a-z0-9\r\n]{0,60}").Draw(t, "body")
			complete += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		cut := rapid.IntRange(0, len(complete)).Draw(t, "cut")
		response.Store(complete[:cut])
		got, err := fetch(context.Background(), p, address, "/")
		if cut < len(complete) && err == nil {
			t.Fatalf("%d of %d bytes were accepted as the complete response", cut, len(complete))
		}
		if cut == len(complete) && (err != nil || got != body) {
			t.Fatalf("the complete response became %q, %v", got, err)
		}
	})
}

// Connections beyond what a server accepts would be refused, which looks like a failing server.
func TestConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var open, peak atomic.Int64
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		now := open.Add(1)
		for seen := peak.Load(); now > seen && !peak.CompareAndSwap(seen, now); seen = peak.Load() {
		}
		echo(c, br)
		c.Close()
		open.Add(-1)
	})
	p := newPool(t, roundtrip.Config{Connections: 3, IdleTimeout: 50 * time.Millisecond})
	errs := make(chan error)
	for range 20 {
		go func() {
			for range 20 {
				r := get("/x")
				r.AcquireDeadline = time.Now().Add(5 * time.Second)
				a, err := p.Send(context.Background(), address, r)
				if err != nil {
					errs <- err
					return
				}
				_, _ = io.Copy(io.Discard, a)
				a.Close()
			}
			errs <- nil
		}()
	}
	for range 20 {
		g.Expect(<-errs).To(Succeed())
	}
	g.Expect(peak.Load()).To(BeNumerically("<=", 3))
	g.Eventually(open.Load).Should(BeZero(), "idle connections are closed after the idle timeout")
	g.Expect(p.Open()).To(BeZero())
}

// A server may respond before it has read a large body. Its response must be read, and the
// connection must not be reused, since the rest of the body is still to be written on it.
func TestEarlyResponseToAnUnreadBody(t *testing.T) {
	g := NewWithT(t)
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		fmt.Fprintf(c, "HTTP/1.1 503 No\r\nContent-Length: 1\r\n\r\n%d", n)
	})
	p := newPool(t, roundtrip.Config{})
	for want := range 2 {
		r := get("/")
		r.Method = "POST"
		r.Body = make([]byte, 16<<20)
		a, err := p.Send(context.Background(), address, r)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(a)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal(fmt.Sprint(want + 1)))
		a.Close()
	}
}
