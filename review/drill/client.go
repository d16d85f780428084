package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for a request; status 0 means none.
type answer struct {
	status int
	seal   string
	body   string
	err    error
}

// send sends one request on a new connection and reads its answer.
func (f *fleet) send(front *process, method, path, id, body string) answer {
	a := f.exchange(front, method, path, id, body)
	f.record.event("client sent", id, method, path, "to", front.ip, "and got", a.status, "seal", a.seal, fmt.Sprintf("%.60q", a.body), a.errText())
	return a
}

func (a answer) errText() string {
	if a.err == nil {
		return ""
	}
	return a.err.Error()
}

func (f *fleet) exchange(front *process, method, path, id, body string) answer {
	return f.exchangeAt(f.at(front.ip, f.ports.front), method, path, id, body)
}

func (f *fleet) exchangeAt(address, method, path, id, body string) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", method, path, hostName, id, len(body), body)
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, seal: r.Header.Get("X-Response-Seal"), body: string(data), err: err}
}
