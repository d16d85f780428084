package roundtrip_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
)

// serverEnd is what a server does with a request once it has read some bytes of it.
type serverEnd int

const (
	respondEarly serverEnd = iota
	refuseEarly
	closeEarly
	resetEarly
	sendGarbage
	staySilent
	readAll
	serverEnds
)

// requestBody is how a request carries its body.
type requestBody int

const (
	inlineBody requestBody = iota
	largeBody
	streamOfKnownLength
	streamOfUnknownLength
	streamThatFails
	streamThatBlocks
	requestBodies
)

// clientEnd is what ends the round trip on the side of the client.
type clientEnd int

const (
	noEnd clientEnd = iota
	contextEnds
	contextHasEnded
	abortCalled
	abortWasCalled
	withdrawnBeforeWrite
	clientEnds
)

// writtenCase is one round trip that may fail in various ways at once.
type writtenCase struct {
	server     serverEnd
	serverRead int
	body       requestBody
	bytes      int
	client     clientEnd
	clientEnd  time.Duration
	// reused is set if the connection has served another request.
	reused bool
	// stall delays the first write, as a process that is suspended before it would.
	stall time.Duration
	// breakAfter is the number of bytes after which writes fail; negative for none.
	breakAfter int
}

// each returns all values below the limit.
func each[T ~int](limit T) []T {
	var all []T
	for value := range limit {
		all = append(all, value)
	}
	return all
}

func drawWrittenCase(t *rapid.T) writtenCase {
	short := func(label string) time.Duration {
		return rapid.SampledFrom([]time.Duration{0, 20, 50, 100, 200, 500, 1000, 3000}).Draw(t, label) * time.Microsecond
	}
	w := writtenCase{
		server:     rapid.SampledFrom(each(serverEnds)).Draw(t, "server"),
		serverRead: rapid.SampledFrom([]int{0, 1, 20, 200, 40 << 10, 150 << 10}).Draw(t, "server read"),
		body:       rapid.SampledFrom(each(requestBodies)).Draw(t, "body"),
		bytes:      rapid.SampledFrom([]int{0, 100, 5 << 10, 32 << 10}).Draw(t, "bytes"),
		client:     rapid.SampledFrom(append(each(clientEnds), noEnd, noEnd, contextEnds, contextEnds, abortCalled, abortCalled)).Draw(t, "client"),
		clientEnd:  short("client end"),
		reused:     rapid.Bool().Draw(t, "reused"),
		breakAfter: rapid.SampledFrom([]int{-1, -1, -1, -1, -1, 0, 1, 100, 6 << 10}).Draw(t, "break after"),
	}
	if rapid.Bool().Draw(t, "stalled") {
		w.stall = short("stall")
	}
	if w.body != inlineBody {
		w.bytes = rapid.SampledFrom([]int{33 << 10, 40 << 10, 200 << 10}).Draw(t, "more bytes")
	}
	return w
}

// faultyConn counts the bytes of one request that were handed to the network, and makes writes slow or fail.
type faultyConn struct {
	*net.TCPConn
	mu     sync.Mutex
	active bool
	wc     writtenCase
	handed int
}

var errBroken = errors.New("broken by the test")

func (c *faultyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active {
		return c.TCPConn.Write(p)
	}
	if c.handed == 0 {
		time.Sleep(c.wc.stall)
	}
	limit := len(p)
	if c.wc.breakAfter >= 0 {
		limit = min(limit, c.wc.breakAfter-c.handed)
	}
	n, err := c.TCPConn.Write(p[:limit])
	c.handed += n
	if err == nil && limit < len(p) {
		err = errBroken
	}
	return n, err
}

// blockingStream returns some bytes and then blocks until it is interrupted.
type blockingStream struct {
	first       io.Reader
	interrupted chan struct{}
	once        sync.Once
}

func (s *blockingStream) interrupt() { s.once.Do(func() { close(s.interrupted) }) }

func (s *blockingStream) Read(p []byte) (int, error) {
	if n, err := s.first.Read(p); err == nil {
		return n, nil
	}
	<-s.interrupted
	return 0, errBroken
}

