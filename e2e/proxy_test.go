package e2e_test

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

// linkFault is a fault that a proxy applies to all connections to one process.
type linkFault int

const (
	linkDelay linkFault = iota
	linkReset
	linkCutIn
	linkCutOut
	linkCutBoth
	linkFaults
)

const (
	// linkLatency is added to each direction by linkDelay.
	linkLatency = 60 * time.Millisecond
	// heldPollInterval is the time between checks whether the cut of a direction has ended.
	heldPollInterval = 5 * time.Millisecond
)

// proxy forwards the connections to one process and applies link faults to them.
type proxy struct {
	target string

	mu     sync.Mutex
	active map[linkFault]bool
	open   map[*net.TCPConn]bool
}

// newProxy listens on the address and forwards connections to the target.
func newProxy(address, target string) (*proxy, net.Listener) {
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{target: target, active: map[linkFault]bool{}, open: map[*net.TCPConn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn.(*net.TCPConn))
		}
	}()
	return p, listener
}

func (p *proxy) set(fault linkFault, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fault != linkReset {
		p.active[fault] = on
		return
	}
	for conn := range p.open {
		// With a linger time of 0, Close discards unsent data and sends a TCP reset.
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) hasFault(faults ...linkFault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, fault := range faults {
		if p.active[fault] {
			return true
		}
	}
	return false
}

// checkListening fails unless the process listens.
func (p *proxy) checkListening() error {
	conn, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return err
	}
	return conn.Close()
}

func (p *proxy) forward(client *net.TCPConn) {
	dialled, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		// The process does not listen, so the client gets a reset, as from a host whose process is down.
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	process := dialled.(*net.TCPConn)
	p.track(true, client, process)
	defer p.track(false, client, process)
	done := make(chan struct{}, 2)
	go p.copy(process, client, linkCutIn, done)
	go p.copy(client, process, linkCutOut, done)
	<-done
	_ = client.Close()
	_ = process.Close()
	<-done
}

func (p *proxy) track(open bool, conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		if open {
			p.open[conn] = true
		} else {
			delete(p.open, conn)
		}
	}
}

// copy forwards the bytes of one direction. A cut delays bytes rather than dropping them, as TCP would
// retransmit them after a network partition.
func (p *proxy) copy(to io.Writer, from io.Reader, cut linkFault, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if p.hasFault(linkDelay) {
			time.Sleep(linkLatency)
		}
		for p.hasFault(cut, linkCutBoth) {
			time.Sleep(heldPollInterval)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
