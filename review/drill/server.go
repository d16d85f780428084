package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// instance is a stand-in instance that follows the users' pages.
type instance struct {
	fleet                *fleet
	id, service, address string
	born                 int64
	work                 time.Duration
	listener             net.Listener
	sequence             atomic.Int64
	state                atomic.Value
	stopBeats            chan struct{}
	// before, if set, returns additional bytes of a faulty instance that arrive before an answer. count is the number of the
	// request on its connection, from 1.
	before func(count int) string

	mu   sync.Mutex
	runs map[string]int
	// bodies holds the body with which each request ran, given the status that was answered.
	bodies, given map[string]string
	times         map[string]time.Time
	conns         map[net.Conn]bool
}

// startInstances starts n instances of the service cuefeed.
func (f *fleet) startInstances(n int) ([]*instance, error) {
	var list []*instance
	for i := range n {
		s, err := f.startInstance(100+i, fmt.Sprintf("i-%d", i), "cuefeed")
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

// serve puts a configuration of the service cuefeed and returns once all fronts serve it.
func (f *fleet) serve(instances []*instance) error {
	routes := []route{{"/signoff/", "unsafe", "cuefeed"}, {"/cues/", "safe", "cuefeed"}}
	return f.putAndServe(routes, []string{"cuefeed"}, instances)
}

// putAndServe puts the first configuration, lets the instances announce themselves, and returns once all fronts serve.
func (f *fleet) putAndServe(routes []route, services []string, instances []*instance) error {
	if err := f.put(1, routes, services); err != nil {
		return err
	}
	for _, s := range instances {
		go s.beatUntilStopped()
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	deadline := time.Now().Add(formTimeout)
	for i, p := range f.fronts {
		for n := 0; ; n++ {
			if f.send(p, http.MethodGet, "/cues/first", fmt.Sprintf("first-%d-%d", i, n), "").status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("front %s serves nothing", p.ip)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) startInstance(n int, id, service string) (*instance, error) {
	l, err := net.Listen("tcp", f.ip(n)+":0")
	if err != nil {
		return nil, err
	}
	s := &instance{
		fleet: f, id: id, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), work: 20 * time.Millisecond,
		listener: l, stopBeats: make(chan struct{}), runs: map[string]int{}, bodies: map[string]string{}, given: map[string]string{}, times: map[string]time.Time{}, conns: map[net.Conn]bool{},
	}
	s.state.Store("ready")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *instance) beatBody(sequence int64, state string) string {
	return beatBody(s.service, s.address, s.born, sequence, state)
}

func beatBody(service, address string, born, sequence int64, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":6,"state":%q,"warmup_left":"0ms","sequence":%d,"born":%d}`,
		service, address, state, sequence, born)
}

// beat sends one heartbeat, to the next control host if one does not acknowledge it.
func (s *instance) beat() bool {
	for i := range len(s.fleet.cores) {
		n := s.sequence.Add(1)
		status, text := s.fleet.call(http.MethodPut, s.fleet.control(int(n)+i), "/-/instances/"+s.id, s.beatBody(n, s.state.Load().(string)))
		if status/100 == 2 {
			return true
		}
		s.fleet.record.event("heartbeat of", s.id, "status", status, strings.TrimSpace(text))
	}
	return false
}

func (s *instance) beatUntilStopped() {
	for {
		s.beat()
		select {
		case <-s.stopBeats:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func newSeal() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (s *instance) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for count := 1; ; count++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if e := r.Header.Get("X-Expect-Instance"); e != "" && e != s.id {
			s.fleet.record.event("instance", s.id, "answers 421 to", id)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
			continue
		}
		s.mu.Lock()
		s.runs[id]++
		run := s.runs[id]
		s.times[id] = time.Now()
		s.bodies[id] = string(body)
		s.mu.Unlock()
		s.fleet.record.event("instance", s.id, "runs", id, r.Method, r.URL.RequestURI(), "run", run, "body", len(body), "connection", c.RemoteAddr(), "request", count)
		time.Sleep(s.work)
		status := "200 OK"
		if strings.HasSuffix(r.URL.Path, "/fails") {
			status = "500 Internal Server Error"
		}
		text := "answer of " + s.id + " to " + id + "\n"
		ordinary := fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, newSeal(), len(text), text)
		s.mu.Lock()
		s.given[id] = status
		s.mu.Unlock()
		s.fleet.record.event("instance", s.id, "answers", status, "to", id)
		if s.before != nil {
			if extra := s.before(count); extra != "" {
				s.fleet.record.event("instance", s.id, "sends late additional bytes on connection", c.RemoteAddr(), fmt.Sprintf("%q", extra))
				ordinary = extra + ordinary
			}
		}
		if _, err := io.WriteString(c, ordinary); err != nil {
			return
		}
	}
}

func (s *instance) runsOf(id string) (runs int, given string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id], s.given[id]
}
