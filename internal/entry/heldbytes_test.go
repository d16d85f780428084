package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/heaptest"
	"github.com/tarragonmux/tarragonmux/internal/settings"
)

// rotatingGrants grants each of many servers in turn.
type rotatingGrants struct {
	*fakeGrants
	servers []string
	next    atomic.Int64
}

func (r *rotatingGrants) Acquire(context.Context, grant.Request) (grant.Grant, error) {
	r.mu.Lock()
	r.open++
	r.mu.Unlock()
	address := r.servers[r.next.Add(1)%int64(len(r.servers))]
	return &fakeGrant{source: r.fakeGrants, address: address, expires: time.Now().Add(2 * time.Second)}, nil
}

// endlessServer responds with the head and then sends parts until the connection is closed.
func endlessServer(head string, part func(n int) string) string {
	return rawServer(func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := io.WriteString(c, head)
		for n := 0; err == nil; n++ {
			_, err = io.WriteString(c, part(n))
		}
	})
}

// smallFields returns header fields of a few bytes each.
func smallFields(n int) string {
	var b strings.Builder
	for i := range 500 {
		fmt.Fprintf(&b, "%x:\r\n", n*500+i)
	}
	return b.String()
}

// upload sends a request with a large body.
func upload(c net.Conn) {
	const size = 16 << 20
	_, err := io.WriteString(c, fmt.Sprintf("POST /two HTTP/1.1\r\nHost: a\r\nGrpc-Timeout: 1500m\r\nContent-Length: %d\r\n\r\n", size))
	_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	chunk := strings.Repeat("u", 64<<10)
	for sent := 0; err == nil && sent < size; sent += len(chunk) {
		_, err = io.WriteString(c, chunk)
	}
}

var _ = Describe("Bytes without end from many servers", Serial, func() {
	DescribeTable("do not fill the memory of the host",
		func(head string, part func(n int) string, request ...func(c net.Conn)) {
			const (
				servers, calls = 200, 800
				// hostMemory is the memory of the smallest entry hosts of the users. A process on it limits the heap to a share
				// of it, and responses to another one.
				hostMemory = 184 << 20
				heapLimit  = hostMemory * 70 / 100
			)
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(heapLimit))
			var addresses []string
			for range servers {
				addresses = append(addresses, endlessServer(head, part))
			}
			f := start(func(c *entry.Config) {
				c.Grants = &rotatingGrants{fakeGrants: c.Grants.(*fakeGrants), servers: addresses}
				d := *entry.Native()
				d.CloseDelimited, d.MaxBufferedResponse = true, 256<<10
				c.Dialect = &d
				c.Settings.MaxRequests = 2000
				c.Pool.Memory = roundtrip.NewMemory(hostMemory / 8)
				c.Settings.BodyTimeout = settings.Duration(time.Second)
			}, addresses[0])
			grown := heaptest.Growth(func() {
				var group sync.WaitGroup
				for range calls {
					c := f.open()
					group.Go(func() {
						// The caller sends a request and reads nothing.
						if len(request) > 0 {
							request[0](c)
						} else {
							_, _ = io.WriteString(c, "GET /two HTTP/1.1\r\nHost: a\r\nGrpc-Timeout: 1500m\r\n\r\n")
						}
						time.Sleep(2 * time.Second)
					})
				}
				group.Wait()
			})
			// The callers and the servers of the test are in this process, too.
			Expect(grown).To(BeNumerically("<", heapLimit))
		},
		Entry("as many small fields", "HTTP/1.1 200 OK\r\n", smallFields),
		Entry("as one long field", "HTTP/1.1 200 OK\r\nX: ", func(int) string { return strings.Repeat("x", 4096) }),
		Entry("as a body without a length", "HTTP/1.1 200 OK\r\n\r\n", func(int) string { return strings.Repeat("x", 4096) }),
		Entry("as a body in small chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", func(int) string { return strings.Repeat("1\r\nx\r\n", 700) }),
		Entry("as many small fields, while large request bodies arrive", "HTTP/1.1 200 OK\r\n", smallFields, upload),
		Entry("as a body without a length, while large request bodies arrive", "HTTP/1.1 200 OK\r\n\r\n",
			func(int) string { return strings.Repeat("x", 4096) }, upload),
		Entry("as a byte a second", "HTTP/1.1 200 OK\r\nX: ", func(int) string { time.Sleep(time.Second); return "x" }),
		Entry("as a body of a large stated length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", func(int) string { return strings.Repeat("x", 4096) }),
	)

	// What takes too much memory must fail alone: while none is left for large responses, a lawful download is streamed,
	// and a response with large headers fails. Afterwards all memory is there again.
	It("leave lawful responses as they are", func() {
		const size = 100 << 10
		body := strings.Repeat("lawful ", 60<<10)
		download := closingServer("HTTP/1.1 200 OK\r\n\r\n" + body)
		large := closingServer("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 60<<10) + "\r\nContent-Length: 0\r\n\r\n")
		for _, left := range []int64{0, size} {
			memory := roundtrip.NewMemory(left)
			for address, status := range map[string]int{download: 200, large: map[int64]int{0: 502, size: 200}[left]} {
				f := start(func(c *entry.Config) {
					d := *entry.Native()
					d.CloseDelimited, d.MaxBufferedResponse = true, 64<<10
					c.Dialect = &d
					c.Pool.Memory = memory
				}, address)
				a := f.do("GET", "/two", "")
				Expect(a.err).NotTo(HaveOccurred())
				Expect(a.status).To(Equal(status))
				if address == download {
					Expect(a.body).To(Equal(body))
				}
			}
			Eventually(func() bool { return memory.Reserve(left) }).Should(BeTrue(), "all memory was returned")
		}
	})
})

// closingServer responds to each request with the text and closes the connection.
func closingServer(text string) string {
	return rawServer(func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text)
		}
	})
}
