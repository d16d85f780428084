package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// requestTimeout bounds one request, so that a hung one ends the run.
const requestTimeout = 5 * time.Second

// caller sends one request after the other on one connection.
type caller struct {
	conn      net.Conn
	br        *bufio.Reader
	request   []byte
	want      int64
	latencies *hdr.Histogram
}

func newCaller(address string, bodyBytes int) (*caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "bench: cannot connect over loopback")
	}
	return &caller{
		conn: conn, br: bufio.NewReader(conn), want: int64(bodyBytes),
		request:   fmt.Appendf(nil, "GET /bench/item?id=1 HTTP/1.1\r\nHost: bench\r\nAccept: */*\r\nUser-Agent: bench\r\n%s: %d\r\n\r\n", "Standin-Size", bodyBytes),
		latencies: hdr.New(1, maxLatency.Microseconds(), significance),
	}, nil
}

func (c *caller) run(ctx context.Context) error {
	for ctx.Err() == nil {
		begun := time.Now()
		if err := c.once(begun); err != nil {
			return err
		}
		if err := c.latencies.RecordValue(max(time.Since(begun).Microseconds(), 1)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func (c *caller) once(begun time.Time) error {
	if err := c.conn.SetDeadline(begun.Add(requestTimeout)); err != nil {
		return errors.WithStack(err)
	}
	if _, err := c.conn.Write(c.request); err != nil {
		return errors.WithStack(err)
	}
	response, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK || n != c.want {
		return errors.Errorf("bench: an answer has status %d and %d bytes instead of 200 and %d", response.StatusCode, n, c.want)
	}
	return nil
}

func (c *caller) close() {
	// The connection is given up either way.
	_ = c.conn.Close()
}
