package roundtrip_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
)

// refuseAll refuses each request and repeats its id. numbers receives the number of the connection of each request.
func refuseAll(t *testing.T, numbers chan<- int) string {
	return listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			numbers <- n
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
		}
	})
}

// sendRefused sends a request that is refused. An empty id stands for a dialect without ids in responses.
func sendRefused(p *roundtrip.Pool, address, id string) error {
	r := get("/")
	if id != "" {
		r.EchoName, r.EchoValue = "X-Id", id
		r.Extra[0] = roundtrip.Field{Name: "X-Id", Value: id}
	}
	resp, err := p.Send(context.Background(), address, r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp)
	resp.Refused()
	resp.Close()
	return err
}

// The copy of a refusal would be taken for the response to a request that is sent again on the same connection.
func TestRefusedRequestsAvoidTheirConnections(t *testing.T) {
	for _, connections := range []int{1, 2, 6} {
		g := NewWithT(t)
		numbers := make(chan int, 100)
		address := refuseAll(t, numbers)
		p := newPool(t, roundtrip.Config{Connections: connections})
		used := map[int]bool{}
		for range 12 {
			g.Expect(sendRefused(p, address, "again")).To(Succeed())
			n := <-numbers
			g.Expect(used[n]).To(BeFalse(), "connection %d has refused the request before", n)
			used[n] = true
			g.Expect(p.Open()).To(BeNumerically("<=", connections))
		}
		g.Expect(sendRefused(p, address, "other")).To(Succeed())
		g.Expect(used[<-numbers]).To(BeTrue(), "other requests reuse the connection")
	}
}

// A connection must not forget which requests it has refused, and refusals are common under load, so that a connection
// must serve many of them.
func TestConnectionsDoNotForgetRefusals(t *testing.T) {
	g := NewWithT(t)
	numbers := make(chan int, 1000)
	address := refuseAll(t, numbers)
	p := newPool(t, roundtrip.Config{Connections: 1})
	refusedOn := map[string]int{}
	last := 0
	for i := range 500 {
		id := fmt.Sprint("r-", i)
		g.Expect(sendRefused(p, address, id)).To(Succeed())
		last = <-numbers
		refusedOn[id] = last
	}
	g.Expect(last).To(BeNumerically("<=", 10), "%d connections for 500 refusals", last)
	for i := range 500 {
		// The second request opens a connection if the first one has left none.
		for _, id := range []string{fmt.Sprint("other-", i), fmt.Sprint("r-", i)} {
			g.Expect(sendRefused(p, address, id)).To(Succeed())
			n := <-numbers
			g.Expect(n).NotTo(Equal(refusedOn[id]), "%s returned to connection %d", id, n)
			refusedOn[id] = n
		}
	}
}

// Requests must stay away from the connections that refused them also while many share these, and the limit of
// connections must hold.
func TestRefusedRequestsAvoidTheirConnectionsConcurrently(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	seen := map[string]bool{}
	var returned atomic.Int64
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Id")
			mu.Lock()
			key := fmt.Sprint(n, " ", id)
			if seen[key] {
				returned.Add(1)
			}
			seen[key] = true
			mu.Unlock()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		}
	})
	p := newPool(t, roundtrip.Config{Connections: 3})
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 100 {
				// Waiting too long for a connection is no matter of this test.
				_ = sendRefused(p, address, fmt.Sprint("r-", (worker+i)%5))
			}
		})
	}
	group.Wait()
	g.Expect(returned.Load()).To(BeZero())
	mu.Lock()
	defer mu.Unlock()
	g.Expect(len(seen)).To(BeNumerically(">", 100))
	g.Expect(p.Open()).To(BeNumerically("<=", 3))
}

// Where responses do not state the id of their request, the copy of a refusal can't be told from any other response.
func TestRefusalsWithoutIDsEndTheirConnections(t *testing.T) {
	g := NewWithT(t)
	numbers := make(chan int, 10)
	address := refuseAll(t, numbers)
	p := newPool(t, roundtrip.Config{})
	for i := range 3 {
		g.Expect(sendRefused(p, address, "")).To(Succeed())
		g.Expect(<-numbers).To(Equal(i + 1))
		g.Expect(p.Open()).To(BeZero())
		time.Sleep(time.Millisecond)
	}
}

// The copy of a response to HEAD has no body, whatever its header says. If it arrives in place of the response to a request
// of another method, or the reverse, its end is looked for at the wrong place, and the next request ends.
func TestCopiesOfResponsesToHEADDoNotEndOtherRequests(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		copied := ""
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			response := fmt.Sprintf("HTTP/1.1 503 Busy\r\nX-Id: %s\r\nContent-Length: 40\r\n\r\n", r.Header.Get("X-Id"))
			if r.Method != http.MethodHead {
				response += strings.Repeat("x", 40)
			}
			_, _ = io.WriteString(c, copied+response)
			copied = response
		}
	})
	for _, connections := range []int{1, 6} {
		g := NewWithT(t)
		p := newPool(t, roundtrip.Config{Connections: connections})
		for i, method := range []string{"HEAD", "HEAD", "GET", "POST", "HEAD", "POST"} {
			r := get("/")
			r.Method, r.EchoName, r.EchoValue = method, "X-Id", fmt.Sprint(i)
			r.Extra[0] = roundtrip.Field{Name: "X-Id", Value: r.EchoValue}
			resp, err := p.Send(context.Background(), address, r)
			g.Expect(err).NotTo(HaveOccurred(), "%s, request %d", method, i)
			body, err := io.ReadAll(resp)
			g.Expect(err).NotTo(HaveOccurred())
			resp.Refused()
			resp.Close()
			g.Expect(resp.Header.Get("X-Id")).To(Equal(r.EchoValue))
			g.Expect(len(body) == 0).To(Equal(method == "HEAD"))
			g.Expect(p.Open()).To(BeNumerically("<=", connections))
		}
	}
}
