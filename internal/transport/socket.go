package transport

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount set the keep-alive probes that detect, on an idle
	// connection, a peer that became unreachable without a reset.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall does not define.
	tcpUserTimeout = 18
)

// NewDialerWithTimeouts returns a dialer whose attempts to connect time out after dial. Its connections fail
// when sent data stays unacknowledged for the time unacknowledged, or when the peer acknowledges no
// keep-alive probe.
func NewDialerWithTimeouts(dial, unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
			})
			if err == nil {
				err = optionErr
			}
			return errors.Wrap(err, "set TCP_USER_TIMEOUT on a connection")
		},
	}
}
