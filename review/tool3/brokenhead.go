package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// brokenHead is the beginning of the response with which an instance of tool3 refuses a request, broken off behind the
	// name of a header.
	brokenHead = "HTTP/1.1 503 Service Unavailable\r\nKeep-Alive: timeout=10\r\nX-Not-Executed: "
	// brokenEvery is the number of responses of the faulty instance of which one has such bytes before it, which is a share
	// of 0.0294, and brokenFor how long that lasts.
	brokenEvery   = 34
	brokenFor     = 5 * time.Second
	brokenRate    = 120
	brokenWork    = 20 * time.Millisecond
	brokenClients = 9
	signOffBody   = "approved"
)

// lateConn is a connection of an instance that can write additional bytes before the next response.
type lateConn struct {
	net.Conn

	mu       sync.Mutex
	requests int
	before   string
}

// Write puts the additional bytes in front of the response.
func (c *lateConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	before := c.before
	c.before = ""
	c.mu.Unlock()
	if before != "" {
		if _, err := c.Conn.Write([]byte(before)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

type lateListener struct{ net.Listener }

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: conn}, nil
}

type lateConnKey struct{}

// faultyInstance is a backend server that sends additional bytes after a complete response. They arrive late, where the
// next response is expected.
type faultyInstance struct {
	*instance

	garble         sync.Mutex
	on             bool
	answered, sent int
}

// ServeHTTP serves a request as a sound instance does and decides whether additional bytes precede the response.
func (f *faultyInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(lateConnKey{}).(*lateConn); ok && r.URL.Path != "/health" {
		conn.mu.Lock()
		conn.requests++
		if f.isDue(conn.requests) {
			conn.before = brokenHead
			f.p.recordf("instance %s: the response to request %s has additional bytes before it", f.id, r.Header.Get("X-Request-Id"))
		}
		conn.mu.Unlock()
	}
	f.instance.ServeHTTP(w, r)
}

// isDue reports whether the response to a request has additional bytes before it; requests counts those of the connection.
func (f *faultyInstance) isDue(requests int) bool {
	f.garble.Lock()
	defer f.garble.Unlock()
	if !f.on {
		return false
	}
	f.answered++
	if requests < 2 || f.sent >= f.answered/brokenEvery {
		return false
	}
	f.sent++
	return true
}

func (f *faultyInstance) set(on bool) {
	f.garble.Lock()
	defer f.garble.Unlock()
	f.on = on
}

// startFaultyInstance starts an instance like startInstance.
func (p *play) startFaultyInstance(id, service, zone, address string, controls, slots int, work time.Duration) (*faultyInstance, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &faultyInstance{instance: &instance{
		p: p, id: id, service: service, zone: zone, address: address, controls: controls, work: work, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queueLength), stopBeat: cancel, state: "ready", idle: defaultIdle,
	}}
	l, err := net.Listen("tcp", address)
	if err != nil {
		cancel()
		return nil, err
	}
	f.server = &http.Server{Handler: f, IdleTimeout: defaultIdle, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, lateConnKey{}, c)
	}}
	go func() { _ = f.server.Serve(lateListener{l}) }()
	go f.beat(ctx)
	p.closers = append(p.closers, func() {
		cancel()
		_ = f.server.Close()
	})
	p.recordf("instance %s of %s started at %s", id, service, address)
	return f, nil
}

// brokenHeads serves requests that must not run twice while one of two instances sends the beginning of one more response
// before some of its responses. TWICE is broken if a request runs at both, REFUSED if one that has run is answered 503.
func brokenHeads(p *play) (broken bool, err error) {
	const controls, entries, slots = 3, 3, 6
	if err := p.startFleet(controls, entries); err != nil {
		return false, err
	}
	text := document(1, []string{"cuefeed"}, route{"r-sign", "/sign/", "unsafe", "cuefeed", 5 * time.Second})
	if err := p.put(controls, 1, text, 20*time.Second); err != nil {
		return false, err
	}
	faulty, err := p.startFaultyInstance("i-1", "cuefeed", zoneOf(0), p.newInstanceAddress(), controls, slots, brokenWork)
	if err != nil {
		return false, err
	}
	sound, err := p.startInstance("i-2", "cuefeed", zoneOf(1), p.newInstanceAddress(), controls, slots, brokenWork)
	if err != nil {
		return false, err
	}
	if err := p.awaitReady(entries, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	statuses := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	stop := make(chan struct{})
	for i := range brokenClients {
		group.Go(func() {
			c := &client{p: p, address: hostPort(p.entry(i%entries), entryPort)}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(brokenClients*time.Second/brokenRate - brokenWork):
				}
				id := fmt.Sprintf("s-%d-%d", i, n)
				status := c.send(http.MethodPost, "/sign/"+id, id, signOffBody, 5*time.Second)
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	faulty.set(p.trouble)
	time.Sleep(brokenFor)
	faulty.set(false)
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	runs := map[string]int{}
	for _, s := range []*instance{faulty.instance, sound} {
		for _, a := range s.arrived() {
			if a.run {
				runs[a.id]++
			}
		}
	}
	twice, refused, failed := 0, 0, 0
	for id, status := range statuses {
		if status != http.StatusOK {
			failed++
		}
		switch {
		case runs[id] > 1:
			twice++
			p.recordf("TWICE: request %s ran %d times, and the client got %d", id, runs[id], status)
		case runs[id] > 0 && (status == 408 || status == 421 || status == 429 || status == 503):
			refused++
			p.recordf("REFUSED: request %s was answered %d and has run", id, status)
		}
	}
	p.recordf("%d requests, %d of them not answered 200; additional bytes before %d of %d responses of i-1; TWICE %d, REFUSED %d",
		len(statuses), failed, faulty.sent, faulty.answered, twice, refused)
	return twice+refused > 0, nil
}
