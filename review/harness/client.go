package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id, front string
	// status is 0 if the connection ended without an answer.
	status int
	sealed bool
	body   string
	sent   time.Time
	took   time.Duration
}

var requestCount atomic.Int64

// newRequestID returns an id that no other request of this run has.
func newRequestID() string {
	return fmt.Sprintf("q%06d%08x", requestCount.Add(1), rand.Uint32())
}

// send sends one request on a connection of its own to a front machine that the directory names.
func (f *fleet) send(method, path, body string, deadline time.Duration) answer {
	addresses := f.resolve()
	if len(addresses) == 0 {
		return answer{}
	}
	return sendTo(addresses[rand.IntN(len(addresses))], method, path, body, deadline)
}

func sendTo(front, method, path, body string, deadline time.Duration) (a answer) {
	a = answer{id: newRequestID(), front: front, sent: time.Now()}
	defer func() { a.took = time.Since(a.sent) }()
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, hostName, a.id, deadline.Milliseconds())
	if method == http.MethodPost {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, request+"\r\n"+body); err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return a
	}
	a.status, a.body, a.sealed = response.StatusCode, string(content), response.Header.Get("X-Response-Seal") != ""
	return a
}
