package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// shortIdle is the idle timeout that the instances state in Keep-Alive, longIdle that of the run without the trouble.
	shortIdle = time.Second
	longIdle  = time.Minute
	// loadClients clients send a request each meanPause on average, for loadTime.
	loadClients = 18
	meanPause   = time.Second
	loadTime    = 60 * time.Second
	workTime    = 150 * time.Millisecond
	floorSpan   = 2 * time.Second
	floorStep   = 100 * time.Millisecond
	floorShare  = 0.7
	signOffBody = "approved"
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

// idleTimeout serves a light load. The instances close idle connections after a second and say so. FLOOR is broken if in
// some 2 s fewer of them than floor_share get requests while more than a tenth of the requests, but under half, aren't served.
func idleTimeout(p *play) (broken bool, err error) {
	const controls, entries, instances = 3, 3, 8
	idle := longIdle
	if p.trouble {
		idle = shortIdle
	}
	if err := p.startFleet(controls, entries); err != nil {
		return false, err
	}
	text := document(1, []string{"cuefeed"}, route{"r-list", "/list/", "safe", "cuefeed", 4 * time.Second}, route{"r-sign", "/sign/", "unsafe", "cuefeed", 5 * time.Second})
	if err := p.put(controls, 1, text, 20*time.Second); err != nil {
		return false, err
	}
	var servers []*instance
	for i := range instances {
		s, err := p.startIdleInstance(fmt.Sprintf("i-%d", i+1), "cuefeed", zoneOf(i), p.newInstanceAddress(), controls, 6, workTime, idle)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := p.awaitReady(entries, 20*time.Second); err != nil {
		return false, err
	}
	// All machines are in touch after contact, 3 s, and the instances sound after twice that.
	time.Sleep(7 * time.Second)
	var mu sync.Mutex
	var exchanges []exchange
	var group sync.WaitGroup
	began := time.Now()
	for i := range loadClients {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			c := &client{p: p, address: hostPort(p.entry(i%entries), entryPort)}
			defer c.close()
			for n := 0; time.Since(began) < loadTime; n++ {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(meanPause)))
				id := fmt.Sprintf("%d-%d", i, n)
				e := exchange{kind: "safe", sent: time.Now()}
				if random.IntN(2) == 0 {
					e.kind = "unsafe"
					e.served = c.send(http.MethodPost, "/sign/"+id, "sign-"+id, signOffBody, 5*time.Second) == http.StatusOK
				} else {
					e.served = c.send(http.MethodGet, "/list/"+id, "list-"+id, "", 4*time.Second) == http.StatusOK
				}
				mu.Lock()
				exchanges = append(exchanges, e)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	counts := map[string]int{}
	for _, e := range exchanges {
		counts[fmt.Sprintf("%s, served %v", e.kind, e.served)]++
	}
	p.recordf("requests: %v", counts)
	return p.checkFloor(servers, exchanges, began, loadTime), nil
}

// checkFloor looks at each span of 2 s.
func (p *play) checkFloor(servers []*instance, exchanges []exchange, began time.Time, load time.Duration) (broken bool) {
	for from := began.Add(time.Second); from.Before(began.Add(load - floorSpan)); from = from.Add(floorStep) {
		to := from.Add(floorSpan)
		sent, missed, used := 0, 0, 0
		for _, e := range exchanges {
			if !e.sent.Before(from) && e.sent.Before(to) {
				sent++
				if !e.served {
					missed++
				}
			}
		}
		for _, s := range servers {
			for _, a := range s.arrived() {
				if !a.at.Before(from) && a.at.Before(to) {
					used++
					break
				}
			}
		}
		share := float64(missed) / float64(max(sent, 1))
		if used > 0 && float64(used) < floorShare*float64(len(servers)) && share > 0.1 && share < 0.5 {
			broken = true
			p.recordf("FLOOR: in the 2 s from %.1f s of the load on, %d of %d instances got requests, and %d of %d requests were not served",
				from.Sub(began).Seconds(), used, len(servers), missed, sent)
		}
	}
	return broken
}
