package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// queuePerSlot is how many requests a server queues for each of its slots.
	queuePerSlot = 4
	portServer   = 8080
	// settleTime is the pause between the start of the servers and the requests of a case.
	settleTime = 3 * time.Second
)

// run is one request that a server began to work on.
type run struct {
	at                         time.Time
	instance, service, id      string
	method, path, body, expect string
}

// ledger holds the runs of all servers, and the arrivals that were turned away.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) list() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// serverOptions are the traits of a server that cases set.
type serverOptions struct {
	service string
	slots   int
	work    time.Duration
	// loseAnswer is called when the work is done; if it returns true, the answer is lost with the connection.
	loseAnswer func(r run) bool
	// crashes reports whether the request crashes the server when it begins to run.
	crashes func(r run) bool
	// downFor is how long a crashed server is down. It is back under another id.
	downFor time.Duration
}

// server is a stand-in for one backend server at one address. Each start is a boot.
type server struct {
	f       *fleet
	ledger  *ledger
	options serverOptions
	// host is the last number of the address.
	host    int
	address string
	zone    string
	// firstNode is the control node that the server calls first.
	firstNode atomic.Int64

	mu   sync.Mutex
	boot *boot
	over bool
	// boots counts the starts.
	boots int
}

// boot is one start of a server.
type boot struct {
	s        *server
	id       string
	born     int64
	listener net.Listener
	http     *http.Server
	slots    chan struct{}
	queued   atomic.Int64
	sequence atomic.Int64
	stopped  chan struct{}
	stopOnce sync.Once
	// calls lets only one heartbeat run at a time.
	calls sync.Mutex
	state atomic.Value
}

// newServer starts a server at a new address.
func (f *fleet) newServer(l *ledger, o serverOptions) (*server, error) {
	f.mu.Lock()
	f.nextHost++
	host := f.nextHost
	f.mu.Unlock()
	s := &server{f: f, ledger: l, options: o, host: host, address: fmt.Sprintf("%s%d:%d", f.prefix, host, portServer), zone: zones[host%len(zones)]}
	s.firstNode.Store(int64(host % len(f.cores)))
	if _, err := s.startBoot(fmt.Sprintf("i-%d-1", host)); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s, nil
}

// startBoot starts the server under the id.
func (s *server) startBoot(id string) (*boot, error) {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	b := &boot{s: s, id: id, born: time.Now().UnixMilli(), listener: l, slots: make(chan struct{}, s.options.slots), stopped: make(chan struct{})}
	b.state.Store("ready")
	b.http = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		_ = l.Close()
		return nil, net.ErrClosed
	}
	s.boot = b
	s.boots++
	s.f.rec.printf("server %s starts at %s", id, s.address)
	go func() { _ = b.http.Serve(l) }()
	go b.heartbeats()
	return b, nil
}

// end ends the server for good.
func (s *server) end() {
	s.mu.Lock()
	s.over = true
	b := s.boot
	s.mu.Unlock()
	if b != nil {
		b.stop()
	}
}

// stop ends the boot at once, as a crash or an exit does.
func (b *boot) stop() {
	b.stopOnce.Do(func() {
		close(b.stopped)
		_ = b.http.Close()
	})
}

// crash ends the boot at once. The server is back under a new id after some seconds.
func (b *boot) crash() {
	b.s.f.rec.printf("server %s crashes", b.id)
	b.stop()
	time.AfterFunc(b.s.options.downFor, func() {
		b.s.mu.Lock()
		n := b.s.boots + 1
		b.s.mu.Unlock()
		_, _ = b.s.startBoot(fmt.Sprintf("i-%d-%d", b.s.host, n))
	})
}

// heartbeats announces the boot about every heartbeatInterval until it stops.
func (b *boot) heartbeats() {
	for {
		b.announce(b.state.Load().(string))
		select {
		case <-b.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// announce sends one heartbeat, to the next node if there is no acknowledgement, and reports whether it has one.
func (b *boot) announce(state string) bool {
	b.calls.Lock()
	defer b.calls.Unlock()
	body, _ := json.Marshal(map[string]any{
		"service": b.s.options.service, "address": b.s.address, "zone": b.s.zone, "version": "v1", "slots": b.s.options.slots,
		"state": state, "warmup_left": "0ms", "sequence": b.sequence.Add(1), "born": b.born,
	})
	status, node := b.s.f.callControl(int(b.s.firstNode.Load()), http.MethodPut, "/-/instances/"+b.id, string(body), b.stopped)
	b.s.f.rec.printf("heartbeat of %s, %s, born %d: %d from %s", b.id, state, b.born, status, node)
	return status == http.StatusOK
}

// reject answers that the request has not run.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler as the platform's page on instances says.
func (b *boot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", b.id)
		return
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		reject(w, http.StatusBadRequest)
		return
	}
	if b.queued.Add(1) > int64(b.s.options.slots*(1+queuePerSlot)) {
		b.queued.Add(-1)
		reject(w, http.StatusServiceUnavailable)
		return
	}
	defer b.queued.Add(-1)
	var expired <-chan time.Time
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		timer := time.NewTimer(time.Until(arrived.Add(time.Duration(ms) * time.Millisecond)))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-expired:
		reject(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	b.work(w, r, run{
		at: time.Now(), instance: b.id, service: b.s.options.service, id: id, method: r.Method, path: r.URL.RequestURI(),
		body: string(body), expect: r.Header.Get("X-Expect-Instance"),
	}, expired)
}

// work runs one request.
func (b *boot) work(w http.ResponseWriter, r *http.Request, done run, expired <-chan time.Time) {
	o := &b.s.options
	b.s.ledger.add(done)
	b.s.f.rec.printf("run of %s at %s (%s): %s %s", done.id, done.instance, done.service, done.method, done.path)
	if o.crashes != nil && o.crashes(done) {
		b.crash()
		return
	}
	timer := time.NewTimer(o.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-expired:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	case <-b.stopped:
		return
	}
	if o.loseAnswer != nil && o.loseAnswer(done) {
		b.s.f.rec.printf("the answer of %s to %s is lost", done.instance, done.id)
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.Close()
		}
		return
	}
	content := "done " + done.id
	w.Header().Set("X-Response-Seal", fmt.Sprintf("seal.%s.%s", done.instance, done.id))
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = io.WriteString(w, content)
}
