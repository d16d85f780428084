package roundtrip_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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

// A connection must not forget which requests it has refused.
func TestConnectionsEndBeforeTheyForgetRefusals(t *testing.T) {
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
	g.Expect(last).To(BeNumerically("<=", 10), "refusals are common under load and must not cost a connection each")
	g.Expect(sendRefused(p, address, "r-499")).To(Succeed())
	g.Expect(<-numbers).NotTo(Equal(refusedOn["r-499"]))
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
