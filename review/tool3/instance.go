package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	// queueLength is how many requests an instance queues beyond its slots.
	queueLength = 6
	seal        = "3e1b.07.5a2.600.0.c9f2a4d1"
	body        = "the server's bytes"
)

// arrival is a request that reached an instance.
type arrival struct {
	at           time.Time
	id, instance string
	run          bool
}

// instance is a sound backend server.
type instance struct {
	p        *play
	id       string
	service  string
	zone     string
	address  string
	controls int
	work     time.Duration
	born     int64
	slots    chan struct{}
	queue    chan struct{}
	// idle is the timeout of idle connections, in whole seconds. It is stated in each response.
	idle     time.Duration
	server   *http.Server
	stopBeat context.CancelFunc

	mu       sync.Mutex
	sequence int
	state    string
	beatAt   int
	arrivals []arrival
}

// defaultIdle is the timeout of idle connections, as in the site files.
const defaultIdle = 10 * time.Second

func (p *play) startInstance(id, service, zone, address string, controls, slots int, work time.Duration) (*instance, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &instance{
		p: p, id: id, service: service, zone: zone, address: address, controls: controls, work: work, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queueLength), stopBeat: cancel, state: "ready", idle: defaultIdle,
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		cancel()
		return nil, err
	}
	s.server = &http.Server{Handler: s, IdleTimeout: defaultIdle}
	go func() { _ = s.server.Serve(l) }()
	go s.beat(ctx)
	p.closers = append(p.closers, func() {
		cancel()
		_ = s.server.Close()
	})
	p.recordf("instance %s of %s started at %s", id, service, address)
	return s, nil
}

// beat announces the instance until the context ends.
func (s *instance) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.announce()
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// announce sends one heartbeat, to one control host after another until one acknowledges it.
func (s *instance) announce() (acknowledgedBy string) {
	s.mu.Lock()
	s.sequence++
	beat := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": cap(s.slots), "state": s.state,
		"warmup_left": "0ms", "sequence": s.sequence, "born": s.born,
	}
	first := s.beatAt
	s.mu.Unlock()
	text, err := json.Marshal(beat)
	if err != nil {
		panic(err)
	}
	for i := range s.controls {
		at := (first + i) % s.controls
		status, _ := call(http.MethodPut, fmt.Sprintf("http://%s:%d/-/instances/%s", s.p.control(at), controlPort, s.id), text)
		if status/100 == 2 {
			s.mu.Lock()
			s.beatAt = at
			s.mu.Unlock()
			return s.p.control(at)
		}
	}
	return ""
}

// drain reports that the instance drains and returns when that was acknowledged.
func (s *instance) drain() (time.Time, error) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.p.recordf("instance %s reports that it drains", s.id)
	for range 10 {
		if by := s.announce(); by != "" {
			at := time.Now()
			s.p.recordf("the drain of instance %s is acknowledged by %s", s.id, by)
			return at, nil
		}
		time.Sleep(retryPause)
	}
	return time.Time{}, fmt.Errorf("the drain of %s was not acknowledged", s.id)
}

func (s *instance) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *instance) noteRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[n].run = true
}

// ServeHTTP serves a request as PROTOCOL.md describes.
func (s *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	draining := s.state == "draining"
	s.mu.Unlock()
	if draining {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: id, instance: s.id})
	n := len(s.arrivals) - 1
	s.mu.Unlock()
	s.p.recordf("request %s reaches instance %s", id, s.id)
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(s.idle.Seconds())))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		h.Set("X-Instance-Id", s.id)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	if !s.takeSlot(ctx) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		<-s.slots
		<-s.queue
	}()
	s.noteRun(n)
	read, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.p.recordf("instance %s: the body of request %s ended after %d bytes: %v", s.id, id, read, err)
		return
	}
	select {
	case <-time.After(s.work):
	case <-ctx.Done():
		s.p.recordf("instance %s stops work on request %s: %v", s.id, id, ctx.Err())
		if r.Context().Err() == nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	s.p.recordf("instance %s has run request %s with a body of %d bytes", s.id, id, read)
	h.Set("X-Response-Seal", seal)
	_, _ = io.WriteString(w, body)
}

// takeSlot waits for a slot. It returns false if the queue is full or the context ends first.
func (s *instance) takeSlot(ctx context.Context) bool {
	select {
	case s.queue <- struct{}{}:
	default:
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		<-s.queue
		return false
	}
}
