package netem_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/bench/netem"
)

const oneWay = 5 * time.Millisecond

func setUp(t *testing.T) (*netem.Network, net.Conn) {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	n := netem.New(func(_, _ string) time.Duration { return oneWay })
	n.SetLocation(l.Addr().String(), netem.Location{Host: "b", DataCentre: "2"})
	conn, err := n.Dialer(netem.Location{Host: "a", DataCentre: "1"}).DialContext(context.Background(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	return n, conn
}

func echo(conn net.Conn, wait time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := conn.Write([]byte("ping")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 4))
	return err
}

// Guards against connections without the emulated latency: measurements would be too fast for any real
// network.
func TestLatencyIsAdded(t *testing.T) {
	g := NewWithT(t)
	_, conn := setUp(t)
	start := time.Now()
	g.Expect(echo(conn, time.Second)).To(Succeed())
	g.Expect(time.Since(start)).To(BeNumerically(">=", 2*oneWay))
}

// A one-way cut must block only its direction, and the delayed bytes must arrive after it ends.
func TestOneWayCutHoldsAndReleases(t *testing.T) {
	g := NewWithT(t)
	n, conn := setUp(t)
	n.Cut("b", "a")
	g.Expect(echo(conn, 50*time.Millisecond)).NotTo(Succeed())
	n.Heal("b", "a")
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, err := io.ReadFull(conn, make([]byte, 4))
	g.Expect(err).NotTo(HaveOccurred())
	n.Cut("a", "c")
	g.Expect(echo(conn, time.Second)).To(Succeed())
}

// A frozen host must block both directions, and the delayed bytes must arrive after it resumes.
func TestFreeze(t *testing.T) {
	g := NewWithT(t)
	n, conn := setUp(t)
	n.Freeze("b", true)
	g.Expect(echo(conn, 50*time.Millisecond)).NotTo(Succeed())
	n.HealAll()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, err := io.ReadFull(conn, make([]byte, 4))
	g.Expect(err).NotTo(HaveOccurred())
}
