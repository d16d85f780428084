package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a caller that keeps its connection.
type client struct {
	p       *play
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// send sends a request and returns the status, or 0 without a response.
func (c *client) send(method, path, id, text string, deadline time.Duration) int {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return 0
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	message := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, hostName, id, deadline.Milliseconds())
	if text != "" {
		message += fmt.Sprintf("Content-Length: %d\r\n", len(text))
	}
	_, err := io.WriteString(c.conn, message+"\r\n"+text)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, nil)
	}
	var answer []byte
	if err == nil {
		answer, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		c.p.recordf("client gets no response to %s: %v", id, err)
		c.close()
		return 0
	}
	if resp.StatusCode != http.StatusOK {
		c.p.recordf("client gets %d %s to %s", resp.StatusCode, strings.TrimSpace(string(answer)), id)
	}
	if resp.Close {
		c.close()
	}
	return resp.StatusCode
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange is a request of a client.
type exchange struct {
	kind   string
	sent   time.Time
	served bool
}