func (w writtenCase) request() *roundtrip.Request {
	r := get("/")
	r.Method = "POST"
	body := make([]byte, w.bytes)
	r.Interrupt = func() {}
	switch w.body {
	case inlineBody, largeBody:
		r.Body = body
	case streamOfKnownLength:
		r.Stream, r.Length = bytes.NewReader(body), int64(len(body))
	case streamOfUnknownLength:
		r.Stream, r.Length = bytes.NewReader(body), -1
	case streamThatFails:
		r.Stream, r.Length = io.MultiReader(bytes.NewReader(body[:w.serverRead%w.bytes]), failingReader{}), int64(len(body))
	default:
		s := &blockingStream{first: bytes.NewReader(body[:w.serverRead%w.bytes]), interrupted: make(chan struct{})}
		r.Stream, r.Length, r.Interrupt = s, int64(len(body)), s.interrupt
	}
	if w.client == withdrawnBeforeWrite {
		r.Hooks = rejectingHooks{}
	}
	return r
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errBroken }

// serve reads a part of a request, ends it and returns how many bytes of it arrived.
func (w writtenCase) serve(c net.Conn, br *bufio.Reader) int64 {
	defer c.Close()
	read, err := io.CopyN(io.Discard, br, int64(w.serverRead))
	if err != nil {
		return read
	}
	switch w.server {
	case respondEarly:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	case refuseEarly:
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	case sendGarbage:
		_, _ = io.WriteString(c, "garbage")
	case closeEarly:
		return read
	case resetEarly:
		_ = c.(*net.TCPConn).SetLinger(0)
		return read
	}
	rest, _ := io.Copy(io.Discard, br)
	return read + rest
}

// Error.Written decides whether a request may be sent again. Whatever ends the round trip, and whoever writes the body,
// it must be set if and only if a byte of the request was handed to the network.
func TestWrittenIsTruthfulWhateverEndsTheRoundTrip(t *testing.T) {
	var written, unwritten, answered int
	rapid.Check(t, func(t *rapid.T) {
		w := drawWrittenCase(t)
		failed, set := w.play(t)
		switch {
		case !failed:
			answered++
		case set:
			written++
		default:
			unwritten++
		}
	})
	t.Logf("%d answered, %d failed after a byte was written, %d before", answered, written, unwritten)
	if written == 0 || unwritten == 0 {
		t.Error("the draws do not cover both outcomes")
	}
}

// play plays the case. It returns whether the round trip failed, and Error.Written.
func (w writtenCase) play(t *rapid.T) (failed, written bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	arrived := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		if w.reused {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		arrived <- w.serve(c, br)
	}()
	conns := &faultyConn{wc: w}
	var dialed atomic.Int64
	p := roundtrip.New(roundtrip.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if dialed.Add(1) > 1 {
			return nil, errBroken
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		conns.TCPConn = c.(*net.TCPConn)
		return conns, nil
	}})
	defer p.Close()
	address := l.Addr().String()
	if w.reused {
		if _, err := fetch(context.Background(), p, address, "/"); err != nil {
			t.Fatal(err)
		}
	}
	conns.mu.Lock()
	conns.active = true
	conns.mu.Unlock()
	failed, written = w.send(t, p, address)
	p.Close()
	if conns.TCPConn == nil {
		return failed, written
	}
	_ = conns.TCPConn.Close()
	got := <-arrived
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if failed && written != (conns.handed > 0) {
		t.Fatalf("Written is %t, but %d bytes were handed to the network", written, conns.handed)
	}
	if failed && !written && got > 0 {
		t.Fatalf("Written is not set, but %d bytes arrived", got)
	}
	return failed, written
}

// send makes the round trip.
func (w writtenCase) send(t *rapid.T, p *roundtrip.Pool, address string) (failed, written bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	r := w.request()
	switch w.client {
	case contextEnds:
		time.AfterFunc(w.clientEnd, cancel)
	case contextHasEnded:
		cancel()
	case abortCalled:
		r.Abort = &roundtrip.Abort{}
		time.AfterFunc(w.clientEnd, r.Abort.Abort)
	case abortWasCalled:
		r.Abort = &roundtrip.Abort{}
		r.Abort.Abort()
	}
	resp, err := p.Send(ctx, address, r)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp)
		resp.Close()
		return false, true
	}
	var e *roundtrip.Error
	if !errors.As(err, &e) {
		t.Fatalf("%T: %v", err, err)
	}
	return true, e.Written
}
