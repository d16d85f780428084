package transport

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// keepAliveIdle, keepAliveEvery and keepAliveCount find connections that have gone silent without a
	// reset while nothing is sent on them.
	keepAliveIdle  = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount = 3
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package lacks.
	tcpUserTimeout = 18
)

// NewDialerWithTimeouts returns a dialer whose connections break when what was sent on them has not been
// acknowledged within the time, or when the peer answers no keep-alive.
func NewDialerWithTimeouts(dial, unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
			})
			if err == nil {
				err = failed
			}
			return errors.Wrap(err, "bound unacknowledged data of a connection")
		},
	}
}
