package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// interruptedReader is a body whose end arrives at the moment at which its read is interrupted.
type interruptedReader struct {
	http.ResponseWriter
	reading, interrupted chan struct{}
	deadlines            int
}

// SetReadDeadline implements what http.ResponseController calls. The second call is that of the interrupt.
func (r *interruptedReader) SetReadDeadline(time.Time) error {
	if r.deadlines++; r.deadlines == 2 {
		close(r.interrupted)
	}
	return nil
}

func (r *interruptedReader) Read(p []byte) (int, error) {
	close(r.reading)
	<-r.interrupted
	return copy(p, "end"), io.EOF
}

func (*interruptedReader) Close() error { return nil }

// The interrupt ends the caller's connection for net/http also if the read still reaches the end of the body. A response
// that does not announce it costs the caller its next request.
func TestInterruptedBodiesEndTheConnection(t *testing.T) {
	g := NewWithT(t)
	r := &interruptedReader{ResponseWriter: httptest.NewRecorder(), reading: make(chan struct{}), interrupted: make(chan struct{})}
	source := &callerBody{
		reader: r, control: http.NewResponseController(r), readTimeout: time.Minute, deadline: time.Now().Add(time.Minute), remaining: 10,
	}
	ended := make(chan error, 1)
	go func() {
		_, err := source.Read(make([]byte, 8))
		ended <- err
	}()
	<-r.reading
	source.interrupt()
	g.Expect(<-ended).To(Equal(io.EOF))
	b := body{source: source}
	g.Expect(b.unread()).To(BeTrue())
}
